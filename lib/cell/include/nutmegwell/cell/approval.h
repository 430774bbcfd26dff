#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace nutmegwell::cell {

/// One step of one occurrence of a job.
struct StepId {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;

  friend bool operator<(const StepId &A, const StepId &B) {
    return std::tie(A.Job_, A.Occurrence_, A.Step_) <
           std::tie(B.Job_, B.Occurrence_, B.Step_);
  }
};

/// Returns "JOB.OCCURRENCE.STEP".
std::string toString(const StepId &Id);

/// Bounds for questions to the approval service.
struct ApprovalLimits {
  /// Workers that one question names. The users' pages count a call for 30
  /// workers as part of a job's objective.
  std::size_t WorkersPerRequest_ = 30;
  /// Added to the time that the service says it takes: a round trip and the
  /// questions of other hosts in its queue.
  core::Duration Margin_ = std::chrono::seconds(2);
  /// Pause after a question without an answer.
  core::Duration RetryBackoff_ = std::chrono::milliseconds(500);
};

/// A worker that a question names.
struct ApprovalCandidate {
  std::string Id_;
  /// Life of the worker for which the answer holds.
  std::int64_t WorkerIncarnation_ = 0;
};

/// Asks which workers may run a step.
struct ApprovalRequest {
  StepId Step_;
  /// By host.
  std::map<std::string, ApprovalCandidate> Workers_;
  /// How long an approval is valid.
  core::Duration Validity_{0};
  core::Duration Timeout_{0};
};

/// Tickets by id of the approved workers.
using ApprovalResponse = std::map<std::string, std::string>;

/// What is known about one worker for one step.
struct Approval {
  /// Empty for a worker that may not run the step.
  std::string Ticket_;
  std::int64_t WorkerIncarnation_ = 0;
  core::TimePoint ValidUntil_{};
};

/// Answers for one step by host.
using StepApprovals = std::map<std::string, Approval>;

} // namespace nutmegwell::cell
