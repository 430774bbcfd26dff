#include "nutmegwell/core/time.h"
#include <ctime>

namespace nutmegwell::core {

Clock bootClock() {
  return Clock{[] {
    timespec Now{};
    // CLOCK_BOOTTIME cannot fail with a valid pointer on Linux.
    clock_gettime(CLOCK_BOOTTIME, &Now);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(Now.tv_sec) +
        std::chrono::nanoseconds(Now.tv_nsec)));
  }};
}

} // namespace nutmegwell::core
