#pragma once

#include "nutmegwell/core/time.h"

namespace nutmegwell::cell {

/// Bounds by which filling runs give way to the serving runs beside them.
struct PacePolicy {
  /// Time between two changes of pace on a worker: an order takes 0.1 s to have
  /// effect and the latencies are those of the last 0.5 s.
  core::Duration Interval_ = std::chrono::milliseconds(700);
  /// Filling runs stop working when a serving run has been over its target for
  /// this long. Under half of the 4 s that the users' pages allow, so that the
  /// order, a repeat of it and the next figure fit.
  core::Duration FullStopAfter_ = std::chrono::milliseconds(1500);
  /// Part of its target that a serving run may use before filling runs slow
  /// down, and below which they speed up again.
  double SlowAbove_ = 0.9;
  double SpeedUpBelow_ = 0.7;
  /// Steps of the pace in percent: down in halves, up in equal steps, so that
  /// latencies stay low after a disturbance.
  unsigned StepUp_ = 10;
  /// A pace below this is as good as none.
  unsigned MinPace_ = 10;
  /// An order is repeated after this while the pace is below 100, in case the
  /// worker has not got it.
  core::Duration ResendInterval_ = std::chrono::seconds(2);
};

/// Pace of the filling runs on one worker.
struct WorkerPace {
  unsigned Percent_ = 100;
  core::TimePoint ChangedAt_{};
  /// Since when a serving run has been over its target.
  core::TimePoint OverSince_ = core::TimePoint::max();
};

/// Chooses the pace of filling runs. \p Load is the largest part of its target
/// that a serving run on the worker uses; 0 without serving runs. Returns true
/// when the pace has changed.
bool adjustPace(WorkerPace &Pace, const PacePolicy &Policy, double Load,
                core::TimePoint Now);

} // namespace nutmegwell::cell
