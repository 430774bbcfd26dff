#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/job.h"
#include "nutmegwell/model/names.h"
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::model {

enum class NodeKind : std::uint8_t { Worker, Upstream };

enum class TaskState : std::uint8_t {
  Reserved,
  Starting,
  Running,
  Stopping,
  /// The runtime ended the task with success.
  Done,
  Failed,
  /// Stopped on request or because a lease ran out.
  Stopped
};

const char *toString(TaskState Value);

/// Checkpoint grace of a share that its agent stops because no holder renewed
/// its lease. A holder that does not hear the agent waits for it too.
constexpr auto LeaseExpiryGrace = std::chrono::seconds(5);

/// State of an agent's share of one gang. Tasks of one attempt on one worker
/// are reported together.
struct TaskReport {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  TaskState State_ = TaskState::Reserved;
  std::uint64_t Accelerators_ = 0;
  std::string Checkpoint_;
};

/// Sent by an agent to every entry host in its settings.
struct Heartbeat {
  NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  NodeKind Kind_ = NodeKind::Worker;
  DomainName Domain_;
  RackName Rack_;
  std::uint32_t Accelerators_ = 0;
  ServiceName Service_;
  /// "IP:PORT" at which an upstream's agent takes request frames.
  std::string RequestAddress_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InFlight_ = 0;
  bool Leaving_ = false;
  core::Term HighestTerm_ = 0;
  /// Length of the worker's quarantine, zero without one, and the time since it
  /// began.
  core::Duration Quarantine_{};
  core::Duration QuarantinedFor_{};
  std::vector<TaskReport> Tasks_;
};

/// Answers a heartbeat. Times count from when the agent sent that heartbeat.
struct HeartbeatAck {
  NodeName Entry_;
  std::uint64_t Sequence_ = 0;
  /// 0 from an entry host that does not hold the cell.
  core::Term Term_ = 0;
  /// Zero grants no start.
  core::Duration StartPermit_{};
  core::Duration TaskLease_{};
  core::Offset ConfigOffset_ = 0;
};

/// Asks an agent to keep accelerators for its share of a gang.
struct Reserve {
  core::Term Term_ = 0;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  std::vector<std::uint64_t> TaskAccelerators_;
  std::string Command_;
  std::string Checkpoint_;
  core::Duration Lease_{};
};

struct ReserveAnswer {
  NodeName Node_;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  bool Accepted_ = false;
  std::string Code_;
};

/// Starts a reserved share after the commit was accepted.
struct Start {
  core::Term Term_ = 0;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
};

/// Checkpoints and stops a share, or drops its reservation. A repeat is safe.
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
  /// First offset that the sender has not applied.
  core::Offset NextOffset_ = 0;
  bool Leaving_ = false;
};

using Datagram = std::variant<Heartbeat, HeartbeatAck, Reserve, ReserveAnswer,
                              Start, Stop, EntryHeartbeat>;

/// Asks an upstream's agent to run one attempt.
struct RequestFrame {
  core::AttemptId Attempt_;
  AccountName Account_;
  ServiceName Service_;
  std::string Method_;
  /// Path without the query and without escapes.
  std::string Path_;
  std::string Query_;
  std::string ContentType_;
  std::string Body_;
  /// Empty for an idempotent request.
  std::string Key_;
  core::Duration Timeout_{};
  /// Run of the agent that is asked; another run refuses the attempt, since it
  /// has lost the keys that its predecessor refused.
  core::Incarnation AgentIncarnation_ = 0;
};

/// Says that the attempt is still running.
struct WorkingFrame {
  core::AttemptId Attempt_;
};

/// The whole answer of the upstream.
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

/// The attempt may have run; no answer is known.
struct OutcomeUnknownFrame {
  core::AttemptId Attempt_;
  std::string Code_;
};

/// Asks what became of the attempt of a key. An agent that has not seen the
/// attempt refuses it from then on and answers NotRunFrame.
struct KeyQueryFrame {
  core::AttemptId Attempt_;
  AccountName Account_;
  std::string Key_;
  core::Incarnation AgentIncarnation_ = 0;
};

/// Asks an entry host for its control state.
struct StateQueryFrame {
  core::Offset MinOffset_ = 0;
};

struct StateFrame {
  core::Offset NextOffset_ = 0;
  std::string State_;
};

using Frame = std::variant<RequestFrame, WorkingFrame, AnswerFrame, NotRunFrame,
                           OutcomeUnknownFrame, KeyQueryFrame, StateQueryFrame,
                           StateFrame>;

} // namespace nutmegwell::model
