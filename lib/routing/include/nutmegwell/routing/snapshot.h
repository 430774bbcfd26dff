#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/model/controlstate.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::routing {

/// An upstream as described by the heartbeats of its agent.
struct UpstreamView {
  model::NodeName Agent_;
  core::Incarnation Incarnation_ = 0;
  model::DomainName Domain_;
  model::ServiceName Service_;
  /// "IP:PORT" at which the agent accepts request frames.
  std::string Address_;
  std::uint32_t Slots_ = 0;
  /// Requests in flight as of the last heartbeat, from all entry hosts.
  std::uint32_t InFlight_ = 0;
  /// False for an upstream that is suspect, leaving or in a domain that is out
  /// of service.
  bool Usable_ = true;
};

/// Input of the routing decisions of traffic threads. The control thread
/// publishes a new snapshot after each change and never modifies a published
/// one.
struct RoutingSnapshot {
  core::Offset ConfigOffset_ = 0;
  model::RoutesTable Routes_;
  model::PoolsTable Pools_;
  std::vector<UpstreamView> Upstreams_;
  /// False while the log does not accept appends.
  bool LogAvailable_ = false;
  /// True once this entry host is shutting down: new requests are refused.
  bool Stopping_ = false;
};

using SnapshotSource = std::function<std::shared_ptr<const RoutingSnapshot>()>;

/// Access of the traffic threads to the intents of non-idempotent requests.
struct IntentStore {
  /// Appends a record and waits until it has been applied to the control state.
  /// Fails with Unavailable when the log is unavailable; the record may then
  /// still be applied later.
  std::function<absl::StatusOr<model::FoldResult>(model::RecordBody,
                                                  core::Duration Timeout)>
      Submit_;
  /// Returns the intent that this entry host knows for a key.
  std::function<std::optional<model::Intent>(const model::IntentKey &)> Find_;
};

/// Returns the pools row that permits \p Account to call \p Service, or null.
/// With rows in several domains, returns the one with the highest request
/// limit.
const model::PoolRow *findPool(const model::PoolsTable &Pools,
                               const model::AccountName &Account,
                               const model::ServiceName &Service);

} // namespace nutmegwell::routing
