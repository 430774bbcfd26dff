#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <memory>
#include <mutex>

namespace nutmegwell::metrics {

/// What Quantiles knows of its observations.
struct QuantileSummary {
  /// Estimates over the last window that has ended with observations, or over
  /// the running window before the first has ended.
  core::Duration P50_{};
  core::Duration P99_{};
  /// Over the life of the process.
  std::uint64_t Count_ = 0;
  core::Duration Sum_{};
};

/// Median and 99th percentile of a stream of durations in constant memory, by
/// the extended P-square algorithm. The estimate starts anew with each window,
/// so that it follows the present. Safe from any thread.
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
