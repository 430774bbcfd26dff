#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>

namespace nutmegwell::membership {

struct QuarantineSettings {
  /// Consecutive failed starts, across jobs, after which a worker is
  /// quarantined.
  std::uint32_t FailureLimit_ = 3;
  core::Duration InitialLength_ = std::chrono::seconds(30);
  core::Duration MaxLength_ = std::chrono::minutes(10);
};

/// Quarantine of a worker after consecutive failed starts. The worker's agent
/// counts the failures and reports the result in each heartbeat.
struct Quarantine {
  /// Failed starts since the last success.
  std::uint32_t FailedStarts_ = 0;
  /// Length of the latest quarantine; zero when there was none since the last
  /// success.
  core::Duration Length_{};
  /// Start of the latest quarantine.
  core::TimePoint Since_{};
};

/// Records the result of a start on the worker. FailureLimit_ consecutive
/// failures quarantine the worker; the next failure after a quarantine starts
/// one of twice the length, at most MaxLength_. Failures during a quarantine
/// come from jobs that were placed before it and do not extend it.
void recordStartResult(Quarantine &State, bool Succeeded, core::TimePoint Now,
                       const QuarantineSettings &Settings);

/// Returns true while the worker is quarantined.
bool isActive(const Quarantine &State, core::TimePoint Now);

} // namespace nutmegwell::membership
