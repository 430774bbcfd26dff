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

/// Control of an agent as a pure function: state and event to effects.
namespace nutmegwell::agent {

struct AgentSettings {
  model::NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  model::NodeKind Kind_ = model::NodeKind::Worker;
  model::DomainName Domain_;
  model::RackName Rack_;
  std::uint32_t Accelerators_ = 0;
  /// "IP:PORT" at which request frames are taken.
  std::string RequestAddress_;
  /// UDP addresses of the entry hosts.
  std::vector<std::string> EntryAddresses_;
  core::Duration HeartbeatInterval_ = std::chrono::seconds(1);
  /// Lease that the runtime gives a task; renewed by each listing.
  core::Duration RuntimeLease_ = std::chrono::seconds(10);
  /// Time after which the runtime acts on no call that went unanswered.
  core::Duration RuntimeCallBound_ = std::chrono::seconds(2);
  core::Duration RuntimeInterval_ = std::chrono::milliseconds(500);
  /// Time for which the end of a share stays reported.
  core::Duration FinalKept_ = std::chrono::minutes(10);
  membership::QuarantineSettings Quarantine_;
};

/// Most task reports of one heartbeat, so that it fits one datagram.
constexpr std::size_t MaxReports = 24;

/// An agent's share of one attempt: the tasks that run on its worker.
struct Share {
  std::vector<std::uint64_t> Accelerators_;
  std::string Command_;
  std::string Checkpoint_;
  model::TaskState State_ = model::TaskState::Reserved;
  /// End of the reservation, or the time of the last change of a final state.
  core::TimePoint Until_{};
  core::Duration Grace_{};
  /// End of the permit under which the start was asked for.
  core::TimePoint StartDeadline_{};
  /// State of each task as the runtime last told.
  std::vector<model::TaskState> Tasks_;
  /// Checkpoint of each task as the runtime last told.
  std::vector<std::string> Checkpoints_;
};

using ShareKey = std::pair<core::JobId, std::uint32_t>;

/// What the agent of an upstream tells in its heartbeats.
struct UpstreamInfo {
  model::ServiceName Service_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InFlight_ = 0;
  bool Leaving_ = false;
};

struct AgentState {
  AgentSettings Settings_;
  std::uint64_t Sequence_ = 0;
  core::Term HighestTerm_ = 0;
  core::TimePoint PermitUntil_{};
  core::TimePoint LeaseUntil_{};
  core::TimePoint LastHeartbeat_{};
  core::TimePoint LastListing_{};
  /// Highest heartbeat that the holder of the highest term acknowledged.
  std::uint64_t AckedSequence_ = 0;
  core::TimePoint FirstTick_{};
  /// When recent heartbeats were sent, by sequence number.
  std::map<std::uint64_t, core::TimePoint> SentAt_;
  std::map<ShareKey, Share> Shares_;
  /// Counted here, so that every entry host knows it from the next heartbeat.
  membership::Quarantine Quarantine_;
  UpstreamInfo Upstream_;
  /// False until tasks that an earlier process left behind are stopped.
  bool Ready_ = false;
  bool Stopping_ = false;
  /// First heartbeat that said that the node leaves; 0 before.
  std::uint64_t LeaveSequence_ = 0;
  /// Entry hosts that have answered such a heartbeat.
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

/// The runtime's list of tasks, which also renews their leases.
struct RuntimeListing {
  /// When the listing was asked for.
  core::TimePoint RequestedAt_{};
  std::vector<RuntimeTask> Tasks_;
};

/// A start did not happen, or the runtime refused it.
struct StartFailed {
  std::string Id_;
};

struct UpstreamChanged {
  UpstreamInfo Info_;
};

/// Due every 100 ms.
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
  /// End of the start permit: the runtime must not be asked later.
  core::TimePoint StartDeadline_{};
};

struct StopTask {
  std::string Id_;
  core::Duration Grace_{};
};

/// Renews the leases of the tasks and asks for the list of all.
struct ListTasks {
  std::vector<std::string> Renew_;
  core::Duration Lease_{};
};

using RuntimeCall = std::variant<StartTask, StopTask, ListTasks>;

struct LogEvent {
  std::string Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
};

struct Effects {
  std::vector<OutgoingDatagram> Sends_;
  std::vector<RuntimeCall> Calls_;
  std::vector<LogEvent> LogEvents_;
};

/// Returns the state of an agent that has heard nothing yet.
AgentState makeAgentState(const AgentSettings &Settings);

/// Advances the state by one event.
Effects step(AgentState &State, const Event &What, core::TimePoint Now);

/// Returns the runtime's id of task \p Index of a share.
std::string taskId(const ShareKey &Key, std::size_t Index);

/// Returns true when every entry host knows that this node leaves.
bool isLeaveAcknowledged(const AgentState &State);

/// Returns true when nothing runs and a planned stop may end the process.
bool isDrained(const AgentState &State);

} // namespace nutmegwell::agent
