#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace nutmegwell::core {

/// Timers that the parts of a daemon subscribe to. Runs on the thread that
/// calls runDue; not safe for use from several threads.
class TimerService {
public:
  using Callback = std::function<void(TimePoint)>;
  using Subscription = std::uint64_t;

  /// Calls \p Function every \p Interval, first at \p Now + \p Interval. A
  /// late run does not cause a burst of runs.
  Subscription subscribe(TimePoint Now, Duration Interval, Callback Function);

  /// Ends a subscription. An unknown one is ignored.
  void cancel(Subscription Id);

  /// Runs every callback that is due at \p Now.
  void runDue(TimePoint Now);

  /// Returns when the next callback is due, or nothing without subscriptions.
  std::optional<TimePoint> nextDue() const;

private:
  struct Entry {
    Duration Interval_;
    Callback Function_;
  };
  std::map<std::pair<TimePoint, Subscription>, Entry> Entries_;
  Subscription Next_ = 1;
};

} // namespace nutmegwell::core
