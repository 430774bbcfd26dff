#include "nutmegwell/metrics/quantiles.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <optional>

namespace nutmegwell::metrics {

namespace {

namespace acc = boost::accumulators;

using Estimator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

constexpr std::array<double, 2> Probabilities = {0.5, 0.99};

/// Observations that the algorithm needs before its estimates mean anything:
/// two markers for each probability and three more.
constexpr std::size_t MinObservations = 2 * Probabilities.size() + 3;

Estimator makeEstimator() {
  return Estimator(acc::extended_p_square_probabilities = Probabilities);
}

core::Duration toDuration(double Microseconds) {
  return core::Duration(static_cast<core::Duration::rep>(Microseconds));
}

} // namespace

struct Quantiles::Impl {
  explicit Impl(core::Duration Window) : Window_(Window) {}

  /// Ends the running window when \p Now lies after it.
  void advance(core::TimePoint Now) {
    if (!Started_)
      Start_ = Now;
    Started_ = true;
    if (Now - Start_ < Window_)
      return;
    if (acc::count(Running_) > 0) {
      Ended_ = estimate();
      Running_ = makeEstimator();
      Largest_ = core::Duration{};
    }
    Start_ = Now;
  }

  std::pair<core::Duration, core::Duration> estimate() const {
    // With few observations the largest is the safe side.
    if (acc::count(Running_) < MinObservations)
      return {Largest_, Largest_};
    const auto Values = acc::extended_p_square(Running_);
    return {toDuration(Values[0]), toDuration(Values[1])};
  }

  const core::Duration Window_;
  bool Started_ = false;
  core::TimePoint Start_;
  Estimator Running_ = makeEstimator();
  core::Duration Largest_{};
  std::optional<std::pair<core::Duration, core::Duration>> Ended_;
  std::uint64_t Count_ = 0;
  core::Duration Sum_{};
};

Quantiles::Quantiles(core::Duration Window)
    : Impl_(std::make_unique<Impl>(Window)) {}

Quantiles::~Quantiles() = default;

void Quantiles::observe(core::Duration Value, core::TimePoint Now) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Impl_->advance(Now);
  Impl_->Running_(static_cast<double>(Value.count()));
  Impl_->Largest_ = std::max(Impl_->Largest_, Value);
  ++Impl_->Count_;
  Impl_->Sum_ += Value;
}

QuantileSummary Quantiles::summary(core::TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Impl_->advance(Now);
  const auto Estimate = Impl_->Ended_ ? *Impl_->Ended_ : Impl_->estimate();
  return {Estimate.first, Estimate.second, Impl_->Count_, Impl_->Sum_};
}

} // namespace nutmegwell::metrics
