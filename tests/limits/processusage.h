#pragma once

#include <cstddef>
#include <sys/types.h>

namespace limits {

/// Numbers of a process from /proc.
struct Usage {
  bool Alive_ = false;
  std::size_t PeakBytes_ = 0;
  std::size_t Descriptors_ = 0;
};

Usage usageOf(pid_t Process);

/// Returns the highest usage until it stays the same for a while: the kernel
/// buffers what the process has not read when a crowd has sent everything.
Usage settledUsage(pid_t Process);

} // namespace limits
