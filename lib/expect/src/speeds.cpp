#include "nutmegwell/expect/speeds.h"
#include <algorithm>
#include <cmath>

namespace nutmegwell::expect {

namespace {

using Entry = SpeedModel::Entry;
using StepRuns = SpeedModel::StepRuns;

Entry &entryOf(SpeedModel &Model, const std::string &Worker) {
  auto [It, Added] = Model.Workers_.try_emplace(Worker);
  if (Added) {
    const double Variance =
        Model.Policy_.PriorDeviation_ * Model.Policy_.PriorDeviation_;
    It->second.PriorVariance_ = It->second.Variance_ = Variance;
  }
  return It->second;
}

StepRuns &runsOf(Entry &Known, const std::string &Step, std::size_t MaxSteps) {
  for (StepRuns &Runs : Known.Steps_)
    if (Runs.Step_ == Step)
      return Runs;
  if (Known.Steps_.size() >= MaxSteps)
    Known.Steps_.erase(Known.Steps_.begin());
  Known.Steps_.push_back({Step, {}});
  return Known.Steps_.back();
}

/// Mean of the log rates of a step's runs on one worker, weighted by their
/// precision (the inverse of the variance), and the sum of these weights.
struct Cell {
  double Mean_ = 0;
  double Precision_ = 0;
};

/// Sums over the workers of a step, from which the level of the step without
/// one of them follows.
struct StepSums {
  double Precision_ = 0;
  double WeightedLevel_ = 0;
};

/// One pass over all workers.
class Refresh {
public:
  Refresh(SpeedModel &Model, core::TimePoint Now) : Model_(Model), Now_(Now) {}

  void run() {
    for (auto &[Name, Known] : Model_.Workers_)
      for (const StepRuns &Runs : Known.Steps_)
        add(Runs, Known, 1);
    for (auto &[Name, Known] : Model_.Workers_)
      update(Known);
    anchor();
  }

private:
  /// Adds the cell of \p Runs to the sums of its step, or removes it when
  /// \p Sign is -1.
  void add(const StepRuns &Runs, const Entry &Known, double Sign) {
    const Cell Own = cellOf(Runs, Known);
    if (Own.Precision_ <= 0)
      return;
    const double Precision = 1 / (1 / Own.Precision_ + Known.Variance_);
    StepSums &Sums = Steps_[Runs.Step_];
    Sums.Precision_ += Sign * Precision;
    Sums.WeightedLevel_ += Sign * Precision * (Own.Mean_ - Known.LogSpeed_);
  }

  /// Estimates the speed of a worker from the levels of its steps as the other
  /// workers show them.
  void update(Entry &Known) {
    for (const StepRuns &Runs : Known.Steps_)
      add(Runs, Known, -1);
    double Precision = 1 / Known.PriorVariance_;
    double Sum = Precision * Known.PriorLogSpeed_;
    for (const StepRuns &Runs : Known.Steps_) {
      const Cell Own = cellOf(Runs, Known);
      const StepSums &Others = Steps_[Runs.Step_];
      if (Own.Precision_ <= 0 || Others.Precision_ < MinPrecision)
        continue;
      const double Level = Others.WeightedLevel_ / Others.Precision_;
      const double Each = 1 / (1 / Own.Precision_ + 1 / Others.Precision_);
      Precision += Each;
      Sum += Each * (Own.Mean_ - Level);
    }
    Known.LogSpeed_ = Sum / Precision;
    Known.Variance_ = 1 / Precision;
    for (const StepRuns &Runs : Known.Steps_)
      add(Runs, Known, 1);
  }

  /// Shifts all estimates so that the median worker has speed 1: samples tell
  /// only differences, and a wrong starting point of one worker would shift the
  /// others. With few workers the median is uncertain and counts less. Restored
  /// speeds were relative to the whole service and do not count.
  void anchor() {
    constexpr double WorkersForHalf = 4;
    std::vector<double> Speeds;
    for (const auto &[Name, Known] : Model_.Workers_)
      if (!Known.Restored_)
        Speeds.push_back(Known.LogSpeed_);
    if (Speeds.empty())
      return;
    const auto Count = static_cast<double>(Speeds.size());
    const double Shift =
        medianOf(std::move(Speeds)) * Count / (Count + WorkersForHalf);
    for (auto &[Name, Known] : Model_.Workers_)
      Known.LogSpeed_ -= Shift;
  }

