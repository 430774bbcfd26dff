#pragma once

#include "nutmegwell/sched/plan.h"
#include <optional>

namespace nutmegwell::sched {

/// Bits of the accelerators in use, one word for each worker of the view.
using Occupancy = std::vector<std::uint64_t>;

/// Returns the accelerators that the running jobs of \p View hold.
Occupancy occupancyOf(const CellView &View);

/// Returns the first placement in worker order that satisfies the job's shape,
/// or nothing. Linear in workers for each topology level.
std::optional<model::Placement> placeFirstFit(const CellView &View,
                                              const Occupancy &Used,
                                              const model::JobSpec &Spec);

/// Adds the accelerators of \p Tasks to \p Used.
void occupy(const CellView &View, const model::Placement &Tasks,
            Occupancy &Used);

} // namespace nutmegwell::sched
