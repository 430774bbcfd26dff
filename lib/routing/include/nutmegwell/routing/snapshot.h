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

/// An upstream as the entry host knows it from its agent's heartbeats.
struct UpstreamView {
  model::NodeName Agent_;
  core::Incarnation Incarnation_ = 0;
  model::DomainName Domain_;
  model::ServiceName Service_;
  /// "IP:PORT" at which the agent takes request frames.
  std::string Address_;
  std::uint32_t Slots_ = 0;
  /// Requests in flight as of the last heartbeat, from all entry hosts.
  std::uint32_t InFlight_ = 0;
  /// False for an upstream that is silent, leaving or in a domain that is out.
  bool Usable_ = true;
};

/// What traffic threads route by. The control thread publishes a new one after
/// each change and never alters a published one.
struct RoutingSnapshot {
  core::Offset ConfigOffset_ = 0;
  model::RoutesTable Routes_;
  model::PoolsTable Pools_;
  std::vector<UpstreamView> Upstreams_;
  /// False while the log takes no appends.
  bool LogAvailable_ = false;
  /// True after a stop was asked for: new requests are refused.
  bool Stopping_ = false;
};

using SnapshotSource = std::function<std::shared_ptr<const RoutingSnapshot>()>;

/// How traffic threads reach the intents of non-idempotent requests.
struct IntentStore {
  /// Appends a record and waits until the fold has applied it. Fails with
  /// Unavailable when the log is out; the record may then still be applied.
  std::function<absl::StatusOr<model::FoldResult>(model::RecordBody,
                                                  core::Duration Timeout)>
      Submit_;
  /// Returns the intent of a key as this entry host knows it.
  std::function<std::optional<model::Intent>(const model::IntentKey &)> Find_;
};

/// Returns the pools row that lets \p Account call \p Service, or null. With
/// rows in several domains, the one with the most requests.
const model::PoolRow *findPool(const model::PoolsTable &Pools,
                               const model::AccountName &Account,
                               const model::ServiceName &Service);

} // namespace nutmegwell::routing
