#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace nutmegwell::core {

using Duration = std::chrono::microseconds;

/// Monotonic time within one process; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns \p Value in whole milliseconds, rounded towards zero, for encodings
/// and log lines.
inline std::chrono::milliseconds wholeMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value);
}

/// Source of the current time; tests inject a simulated clock.
struct Clock {
  std::function<TimePoint()> Now_;
};

/// Returns the steady clock of the process.
inline Clock steadyClock() {
  return Clock{[] {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }};
}

/// Returns a monotonic clock that also counts the time while the host is
/// suspended, so that leases end on time after a resume.
Clock bootClock();

} // namespace nutmegwell::core
