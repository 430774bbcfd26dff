#pragma once

#include "nutmegwell/cell/placement.h"
#include "nutmegwell/core/time.h"
#include <vector>

namespace nutmegwell::cell {

/// Work that is stopped as a unit: a gang, or one run.
struct Victim {
  /// Work with a larger number is preempted first.
  int Priority_ = 0;
  /// Core-seconds of work that a stop discards.
  double LostWork_ = 0;
  /// Resources that a stop frees, with the index of their worker.
  std::vector<std::pair<std::size_t, jobs::Resources>> FreedResources_;
};

/// Limits on the work that a preemption may discard.
struct PreemptionLimits {
  /// Core-seconds that may be discarded for each core-second of urgent work
  /// whose caller still gets the result on time, and for each of late work.
  double OnTimeFactor_ = 4;
  double LateFactor_ = 1;
  /// Share of a job's worth that does not depend on its size. The user
  /// documentation values a job at 0.3 and 0.7 times its work against the mean
  /// of its kind.
  double FixedWorthShare_ = 0.3;
};

/// Returns the core-seconds of other work that may be discarded so that urgent
/// work of \p OwnWork core-seconds starts now. \p MeanWork is the mean work of
/// the jobs of its queue.
///
/// Load pattern: bursts of urgent gangs on a full cell. Each gang can be placed
/// by stopping wide jobs that have run for seconds, whose repeats then take the
/// room of the next gang.
double discardableWork(const PreemptionLimits &Limits, double OwnWork,
                       double MeanWork, bool OnTime);

/// Returns whether a run that has run for \p Ran and is expected to take
/// \p Rest more is too close to its end to be stopped: it ends before the stop,
/// which takes \p StopTime, or within the last fifth of its run time.
///
/// Load pattern: urgent gangs that keep arriving on a full cell. Among the runs
/// that they stop, some would have ended before the gang could start.
bool isNearlyDone(core::Duration Rest, core::Duration Ran,
                  core::Duration StopTime);

/// Returns the indices of victims whose stop lets \p Request be placed with
/// little lost work, or an empty list when no set of victims does. \p Targets
/// holds the resources that are free or being freed.
std::vector<std::size_t>
chooseVictims(const PlacementRequest &Request,
              const std::vector<PlacementTarget> &Targets,
              const std::vector<Victim> &Candidates);

/// Signature of a function that chooses victims.
using VictimChoice = std::vector<std::size_t> (*)(
    const PlacementRequest &, const std::vector<PlacementTarget> &,
    const std::vector<Victim> &);

} // namespace nutmegwell::cell
