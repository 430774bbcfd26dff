#include "nutmegwell/routing/admission.h"

#include <algorithm>

namespace nutmegwell::routing {

namespace {

/// Units of RetryBudget::Saved_.
constexpr std::int64_t OneRetry = 1'000'000;
constexpr std::int64_t EarnedByRequest = OneRetry / 10;
constexpr std::int64_t EarnedByMicrosecond = 10;
constexpr std::int64_t MaxSaved = 10 * OneRetry;
/// Idle time that earns at most; it fills the budget.
constexpr core::Duration LongestGap = std::chrono::seconds(1);

void earn(RetryBudget &Budget, std::int64_t Earned) {
  Budget.Saved_ = std::min(MaxSaved, Budget.Saved_ + Earned);
}

void earnTime(RetryBudget &Budget, core::TimePoint Now) {
  const core::Duration Passed = std::clamp<core::Duration>(
      Now - Budget.Counted_, core::Duration::zero(), LongestGap);
  Budget.Counted_ = std::max(Budget.Counted_, Now);
  earn(Budget, Passed.count() * EarnedByMicrosecond);
}

template <typename Map, typename Key>
void decrease(Map &Counts, const Key &Which) {
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
  decrease(State.InFlight_, std::make_pair(Account, Service));
}

bool enterQueue(AdmissionState &State, const model::RouteRow &Route) {
  auto Found = State.Waiting_.find(Route.Service_);
  if ((Found == State.Waiting_.end() ? 0 : Found->second) >= Route.QueueLimit_)
    return false;
  ++State.Waiting_[Route.Service_];
  return true;
}

void leaveQueue(AdmissionState &State, const model::ServiceName &Service) {
  decrease(State.Waiting_, Service);
}

void countRequest(RetryBudget &Budget, core::TimePoint Now) {
  earnTime(Budget, Now);
  earn(Budget, EarnedByRequest);
}

bool takeRetry(RetryBudget &Budget, core::TimePoint Now) {
  earnTime(Budget, Now);
  if (Budget.Saved_ < OneRetry)
    return false;
  Budget.Saved_ -= OneRetry;
  return true;
}

} // namespace nutmegwell::routing
