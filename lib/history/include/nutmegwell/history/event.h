#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::history {

/// A caller sends a request. Call_ is a unique id. Work_ identifies the
/// requested work; retries of a non-idempotent request have the same value. An
/// empty Work_ stands for the id of the call.
struct CallInvoked {
  std::string Call_;
  std::string Work_;
  /// Entry host that receives the call.
  std::string Entry_;
  bool Idempotent_ = true;
};

/// The caller received the complete response; Digest_ is a digest of it.
struct CallAnswered {
  std::string Call_;
  std::string Digest_;
};

/// The caller received the response that the request did not run.
struct CallRefused {
  std::string Call_;
  std::string Code_;
};

/// The caller does not know whether the request ran.
struct CallUnknown {
  std::string Call_;
  std::string Code_;
  /// True when the entry host closed the connection without a response.
  bool ConnectionLost_ = false;
};

/// An upstream begins to execute a request. Digest_ is a digest of the complete
/// response that it will send.
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

/// An upstream announces that it is leaving, or that it is available again.
struct UpstreamLeaving {
  std::string Upstream_;
};
struct UpstreamReturned {
  std::string Upstream_;
};

/// A planned stop of the process that recorded the event begins or ends.
struct StopBegun {};
struct StopEnded {
  /// Number of requests that the process reports as aborted.
  std::uint32_t Cut_ = 0;
};

/// The control log records that an attempt to run a gang was committed, or that
/// it ended.
struct AttemptCommitted {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Tasks_ = 0;
};
struct AttemptEnded {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
};

/// A task of a gang starts on a worker, or stops for any reason, such as the
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
  /// True when the task completed successfully, so that the other tasks of its
  /// gang may continue.
  bool Done_ = false;
};

/// The worker's permit to start tasks is granted or revoked.
struct PermitGranted {
  std::string Worker_;
};
struct PermitRevoked {
  std::string Worker_;
};

/// An operator's command to take a domain out of service was acknowledged.
struct DomainOut {
  std::string Domain_;
};
/// An operator's command to bring a domain back into service was sent, which is
/// the earliest time at which it can take effect.
struct DomainIn {
  std::string Domain_;
};

/// A version of an item was accepted. An item is a table or a domain's service
/// state. Recorded once for each version: when the publisher received the
/// response, or from the control log when that response was lost.
struct ConfigAccepted {
  std::string Item_;
  std::uint64_t Version_ = 0;
  /// Digest of the content; empty when it was not recorded.
  std::string Digest_;
};
/// The process that recorded the event uses this version.
struct ConfigObserved {
  std::string Item_;
  std::uint64_t Version_ = 0;
  std::string Digest_;
};

/// Shape of the capacity that an account requests from its guarantee, or that
/// it obtained.
struct GuaranteeShape {
  std::uint32_t Accelerators_ = 0;
  /// Number of accelerators that are adjacent.
  std::uint32_t Block_ = 1;
  /// Level at which they are adjacent: 0 worker, 1 rack, 2 failure domain.
  std::uint32_t Level_ = 0;
};

/// A job within an account's guarantee waits for capacity in a domain, obtained
/// it, or does not need it any more.
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

/// A running attempt occupies the accelerators that a claim is to obtain.
/// Claim_ is the id of the waiting job. All tasks of the attempt must have
/// stopped before that job starts.
struct GuaranteeBlocked {
  std::string Claim_;
  std::string Job_;
  std::uint32_t Attempt_ = 0;
};

/// A caller submits a job, or retries the submission.
struct JobSubmitted {
  std::string Job_;
  std::string Entry_;
};
/// A caller requests the cancellation of a job.
struct JobCancelSent {
  std::string Job_;
};
/// The caller received the response that the job was accepted, that this
/// submission was definitely not accepted, or that the job was cancelled.
struct JobAccepted {
  std::string Job_;
};
struct JobRefused {
  std::string Job_;
};
struct JobCancelled {
  std::string Job_;
};
/// The process that recorded the event reported the state of a job to a caller.
/// An empty state stands for a job that the process does not know.
struct JobShown {
  std::string Job_;
  std::string State_;
};

/// A step of a submitted job.
struct StepDeclared {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Tasks_ = 1;
  /// Number of failed runs of a task after which the task is not started again.
  std::uint32_t Attempts_ = 1;
  /// True when several runs of a task may be active at the same time.
  bool Speculative_ = false;
};
/// Step_ depends on the step Needed_: it may start once every task of Needed_
/// is done.
struct StepNeeds {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Needed_ = 0;
};

/// A worker incarnation started, without any run. A further event of the same
/// worker stands for a restart: the runs of the earlier incarnation have ended,
/// and the worker does not report their ends any more.
struct WorkerBorn {
  std::string Worker_;
  std::uint32_t Accelerators_ = 0;
};
/// The worker's leases expired, so that its runs end. The rules ignore an
/// earlier end of a run on this worker that was not acknowledged by then.
struct WorkerLapsed {
  std::string Worker_;
};
/// The worker received the acknowledgement of its drain: no further start will
/// be sent to it.
struct WorkerDrainNoted {
  std::string Worker_;
};

/// Identifies a run of a task.
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
  /// Term of the cell holder that ordered the start.
  std::uint64_t Term_ = 0;
  /// True when the worker executed the order long after it received it, so that
  /// the rules with time bounds do not apply.
  bool Late_ = false;
};
struct RunEnded {
  SiteRun Id_;
  std::string Worker_;
  /// Reason of the end. With "done" and "failed" the task ended by itself.
  std::string How_;
};
/// The worker received the acknowledgement that the end of the run is durable.
struct RunEndNoted {
  SiteRun Id_;
  std::string Worker_;
};
/// The process that recorded the event became the holder of the cell.
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

/// One event of a test run. All times of a run come from the clock of one
/// machine.
struct Event {
  core::TimePoint At_;
  /// Name of the process that recorded the event; a restart keeps the name.
  std::string Process_;
  EventBody Body_;
};

/// Events of a test run, in order of time.
struct History {
  std::vector<Event> Events_;
  /// True when the test run was not interrupted, so that every call must have
  /// an outcome.
  bool Complete_ = false;
};

/// Returns a history of \p Events, sorted by time; events of the same time
/// keep their order.
History makeHistory(std::vector<Event> Events, bool Complete);

} // namespace nutmegwell::history
