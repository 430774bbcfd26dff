#pragma once

#include "cellstate.h"

namespace nutmegwell::sched {

/// Returns the wait after which a job of the class may preempt borrowing jobs
/// that have run for a minimum time: zero for urgent jobs, longest for patient
/// ones.
core::Duration agingThreshold(model::JobClass Class);

/// Returns true when the job has waited that long since it was last queued.
bool isAged(const WaitingJob &Job);

/// Returns the cheapest place for an aged job on free accelerators and those of
/// borrowing jobs that have had their minimum run time, or std::nullopt.
/// Preempts no job that started a short time ago, and no job within a guarantee
/// unless planMigrations selected it for this job.
std::optional<Claim> findPlaceForAgedJob(const CellState &State,
                                         const WaitingJob &Job);

} // namespace nutmegwell::sched
