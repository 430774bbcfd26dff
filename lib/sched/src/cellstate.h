#pragma once

#include "claim.h"

namespace nutmegwell::sched {

/// Working state of the decision for one cell. Refers to the view, which must
/// outlive it, and to its own topology, so that it cannot be copied or moved.
struct CellState {
  CellState(const CellView &View, const Policy &Options);
  CellState(const CellState &) = delete;
  CellState &operator=(const CellState &) = delete;

  const CellView &View_;
  bool AgingVictimsWaitedLess_;
  Topology Map_;
  /// Accelerators that are free and not reserved for a claim.
  FreeIndex Free_;
  /// Accelerators held by or reserved for jobs, by pool row.
  std::vector<std::uint32_t> HeldByPool_;
  RunningJobIndex Running_;
  Guarantees Guarantees_;
  /// For each worker, the accelerators reserved for claims and starts.
  std::vector<std::uint64_t> Reserved_;
};

/// Returns true for a job that was migrated out of this cell a short time ago.
bool recentlyMigrated(const CellView &View, const WaitingJob &Job);

/// Returns true when the job fits into the limit of its pool row.
bool withinLimit(const CellState &State, const model::JobSpec &Spec,
                 std::size_t Pool);

/// Returns true when the job fits into its limit once the victims of a claim
/// and the jobs that are being stopped for it have released their accelerators.
bool withinLimitAfter(const CellState &State, const WaitingJob &Job,
                      std::size_t Pool,
                      const std::vector<std::size_t> &Victims);

/// Returns the claim of a job on its account's guarantee, or std::nullopt when
/// there is none or the job would exceed its limit.
std::optional<Claim> findClaimWithinLimit(const CellState &State,
                                          const model::JobSpec &Spec,
                                          std::size_t Pool);

/// Reserves the accelerators of a place for its job.
void reservePlace(CellState &State, const Slices &Tasks,
                  const model::JobSpec &Spec, std::size_t Pool);

/// Binds the blocks of a claim and reserves its accelerators for its job.
void reserveClaim(CellState &State, const Claim &Found,
                  const model::JobSpec &Spec, std::size_t Pool);

/// Returns a free place outside all guaranteed blocks, where no account can
/// reclaim it, or std::nullopt.
std::optional<Slices> findUnguaranteedPlace(const CellState &State,
                                            const model::JobSpec &Spec);

} // namespace nutmegwell::sched
