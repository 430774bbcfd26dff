#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Returns, for each job that waits in the first cell's view, the index of the
/// cell that should run it. All views must list the same waiting jobs. A job
/// goes to the cell where it fits into its account's guarantee at the lowest
/// cost of preemption; when it fits into none, to the cell with the most free
/// accelerators. The result depends only on the views, so that holders with the
/// same log agree.
std::vector<std::size_t> preferredCells(const std::vector<CellView> &Cells,
                                        const Policy &Options = Policy());

} // namespace nutmegwell::sched
