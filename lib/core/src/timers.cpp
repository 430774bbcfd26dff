#include "nutmegwell/core/timers.h"

#include <algorithm>

namespace nutmegwell::core {

TimerService::Subscription
TimerService::subscribe(TimePoint Now, Duration Interval, Callback Function) {
  Subscription Id = NextSubscription_++;
  Entries_.emplace(std::make_pair(Now + Interval, Id),
                   Entry{Interval, std::move(Function)});
  return Id;
}

void TimerService::cancel(Subscription Id) {
  auto Found =
      std::find_if(Entries_.begin(), Entries_.end(),
                   [Id](const auto &Item) { return Item.first.second == Id; });
  if (Found != Entries_.end())
    Entries_.erase(Found);
}

void TimerService::runDue(TimePoint Now) {
  while (!Entries_.empty() && Entries_.begin()->first.first <= Now) {
    auto Node = Entries_.extract(Entries_.begin());
    Callback Function = Node.mapped().Function_;
    Node.key().first =
        std::max(Node.key().first + Node.mapped().Interval_, Now);
    if (Node.key().first == Now)
      Node.key().first = Now + Node.mapped().Interval_;
    Entries_.insert(std::move(Node));
    Function(Now);
  }
}

std::optional<TimePoint> TimerService::nextDue() const {
  if (Entries_.empty())
    return std::nullopt;
  return Entries_.begin()->first.first;
}

} // namespace nutmegwell::core
