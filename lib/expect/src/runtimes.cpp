#include "nutmegwell/expect/runtimes.h"
#include <algorithm>
#include <cmath>

namespace nutmegwell::expect {

namespace {

using Entry = RunTimeModel::Entry;

double logSeconds(core::Duration Value) {
  return std::log(std::chrono::duration<double>(Value).count());
}

/// Returns the duration of exp(\p LogSeconds) seconds, at most MaxWork.
core::Duration durationOf(double LogSeconds) {
  const double Seconds = std::exp(std::min(LogSeconds, logSeconds(MaxWork)));
  return std::min(MaxWork, std::chrono::duration_cast<core::Duration>(
                               std::chrono::duration<double>(Seconds)));
}

/// A normal distribution of a logarithm.
struct Belief {
  double Mean_ = 0;
  double Variance_ = 0;
};

/// Returns the variance of single values, which starts as the square of
/// \p Deviation with the weight of the starting point.
double varianceOf(const RunTimePolicy &Policy, const LogMoments &Moments,
                  double Deviation) {
  return (Moments.SquaredDeviation_ +
          Policy.PriorWeight_ * Deviation * Deviation) /
         (Moments.Weight_ + Policy.PriorWeight_);
}

/// Returns the mean of a class, drawn towards that of its queue, which has the
/// weight of the starting point.
double meanOf(const RunTimePolicy &Policy, const LogMoments &Queue,
              const LogMoments &Class) {
  return (Class.Weight_ * Class.Mean_ + Policy.PriorWeight_ * Queue.Mean_) /
         (Class.Weight_ + Policy.PriorWeight_);
}

/// Adds a value with weight 1, at most MaxResidual_ deviations from the mean.
void add(const RunTimePolicy &Policy, LogMoments &Moments, double Deviation,
         double Value) {
  if (Moments.Weight_ >= Policy.PriorWeight_) {
    const double Reach =
        Policy.MaxResidual_ * std::sqrt(varianceOf(Policy, Moments, Deviation));
    Value = std::clamp(Value, Moments.Mean_ - Reach, Moments.Mean_ + Reach);
  }
  if (Moments.Weight_ > Policy.MaxWeight_) {
    Moments.SquaredDeviation_ *= Policy.MaxWeight_ / Moments.Weight_;
    Moments.Weight_ = Policy.MaxWeight_;
  }
  Moments.Weight_ += 1;
  const double Before = Value - Moments.Mean_;
  Moments.Mean_ += Before / Moments.Weight_;
  Moments.SquaredDeviation_ += Before * (Value - Moments.Mean_);
}

void add(const RunTimePolicy &Policy, Entry &Known, core::Duration Declared,
         core::Duration Work) {
  add(Policy, Known.Work_, Policy.WorkDeviation_, logSeconds(Work));
  if (Declared > core::Duration(0))
    add(Policy, Known.DeclaredError_, Policy.DeclaredDeviation_,
        logSeconds(Work) - logSeconds(std::min(Declared, MaxWork)));
}

/// Returns the entry of \p Key, or nullptr when there is none and the map is
/// full.
template <typename Key>
Entry *entryOf(std::map<Key, Entry> &Entries, const Key &Name,
               std::size_t Max) {
  auto It = Entries.find(Name);
  if (It != Entries.end())
    return &It->second;
  return Entries.size() < Max ? &Entries[Name] : nullptr;
}

/// Returns what the works of the class and its queue show of a task's work.
Belief learnedWork(const RunTimePolicy &Policy, const LogMoments &Queue,
                   const LogMoments &Class) {
  const LogMoments &Spread = Class.Weight_ > 0 ? Class : Queue;
  const double Variance = varianceOf(Policy, Spread, Policy.WorkDeviation_);
  return {meanOf(Policy, Queue, Class),
          Variance * (1 + 1 / std::max(Spread.Weight_, 1.0))};
}

/// Returns what the declared time shows of a task's work, corrected by the mean
/// error of the class and its queue. The correction grows with the samples of
/// the queue, which include those of the class.
Belief correctedTime(const RunTimePolicy &Policy, const LogMoments &Queue,
                     const LogMoments &Class, core::Duration Declared) {
  const LogMoments &Spread = Class.Weight_ > 0 ? Class : Queue;
  const double Correction = meanOf(Policy, Queue, Class) * Queue.Weight_ /
                            (Queue.Weight_ + Policy.PriorWeight_);
  return {logSeconds(std::min(Declared, MaxWork)) + Correction,
          varianceOf(Policy, Spread, Policy.DeclaredDeviation_) *
              (1 + 1 / (Spread.Weight_ + Policy.PriorWeight_))};
}

Belief combine(const Belief &A, const Belief &B) {
  const double Precision = 1 / A.Variance_ + 1 / B.Variance_;
  return {(A.Mean_ / A.Variance_ + B.Mean_ / B.Variance_) / Precision,
          1 / Precision};
}

} // namespace

void recordWork(RunTimeModel &Model, const TaskClass &Class,
                core::Duration Declared, core::Duration Work) {
  if (Work <= core::Duration(0) || Work > MaxWork ||
      Declared < core::Duration(0))
    return;
  const RunTimePolicy &Policy = Model.Policy_;
  Entry *Queue = entryOf(Model.Queues_, Class.Queue_, Policy.MaxClasses_);
  if (!Queue)
    return;
  add(Policy, *Queue, Declared, Work);
  if (Entry *Known = entryOf(Model.Classes_, {Class.Queue_, Class.Account_},
                             Policy.MaxClasses_))
    add(Policy, *Known, Declared, Work);
}

ExpectedWork expectedWork(const RunTimeModel &Model, const TaskClass &Class,
                          core::Duration Declared) {
  const RunTimePolicy &Policy = Model.Policy_;
  const auto Queue = Model.Queues_.find(Class.Queue_);
  if (Queue == Model.Queues_.end())
    return {Declared,
            Declared > core::Duration(0) ? Policy.DeclaredDeviation_
                                         : Policy.WorkDeviation_,
            0};
  const auto Own = Model.Classes_.find({Class.Queue_, Class.Account_});
  const Entry Empty;
  const Entry &Known = Own != Model.Classes_.end() ? Own->second : Empty;
  Belief Result = learnedWork(Policy, Queue->second.Work_, Known.Work_);
  if (Declared > core::Duration(0))
    Result = combine(Result, correctedTime(Policy, Queue->second.DeclaredError_,
                                           Known.DeclaredError_, Declared));
  return {durationOf(Result.Mean_), std::sqrt(Result.Variance_),
          Queue->second.Work_.Weight_};
}

bool declaredTimesAreWrong(const RunTimeModel &Model,
                           const std::string &Queue) {
  const auto Known = Model.Queues_.find(Queue);
  if (Known == Model.Queues_.end())
    return false;
  const LogMoments &Error = Known->second.DeclaredError_;
  if (Error.Weight_ < Model.Policy_.MinWrongWeight_)
    return false;
  const double MeanSquare =
      Error.Mean_ * Error.Mean_ + Error.SquaredDeviation_ / Error.Weight_;
  return std::sqrt(MeanSquare) >= Model.Policy_.WrongDeclaredError_;
}

} // namespace nutmegwell::expect
