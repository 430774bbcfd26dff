#pragma once

#include "guarantee.h"

namespace nutmegwell::sched {

/// A place for a job in the guarantee of its account, and what stands in it.
struct Claim {
  Slices Tasks_;
  /// Running jobs of the view to preempt; none is within a guarantee.
  std::vector<std::size_t> Victims_;
  /// True when every accelerator of the place is free now.
  bool Free_ = false;
  /// Blocks to bind to the account.
  std::vector<std::size_t> Blocks_;
};

/// The running jobs of a view as claims need them.
struct Occupants {
  std::vector<Slices> Slices_;
  /// What it costs to preempt each job; 0 for one that is being stopped.
  std::vector<double> Cost_;
  /// For each worker, the jobs on it.
  std::vector<std::vector<std::size_t>> JobsOn_;
};

/// Returns the cheapest place for the job in what is free of its account's
/// guarantee, or nothing when the guarantee has no free part of its shape.
/// \p Owner is the index of the account's pool row.
std::optional<Claim> findClaim(const Guarantees &State, const FreeIndex &Free,
                               const Occupants &Running,
                               const model::JobSpec &Spec, std::size_t Owner);

/// Binds the claim's blocks and secures its accelerators.
void bindClaim(Guarantees &State, const Claim &Found, std::size_t Owner);

} // namespace nutmegwell::sched
