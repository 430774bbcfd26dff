#pragma once

#include "nutmegwell/sched/plan.h"
#include <rapidcheck.h>

namespace nutmegwell::sched::tests {

/// Draws a cell of up to 12 workers, some unusable, with three accounts.
CellView drawCell();
/// Draws a job of one of the cell's accounts.
model::JobSpec drawSpec();
/// Applies a plan: starts run, preempted jobs are stopping.
void apply(CellView &View, const Plan &Plan);
/// Returns the accelerators that running jobs of the account hold.
std::uint32_t heldBy(const CellView &View, const model::AccountName &Account);
/// Returns what is wrong with the running jobs of the cell, or an empty string.
std::string faultOf(const CellView &View);

} // namespace nutmegwell::sched::tests
