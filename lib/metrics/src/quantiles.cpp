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

/// Minimum number of observations for valid estimates: the algorithm
/// initializes two markers for each probability and three more.
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

  /// Completes the current window if it has ended at \p Now, and starts the
  /// next one.
  void rollWindow(core::TimePoint Now) {
    if (!Started_)
      WindowStart_ = Now;
    Started_ = true;
    if (Now - WindowStart_ < Window_)
      return;
    if (acc::count(Current_) > 0) {
      LastCompleted_ = estimate();
      Current_ = makeEstimator();
      Max_ = core::Duration{};
    }
    WindowStart_ = Now;
  }

  std::pair<core::Duration, core::Duration> estimate() const {
    // Too few observations for an estimate: report the maximum, which is never
    // below the true quantile.
    if (acc::count(Current_) < MinObservations)
      return {Max_, Max_};
    const auto Values = acc::extended_p_square(Current_);
    return {toDuration(Values[0]), toDuration(Values[1])};
  }

  const core::Duration Window_;
  bool Started_ = false;
  core::TimePoint WindowStart_;
  Estimator Current_ = makeEstimator();
  core::Duration Max_{};
  std::optional<std::pair<core::Duration, core::Duration>> LastCompleted_;
  std::uint64_t Count_ = 0;
  core::Duration Sum_{};
};

Quantiles::Quantiles(core::Duration Window)
    : Impl_(std::make_unique<Impl>(Window)) {}

Quantiles::~Quantiles() = default;

void Quantiles::observe(core::Duration Value, core::TimePoint Now) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Impl_->rollWindow(Now);
  Impl_->Current_(static_cast<double>(Value.count()));
  Impl_->Max_ = std::max(Impl_->Max_, Value);
  ++Impl_->Count_;
  Impl_->Sum_ += Value;
}

QuantileSummary Quantiles::summary(core::TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Impl_->rollWindow(Now);
  const auto Estimate =
      Impl_->LastCompleted_ ? *Impl_->LastCompleted_ : Impl_->estimate();
  return {Estimate.first, Estimate.second, Impl_->Count_, Impl_->Sum_};
}

} // namespace nutmegwell::metrics
