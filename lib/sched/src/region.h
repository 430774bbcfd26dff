#pragma once

#include "claim.h"

namespace nutmegwell::sched {

/// Accelerators by worker within which a claim may lie.
using Region = std::map<std::uint32_t, std::uint64_t>;

/// The cheapest claim found so far.
struct Cheapest {
  std::optional<Claim> Claim_;
  double Cost_ = 0;

  /// Takes the claim when it is cheaper, or as cheap and free at once.
  void offer(Claim Next, double Cost) {
    if (Claim_ &&
        (Cost > Cost_ || (Cost == Cost_ && (Claim_->Free_ || !Next.Free_))))
      return;
    Claim_ = std::move(Next);
    Cost_ = Cost;
  }
  bool freeAtOnce() const { return Claim_ && Claim_->Free_; }
};

/// Returns a place for the gang in the region, or nothing.
std::optional<Slices> fitInto(const Region &Where, const FreeIndex &Free,
                              const model::JobSpec &Spec);

/// Fills in what stands in the place of a claim and returns the cost.
double findVictims(const Occupants &Running, const FreeIndex &Free,
                   Claim &Result);

/// Offers the claim on a place in the region, if the gang fits.
void offerRegion(const Region &Where, std::vector<std::size_t> Blocks,
                 const FreeIndex &Free, const Occupants &Running,
                 const model::JobSpec &Spec, Cheapest &Best);

} // namespace nutmegwell::sched
