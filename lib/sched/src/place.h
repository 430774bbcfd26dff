#pragma once

#include "freeindex.h"
#include "nutmegwell/sched/policy.h"
#include <optional>

namespace nutmegwell::sched {

/// Returns a place for all tasks of the gang on free accelerators, or
/// std::nullopt. Checks the counts of every rack, but looks only at the workers
/// of racks where the gang fits.
std::optional<Slices> findPlace(const FreeIndex &Free,
                                const model::JobSpec &Spec,
                                PlacementFit Strategy);

/// Returns \p Count bits of \p Free, which has at least as many. Best fit takes
/// them from the smallest aligned run that has enough, so that larger aligned
/// runs stay whole, as in buddy memory allocation.
std::uint64_t pickBits(std::uint64_t Free, std::uint32_t Count,
                       PlacementFit Strategy);

} // namespace nutmegwell::sched
