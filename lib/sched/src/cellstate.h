#pragma once

#include "claim.h"

namespace nutmegwell::sched {

/// A cell while a decision is made. Refers to the view, which must outlive it,
/// and to its own map, so that it is neither copied nor moved.
struct CellState {
  CellState(const CellView &View, const Policy &Choices);
  CellState(const CellState &) = delete;
  CellState &operator=(const CellState &) = delete;

  const CellView &View_;
  bool TurnsByWait_;
  Topology Map_;
  /// Accelerators that are free and not kept for a claim.
  FreeIndex Free_;
  /// Accelerators held or claimed, by pool row.
  std::vector<std::uint32_t> Held_;
  Occupants Running_;
  Guarantees Guarantees_;
  /// For each worker, the accelerators kept for claims and starts.
  std::vector<std::uint64_t> Claimed_;
};

/// Returns true for a job that was moved out of this cell a short time ago.
bool justMovedOut(const CellView &View, const WaitingJob &Job);

/// Returns true when the job keeps the limit of its pool row.
bool withinLimit(const CellState &State, const model::JobSpec &Spec,
                 std::size_t Pool);

/// Returns true when the job keeps its limit once the victims of a claim and
/// the jobs that are being stopped for it are gone.
bool withinLimitAfter(const CellState &State, const WaitingJob &Job,
                      std::size_t Pool,
                      const std::vector<std::size_t> &Victims);

/// Returns the claim of a job on its account's guarantee, or nothing.
std::optional<Claim> claimFor(const CellState &State,
                              const model::JobSpec &Spec, std::size_t Pool);

/// Keeps the accelerators of a place for its job.
void keepPlace(CellState &State, const Slices &Tasks,
               const model::JobSpec &Spec, std::size_t Pool);

/// Keeps the accelerators of a claim for its job.
void keepClaim(CellState &State, const Claim &Found, const model::JobSpec &Spec,
               std::size_t Pool);

/// Returns a free place outside all guaranteed blocks, where nobody can reclaim
/// it, or nothing.
std::optional<Slices> unownedPlace(const CellState &State,
                                   const model::JobSpec &Spec);

} // namespace nutmegwell::sched
