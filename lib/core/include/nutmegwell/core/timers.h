#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace nutmegwell::core {

/// Periodic timers for the components of a daemon. Callbacks run on the thread
/// that calls runDue. Not thread-safe.
class TimerService {
public:
  using Callback = std::function<void(TimePoint)>;
  using Subscription = std::uint64_t;

  /// Calls \p Function every \p Interval, first at \p Now + \p Interval. Missed
  /// intervals are skipped, so that a late run does not cause a burst.
  Subscription subscribe(TimePoint Now, Duration Interval, Callback Function);

  /// Cancels a subscription; ignores an unknown one.
  void cancel(Subscription Id);

  /// Runs every callback that is due at \p Now.
  void runDue(TimePoint Now);

  /// Returns when the next callback is due, or std::nullopt without
  /// subscriptions.
  std::optional<TimePoint> nextDue() const;

private:
  struct Entry {
    Duration Interval_;
    Callback Function_;
  };
  std::map<std::pair<TimePoint, Subscription>, Entry> Entries_;
  Subscription NextSubscription_ = 1;
};

} // namespace nutmegwell::core
