#pragma once

#include "nutmegwell/sched/plan.h"

namespace nutmegwell::bench {

/// First come, first served with first fit: the first job that does not fit
/// holds back all later ones. Jobs over their account's limit are passed over.
sched::Plan decideFirstCome(const sched::CellView &View);

/// First come, first served with backfill: a later job starts when, by declared
/// times, it does not delay the first job that does not fit (EASY, Lifka 1995).
sched::Plan decideBackfill(const sched::CellView &View);

} // namespace nutmegwell::bench
