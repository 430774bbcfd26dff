#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/names.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegwell::model {

/// Levels of the topology tree, smallest first.
enum class TopologyLevel : std::uint8_t { Worker, Rack, Domain };

/// Returns "worker", "rack" or "domain".
const char *toString(TopologyLevel Value);

/// Parses a name that toString() returns. Returns false for any other text.
bool parseLevel(const std::string &Text, TopologyLevel &Value);

/// One row of the routes table: requests whose path starts with PathPrefix_ go
/// to Service_. The longest matching prefix wins.
struct RouteRow {
  std::string PathPrefix_;
  ServiceName Service_;
  core::Duration Timeout_ = std::chrono::seconds(30);
  bool Idempotent_ = false;
  /// Maximum number of requests of the service that wait for a slot.
  std::uint32_t QueueLimit_ = 64;
};

/// One row of the pools table: the capacity that one client account may use for
/// one service in one failure domain.
struct PoolRow {
  std::string Name_;
  AccountName Account_;
  ServiceName Service_;
  DomainName Domain_;
  /// Number of accelerators that the account can reclaim at any time.
  std::uint32_t Guaranteed_ = 0;
  /// Number of accelerators of a guaranteed block, which must be adjacent.
  std::uint32_t BlockSize_ = 1;
  /// Level of the topology tree within which a block must lie.
  TopologyLevel Level_ = TopologyLevel::Worker;
  /// Maximum number of accelerators of the account, including borrowed ones.
  std::uint32_t AcceleratorLimit_ = 0;
  /// Maximum number of requests of the account in flight.
  std::uint32_t RequestLimit_ = 16;
};

struct RoutesTable {
  std::vector<RouteRow> Rows_;
};

struct PoolsTable {
  std::vector<PoolRow> Rows_;
};

/// A violation of the rules for tables, detected before publication.
struct ValidationError {
  std::string Table_;
  /// Number of the row, from 1. 0 for an error that belongs to no row.
  std::size_t Row_ = 0;
  std::string Field_;
  std::string Message_;
};

/// Number of accelerators that the workers of each failure domain have
/// announced.
using DomainCapacity = std::map<DomainName, std::uint32_t>;

/// Returns all errors of \p Routes. Each route needs a service that \p Pools
/// names.
std::vector<ValidationError> validateRoutes(const RoutesTable &Routes,
                                            const PoolsTable &Pools);

/// Returns all errors of \p Pools, given the announced capacity and the current
/// routes table, each of whose services must keep a pool.
std::vector<ValidationError> validatePools(const PoolsTable &Pools,
                                           const RoutesTable &Routes,
                                           const DomainCapacity &Capacity);

/// Returns the route with the longest prefix that matches \p Path, or null. A
/// prefix matches whole path segments only.
const RouteRow *findRoute(const RoutesTable &Routes, const std::string &Path);

} // namespace nutmegwell::model
