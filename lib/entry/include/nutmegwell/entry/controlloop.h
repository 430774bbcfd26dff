#pragma once

#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/core/timers.h"
#include "nutmegwell/entry/control.h"
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace nutmegwell::entry {

/// Functions through which the control thread acts on the outside; tests inject
/// mocks.
struct ControlPorts {
  std::function<void(const OutgoingDatagram &)> Send_;
  std::function<void(std::vector<model::Record>)> Append_;
  std::function<void(std::shared_ptr<const routing::RoutingSnapshot>)> Publish_;
  std::function<void(const LogEvent &)> Log_;
  /// Called with the duration of each step; may be empty.
  std::function<void(core::Duration)> RecordStepTime_;
  core::Clock Clock_;
};

/// Runs the control state machine on its own thread and gives other threads
/// access to it.
class ControlLoop {
public:
  /// At most \p QueueBound events wait for the control thread.
  ControlLoop(const EntrySettings &Settings, ControlPorts Ports,
              std::size_t QueueBound);
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;
  ~ControlLoop();

  /// Handles the queued events, then ends the control thread.
  void stop();

  /// Queues an event for the control thread. Returns false and drops the event
  /// when the queue is full, as a lost datagram would be.
  bool post(Event Incoming);

  /// Queues an event that must not be dropped: waits for free space in the
  /// queue. Returns false when the loop has stopped. Must not be called on the
  /// control thread, which empties the queue.
  bool postBlocking(Event Incoming);

  /// Appends a record and waits until it has been read back and applied or
  /// rejected. Fails with ResourceExhausted when nothing was appended and with
  /// DeadlineExceeded when the result is not known in time.
  absl::StatusOr<CommandReply> submit(model::RecordBody Body,
                                      core::Duration Timeout);

  /// Calls \p Read on the control thread and waits until it returns. Returns
  /// false when the loop has stopped.
  bool readState(std::function<void(const EntryState &)> Read);

  /// Waits until \p Ready, called on the control thread, returns true, at most
  /// \p Timeout. Returns the last result of \p Ready.
  bool waitUntil(std::function<bool(const EntryState &)> Ready,
                 core::Duration Timeout);

  /// Returns a new unique job id.
  core::JobId newJobId();

private:
  struct ReadRequest {
    std::function<void(const EntryState &)> Callback_;
    std::promise<void> Done_;
  };
  struct Waiter {
    std::function<bool(const EntryState &)> Ready_;
    std::promise<bool> Done_;
    core::TimePoint Deadline_;
  };
  using Input = std::variant<Event, std::shared_ptr<ReadRequest>,
                             std::shared_ptr<Waiter>>;

  void run();
  void handle(Input &Queued);
  void advance(const Event &Incoming, core::TimePoint Now);
  void execute(Effects Out);
  void checkWaiters(core::TimePoint Now);

  ControlPorts Ports_;
  EntryState State_;
  core::EventQueue<Input> Queue_;
  core::TimerService Timers_;
  std::map<std::uint64_t, std::promise<CommandReply>> Commands_;
  std::vector<std::shared_ptr<Waiter>> Waiters_;
  std::mutex CommandMutex_;
  std::uint64_t NextCommandId_ = 1;
  std::atomic<std::uint64_t> NextJob_{1};
  std::thread Thread_;
};

} // namespace nutmegwell::entry
