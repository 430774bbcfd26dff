#pragma once

#include "nutmegwell/agent/control.h"
#include "nutmegwell/agent/runtime.h"
#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/timers.h"
#include <functional>
#include <thread>

namespace nutmegwell::agent {

/// What the control thread acts through; a test fills it with mocks.
struct ControlPorts {
  std::function<void(const OutgoingDatagram &)> Send_;
  std::function<void(const LogEvent &)> Log_;
  WorkerRuntime Runtime_;
  /// Returns what the next heartbeat says of the upstream; empty for a worker.
  std::function<UpstreamInfo()> Upstream_;
  core::Clock Clock_;
};

/// Runs the control step on one thread and the runtime's calls on another.
class ControlLoop {
public:
  ControlLoop(const AgentSettings &Settings, ControlPorts Ports);
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;
  ~ControlLoop();

  /// Ends the control thread after the events that are queued.
  void stop();

  /// Hands an event to the control thread. Returns false when its queue is
  /// full; the event is then lost like a datagram.
  bool post(Event What);

  /// Waits until every entry host knows that this node leaves, at most
  /// \p Timeout. Returns false when one has not answered.
  bool waitLeaveAcknowledged(core::Duration Timeout);

  /// Waits until nothing runs any more, at most \p Timeout. Returns false when
  /// something still runs.
  bool waitDrained(core::Duration Timeout);

private:
  void run();
  void callRuntime();
  void execute(const Effects &Out);
  void tick(core::TimePoint Now);
  void noteProgress();

  ControlPorts Ports_;
  AgentState State_;
  core::EventQueue<Event> Queue_;
  core::EventQueue<RuntimeCall> Calls_;
  core::TimerService Timers_;
  std::mutex StopMutex_;
  std::condition_variable StopChanged_;
  bool Drained_ = false;
  bool LeaveAcknowledged_ = false;
  std::thread Thread_;
  std::thread RuntimeThread_;
};

} // namespace nutmegwell::agent
