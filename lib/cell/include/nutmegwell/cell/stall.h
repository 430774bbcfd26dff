#pragma once

#include "nutmegwell/core/time.h"
#include <optional>

namespace nutmegwell::cell {

/// Limits by which a run without progress counts as stalled.
struct StallPolicy {
  /// Shortest time without progress that counts as a stall.
  core::Duration MinTimeout_ = std::chrono::milliseconds(3000);
  /// Percentages are whole numbers and can lag by one report, so that the time
  /// of this many percent without a change is not yet a stall.
  int StallPercent_ = 4;
  /// A run may take this many times as long as expected. Declared times are off
  /// by up to 0.9 in the site files, and work away from its data takes three
  /// times as long.
  int OverrunFactor_ = 3;
};

/// Progress of a run, or of a whole gang.
struct RunProgress {
  bool AllRunning_ = true;
  /// When any member last made progress.
  core::TimePoint ProgressedAt_{};
  /// Time from the order to the last progress of any member.
  core::Duration Worked_{0};
  /// Percentage gained in that time.
  double Gained_ = 0;
  /// Lowest percentage of the members.
  double Percent_ = 100;
  /// Longest time that a member takes for one percent, once it is known.
  std::optional<core::Duration> TimePerPercent_;
};

/// What is known about the tasks of a step.
struct StepEvidence {
  /// Declared time of a task; zero when there is none.
  core::Duration Declared_{0};
  /// Longest time that a run of the step takes for one percent, once it is
  /// known of any.
  std::optional<core::Duration> TimePerPercent_;
  /// Runs of the task that were stopped as stalled before.
  unsigned EarlierStalls_ = 0;
};

/// Returns how long a run may show no progress before it counts as stalled. Its
/// own pace goes before that of other runs, and that before the declared time.
/// The time doubles with each earlier stall, so that a task ends at last for
/// which all of these mislead.
core::Duration stallTimeout(const StallPolicy &Policy,
                            const RunProgress &Progress,
                            const StepEvidence &Evidence);

} // namespace nutmegwell::cell
