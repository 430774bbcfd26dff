#pragma once

#include "nutmegwell/core/time.h"

namespace nutmegwell::cell {

/// Limits by which best-effort runs yield to the serving runs on the same
/// worker.
struct PacePolicy {
  /// Minimum time between two changes of the pace on a worker: an order takes
  /// 0.1 s to take effect, and reported latencies cover the last 0.5 s.
  core::Duration Interval_ = std::chrono::milliseconds(700);
  /// Best-effort runs are paused when a serving run has exceeded its target for
  /// this long. Less than half of the 4 s that the user documentation allows,
  /// so that the order, a repeat of it and the next latency report fit.
  core::Duration FullStopAfter_ = std::chrono::milliseconds(1500);
  /// Fractions of a serving run's target above which best-effort runs slow
  /// down, and below which they speed up again.
  double SlowAbove_ = 0.9;
  double SpeedUpBelow_ = 0.7;
  /// Increase of the pace in percentage points. The pace is halved when it
  /// falls and rises in equal steps, so that latencies stay low after a
  /// disturbance.
  unsigned StepUp_ = 10;
  /// A lower pace is replaced by a pause, because the run would hardly
  /// progress.
  unsigned MinPace_ = 10;
  /// Interval at which an order is repeated while the pace is below 100, in
  /// case the worker did not receive it.
  core::Duration ResendInterval_ = std::chrono::seconds(2);
};

/// Pace of the best-effort runs on one worker.
struct WorkerPace {
  unsigned Percent_ = 100;
  core::TimePoint ChangedAt_{};
  /// Time since which a serving run has exceeded its target; max() while none
  /// does.
  core::TimePoint OverSince_ = core::TimePoint::max();
};

/// Adjusts the pace of best-effort runs and returns true when it has changed.
/// \p Load is the highest ratio of latency to target among the worker's serving
/// runs; 0 without serving runs.
bool adjustPace(WorkerPace &Pace, const PacePolicy &Policy, double Load,
                core::TimePoint Now);

} // namespace nutmegwell::cell
