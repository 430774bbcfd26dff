#pragma once

#include "nutmegwell/cell/placement.h"
#include <vector>

namespace nutmegwell::cell {

/// Work that stops together: a gang, or one run.
struct Victim {
  /// Larger numbers give way first.
  int Priority_ = 0;
  /// Core-seconds of work that a stop throws away.
  double LostWork_ = 0;
  /// Room that a stop frees, by index of the worker.
  std::vector<std::pair<std::size_t, jobs::Resources>> FreedResources_;
};

/// Returns the indices of the victims whose stop lets \p Request be placed,
/// with little loss, or an empty list when no set of them does. \p Rooms is the
/// room that is free or is being freed.
std::vector<std::size_t>
chooseVictims(const PlacementRequest &Request,
              const std::vector<PlacementTarget> &Rooms,
              const std::vector<Victim> &Candidates);

/// Form of a choice of victims.
using VictimChoice = std::vector<std::size_t> (*)(
    const PlacementRequest &, const std::vector<PlacementTarget> &,
    const std::vector<Victim> &);

} // namespace nutmegwell::cell
