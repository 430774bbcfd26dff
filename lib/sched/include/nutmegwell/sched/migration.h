#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::sched {

/// Plans migrations for one job that has waited long and fits in no cell: of
/// those for which migrations free a place, the one with the largest product of
/// wait and accelerators. Chooses one cell, makes it the job's preferred one,
/// and sets RunningJob::MigratableFor_ of those jobs within a guarantee that
/// may be stopped there. Each of these jobs has a place within its account's
/// guarantee in another cell, and these places do not overlap. The result
/// depends only on the views, so that holders with the same log agree.
/// Migrating jobs to free a block follows Gandiva (Xiao et al., OSDI 2018).
void planMigrations(std::vector<CellView> &Cells,
                    const Policy &Options = Policy());

} // namespace nutmegwell::sched
