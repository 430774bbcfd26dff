#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Returns the waiting jobs in the order in which they claim guarantees. Jobs
/// for which others are being stopped and jobs that were migrated come first,
/// so that no other claim takes the accelerators meant for them.
std::vector<const WaitingJob *> claimOrder(const CellView &View,
                                           const Policy &Options);

/// Sorts the jobs into the order in which they borrow. Declared run times are
/// far off, so attained service replaces the remaining time, and aging bounds
/// the wait (Tiresias, Gu et al., NSDI 2019).
void sortBorrowers(std::vector<const WaitingJob *> &Jobs,
                   const Policy &Options);

} // namespace nutmegwell::sched
