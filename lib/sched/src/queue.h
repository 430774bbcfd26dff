#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Returns the waiting jobs in the order in which they claim guarantees: first
/// those for which running jobs are already being stopped, so that a later
/// claim does not take what is freed for an earlier one.
std::vector<const WaitingJob *> claimOrder(const CellView &View,
                                           const Policy &Choices);

} // namespace nutmegwell::sched
