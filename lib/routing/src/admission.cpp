#include "nutmegwell/routing/admission.h"

#include <algorithm>

namespace nutmegwell::routing {

namespace {

/// Tokens of one retry, in the unit of RetryBudget::Tokens_.
constexpr std::int64_t TokensPerRetry = 1'000'000;
constexpr std::int64_t TokensPerRequest = TokensPerRetry / 10;
constexpr std::int64_t TokensPerMicrosecond = 10;
constexpr std::int64_t MaxTokens = 10 * TokensPerRetry;
/// Longer idle times earn no more tokens: one second fills the bucket.
constexpr core::Duration MaxRefillTime = std::chrono::seconds(1);

void addTokens(RetryBudget &Budget, std::int64_t Added) {
  Budget.Tokens_ = std::min(MaxTokens, Budget.Tokens_ + Added);
}

void addTokensForTime(RetryBudget &Budget, core::TimePoint Now) {
  const core::Duration Passed = std::clamp<core::Duration>(
      Now - Budget.LastRefill_, core::Duration::zero(), MaxRefillTime);
  Budget.LastRefill_ = std::max(Budget.LastRefill_, Now);
  addTokens(Budget, Passed.count() * TokensPerMicrosecond);
}

template <typename Map, typename Key>
void decrement(Map &Counts, const Key &Which) {
  auto Found = Counts.find(Which);
  if (Found != Counts.end() && --Found->second == 0)
    Counts.erase(Found);
}

} // namespace

bool admit(AdmissionState &State, const model::PoolRow &Pool) {
  std::uint32_t &Count = State.InFlight_[{Pool.Account_, Pool.Service_}];
  if (Count >= Pool.RequestLimit_) {
    if (Count == 0)
      State.InFlight_.erase({Pool.Account_, Pool.Service_});
    return false;
  }
  ++Count;
  return true;
}

void release(AdmissionState &State, const model::AccountName &Account,
             const model::ServiceName &Service) {
  decrement(State.InFlight_, std::make_pair(Account, Service));
}

bool enterQueue(AdmissionState &State, const model::RouteRow &Route) {
  auto Found = State.Waiting_.find(Route.Service_);
  if ((Found == State.Waiting_.end() ? 0 : Found->second) >= Route.QueueLimit_)
    return false;
  ++State.Waiting_[Route.Service_];
  return true;
}

void leaveQueue(AdmissionState &State, const model::ServiceName &Service) {
  decrement(State.Waiting_, Service);
}

void countRequest(RetryBudget &Budget, core::TimePoint Now) {
  addTokensForTime(Budget, Now);
  addTokens(Budget, TokensPerRequest);
}

bool takeRetry(RetryBudget &Budget, core::TimePoint Now) {
  addTokensForTime(Budget, Now);
  if (Budget.Tokens_ < TokensPerRetry)
    return false;
  Budget.Tokens_ -= TokensPerRetry;
  return true;
}

} // namespace nutmegwell::routing
