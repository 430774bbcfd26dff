#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>

namespace nutmegwell::cell {

/// Limits by which a failing worker is quarantined.
struct QuarantinePolicy {
  /// Consecutive failures that quarantine a worker. Two, because a single
  /// failure is more often the fault of the task.
  std::uint32_t ConsecutiveFailures_ = 2;
  /// Length of the first quarantine; doubles with each further failure.
  core::Duration InitialQuarantine_ = std::chrono::seconds(3);
  core::Duration MaxQuarantine_ = std::chrono::seconds(12);
  /// Time for which placement prefers other workers after a failure.
  core::Duration FailureMemory_ = std::chrono::seconds(10);
};

/// Failure history of one worker.
struct WorkerHealth {
  std::uint32_t ConsecutiveFailures_ = 0;
  core::TimePoint LastFailureAt_{};
  core::TimePoint QuarantinedUntil_{};
  /// Set from the start of a quarantine until a run succeeds.
  bool Probing_ = false;
};

/// Records a run that succeeded.
void recordSuccess(WorkerHealth &Worker);

/// Records a run that failed, did not start or made no progress. Returns true
/// when the worker is quarantined because of it.
bool recordFailure(WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   core::TimePoint Now);

/// Returns true when the worker may get new work; \p Running is the number of
/// its current runs. After a quarantine the worker gets one task at a time
/// until one succeeds.
bool isSchedulable(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   std::size_t Running, core::TimePoint Now);

/// Returns the number of consecutive failures, or 0 when the last one is not
/// recent.
unsigned failureScore(const WorkerHealth &Worker,
                      const QuarantinePolicy &Policy, core::TimePoint Now);

} // namespace nutmegwell::cell
