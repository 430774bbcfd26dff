#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>

namespace nutmegwell::site {

/// Times by which submissions are refused while the store cannot be used.
struct AdmissionPolicy {
  /// Time after which a refused caller should retry.
  core::Duration RetryAfter_ = std::chrono::seconds(1);
  /// Least time that a caller must have left after its return, so that an
  /// append and its answer still fit.
  core::Duration MinTimeAfterReturn_ = std::chrono::milliseconds(450);
  /// Share of a caller's time for which its submission is held, so that a
  /// caller that is refused in the end has as much time left to act on it.
  double HoldShare_ = 0.5;
};

/// What to do with a submission that has not been sent to the store.
enum class Admission : std::uint8_t {
  /// Send its append.
  Append,
  /// Keep it unsent until the store is back or its caller has to be answered.
  Hold,
  /// Refuse it at once as certainly not run.
  Refuse
};

/// Decides on a submission that has waited for \p Waited; its caller waits for
/// \p Timeout in all.
///
/// Load pattern: a store outage that is about as long as callers wait. An
/// append that is sent into the outage has an unknown outcome, which a caller
/// may not be able to retry. A refused caller can return, here or at a host
/// that reaches the store; one without time for that is better served by
/// waiting.
Admission admitSubmission(bool StoreUsable, core::Duration Waited,
                          core::Duration Timeout,
                          const AdmissionPolicy &Policy);

/// Returns how long a submission is held at most.
core::Duration longestHold(core::Duration Timeout,
                           const AdmissionPolicy &Policy);

} // namespace nutmegwell::site
