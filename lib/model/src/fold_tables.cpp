#include "fold.h"

namespace nutmegwell::model {

namespace {

FoldOutcome staleVersion(const char *Subject, core::Version Expected,
                         core::Version CurrentVersion) {
  return {"stale_version", std::string(Subject) + " is at version " +
                               std::to_string(CurrentVersion) +
                               ", the change expected " +
                               std::to_string(Expected)};
}

} // namespace

FoldOutcome fold(ControlState &State, const RoutesPublished &Change) {
  if (Change.ExpectedVersion_ != State.RoutesVersion_)
    return staleVersion("routes", Change.ExpectedVersion_,
                        State.RoutesVersion_);
  // The pools table may have changed since the publisher validated the routes
  // against it.
  auto Errors = validateRoutes(Change.Table_, State.Pools_);
  if (!Errors.empty())
    return {"invalid_table", Errors.front().Message_};
  State.Routes_ = Change.Table_;
  ++State.RoutesVersion_;
  return {};
}

FoldOutcome fold(ControlState &State, const PoolsPublished &Change) {
  if (Change.ExpectedVersion_ != State.PoolsVersion_)
    return staleVersion("pools", Change.ExpectedVersion_, State.PoolsVersion_);
  // The routes table may have changed since the publisher validated the pools
  // against it.
  auto Errors = validateRoutes(State.Routes_, Change.Table_);
  if (!Errors.empty())
    return {"invalid_table", Errors.front().Message_};
  State.Pools_ = Change.Table_;
  ++State.PoolsVersion_;
  return {};
}

FoldOutcome fold(ControlState &State, const DomainChanged &Change) {
  auto It = State.Domains_.find(Change.Domain_);
  core::Version CurrentVersion =
      It == State.Domains_.end() ? 0 : It->second.Version_;
  if (Change.ExpectedVersion_ != CurrentVersion)
    return staleVersion(Change.Domain_.c_str(), Change.ExpectedVersion_,
                        CurrentVersion);
  DomainState &Domain = State.Domains_[Change.Domain_];
  Domain.InService_ = Change.InService_;
  ++Domain.Version_;
  return {};
}

} // namespace nutmegwell::model
