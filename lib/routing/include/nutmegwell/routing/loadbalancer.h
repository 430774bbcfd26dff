#pragma once

#include "nutmegwell/core/random.h"
#include "nutmegwell/routing/snapshot.h"
#include <cstdint>
#include <map>
#include <set>

namespace nutmegwell::routing {

/// Requests that this entry host has in flight at one agent.
struct LocalLoad {
  std::uint32_t InFlight_ = 0;
  /// InFlight_ when the snapshot in use was taken up; the agent's own report
  /// in that snapshot includes about as many.
  std::uint32_t InFlightAtSnapshot_ = 0;
};

/// Loads of the agents that have or had requests of this entry host.
using LocalLoads = std::map<model::NodeName, LocalLoad>;

/// Notes that a new snapshot is in use, and forgets idle agents that it does
/// not name.
void adoptSnapshot(LocalLoads &Loads, const RoutingSnapshot &Snapshot);

/// Returns the expected requests in flight at \p Upstream: those of this entry
/// host, and those that the agent reported beyond them.
std::uint32_t expectedLoad(const LocalLoads &Loads,
                           const UpstreamView &Upstream);

/// What a choice came to.
struct UpstreamChoice {
  /// Null when nothing can be chosen now.
  const UpstreamView *Upstream_ = nullptr;
  /// Upstreams that a request may go to once they have a free slot.
  std::size_t Candidates_ = 0;
};

/// Returns the less loaded, by requests in flight / slots, of two usable
/// upstreams of \p Service picked at random. Leaves out \p Excluded and
/// upstreams whose slots this entry host has filled on its own; the agent
/// refuses what others' requests leave no slot for.
UpstreamChoice chooseUpstream(const RoutingSnapshot &Snapshot,
                              const model::ServiceName &Service,
                              const LocalLoads &Loads,
                              const std::set<model::NodeName> &Excluded,
                              const core::Random &Source);

} // namespace nutmegwell::routing
