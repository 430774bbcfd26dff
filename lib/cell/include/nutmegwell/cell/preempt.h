#pragma once

#include "nutmegwell/cell/placement.h"
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
