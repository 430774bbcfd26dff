#pragma once

#include "claim.h"

namespace nutmegwell::sched {

/// A place kept for a waiting job that borrows. A claim on a guarantee may take
/// it, at the price of restarting the job.
struct Hold {
  core::JobId Job_;
  Slices Tasks_;
  /// The part of the place that is free now.
  Slices Free_;
  bool Lost_ = false;
};

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
  /// Places kept for borrowers; each is listed in Running_ after the running
  /// jobs of the view.
  std::vector<Hold> Holds_;
};

/// Keeps a place for a job that borrows until a claim takes it.
void addHold(CellState &State, const WaitingJob &Job, Slices Tasks);

/// Holds the places that are being freed for borrowers.
void holdServed(CellState &State);

/// Holds places for the jobs that have waited longest, when they fit now and
/// this cell is to take them.
void holdLongest(CellState &State);

/// Returns the place held for the job, or null.
const Hold *holdOf(const CellState &State, const core::JobId &Job);

/// Returns the few waiting jobs that have waited longest in all their attempts,
/// when that is long enough for them to be served before others.
std::vector<const WaitingJob *> longestWaiting(const CellView &View);

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
