#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>

namespace nutmegwell::cell {

/// Bounds by which a worker loses and regains work.
struct QuarantinePolicy {
  /// Bad ends in a row, of different tasks, that take a worker out of use.
  /// Two: a single failed task is more often its own fault.
  std::uint32_t ConsecutiveFailures_ = 2;
  /// First time out of use; doubles with each further bad end.
  core::Duration InitialQuarantine_ = std::chrono::seconds(3);
  core::Duration MaxQuarantine_ = std::chrono::seconds(12);
  /// Time for which a bad end makes other workers preferred.
  core::Duration FailureMemory_ = std::chrono::seconds(10);
};

/// Evidence about one worker.
struct WorkerHealth {
  std::uint32_t ConsecutiveFailures_ = 0;
  core::TimePoint LastFailureAt_{};
  core::TimePoint QuarantinedUntil_{};
  /// One task is tried after a rest; no more until it ended.
  bool Probing_ = false;
};

/// Notes a run that ended well.
void recordSuccess(WorkerHealth &Worker);

/// Notes a run that failed, did not start or made no progress. Returns true
/// when the worker rests because of it.
bool recordFailure(WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   core::TimePoint Now);

/// Returns true when the worker may get new work; \p Running is how many runs
/// it has now.
bool isSchedulable(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   std::size_t Running, core::TimePoint Now);

/// Returns 0 for a worker without recent bad ends, more for each one.
unsigned failureScore(const WorkerHealth &Worker,
                      const QuarantinePolicy &Policy, core::TimePoint Now);

} // namespace nutmegwell::cell
