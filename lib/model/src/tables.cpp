#include "nutmegwell/model/tables.h"

#include <algorithm>
#include <set>

namespace nutmegwell::model {

namespace {

constexpr const char *LevelNames[] = {"worker", "rack", "domain"};
constexpr auto MaxTimeout = std::chrono::hours(24);
constexpr std::uint32_t MaxQueueLimit = 100000;
constexpr std::uint32_t MaxAccelerators = 1000000;
constexpr std::uint32_t MaxRequestLimit = 100000;

/// Returns true for 1 to 64 letters, digits, '-', '_' or '.'.
bool isValidName(const std::string &Name) {
  constexpr std::size_t MaxLength = 64;
  if (Name.empty() || Name.size() > MaxLength)
    return false;
  return std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '_' || C == '.';
  });
}

std::set<ServiceName> servicesOf(const PoolsTable &Pools) {
  std::set<ServiceName> Services;
  for (const PoolRow &Row : Pools.Rows_)
    Services.insert(Row.Service_);
  return Services;
}

/// Collects the validation errors of one row.
struct RowCheck {
  std::vector<ValidationError> &Errors_;
  const char *Table_;
  std::size_t Row_;

  void require(bool Condition, const char *Field, std::string Message) {
    if (!Condition)
      Errors_.push_back({Table_, Row_, Field, std::move(Message)});
  }
};

void checkPoolRow(const PoolRow &Row, RowCheck &Check) {
  constexpr const char *NameRule =
      "must be 1 to 64 letters, digits, '-', '_' or '.'";
  Check.require(isValidName(Row.Name_), "name", NameRule);
  Check.require(isValidName(Row.Account_), "account", NameRule);
  Check.require(isValidName(Row.Service_), "service", NameRule);
  Check.require(Row.AcceleratorLimit_ <= MaxAccelerators, "limit",
                "must be at most 1000000 accelerators");
  Check.require(Row.AcceleratorLimit_ >= Row.Guaranteed_, "limit",
                "is below guaranteed (" + std::to_string(Row.Guaranteed_) +
                    ")");
  Check.require(Row.BlockSize_ >= 1, "block", "must be at least 1 accelerator");
  Check.require(Row.BlockSize_ == 0 || Row.Guaranteed_ % Row.BlockSize_ == 0,
                "guaranteed",
                "is not a multiple of block (" +
                    std::to_string(Row.BlockSize_) + ")");
  Check.require(Row.RequestLimit_ <= MaxRequestLimit, "requests",
                "must be at most 100000");
}

} // namespace

const char *toString(TopologyLevel Value) {
  return LevelNames[static_cast<int>(Value)];
}

bool parseLevel(const std::string &Text, TopologyLevel &Value) {
  for (int I = 0; I < 3; ++I)
    if (Text == LevelNames[I]) {
      Value = static_cast<TopologyLevel>(I);
      return true;
    }
  return false;
}

std::vector<ValidationError> validateRoutes(const RoutesTable &Routes,
                                            const PoolsTable &Pools) {
  std::vector<ValidationError> Errors;
  std::set<std::string> Paths;
  const std::set<ServiceName> Services = servicesOf(Pools);
  for (std::size_t I = 0; I < Routes.Rows_.size(); ++I) {
    const RouteRow &Row = Routes.Rows_[I];
    RowCheck Check{Errors, "routes", I + 1};
    Check.require(!Row.PathPrefix_.empty() && Row.PathPrefix_[0] == '/', "path",
                  "must start with '/'");
    Check.require(Row.PathPrefix_.rfind("/v1/", 0) != 0 &&
                      Row.PathPrefix_ != "/v1" && Row.PathPrefix_ != "/metrics",
                  "path", "is reserved for the interface of nutmegwell");
    Check.require(Paths.insert(Row.PathPrefix_).second, "path",
                  "duplicate of another row: '" + Row.PathPrefix_ + "'");
    Check.require(Services.count(Row.Service_) > 0, "service",
                  "no pools row names service '" + Row.Service_ + "'");
    Check.require(Row.Timeout_ > core::Duration::zero() &&
                      Row.Timeout_ <= MaxTimeout,
                  "timeout_ms", "must be 1 ms to 24 h");
    Check.require(Row.QueueLimit_ <= MaxQueueLimit, "queue",
                  "must be at most 100000");
  }
  return Errors;
}

std::vector<ValidationError> validatePools(const PoolsTable &Pools,
                                           const RoutesTable &Routes,
                                           const DomainCapacity &Capacity) {
  std::vector<ValidationError> Errors;
  std::set<std::string> Names;
  std::set<std::tuple<AccountName, ServiceName, DomainName>> Keys;
  std::map<DomainName, std::uint64_t> Guaranteed;
  for (std::size_t I = 0; I < Pools.Rows_.size(); ++I) {
    const PoolRow &Row = Pools.Rows_[I];
    RowCheck Check{Errors, "pools", I + 1};
    checkPoolRow(Row, Check);
    Check.require(Names.insert(Row.Name_).second, "name",
                  "duplicate of another row: '" + Row.Name_ + "'");
    Check.require(Keys.emplace(Row.Account_, Row.Service_, Row.Domain_).second,
                  "account",
                  "another row has the same account, service and domain");
    auto It = Capacity.find(Row.Domain_);
    Check.require(It != Capacity.end(), "domain",
                  "unknown failure domain '" + Row.Domain_ + "'");
    Guaranteed[Row.Domain_] += Row.Guaranteed_;
    if (It != Capacity.end())
      Check.require(Guaranteed[Row.Domain_] <= It->second, "guaranteed",
                    "guarantees of domain '" + Row.Domain_ + "' add up to " +
                        std::to_string(Guaranteed[Row.Domain_]) + " of " +
                        std::to_string(It->second) + " accelerators");
  }
  const std::set<ServiceName> Services = servicesOf(Pools);
  for (const RouteRow &Route : Routes.Rows_)
    if (!Services.count(Route.Service_))
      Errors.push_back({"pools", 0, "service",
                        "route '" + Route.PathPrefix_ + "' needs service '" +
                            Route.Service_ + "'"});
  return Errors;
}

const RouteRow *findRoute(const RoutesTable &Routes, const std::string &Path) {
  const RouteRow *Best = nullptr;
  for (const RouteRow &Row : Routes.Rows_) {
    const std::string &Prefix = Row.PathPrefix_;
    if (Path.compare(0, Prefix.size(), Prefix) != 0)
      continue;
    bool AtSeparator = Path.size() == Prefix.size() || Prefix.back() == '/' ||
                       Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
    if (AtSeparator && (!Best || Prefix.size() > Best->PathPrefix_.size()))
      Best = &Row;
  }
  return Best;
}

} // namespace nutmegwell::model
