#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Each function returns one sentence that says why a job waits and what would
/// let it start.
std::string notStartingReason(const CellView &View);
std::string migratedReason(const CellView &View);
std::string noPoolReason(const CellView &View, const model::JobSpec &Spec);
std::string limitReason(const CellView &View, const model::JobSpec &Spec,
                        std::uint32_t Held, std::uint32_t Limit);
std::string noPlaceReason(const CellView &View, const model::JobSpec &Spec,
                          std::uint32_t Free);
std::string reclaimReason(const CellView &View, const model::JobSpec &Spec,
                          std::size_t Victims);

std::string agingReason(const CellView &View, const model::JobSpec &Spec,
                        std::size_t Victims);

} // namespace nutmegwell::sched
