#pragma once

#include "nutmegwell/cell/preempt.h"

namespace nutmegwell::replay {

/// The choice of victims before the one by cost: runs of the lowest priority
/// and the least loss on any worker, until the request fits.
std::vector<std::size_t>
chooseVictimsInOrder(const cell::PlacementRequest &Request,
                     const std::vector<cell::PlacementTarget> &Rooms,
                     const std::vector<cell::Victim> &Candidates);

/// Stops nothing, so that urgent work waits for room.
std::vector<std::size_t>
chooseNoVictims(const cell::PlacementRequest &Request,
                const std::vector<cell::PlacementTarget> &Rooms,
                const std::vector<cell::Victim> &Candidates);

} // namespace nutmegwell::replay
