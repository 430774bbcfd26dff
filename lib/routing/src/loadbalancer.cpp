#include "nutmegwell/routing/loadbalancer.h"

#include <algorithm>

namespace nutmegwell::routing {

namespace {

std::uint32_t localInFlight(const LocalLoads &Loads,
                            const model::NodeName &Agent) {
  auto Found = Loads.find(Agent);
  return Found == Loads.end() ? 0 : Found->second.InFlight_;
}

/// Compares the loads as fractions of the slots, without rounding.
bool lessLoaded(const LocalLoads &Loads, const UpstreamView &A,
                const UpstreamView &B) {
  return std::uint64_t{expectedLoad(Loads, A)} * B.Slots_ <
         std::uint64_t{expectedLoad(Loads, B)} * A.Slots_;
}

} // namespace

void adoptSnapshot(LocalLoads &Loads, const RoutingSnapshot &Snapshot) {
  for (auto I = Loads.begin(); I != Loads.end();) {
    const bool Listed = std::any_of(
        Snapshot.Upstreams_.begin(), Snapshot.Upstreams_.end(),
        [&](const UpstreamView &Each) { return Each.Agent_ == I->first; });
    I->second.InFlightAtSnapshot_ = I->second.InFlight_;
    I = Listed || I->second.InFlight_ > 0 ? std::next(I) : Loads.erase(I);
  }
}

std::uint32_t expectedLoad(const LocalLoads &Loads,
                           const UpstreamView &Upstream) {
  auto Found = Loads.find(Upstream.Agent_);
  if (Found == Loads.end())
    return Upstream.InFlight_;
  const LocalLoad &Own = Found->second;
  const std::uint32_t Others =
      Upstream.InFlight_ > Own.InFlightAtSnapshot_
          ? Upstream.InFlight_ - Own.InFlightAtSnapshot_
          : 0;
  return Own.InFlight_ + Others;
}

UpstreamChoice chooseUpstream(const RoutingSnapshot &Snapshot,
                              const model::ServiceName &Service,
                              const LocalLoads &Loads,
                              const std::set<model::NodeName> &Excluded,
                              const core::Random &Source) {
  UpstreamChoice Result;
  std::vector<const UpstreamView *> Free;
  for (const UpstreamView &Each : Snapshot.Upstreams_) {
    if (!Each.Usable_ || Each.Service_ != Service || Each.Slots_ == 0 ||
        Excluded.count(Each.Agent_) != 0)
      continue;
    ++Result.Candidates_;
    if (localInFlight(Loads, Each.Agent_) < Each.Slots_)
      Free.push_back(&Each);
  }
  if (Free.empty())
    return Result;
  const std::size_t First = core::randomBelow(Source, Free.size());
  Result.Upstream_ = Free[First];
  if (Free.size() > 1) {
    std::size_t Second = core::randomBelow(Source, Free.size() - 1);
    Second += Second >= First ? 1 : 0;
    if (lessLoaded(Loads, *Free[Second], *Free[First]))
      Result.Upstream_ = Free[Second];
  }
  return Result;
}

} // namespace nutmegwell::routing
