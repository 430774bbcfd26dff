#pragma once

#include "nutmegwell/cell/placement.h"
#include <set>
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// Limits on the room that less urgent work leaves to urgent work.
struct HeadroomPolicy {
  /// Share of the racks that is kept, rounded up to whole racks: gangs need
  /// workers of one rack.
  double RackShare_ = 0.05;
  /// Fewest racks of a service of which one is kept.
  std::size_t MinRacks_ = 6;
  /// Share of the accelerators from whose use on room is kept. The user
  /// documentation counts work as lost that waits while less than half of a
  /// service is in use.
  double MinUsedShare_ = 0.6;
};

/// Returns whether so much of \p Targets is in use that headroom is kept.
bool needsHeadroom(const HeadroomPolicy &Policy,
                   const std::vector<PlacementTarget> &Targets);

/// Returns the racks on which less urgent work leaves headroom: the last ones
/// by name, so that they stay the same, or none on a small service.
///
/// Load pattern: urgent gangs that keep arriving on a full cell. Every gang
/// stops less urgent runs, whose repeats take the next room that becomes free
/// and are stopped again.
std::set<std::string>
headroomRacks(const HeadroomPolicy &Policy,
              const std::vector<PlacementTarget> &Targets);

} // namespace nutmegwell::cell
