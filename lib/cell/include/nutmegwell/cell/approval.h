#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/jobs/spec.h"
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace nutmegwell::cell {

/// One step of one occurrence of a job.
struct StepId {
  std::string Job_;
  jobs::OccurrenceNumber Occurrence_ = 0;
  std::uint32_t Step_ = 0;

  friend bool operator<(const StepId &A, const StepId &B) {
    return std::tie(A.Job_, A.Occurrence_, A.Step_) <
           std::tie(B.Job_, B.Occurrence_, B.Step_);
  }
};

/// Returns "JOB.OCCURRENCE.STEP".
std::string toString(const StepId &Id);

/// Limits of the requests to the approval service.
struct ApprovalLimits {
  /// Maximum number of workers in one request. The user documentation counts
  /// the time of one request for 30 workers into a job's objective.
  std::size_t WorkersPerRequest_ = 30;
  /// Added to the time that the service states for its answer: covers a round
  /// trip and requests of other hosts in the service's queue.
  core::Duration Margin_ = std::chrono::seconds(2);
  /// Backoff after a request that got no answer.
  core::Duration RetryBackoff_ = std::chrono::milliseconds(500);
};

/// A worker whose approval is requested.
struct ApprovalCandidate {
  std::string Id_;
  /// Incarnation of the worker to which the approval applies.
  std::int64_t WorkerIncarnation_ = 0;
};

/// Asks which workers may run a step.
struct ApprovalRequest {
  StepId Step_;
  /// Candidate workers, by host.
  std::map<std::string, ApprovalCandidate> Workers_;
  /// How long an approval is valid.
  core::Duration Validity_{0};
  core::Duration Timeout_{0};
};

/// Tickets of the approved workers, by worker id.
using ApprovalResponse = std::map<std::string, std::string>;

/// The approval service's answer about one worker for one step.
struct Approval {
  /// Empty for a worker that may not run the step.
  std::string Ticket_;
  std::int64_t WorkerIncarnation_ = 0;
  core::TimePoint ValidUntil_{};
};

/// Answers for one step, by host.
using StepApprovals = std::map<std::string, Approval>;

} // namespace nutmegwell::cell
