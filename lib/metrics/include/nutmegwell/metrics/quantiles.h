#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <memory>
#include <mutex>

namespace nutmegwell::metrics {

/// Quantile estimates, count and sum of the observations of Quantiles.
struct QuantileSummary {
  /// Estimates for the last completed window that has observations, or for the
  /// current window if none is completed yet.
  core::Duration P50_{};
  core::Duration P99_{};
  /// Totals since the creation of the Quantiles object.
  std::uint64_t Count_ = 0;
  core::Duration Sum_{};
};

/// Median and 99th percentile of a stream of durations in constant memory, by
/// the extended P-square algorithm. The estimator is reset for each window, so
/// that old observations do not affect the estimates. Thread-safe.
class Quantiles {
public:
  explicit Quantiles(core::Duration Window = std::chrono::minutes(1));
  Quantiles(const Quantiles &) = delete;
  Quantiles &operator=(const Quantiles &) = delete;
  ~Quantiles();

  void observe(core::Duration Value, core::TimePoint Now);
  QuantileSummary summary(core::TimePoint Now) const;

private:
  struct Impl;
  mutable std::mutex Mutex_;
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::metrics
