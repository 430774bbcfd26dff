#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/names.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegwell::model {

/// Level of the topology tree within which a block must lie.
enum class TopologyLevel : std::uint8_t { Worker, Rack, Domain };

/// Returns "worker", "rack" or "domain".
const char *toString(TopologyLevel Value);

/// Parses the names of toString. Returns false for another text.
bool parseLevel(const std::string &Text, TopologyLevel &Value);

/// One row of the routes table: requests whose path starts with PathPrefix_ go
/// to Service_. The longest matching path wins.
struct RouteRow {
  std::string PathPrefix_;
  ServiceName Service_;
  core::Duration Timeout_ = std::chrono::seconds(30);
  bool Idempotent_ = false;
  /// Bound on requests of the service that wait for a slot.
  std::uint32_t QueueLimit_ = 64;
};

/// One row of the pools table: what one client account may hold of one
/// service's capacity in one failure domain.
struct PoolRow {
  std::string Name_;
  AccountName Account_;
  ServiceName Service_;
  DomainName Domain_;
  /// Accelerators that the account can always reclaim.
  std::uint32_t Guaranteed_ = 0;
  /// Accelerators of a guaranteed block that must be adjacent.
  std::uint32_t BlockSize_ = 1;
  TopologyLevel Level_ = TopologyLevel::Worker;
  /// Accelerators that the account may hold, including borrowed ones.
  std::uint32_t AcceleratorLimit_ = 0;
  /// Requests of the account that may be in flight.
  std::uint32_t RequestLimit_ = 16;
};

struct RoutesTable {
  std::vector<RouteRow> Rows_;
};

struct PoolsTable {
  std::vector<PoolRow> Rows_;
};

/// One fault of a table, found before publication.
struct ValidationError {
  std::string Table_;
  /// Number of the row, counted from 1.
  std::size_t Row_ = 0;
  std::string Field_;
  std::string Message_;
};

/// Accelerators that the workers of each failure domain have announced.
using DomainCapacity = std::map<DomainName, std::uint32_t>;

/// Returns every fault of \p Routes, given the pools table it is joined with.
std::vector<ValidationError> validateRoutes(const RoutesTable &Routes,
                                            const PoolsTable &Pools);

/// Returns every fault of \p Pools, given the announced capacity and the routes
/// table in force, whose services must keep a pool.
std::vector<ValidationError> validatePools(const PoolsTable &Pools,
                                           const RoutesTable &Routes,
                                           const DomainCapacity &Capacity);

/// Returns the route with the longest path that is a prefix of \p Path, or
/// null. A prefix ends at a path separator.
const RouteRow *findRoute(const RoutesTable &Routes, const std::string &Path);

} // namespace nutmegwell::model
