#pragma once

#include "holdersteps.h"
#include "nutmegwell/cell/reservation.h"
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegwell::cell {

/// Returns the time that a run takes for one percent. It is measured between
/// two changes of the percentage, because a run may begin within a percent.
std::optional<core::Duration> timePerPercent(const TaskRun &Run);

/// Expected remaining time of a run.
struct ExpectedRest {
  core::Duration Rest_{0};
  /// The time follows from progress, not from the declared time.
  bool Measured_ = false;
};

/// Returns the expected rest of a run whose task is declared to take
/// \p Declared, from its own time per percent, else from the declared time.
/// Returns nothing when neither is known, and for a run without recent
/// progress, whose end cannot be told from its earlier pace.
std::optional<ExpectedRest>
expectedRest(const TaskRun &Run, core::Duration Declared, core::TimePoint Now);

/// Expected rests by run; runs with an unknown end are missing.
using ExpectedRests = std::unordered_map<const TaskRun *, ExpectedRest>;

/// Returns the expected rests of all runs. Those of a gang end together, with
/// the last one; runs that are being stopped end within the stop time.
ExpectedRests expectedRests(const Holder &State, const HolderContext &Context);

/// Returns what the runs on \p Targets are expected to free.
std::vector<ExpectedRelease>
expectedReleases(const TaskRunMap &Runs, const ExpectedRests &Rests,
                 const std::vector<PlacementTarget> &Targets,
                 core::TimePoint Now);

} // namespace nutmegwell::cell
