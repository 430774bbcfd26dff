#pragma once

#include "claim.h"

namespace nutmegwell::sched {

/// Accelerators by worker among which a claim is sought.
using Region = std::map<std::uint32_t, std::uint64_t>;

/// The cheapest claim found so far.
struct CheapestClaim {
  std::optional<Claim> Claim_;
  double Cost_ = 0;

  /// Replaces the claim when \p Next is cheaper, or when it costs the same and
  /// is free at once and the current one is not.
  void consider(Claim Next, double Cost) {
    if (Claim_ && (Cost > Cost_ ||
                   (Cost == Cost_ && (Claim_->FreeNow_ || !Next.FreeNow_))))
      return;
    Claim_ = std::move(Next);
    Cost_ = Cost;
  }
  bool freeAtOnce() const { return Claim_ && Claim_->FreeNow_; }
};

/// Returns a place for the gang in the region, or std::nullopt.
std::optional<Slices> findPlaceInRegion(const Region &Allowed,
                                        const FreeIndex &Free,
                                        const model::JobSpec &Spec);

/// Sets Victims_ and FreeNow_ of \p Result for its Tasks_, and returns the cost
/// of the preemptions.
double fillVictims(const RunningJobIndex &Running, const FreeIndex &Free,
                   Claim &Result);

/// Looks for a place for the gang in the region, and takes it into \p Best when
/// it is cheaper.
void considerRegion(const Region &Allowed, std::vector<std::size_t> Blocks,
                    const FreeIndex &Free, const RunningJobIndex &Running,
                    const model::JobSpec &Spec, CheapestClaim &Best);

} // namespace nutmegwell::sched
