#pragma once

#include "nutmegwell/sched/plan.h"
#include <rapidcheck.h>

namespace nutmegwell::sched::tests {

/// Generates a random cell of up to 12 workers, some unusable, with three
/// accounts.
CellView randomCell();
/// Generates a random job of one of the cell's accounts.
model::JobSpec randomSpec();
/// Applies a plan: starts the jobs that it starts, and marks preempted jobs as
/// stopping.
void applyPlan(CellView &View, const Plan &Plan);
/// Returns the accelerators that running jobs of the account hold.
std::uint32_t heldBy(const CellView &View, const model::AccountName &Account);
/// Returns the rule that the running jobs of the cell break, or an empty
/// string.
std::string findViolation(const CellView &View);

} // namespace nutmegwell::sched::tests
