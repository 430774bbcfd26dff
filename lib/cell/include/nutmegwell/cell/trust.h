#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>

namespace nutmegwell::cell {

/// Bounds by which a worker loses and regains work.
struct TrustPolicy {
  /// Bad ends in a row, of different tasks, that take a worker out of use.
  /// Two: a single failed task is more often its own fault.
  std::uint32_t BadEndsInRow_ = 2;
  /// First time out of use; doubles with each further bad end.
  core::Duration FirstRest_ = std::chrono::seconds(3);
  core::Duration LongestRest_ = std::chrono::seconds(12);
  /// Time for which a bad end makes other workers preferred.
  core::Duration Memory_ = std::chrono::seconds(10);
};

/// Evidence about one worker.
struct Trust {
  std::uint32_t BadInRow_ = 0;
  core::TimePoint LastBad_{};
  core::TimePoint RestsUntil_{};
  /// One task is tried after a rest; no more until it ended.
  bool Probing_ = false;
};

/// Notes a run that ended well.
void noteGoodEnd(Trust &Worker);

/// Notes a run that failed, did not start or made no progress. Returns true
/// when the worker rests because of it.
bool noteBadEnd(Trust &Worker, const TrustPolicy &Policy, core::TimePoint Now);

/// Returns true when the worker may get new work; \p Running is how many runs
/// it has now.
bool mayGetWork(const Trust &Worker, const TrustPolicy &Policy,
                std::size_t Running, core::TimePoint Now);

/// Returns 0 for a worker without recent bad ends, more for each one.
unsigned doubtOf(const Trust &Worker, const TrustPolicy &Policy,
                 core::TimePoint Now);

} // namespace nutmegwell::cell
