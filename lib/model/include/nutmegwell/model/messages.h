#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/job.h"
#include "nutmegwell/model/names.h"
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::model {

/// Whether an agent serves a worker or an upstream.
enum class NodeKind : std::uint8_t { Worker, Upstream };

enum class TaskState : std::uint8_t {
  Reserved,
  Starting,
  Running,
  Stopping,
  /// The task ended with success.
  Done,
  Failed,
  /// Stopped on request or because a lease expired.
  Stopped
};

const char *toString(TaskState Value);

/// Time for a checkpoint that a share gets when its agent stops it because the
/// task lease expired. A holder that gets no heartbeats from the agent waits
/// for this time, too.
constexpr auto LeaseExpiryGrace = std::chrono::seconds(5);

/// State of an agent's share of a gang: the tasks of one attempt on one worker,
/// which are reported together.
struct TaskReport {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  TaskState State_ = TaskState::Reserved;
  std::uint64_t Accelerators_ = 0;
  std::string Checkpoint_;
};

/// Sent by an agent, at intervals and after changes, to every entry host in its
/// settings.
struct Heartbeat {
  NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  NodeKind Kind_ = NodeKind::Worker;
  DomainName Domain_;
  RackName Rack_;
  std::uint32_t Accelerators_ = 0;
  ServiceName Service_;
  /// "IP:PORT" at which an upstream's agent accepts request frames.
  std::string RequestAddress_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InFlight_ = 0;
  bool Leaving_ = false;
  core::Term HighestTerm_ = 0;
  /// Length of the worker's quarantine, or zero without one, and the time since
  /// its start.
  core::Duration Quarantine_{};
  core::Duration QuarantinedFor_{};
  std::vector<TaskReport> Tasks_;
};

/// Answer to a heartbeat. Its durations start at the time when the agent sent
/// that heartbeat.
struct HeartbeatAck {
  NodeName Entry_;
  std::uint64_t Sequence_ = 0;
  /// Term of the sender's tenure; 0 when it does not hold the cell.
  core::Term Term_ = 0;
  /// Time for which the agent may start tasks; zero revokes the permit.
  core::Duration StartPermit_{};
  /// Time for which the agent may run tasks without another grant.
  core::Duration TaskLease_{};
  core::Offset ConfigOffset_ = 0;
};

/// Asks an agent to reserve accelerators for its share of a gang.
struct Reserve {
  core::Term Term_ = 0;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  /// Bit mask of accelerators for each task.
  std::vector<std::uint64_t> TaskAccelerators_;
  std::string Command_;
  std::string Checkpoint_;
  /// Time after which the reservation expires unless it is started.
  core::Duration Lease_{};
};

/// Answer to Reserve. Code_ is the reason of a refusal.
struct ReserveAnswer {
  NodeName Node_;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  bool Accepted_ = false;
  std::string Code_;
};

/// Starts a reserved share, after the log has accepted the commit of the gang.
struct Start {
  core::Term Term_ = 0;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
};

/// Stops a share with time for a checkpoint, or cancels its reservation.
/// Idempotent.
struct Stop {
  core::Term Term_ = 0;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  core::Duration Grace_{};
};

/// Sent by entry hosts to one another.
struct EntryHeartbeat {
  NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  /// Offset of the first log entry that the sender has not applied.
  core::Offset NextOffset_ = 0;
  bool Leaving_ = false;
};

using Datagram = std::variant<Heartbeat, HeartbeatAck, Reserve, ReserveAnswer,
                              Start, Stop, EntryHeartbeat>;

/// Asks an upstream's agent to run one attempt of a request.
struct RequestFrame {
  core::AttemptId Attempt_;
  AccountName Account_;
  ServiceName Service_;
  std::string Method_;
  /// Path without the query, with escapes decoded.
  std::string Path_;
  std::string Query_;
  std::string ContentType_;
  std::string Body_;
  /// Idempotency key. Empty for an idempotent request.
  std::string Key_;
  core::Duration Timeout_{};
  /// Incarnation of the agent to which the request is addressed. Another
  /// incarnation refuses the attempt, since it does not have the list of keys
  /// that its predecessor refused.
  core::Incarnation AgentIncarnation_ = 0;
};

/// Reports that the attempt is still running.
struct WorkingFrame {
  core::AttemptId Attempt_;
};

/// The upstream's complete answer.
struct AnswerFrame {
  core::AttemptId Attempt_;
  std::uint32_t Status_ = 0;
  std::string ContentType_;
  std::string Body_;
};

/// The attempt did not run and will not run.
struct NotRunFrame {
  core::AttemptId Attempt_;
  std::string Code_;
};

/// The attempt may have run, but its answer is not available.
struct OutcomeUnknownFrame {
  core::AttemptId Attempt_;
  std::string Code_;
};

/// Asks for the outcome of the attempt that has a key. An agent that has not
/// received the attempt refuses it from then on and answers with NotRunFrame.
struct KeyQueryFrame {
  core::AttemptId Attempt_;
  AccountName Account_;
  std::string Key_;
  core::Incarnation AgentIncarnation_ = 0;
};

/// Asks an entry host for its control state.
struct StateQueryFrame {
  /// The state must have at least this ControlState::NextOffset_.
  core::Offset MinOffset_ = 0;
};

/// Answer to StateQueryFrame; empty when the sender's state is older.
struct StateFrame {
  core::Offset NextOffset_ = 0;
  std::string State_;
};

using Frame = std::variant<RequestFrame, WorkingFrame, AnswerFrame, NotRunFrame,
                           OutcomeUnknownFrame, KeyQueryFrame, StateQueryFrame,
                           StateFrame>;

} // namespace nutmegwell::model
