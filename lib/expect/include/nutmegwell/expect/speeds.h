#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegwell::expect {

/// Weights and bounds of the speed model. Deviations are of natural logarithms.
struct SpeedPolicy {
  /// Standard deviation of speeds between workers; speeds from 0.6 to 1.6 give
  /// 0.4.
  double PriorDeviation_ = 0.4;
  /// Samples further from the estimate than this many standard deviations count
  /// as if they were this far, because a few tasks take several times as long
  /// as their siblings.
  double MaxResidual_ = 2.5;
  /// Steps that are kept for each worker, the latest ones.
  std::size_t StepsPerWorker_ = 16;
  /// Runs that are kept for each worker and step, the latest ones.
  std::size_t RunsPerStep_ = 4;
  /// Time after which a sample counts half.
  core::Duration HalfLife_ = std::chrono::minutes(5);
};

/// Rate of one run on one worker.
struct RateSample {
  std::string Worker_;
  /// Step to whose runs this one is compared.
  std::string Step_;
  /// Number of the task within its step. A later sample of the same task on the
  /// same worker replaces an earlier one.
  std::uint32_t Task_ = 0;
  /// Share of the task's work that is done in a second.
  double RatePerSecond_ = 0;
  /// Standard deviation of ln(rate) of such a run around the level of its step
  /// and the speed of its worker.
  double Deviation_ = 0.33;
};

/// Speed of a worker relative to the ordinary speed of the service's workers.
struct WorkerSpeed {
  double Speed_ = 1;
  /// Standard error of ln(Speed_).
  double LogError_ = 0;
};

/// Speeds of workers, learned from the rates of tasks of one step on different
/// workers: ln(rate) is the level of the step, plus ln(speed) of the worker,
/// plus a deviation. The state is bounded by the number of workers times
/// StepsPerWorker_ and RunsPerStep_.
struct SpeedModel {
  struct Run {
    std::uint32_t Task_ = 0;
    double LogRate_ = 0;
    double Variance_ = 0;
    core::TimePoint At_{};
  };
  /// Runs of one step on one worker, the latest last.
  struct StepRuns {
    std::string Step_;
    std::vector<Run> Runs_;
  };
  struct Entry {
    /// Steps in the order of their first sample.
    std::vector<StepRuns> Steps_;
    /// The starting point was restored, relative to the ordinary speed then.
    bool Restored_ = false;
    double PriorLogSpeed_ = 0;
    double PriorVariance_ = 0;
    double LogSpeed_ = 0;
    double Variance_ = 0;
  };

  SpeedPolicy Policy_;
  std::map<std::string, Entry> Workers_;
  /// A sample has been added since the last refresh.
  bool Changed_ = false;
};

/// Adds a sample. Ignores rates that are not positive and finite.
void recordRate(SpeedModel &Model, const RateSample &Sample,
                core::TimePoint Now);

/// Discards what is known of a worker, whose next incarnation may be another
/// machine.
void forgetWorker(SpeedModel &Model, const std::string &Worker);

/// Sets what an earlier holder knew of a worker as the starting point.
void restoreSpeed(SpeedModel &Model, const std::string &Worker,
                  const WorkerSpeed &Known);

/// Updates the estimates from the samples, unless there are no new ones. Linear
/// in the samples.
void refreshSpeeds(SpeedModel &Model, core::TimePoint Now);

/// Returns the estimate as of the last refresh; for a worker without samples,
/// speed 1 with the deviation between workers as its error.
WorkerSpeed speedOf(const SpeedModel &Model, const std::string &Worker);

} // namespace nutmegwell::expect
