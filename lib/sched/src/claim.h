#pragma once

#include "guarantee.h"

namespace nutmegwell::sched {

/// A place for a job, and the running jobs to preempt for it.
struct Claim {
  Slices Tasks_;
  /// Indexes of the running jobs to preempt. None is within a guarantee, except
  /// those that planMigrations selected for this job.
  std::vector<std::size_t> Victims_;
  /// True when every accelerator of the place is free now.
  bool FreeNow_ = false;
  /// Indexes of the blocks to bind to the account.
  std::vector<std::size_t> Blocks_;
};

/// The running jobs of a view, indexed for the search for claims.
struct RunningJobIndex {
  std::vector<Slices> Slices_;
  /// Cost of preempting each job; 0 for one that is being stopped or that this
  /// decision preempts already.
  std::vector<double> Cost_;
  /// For each worker, the indexes of the jobs on it.
  std::vector<std::vector<std::size_t>> JobsOn_;
};

/// Returns the cheapest place for the job on accelerators of its account's
/// guarantee that no job within the guarantee holds, or std::nullopt when the
/// job does not fit there. \p Owner is the index of the account's pool row.
std::optional<Claim> findClaim(const Guarantees &State, const FreeIndex &Free,
                               const RunningJobIndex &Running,
                               const model::JobSpec &Spec, std::size_t Owner);

/// Binds the claim's blocks to \p Owner and marks its accelerators as secured.
void bindClaim(Guarantees &State, const Claim &Found, std::size_t Owner);

} // namespace nutmegwell::sched
