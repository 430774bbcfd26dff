#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Returns the waiting jobs in the order in which they claim guarantees: first
/// those for which running jobs are already being stopped and those that were
/// moved, so that a later claim does not take what is kept for them.
std::vector<const WaitingJob *> claimOrder(const CellView &View,
                                           const Policy &Choices);

/// Puts the jobs in the order in which they borrow. Declared run times are far
/// off, so that attained service stands in for what is left, and aging bounds
/// the wait (Tiresias, Gu et al., NSDI 2019).
void sortBorrowers(std::vector<const WaitingJob *> &Jobs,
                   const Policy &Choices);

} // namespace nutmegwell::sched
