#include "fold.h"

namespace nutmegwell::model {

namespace {

Verdict staleVersion(const char *What, core::Version Expected,
                     core::Version InForce) {
  return {"stale_version",
          std::string(What) + " is at version " + std::to_string(InForce) +
              ", the change expected " + std::to_string(Expected)};
}

} // namespace

Verdict fold(ControlState &State, const RoutesPublished &Change) {
  if (Change.ExpectedVersion_ != State.RoutesVersion_)
    return staleVersion("routes", Change.ExpectedVersion_,
                        State.RoutesVersion_);
  // The pools table may have changed since the publisher checked the join.
  auto Errors = validateRoutes(Change.Table_, State.Pools_);
  if (!Errors.empty())
    return {"invalid_table", Errors.front().Message_};
  State.Routes_ = Change.Table_;
  ++State.RoutesVersion_;
  return {};
}

Verdict fold(ControlState &State, const PoolsPublished &Change) {
  if (Change.ExpectedVersion_ != State.PoolsVersion_)
    return staleVersion("pools", Change.ExpectedVersion_, State.PoolsVersion_);
  // The routes table may have changed since the publisher checked the join.
  auto Errors = validateRoutes(State.Routes_, Change.Table_);
  if (!Errors.empty())
    return {"invalid_table", Errors.front().Message_};
  State.Pools_ = Change.Table_;
  ++State.PoolsVersion_;
  return {};
}

Verdict fold(ControlState &State, const DomainChanged &Change) {
  auto Known = State.Domains_.find(Change.Domain_);
  core::Version InForce =
      Known == State.Domains_.end() ? 0 : Known->second.Version_;
  if (Change.ExpectedVersion_ != InForce)
    return staleVersion(Change.Domain_.c_str(), Change.ExpectedVersion_,
                        InForce);
  DomainState &Domain = State.Domains_[Change.Domain_];
  Domain.InService_ = Change.InService_;
  ++Domain.Version_;
  return {};
}

} // namespace nutmegwell::model
