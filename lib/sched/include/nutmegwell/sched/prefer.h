#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Returns, for each job that waits in the first cell's view, the index of the
/// cell that is to take it. All cells must show the same waiting jobs. A job
/// goes where its account's guarantee has a free part of its shape and least is
/// preempted for it, else where the most accelerators are free. The result
/// follows from the views alone, so that holders with the same log agree.
std::vector<std::size_t> preferredCells(const std::vector<CellView> &Cells,
                                        const Policy &Choices = Policy());

} // namespace nutmegwell::sched
