#pragma once

#include "cellstate.h"

namespace nutmegwell::sched {

/// Returns how long a job waits before it may take accelerators from borrowers
/// that have run for a while: nothing for urgent work, most for patient work.
core::Duration patienceOf(model::JobClass Class);

/// Returns true when the job has waited that long in this cell's hands.
bool isAged(const WaitingJob &Job);

/// Returns the cheapest place for an aged job, which may be held by borrowers
/// that have had their turn, or nothing. Jobs within a guarantee and those that
/// started a short time ago are not touched.
std::optional<Claim> agedPlace(const CellState &State, const WaitingJob &Job);

} // namespace nutmegwell::sched
