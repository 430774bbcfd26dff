#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/model/tables.h"
#include <cstdint>
#include <map>
#include <utility>

namespace nutmegwell::routing {

/// Counts of this entry host's requests: those in flight by client account and
/// service, and those that wait for a slot by service.
struct AdmissionState {
  std::map<std::pair<model::AccountName, model::ServiceName>, std::uint32_t>
      InFlight_;
  std::map<model::ServiceName, std::uint32_t> Waiting_;
};

/// Counts a request against its pool. Returns false, and counts nothing, when
/// the pool's limit on requests in flight is reached.
bool admit(AdmissionState &State, const model::PoolRow &Pool);
/// Removes a request that admit() counted.
void release(AdmissionState &State, const model::AccountName &Account,
             const model::ServiceName &Service);

/// Counts a request that waits for a slot. Returns false, and counts nothing,
/// when the route's limit on waiting requests is reached.
bool enterQueue(AdmissionState &State, const model::RouteRow &Route);
/// Removes a request that enterQueue() counted.
void leaveQueue(AdmissionState &State, const model::ServiceName &Service);

/// Token bucket that limits the retries of one service to 10% of its requests
/// plus 10 per second. It starts full, with the 10 retries of one second, and
/// holds no more than that.
struct RetryBudget {
  /// Available tokens, in millionths of a retry.
  std::int64_t Tokens_ = 10'000'000;
  core::TimePoint LastRefill_{};
};

/// Adds the tokens that one request earns.
void countRequest(RetryBudget &Budget, core::TimePoint Now);
/// Takes the tokens of one retry, or returns false when there are too few.
bool takeRetry(RetryBudget &Budget, core::TimePoint Now);

} // namespace nutmegwell::routing
