#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Sets, for the waiting job that has waited longest and has no place,
/// RunningJob::MigratableFor_ of the jobs within a guarantee that may be
/// stopped for it in one cell, and makes that cell the job's preferred one.
/// Each of these jobs has a place within its account's guarantee in another
/// cell, and the places do not overlap. The result follows from the views
/// alone, so that holders with the same log agree. Moving jobs to free a block
/// follows Gandiva (Xiao et al., OSDI 2018).
void planMigrations(std::vector<CellView> &Cells,
                    const Policy &Choices = Policy());

} // namespace nutmegwell::sched
