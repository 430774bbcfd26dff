#include "steps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Maximum time between two calls of advanceHolder; bounds the effect of a
/// missed wake-up time. Half of the shortest time in HolderPolicy that a call
/// checks.
constexpr core::Duration LongestSleep = std::chrono::milliseconds(250);

} // namespace

void advanceHolder(Holder &State, const HolderContext &Around, Effects &Out) {
  Out.WakeAt_ = std::min(Out.WakeAt_, Around.Now_ + LongestSleep);
  expireLeases(State, Around, Out);
  applyCancels(State, Around, Out);
  stopStalled(State, Around, Out);
  repeatStops(State, Around.Now_);
  adjustPaces(State, Around, Out);
  schedule(State, Around, Out);
  collectRecords(State, Around, Out);
  collectOrders(State, Around.Now_, Out);
}

} // namespace nutmegwell::cell
