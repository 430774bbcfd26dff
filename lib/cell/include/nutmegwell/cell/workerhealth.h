#pragma once

#include "nutmegwell/cell/stepoutcomes.h"
#include <map>

namespace nutmegwell::cell {

/// Limits by which a failing worker is quarantined.
struct QuarantinePolicy {
  /// Consecutive failures that quarantine a worker. Two, because a single
  /// failure is more often the fault of the task.
  std::uint32_t ConsecutiveFailures_ = 2;
  /// Length of the first quarantine; doubles with each further failure.
  core::Duration InitialQuarantine_ = std::chrono::seconds(3);
  core::Duration MaxQuarantine_ = std::chrono::seconds(12);
  /// Time after which a probe that is still running no longer delays the next
  /// one. As long as a run without progress is tolerated.
  core::Duration ProbeTime_ = std::chrono::seconds(3);
  /// Time for which placement prefers other workers after a failure.
  core::Duration FailureMemory_ = std::chrono::seconds(10);
};

/// Failures of the runs of one step on one worker.
struct StepFailures {
  std::uint32_t Count_ = 0;
  core::TimePoint LastAt_{};
};

/// Failure history of one worker.
struct WorkerHealth {
  /// Failures since the last success, by step. Those of no step in particular
  /// are under an empty job: refused starts, and failures for jobs that have
  /// ended.
  std::map<JobStep, StepFailures> Failures_;
  /// When any run last failed.
  core::TimePoint LastFailureAt_{};
  /// Number of Failures_ that are not attributed to their jobs.
  std::uint32_t ConsecutiveFailures_ = 0;
  core::TimePoint QuarantinedUntil_{};
};

/// Records a run that succeeded, or that showed otherwise that the worker is
/// sound.
void recordSuccess(WorkerHealth &Worker);

/// Records a run of \p Step that failed, did not start or made no progress. It
/// has no effect on the quarantine before updateQuarantine.
void recordFailure(WorkerHealth &Worker, const JobStep &Step,
                   core::TimePoint Now);

/// Counts the failures that speak against the worker and quarantines it when
/// there are enough; those of \p JobsAtFault do not count.
void updateQuarantine(WorkerHealth &Worker, const QuarantinePolicy &Policy,
                      const std::set<JobStep> &JobsAtFault);

/// Closes the account of a step whose job has ended: its failures are forgotten
/// when they are attributed to the job, and remain the worker's otherwise.
void settleFailures(WorkerHealth &Worker, const JobStep &Step, bool JobAtFault);

/// Returns true while the worker gets no new work because it has failed.
bool isQuarantined(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   core::TimePoint Now);

/// Returns true from the start of a quarantine until a run succeeds. After the
/// quarantine such a worker gets one probe at a time: a task, or a whole gang.
bool isOnProbation(const WorkerHealth &Worker, const QuarantinePolicy &Policy);

/// Returns true while a run that the worker got at \p OrderedAt is a probe
/// whose result is open. A run from before the quarantine is no probe, since it
/// may last for hours. So may a probe, which is why its result counts as open
/// for a limited time. \p Listed tells whether the worker runs it already.
bool isOpenProbe(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                 core::TimePoint OrderedAt, bool Listed, core::TimePoint Now);

/// Returns true when a run that the worker got at \p OrderedAt and still has
/// shows that the worker no longer fails what it gets.
bool isProofOfHealth(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                     core::TimePoint OrderedAt, core::TimePoint Now);

/// Returns the number of failures since the last success, whatever they are
/// attributed to, or 0 when the last one is not recent.
unsigned failureScore(const WorkerHealth &Worker,
                      const QuarantinePolicy &Policy, core::TimePoint Now);

} // namespace nutmegwell::cell
