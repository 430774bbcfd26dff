#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/metrics/quantiles.h"
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::metrics {

/// A number that only grows. Safe from any thread.
class Counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value_{0};
};

/// A number that goes up and down. Safe from any thread.
class Gauge {
public:
  void set(std::int64_t Value) {
    Value_.store(Value, std::memory_order_relaxed);
  }
  std::int64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> Value_{0};
};

/// Names and values that tell the series of one metric apart.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process. Safe from any thread. The references that it
/// returns stay valid as long as the registry; keep them on hot paths, since a
/// look-up takes a lock.
class Registry {
public:
  /// Series that are kept; at about 0.6 KB for the largest kind they stay well
  /// within the 32 MB of a node's control memory. Further label values share
  /// one series with the label overflow="true", because label values can come
  /// from callers.
  static constexpr std::size_t MaxSeries = 4096;

  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &Values = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &Values = {});
  /// The name of a quantile metric ends in "_seconds", its unit in the text.
  Quantiles &quantiles(const std::string &Name, const std::string &Help,
                       const Labels &Values = {});

  /// Returns the text of GET /metrics: one line a series, after a HELP and a
  /// TYPE line for each metric.
  std::string render(core::TimePoint Now) const;

private:
  template <typename T> struct Family {
    std::string Help_;
    /// By the labels in the form of the text.
    std::map<std::string, std::unique_ptr<T>> Series_;
  };
  template <typename T> using Families = std::map<std::string, Family<T>>;

  template <typename T>
  T &find(Families<T> &All, const std::string &Name, const std::string &Help,
          const Labels &Values);

  mutable std::mutex Mutex_;
  std::size_t SeriesCount_ = 0;
  Families<Counter> Counters_;
  Families<Gauge> Gauges_;
  Families<Quantiles> Quantiles_;
};

} // namespace nutmegwell::metrics
