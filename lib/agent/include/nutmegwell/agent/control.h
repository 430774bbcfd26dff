#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/membership/quarantine.h"
#include "nutmegwell/model/messages.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Control logic of an agent, without I/O: step() takes an event, changes the
/// state and returns the effects to carry out.
namespace nutmegwell::agent {

struct AgentSettings {
  model::NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  model::NodeKind Kind_ = model::NodeKind::Worker;
  model::DomainName Domain_;
  model::RackName Rack_;
  std::uint32_t Accelerators_ = 0;
  /// "IP:PORT" at which the agent accepts request frames.
  std::string RequestAddress_;
  /// UDP addresses of the entry hosts.
  std::vector<std::string> EntryAddresses_;
  core::Duration HeartbeatInterval_ = std::chrono::seconds(1);
  /// Lease of a task at the runtime; each poll renews it.
  core::Duration RuntimeLease_ = std::chrono::seconds(10);
  /// Longest time after which a call without an answer can still take effect.
  core::Duration RuntimeCallMaxDelay_ = std::chrono::seconds(2);
  /// Interval at which the agent polls the runtime.
  core::Duration RuntimePollInterval_ = std::chrono::milliseconds(500);
  /// Time for which heartbeats report a share after its end.
  core::Duration EndedShareRetention_ = std::chrono::minutes(10);
  membership::QuarantineSettings Quarantine_;
};

/// Maximum number of task reports in a heartbeat, so that it fits one datagram.
constexpr std::size_t MaxTaskReports = 24;

/// An agent's share of a gang attempt: the tasks that run on its worker.
struct Share {
  /// Bit mask of accelerators for each task.
  std::vector<std::uint64_t> Accelerators_;
  std::string Command_;
  std::string Checkpoint_;
  model::TaskState State_ = model::TaskState::Reserved;
  /// For a reservation, the time at which it expires. For a share in a final
  /// state, the time of its end or of the latest repeated stop.
  core::TimePoint ExpiryOrEndTime_{};
  /// Time that a task gets for a checkpoint when it is stopped.
  core::Duration Grace_{};
  /// End of the start permit under which the share was started.
  core::TimePoint StartDeadline_{};
  /// State of each task as last reported by the runtime.
  std::vector<model::TaskState> Tasks_;
  /// Checkpoint of each task as last reported by the runtime.
  std::vector<std::string> Checkpoints_;
};

/// Job and number of the attempt.
using ShareKey = std::pair<core::JobId, std::uint32_t>;

/// State of the upstream that the agent reports in its heartbeats.
struct UpstreamInfo {
  model::ServiceName Service_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InFlight_ = 0;
  bool Leaving_ = false;
};

struct AgentState {
  AgentSettings Settings_;
  std::uint64_t Sequence_ = 0;
  /// Highest term received from a cell holder.
  core::Term HighestTerm_ = 0;
  /// End of the start permit. A default time point stands for no permit.
  core::TimePoint PermitUntil_{};
  /// End of the task lease. A default time point stands for no lease.
  core::TimePoint LeaseUntil_{};
  core::TimePoint LastHeartbeatSentAt_{};
  core::TimePoint LastRuntimePollAt_{};
  /// Sequence number of the latest heartbeat that the holder of the highest
  /// term has acknowledged.
  std::uint64_t AckedSequence_ = 0;
  core::TimePoint FirstTickAt_{};
  /// Send times of the latest heartbeats, by sequence number.
  std::map<std::uint64_t, core::TimePoint> HeartbeatSentAt_;
  std::map<ShareKey, Share> Shares_;
  /// Kept by the agent, so that every entry host learns it from the next
  /// heartbeat.
  membership::Quarantine Quarantine_;
  UpstreamInfo Upstream_;
  /// False until all tasks of an earlier agent process on this worker have
  /// ended.
  bool Ready_ = false;
  bool Stopping_ = false;
  /// Sequence number of the first heartbeat that announced the planned stop; 0
  /// before.
  std::uint64_t FirstLeaveSequence_ = 0;
  /// Entry hosts that have acknowledged that heartbeat or a later one.
  std::set<model::NodeName> LeaveAcknowledgedBy_;
};

struct DatagramReceived {
  std::string From_;
  model::Datagram Message_;
};

/// A task as the worker runtime lists it.
struct RuntimeTask {
  std::string Id_;
  model::TaskState State_ = model::TaskState::Running;
  std::string Checkpoint_;
};

/// List of tasks that the runtime returned to a poll.
struct RuntimeListing {
  /// Time at which the list was requested.
  core::TimePoint RequestedAt_{};
  std::vector<RuntimeTask> Tasks_;
};

/// The runtime refused to start a task, or the call was not made, for example
/// because the start permit had expired.
struct StartFailed {
  std::string Id_;
};

struct UpstreamChanged {
  UpstreamInfo Info_;
};

/// Posted every 100 ms.
struct Tick {};

struct StopRequested {};

using Event = std::variant<DatagramReceived, RuntimeListing, StartFailed,
                           UpstreamChanged, Tick, StopRequested>;

struct OutgoingDatagram {
  std::string To_;
  model::Datagram Message_;
};

struct StartTask {
  std::string Id_;
  std::string Command_;
  std::uint64_t Accelerators_ = 0;
  std::string Checkpoint_;
  core::Duration Lease_{};
  /// End of the start permit. The task must not be started later.
  core::TimePoint StartDeadline_{};
};

struct StopTask {
  std::string Id_;
  core::Duration Grace_{};
};

/// Polls the runtime: renews the leases of some tasks and lists all tasks.
struct ListTasks {
  /// Ids of the tasks whose leases are renewed.
  std::vector<std::string> Renew_;
  core::Duration Lease_{};
};

/// A call to the worker's runtime.
using RuntimeCall = std::variant<StartTask, StopTask, ListTasks>;

/// A line of the daemon's log: the name of an event and its fields.
struct LogEvent {
  std::string Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
};

/// Effects of a step, for the caller to carry out.
struct Effects {
  std::vector<OutgoingDatagram> Sends_;
  std::vector<RuntimeCall> Calls_;
  std::vector<LogEvent> LogEvents_;
};

/// Returns the initial state of an agent.
AgentState makeAgentState(const AgentSettings &Settings);

/// Applies one event to the state and returns the effects.
Effects step(AgentState &State, const Event &Input, core::TimePoint Now);

/// Returns the runtime's id of task \p Index of a share.
std::string taskId(const ShareKey &Key, std::size_t Index);

/// Returns true when every entry host has acknowledged the planned stop of this
/// node.
bool isLeaveAcknowledged(const AgentState &State);

/// Returns true when no task runs and no request is in flight, so that a
/// planned stop may end the process.
bool isDrained(const AgentState &State);

} // namespace nutmegwell::agent
