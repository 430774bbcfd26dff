#include "nutmegwell/cell/speedneed.h"
#include <algorithm>
#include <cmath>

namespace nutmegwell::cell {

namespace {

/// Part of a run time that its start, progress reports and its end add to it.
constexpr double Overhead = 0.1;
/// Standard errors by which a speed is taken lower than estimated: late work
/// loses most of its worth, a faster worker than needed costs little.
constexpr double Caution = 0.5;
/// Difference in ln(speed) from the ordinary speed, and its size in standard
/// errors, that show that speeds differ. The most demanding queues allow 1.5
/// times the work, a difference of 0.4.
constexpr double LargeDifference = 0.35;
constexpr double CertainErrors = 2;

} // namespace

void setSpeed(PlacementTarget &Target, const expect::WorkerSpeed &Known,
              double UnknownError) {
  Target.Speed_ = Known.Speed_;
  Target.SpeedError_ = Known.LogError_;
  Target.SpeedSampled_ = Known.LogError_ < UnknownError;
}

double requiredSpeed(core::Duration RunTime, core::Duration Slack) {
  if (RunTime <= core::Duration(0) || RunTime + Slack <= core::Duration(0))
    return 0;
  return (1 + Overhead) * static_cast<double>(RunTime.count()) /
         static_cast<double>((RunTime + Slack).count());
}

double demandedSpeed(double Stretch) {
  return Stretch > 0 ? (1 + Overhead) / Stretch : 0;
}

bool isTooSlow(const PlacementTarget &Worker, double Speed) {
  return Worker.Speed_ * std::exp(-Caution * Worker.SpeedError_) < Speed;
}

bool speedsDiffer(const std::vector<PlacementTarget> &Targets) {
  return std::any_of(
      Targets.begin(), Targets.end(), [](const PlacementTarget &Worker) {
        const double Difference = std::abs(std::log(Worker.Speed_));
        return Worker.SpeedSampled_ && Difference >= LargeDifference &&
               Difference >= CertainErrors * Worker.SpeedError_;
      });
}

bool isUntried(const PlacementTarget &Worker) {
  return !Worker.SpeedSampled_ &&
         Worker.Free_.Accelerators_ == Worker.Capacity_.Accelerators_;
}

} // namespace nutmegwell::cell
