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
  /// Value of InFlight_ when the current snapshot was adopted. The load that
  /// the agent reported in that snapshot includes about as many requests of
  /// this host.
  std::uint32_t InFlightAtSnapshot_ = 0;
};

/// Loads of the agents to which this entry host has sent requests.
using LocalLoads = std::map<model::NodeName, LocalLoad>;

/// Records this host's load at the change to \p Snapshot, and removes idle
/// agents that the snapshot does not list.
void adoptSnapshot(LocalLoads &Loads, const RoutingSnapshot &Snapshot);

/// Returns the expected number of requests in flight at \p Upstream: those of
/// this entry host, and those of other entry hosts by the agent's last report.
std::uint32_t expectedLoad(const LocalLoads &Loads,
                           const UpstreamView &Upstream);

/// Result of chooseUpstream.
struct UpstreamChoice {
  /// Null when no candidate has a free slot.
  const UpstreamView *Upstream_ = nullptr;
  /// Number of upstreams that may take the request now or once a slot is free.
  std::size_t Candidates_ = 0;
};

/// Chooses among upstreams of \p Service by two random choices: of two usable
/// upstreams picked at random, returns the one with the lower ratio of requests
/// in flight to slots. Skips \p Excluded and upstreams whose slots are all
/// taken by this entry host's requests. Requests of other hosts may take slots
/// too; the agent then refuses the request.
UpstreamChoice chooseUpstream(const RoutingSnapshot &Snapshot,
                              const model::ServiceName &Service,
                              const LocalLoads &Loads,
                              const std::set<model::NodeName> &Excluded,
                              const core::Random &Source);

} // namespace nutmegwell::routing
