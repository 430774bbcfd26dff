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

/// What the control thread acts through; a test fills it with mocks.
struct ControlPorts {
  std::function<void(const OutgoingDatagram &)> Send_;
  std::function<void(std::vector<model::Record>)> Append_;
  std::function<void(std::shared_ptr<const routing::RoutingSnapshot>)> Publish_;
  std::function<void(const LogEvent &)> Log_;
  /// Told how long each step took; may be empty.
  std::function<void(core::Duration)> RecordStepTime_;
  core::Clock Clock_;
};

/// Runs the control step on its own thread and answers other threads.
class ControlLoop {
public:
  /// \p QueueBound bounds the events that wait for the control thread.
  ControlLoop(const EntrySettings &Settings, ControlPorts Ports,
              std::size_t QueueBound);
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;
  ~ControlLoop();

  /// Ends the control thread after the events that are queued.
  void stop();

  /// Hands an event to the control thread. Returns false when its queue is
  /// full; the event is then lost like a datagram.
  bool post(Event What);

  /// The same for an event that must not be lost: waits for room. Not for the
  /// control thread itself.
  bool postBlocking(Event What);

  /// Appends a record and waits for the fold's verdict. Fails with
  /// ResourceExhausted when nothing was appended and with DeadlineExceeded when
  /// the verdict is not known in time.
  absl::StatusOr<CommandReply> submit(model::RecordBody Body,
                                      core::Duration Timeout);

  /// Calls \p Read on the control thread and waits for its end. Returns false
  /// when the loop has stopped.
  bool readState(std::function<void(const EntryState &)> Read);

  /// Waits until \p Ready returns true on the control thread, at most
  /// \p Timeout. Returns what it returned last.
  bool waitUntil(std::function<bool(const EntryState &)> Ready,
                 core::Duration Timeout);

  /// Returns an id that no other job has.
  core::JobId newJobId();

private:
  struct Read {
    std::function<void(const EntryState &)> Function_;
    std::promise<void> Done_;
  };
  struct Waiter {
    std::function<bool(const EntryState &)> Ready_;
    std::promise<bool> Done_;
    core::TimePoint Deadline_;
  };
  using Input =
      std::variant<Event, std::shared_ptr<Read>, std::shared_ptr<Waiter>>;

  void run();
  void handle(Input &What);
  void advance(const Event &What, core::TimePoint Now);
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
