#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>

namespace nutmegwell::membership {

struct QuarantineSettings {
  /// Failed starts in a row, across jobs, that quarantine a worker.
  std::uint32_t FailureLimit_ = 3;
  core::Duration InitialLength_ = std::chrono::seconds(30);
  core::Duration MaxLength_ = std::chrono::minutes(10);
};

/// What a worker's failures in a row have led to. Its agent counts them and
/// tells the outcome in each heartbeat.
struct Quarantine {
  /// Failed starts since the last success.
  std::uint32_t FailedStarts_ = 0;
  /// Zero without a quarantine.
  core::Duration Length_{};
  /// When the quarantine began.
  core::TimePoint Since_{};
};

/// Notes whether a start on the worker succeeded. Enough failures in a row
/// quarantine it; a failure after that time starts one of twice the length.
/// Failures meanwhile are of jobs that were placed before and change nothing.
void recordStartResult(Quarantine &Known, bool Succeeded, core::TimePoint Now,
                       const QuarantineSettings &Settings);

/// Returns true until the time of the quarantine is over.
bool isActive(const Quarantine &Known, core::TimePoint Now);

} // namespace nutmegwell::membership
