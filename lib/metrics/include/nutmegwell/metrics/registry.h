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

/// Monotonically increasing counter. Thread-safe.
class Counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value_{0};
};

/// Value that can increase and decrease. Thread-safe.
class Gauge {
public:
  void set(std::int64_t Value) {
    Value_.store(Value, std::memory_order_relaxed);
  }
  std::int64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> Value_{0};
};

/// Label names and values that identify a series of a metric.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process. Thread-safe. The returned references stay valid
/// for the lifetime of the registry; callers on hot paths keep them, because a
/// look-up takes a lock.
class Registry {
public:
  /// Maximum number of series. At about 0.6 KB for the largest kind, they stay
  /// well within the 32 MB of a node's control memory. Further label values
  /// share one series with the label overflow="true", because label values can
  /// come from callers and must not exhaust memory.
  static constexpr std::size_t MaxSeries = 4096;

  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &Values = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &Values = {});
  /// \p Name must end in "_seconds", the unit in which the quantiles are
  /// rendered.
  Quantiles &quantiles(const std::string &Name, const std::string &Help,
                       const Labels &Values = {});

  /// Returns the response body of GET /metrics in the Prometheus text format:
  /// for each metric a HELP line and a TYPE line, then the lines of its series.
  std::string render(core::TimePoint Now) const;

private:
  template <typename T> struct Family {
    std::string Help_;
    /// Key: the labels in the rendered format.
    std::map<std::string, std::unique_ptr<T>> Series_;
  };
  template <typename T> using Families = std::map<std::string, Family<T>>;

  template <typename T>
  T &findOrCreate(Families<T> &All, const std::string &Name,
                  const std::string &Help, const Labels &Values);

  mutable std::mutex Mutex_;
  std::size_t SeriesCount_ = 0;
  Families<Counter> Counters_;
  Families<Gauge> Gauges_;
  Families<Quantiles> Quantiles_;
};

} // namespace nutmegwell::metrics
