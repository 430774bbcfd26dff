#pragma once

#include "nutmegwell/core/time.h"
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace nutmegwell::expect {

/// Weights and bounds of the run time model. Deviations are of natural
/// logarithms.
struct RunTimePolicy {
  /// Standard deviation of declared times around the true work before any
  /// sample; declared times are off by up to a factor of 1.9.
  double DeclaredDeviation_ = 0.4;
  /// Standard deviation of ln(work) between the tasks of a class before any
  /// sample. Wide, so that declared times count more until the tasks of a class
  /// have shown that they are alike.
  double WorkDeviation_ = 1;
  /// Number of samples whose weight the starting point has.
  double PriorWeight_ = 4;
  /// Largest weight of all earlier samples, so that old ones decay.
  double MaxWeight_ = 64;
  /// Samples further from the mean than this many standard deviations count as
  /// if they were this far, because a few tasks take several times as long as
  /// their siblings.
  double MaxResidual_ = 2.5;
  /// Root mean square error of ln(declared time) from which the declared times
  /// of a queue count as wrong, a factor of 1.6, and the weight of the samples
  /// that have to show it.
  double WrongDeclaredError_ = 0.5;
  double MinWrongWeight_ = 8;
  /// Classes that are kept; beyond that, samples count for their queue only.
  /// Also the number of queues that are kept.
  std::size_t MaxClasses_ = 4096;
};

/// Tasks whose run times are expected to be alike.
struct TaskClass {
  std::string Queue_;
  std::string Account_;
};

/// Expected work of a task: its run time on a worker of ordinary speed near its
/// data.
struct ExpectedWork {
  core::Duration Median_{0};
  /// Standard deviation of ln(work).
  double LogSpread_ = 0;
  /// Weight of the samples behind the estimate; 0 when it is the declared time.
  double Weight_ = 0;
};

/// Mean and spread of a logarithm, as a running sum with decaying weights.
struct LogMoments {
  double Weight_ = 0;
  double Mean_ = 0;
  double SquaredDeviation_ = 0;
};

/// Learned work of tasks, and errors of declared times, by queue and account.
struct RunTimeModel {
  struct Entry {
    /// ln(work in seconds).
    LogMoments Work_;
    /// ln(work / declared time).
    LogMoments DeclaredError_;
  };

  RunTimePolicy Policy_;
  std::map<std::string, Entry> Queues_;
  std::map<std::pair<std::string, std::string>, Entry> Classes_;
};

/// Longest work that is learned or expected; bounds the sums of callers of
/// expectedWork.
constexpr core::Duration MaxWork = std::chrono::hours(24 * 366);

/// Adds the work of one finished task: its run time times the speed of its
/// worker. \p Declared is zero when no time was declared. Ignores works that
/// are not positive or above MaxWork, and negative declared times.
void recordWork(RunTimeModel &Model, const TaskClass &Class,
                core::Duration Declared, core::Duration Work);

/// Returns the expected work of a task, which combines the declared time with
/// what the queue and the account have shown, weighted by their spreads.
/// Addresses queues whose declared times are off: without a sample of the
/// queue, the declared time is returned as it is.
ExpectedWork expectedWork(const RunTimeModel &Model, const TaskClass &Class,
                          core::Duration Declared);

/// Returns true when finished tasks of a queue have shown that its declared
/// times are wrong.
///
/// Load pattern: queues whose callers declare their times well, beside others
/// whose times are off by up to 1.9 either way. Estimates replace only the
/// latter.
bool declaredTimesAreWrong(const RunTimeModel &Model, const std::string &Queue);

} // namespace nutmegwell::expect