  /// Runs far from the rest of the step's runs on the worker count as if they
  /// were nearer.
  Cell cellOf(const StepRuns &Runs, const Entry &Known) const {
    const double Centre = centreOf(Runs);
    Cell Result;
    for (const SpeedModel::Run &Run : Runs.Runs_) {
      const double Reach = Model_.Policy_.MaxResidual_ *
                           std::sqrt(Run.Variance_ + Known.Variance_);
      const double HalfLives =
          std::chrono::duration<double>(Now_ - Run.At_) /
          std::chrono::duration<double>(Model_.Policy_.HalfLife_);
      const double Precision =
          std::exp2(-std::max(HalfLives, 0.0)) / Run.Variance_;
      Result.Mean_ +=
          Precision * std::clamp(Run.LogRate_, Centre - Reach, Centre + Reach);
      Result.Precision_ += Precision;
    }
    if (Result.Precision_ > 0)
      Result.Mean_ /= Result.Precision_;
    return Result;
  }

  static double centreOf(const StepRuns &Runs) {
    std::vector<double> Values;
    for (const SpeedModel::Run &Run : Runs.Runs_)
      Values.push_back(Run.LogRate_);
    return Values.empty() ? 0 : medianOf(std::move(Values));
  }

  /// Returns the median of at least one value.
  static double medianOf(std::vector<double> Values) {
    auto Middle =
        Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
    std::nth_element(Values.begin(), Middle, Values.end());
    return *Middle;
  }

  /// Precision below which only rounding errors are left of a step's sums.
  static constexpr double MinPrecision = 1e-6;

  SpeedModel &Model_;
  core::TimePoint Now_;
  std::map<std::string, StepSums> Steps_;
};

} // namespace

void recordRate(SpeedModel &Model, const RateSample &Sample,
                core::TimePoint Now) {
  if (!std::isfinite(Sample.RatePerSecond_) || Sample.RatePerSecond_ <= 0 ||
      !std::isfinite(Sample.Deviation_) || Sample.Deviation_ <= 0)
    return;
  const SpeedModel::Run New{Sample.Task_, std::log(Sample.RatePerSecond_),
                            Sample.Deviation_ * Sample.Deviation_, Now};
  StepRuns &Runs = runsOf(entryOf(Model, Sample.Worker_), Sample.Step_,
                          Model.Policy_.StepsPerWorker_);
  Model.Changed_ = true;
  for (SpeedModel::Run &Run : Runs.Runs_)
    if (Run.Task_ == Sample.Task_) {
      Run = New;
      return;
    }
  if (Runs.Runs_.size() >= Model.Policy_.RunsPerStep_)
    Runs.Runs_.erase(Runs.Runs_.begin());
  Runs.Runs_.push_back(New);
}

void forgetWorker(SpeedModel &Model, const std::string &Worker) {
  Model.Workers_.erase(Worker);
  Model.Changed_ = true;
}

void restoreSpeed(SpeedModel &Model, const std::string &Worker,
                  const WorkerSpeed &Known) {
  if (!std::isfinite(Known.Speed_) || Known.Speed_ <= 0 ||
      !std::isfinite(Known.LogError_) || Known.LogError_ <= 0)
    return;
  Entry &Restored = entryOf(Model, Worker);
  Restored.Restored_ = true;
  Restored.PriorLogSpeed_ = Restored.LogSpeed_ = std::log(Known.Speed_);
  Restored.PriorVariance_ = Restored.Variance_ =
      Known.LogError_ * Known.LogError_;
}

void refreshSpeeds(SpeedModel &Model, core::TimePoint Now) {
  if (!Model.Changed_)
    return;
  Model.Changed_ = false;
  Refresh(Model, Now).run();
}

WorkerSpeed speedOf(const SpeedModel &Model, const std::string &Worker) {
  auto It = Model.Workers_.find(Worker);
  if (It == Model.Workers_.end())
    return {1, Model.Policy_.PriorDeviation_};
  return {std::exp(It->second.LogSpeed_), std::sqrt(It->second.Variance_)};
}

} // namespace nutmegwell::expect
