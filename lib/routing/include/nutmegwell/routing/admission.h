#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/model/tables.h"
#include <cstdint>
#include <map>
#include <utility>

namespace nutmegwell::routing {

/// Requests of this entry host by client account and service, and those of
/// each service that wait for a slot.
struct AdmissionState {
  std::map<std::pair<model::AccountName, model::ServiceName>, std::uint32_t>
      InFlight_;
  std::map<model::ServiceName, std::uint32_t> Waiting_;
};

/// Counts a request of the pool's account, or returns false when the pool's
/// bound on requests in flight is reached.
bool admit(AdmissionState &State, const model::PoolRow &Pool);
/// Ends what admit() counted.
void release(AdmissionState &State, const model::AccountName &Account,
             const model::ServiceName &Service);

/// Counts a request that waits for a slot, or returns false when the route's
/// bound on waiting requests is reached.
bool enterQueue(AdmissionState &State, const model::RouteRow &Route);
/// Ends what enterQueue() counted.
void leaveQueue(AdmissionState &State, const model::ServiceName &Service);

/// Bound on the retries of one service: 10% of its requests plus 10 a second.
/// Starts with the retries of one second and never saves up more.
struct RetryBudget {
  /// Millionths of a retry.
  std::int64_t Saved_ = 10'000'000;
  core::TimePoint Counted_{};
};

/// Earns the share of one request.
void countRequest(RetryBudget &Budget, core::TimePoint Now);
/// Takes one retry, or returns false when none is left.
bool takeRetry(RetryBudget &Budget, core::TimePoint Now);

} // namespace nutmegwell::routing
