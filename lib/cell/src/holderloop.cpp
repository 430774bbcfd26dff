#include "accountorder.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Maximum time between two calls of advanceHolder; bounds the effect of a
/// missed wake-up time. Half of the shortest time in HolderPolicy that a call
/// checks.
constexpr core::Duration MaxAdvanceInterval = std::chrono::milliseconds(250);

} // namespace

void advanceHolder(Holder &State, const HolderContext &Context, Effects &Out) {
  Out.WakeAt_ = std::min(Out.WakeAt_, Context.Now_ + MaxAdvanceInterval);
  expireLeases(State, Context, Out);
  applyCancels(State, Context, Out);
  stopStalled(State, Context, Out);
  vacateWorkers(State, Context, Out);
  endProbations(State, Context.Now_, Out);
  updateQuarantines(State, Context.Now_, Out);
  repeatStops(State, Context.Now_);
  adjustPaces(State, Context, Out);
  expect::refreshSpeeds(State.Speeds_, Context.Now_);
  updateUsage(State, Context, Out);
  schedule(State, Context, Out);
  reportSpeeds(State, Context.Now_, Out);
  collectRecords(State, Context, Out);
  forgetOldStarts(State, Context.Now_);
  collectOrders(State, Context.Now_, Out);
}

} // namespace nutmegwell::cell
