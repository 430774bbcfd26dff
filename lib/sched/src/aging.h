#pragma once

#include "cellstate.h"

namespace nutmegwell::sched {

/// Returns the wait after which a job of the class may preempt borrowing jobs
/// that have run for a minimum time: zero for urgent jobs, longest for patient
/// ones.
core::Duration agingThreshold(model::JobClass Class);

/// Returns true when the job has waited for the aging threshold of its class
/// since it was last queued.
bool isAged(const WaitingJob &Job);

/// Returns the cheapest place for an aged job on accelerators that are free or
/// held by borrowing jobs that have had their minimum run time, or
/// std::nullopt. Selects jobs that started a short time ago or are within a
/// guarantee only when they are being stopped anyway or planMigrations selected
/// them.
std::optional<Claim> findPlaceForAgedJob(const CellState &State,
                                         const WaitingJob &Job);

} // namespace nutmegwell::sched
