#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::history {

/// A caller sends a request. Call_ is unique; Work_ is what the request asks
/// for, and repeats of one non-idempotent request share it. An empty Work_
/// stands for the call itself.
struct CallInvoked {
  std::string Call_;
  std::string Work_;
  /// Entry host that carries the call.
  std::string Entry_;
  bool Idempotent_ = true;
};

/// The caller has the whole answer, of which Digest_ is a digest.
struct CallAnswered {
  std::string Call_;
  std::string Digest_;
};

/// The caller was told that the request did not run.
struct CallRefused {
  std::string Call_;
  std::string Code_;
};

/// The caller knows no outcome.
struct CallUnknown {
  std::string Call_;
  std::string Code_;
  /// True when the entry host closed the connection without an answer.
  bool ConnectionLost_ = false;
};

/// An upstream begins to run a request; Digest_ is that of its whole answer.
struct ExecutionBegun {
  std::string Call_;
  std::string Work_;
  std::string Upstream_;
  std::string Digest_;
};

struct ExecutionEnded {
  std::string Call_;
  std::string Upstream_;
};

/// An upstream says that it is leaving, or announces itself again.
struct UpstreamLeaving {
  std::string Upstream_;
};
struct UpstreamReturned {
  std::string Upstream_;
};

/// A planned stop of the event's process.
struct StopBegun {};
struct StopEnded {
  /// Requests that the process says it cut.
  std::uint32_t Cut_ = 0;
};

/// A gang start or its end, as the control log has it.
struct AttemptCommitted {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Tasks_ = 0;
};
struct AttemptEnded {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
};

/// A task of a gang runs on a worker, or ends for any reason, such as the
/// loss of the worker.
struct TaskStarted {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Task_ = 0;
  std::string Worker_;
  std::string Domain_;
};
struct TaskStopped {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Task_ = 0;
  /// True when the task ended by itself with success, so that the other tasks
  /// of its gang may continue.
  bool Done_ = false;
};

/// The worker's start permit begins or ends.
struct PermitGranted {
  std::string Worker_;
};
struct PermitRevoked {
  std::string Worker_;
};

/// The operators' command to take a domain out of service was acknowledged.
struct DomainOut {
  std::string Domain_;
};
/// The operators' command to bring a domain back was sent, which is the
/// earliest moment at which it can take effect.
struct DomainIn {
  std::string Domain_;
};

/// A version of an item was accepted. An item is a table or a domain's service
/// state. Recorded once: when its publisher learned of it, or from the log when
/// the publisher's answer was lost.
struct ConfigAccepted {
  std::string Item_;
  std::uint64_t Version_ = 0;
  /// Digest of the content; empty when it was not recorded.
  std::string Digest_;
};
/// The event's process uses this version.
struct ConfigObserved {
  std::string Item_;
  std::uint64_t Version_ = 0;
  std::string Digest_;
};

/// What an account asks for out of its guarantee, or got.
struct GuaranteeShape {
  std::uint32_t Accelerators_ = 0;
  /// Accelerators that are adjacent.
  std::uint32_t Block_ = 1;
  /// Level at which they are adjacent: 0 worker, 1 rack, 2 failure domain.
  std::uint32_t Level_ = 0;
};

/// Work within an account's guarantee waits in a domain.
struct GuaranteeRequested {
  std::string Claim_;
  std::string Domain_;
  GuaranteeShape Shape_;
};
struct GuaranteeObtained {
  std::string Claim_;
  GuaranteeShape Shape_;
};
struct GuaranteeWithdrawn {
  std::string Claim_;
};

/// A running attempt stands in the place of a claim, whose name is the id of
/// the job that waits. It must have stopped whole before that job starts.
struct GuaranteeBlocked {
  std::string Claim_;
  std::string Job_;
  std::uint32_t Attempt_ = 0;
};

/// A caller hands in a job, or hands it in again.
struct JobSubmitted {
  std::string Job_;
  std::string Entry_;
};
/// A caller asks for the cancellation of a job.
struct JobCancelSent {
  std::string Job_;
};
/// The caller was told that the job is accepted, that this attempt was
/// certainly not taken, or that the job is cancelled.
struct JobAccepted {
  std::string Job_;
};
struct JobRefused {
  std::string Job_;
};
struct JobCancelled {
  std::string Job_;
};
/// The event's process gave the job's state to a caller; an empty state stands
/// for a job that it does not know.
struct JobShown {
  std::string Job_;
  std::string State_;
};

/// What a submitted job consists of.
struct StepDeclared {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Tasks_ = 1;
  /// Most runs of a task that may fail.
  std::uint32_t Attempts_ = 1;
  /// Several runs of a task may exist at the same time.
  bool Speculative_ = false;
};
/// Step_ begins when every task of Needed_ is done.
struct StepNeeds {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Needed_ = 0;
};

/// A worker is there, without any run. A repeat stands for a new incarnation:
/// nothing of before runs, and its ends are not listed any more.
struct WorkerBorn {
  std::string Worker_;
  std::uint32_t Accelerators_ = 0;
};
/// The worker's leases have ended unrenewed, so that its runs end. An end of
/// before that was not noted counts as if it had not been.
struct WorkerLapsed {
  std::string Worker_;
};
/// The worker was told that no start will reach it any more.
struct WorkerDrainNoted {
  std::string Worker_;
};

/// A run of a task on a worker.
struct SiteRun {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Task_ = 0;
  std::uint64_t Run_ = 0;
};
struct RunStarted {
  SiteRun Id_;
  std::string Worker_;
  std::string Domain_;
  std::uint32_t Accelerators_ = 0;
  /// Term of the holder that ordered it.
  std::uint64_t Term_ = 0;
  /// The worker carried the order out long after it came, so that bounds of
  /// time do not apply.
  bool Late_ = false;
};
struct RunEnded {
  SiteRun Id_;
  std::string Worker_;
  /// "done" and "failed" are ends of the task's own.
  std::string How_;
};
/// The worker was told that this end is durable.
struct RunEndNoted {
  SiteRun Id_;
  std::string Worker_;
};
/// The event's process began to hold the cell.
struct TenureBegun {
  std::uint64_t Term_ = 0;
};

using EventBody = std::variant<
    CallInvoked, CallAnswered, CallRefused, CallUnknown, ExecutionBegun,
    ExecutionEnded, UpstreamLeaving, UpstreamReturned, StopBegun, StopEnded,
    AttemptCommitted, AttemptEnded, TaskStarted, TaskStopped, PermitGranted,
    PermitRevoked, DomainOut, DomainIn, ConfigAccepted, ConfigObserved,
    GuaranteeRequested, GuaranteeObtained, GuaranteeWithdrawn, GuaranteeBlocked,
    JobSubmitted, JobAccepted, JobRefused, JobCancelSent, JobCancelled,
    JobShown, StepDeclared, StepNeeds, WorkerBorn, WorkerLapsed,
    WorkerDrainNoted, RunStarted, RunEnded, RunEndNoted, TenureBegun>;

/// One event of a run. All times of a run are of one machine's clock.
struct Event {
  core::TimePoint At_;
  /// Process that recorded the event; the same name after a restart.
  std::string Process_;
  EventBody Body_;
};

/// Events of a run, in order of time.
struct History {
  std::vector<Event> Events_;
  /// True when the run ended by itself, so that every call has its end.
  bool Complete_ = false;
};

/// Returns a history of \p Events, sorted by time; events of the same time
/// keep their order.
History makeHistory(std::vector<Event> Events, bool Complete);

} // namespace nutmegwell::history
