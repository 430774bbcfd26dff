#pragma once

#include "nutmegwell/agent/control.h"
#include "nutmegwell/agent/runtime.h"
#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/timers.h"
#include <functional>
#include <thread>

namespace nutmegwell::agent {

/// Interfaces that the control loop calls. Tests replace them by mocks.
struct ControlPorts {
  std::function<void(const OutgoingDatagram &)> Send_;
  std::function<void(const LogEvent &)> Log_;
  WorkerRuntime Runtime_;
  /// Returns the state of the upstream for the next heartbeat. Empty on a
  /// worker.
  std::function<UpstreamInfo()> Upstream_;
  core::Clock Clock_;
};

/// Runs the control steps on one thread and the calls to the runtime on
/// another, since these may block.
class ControlLoop {
public:
  ControlLoop(const AgentSettings &Settings, ControlPorts Ports);
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;
  ~ControlLoop();

  /// Processes the queued events and then ends both threads.
  void stop();

  /// Queues an event for the control thread. Returns false when the queue is
  /// full. The event is then lost, which the protocol tolerates as it tolerates
  /// lost datagrams.
  bool post(Event Input);

  /// Waits up to \p Timeout until every entry host has acknowledged the planned
  /// stop of this node. Returns false when one has not.
  bool waitLeaveAcknowledged(core::Duration Timeout);

  /// Waits up to \p Timeout until a planned stop was requested, no task runs
  /// and no request is in flight. Returns false on a timeout.
  bool waitDrained(core::Duration Timeout);

private:
  void runControlSteps();
  void runRuntimeCalls();
  void execute(const Effects &Out);
  void tick(core::TimePoint Now);
  void updateStopProgress();

  ControlPorts Ports_;
  AgentState State_;
  core::EventQueue<Event> Queue_;
  core::EventQueue<RuntimeCall> RuntimeCalls_;
  core::TimerService Timers_;
  std::mutex StopMutex_;
  std::condition_variable StopChanged_;
  bool Drained_ = false;
  bool LeaveAcknowledged_ = false;
  std::thread ControlThread_;
  std::thread RuntimeThread_;
};

} // namespace nutmegwell::agent
