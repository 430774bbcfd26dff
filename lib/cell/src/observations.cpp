// Rates of runs, from which the speeds of workers are learned.

#include "holdersteps.h"
#include <cmath>

namespace nutmegwell::cell {

namespace {

/// Least progress in percent of a sample.
constexpr double MinGain = 5;
/// Standard deviations of ln(rate) around the step and the worker. The members
/// of a gang all do the same work; the tasks of other steps differ.
constexpr double GangDeviation = 0.05;
constexpr double TaskDeviation = 0.33;

std::string stepKey(const TaskId &Task) {
  return Task.Job_ + "." + std::to_string(Task.Occurrence_) + "." +
         std::to_string(Task.Step_);
}

const std::string *rackOf(const Holder &State, const std::string &Host) {
  auto It = State.Workers_.find(Host);
  if (It == State.Workers_.end() || !It->second.Info_)
    return nullptr;
  return &It->second.Info_->Rack_;
}

/// Returns whether a run is on the rack of its data and its siblings. Runs that
/// are not take several times as long, whatever the speed of their worker.
bool isLocal(const Holder &State, const TaskRun &Run,
             const jobs::StepSpec &Step) {
  const std::string *Rack = rackOf(State, Run.Host_);
  if (!Rack || (!Step.DataRack_.empty() && *Rack != Step.DataRack_))
    return false;
  if (!Step.SameRack_)
    return true;
  const TaskId &Task = Run.Id_.Task_;
  for (auto It = State.Runs_.lower_bound(
           {{Task.Job_, Task.Occurrence_, Task.Step_, 0}, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == Task.Job_ &&
       It->first.Task_.Occurrence_ == Task.Occurrence_ &&
       It->first.Task_.Step_ == Task.Step_;
       ++It) {
    const std::string *Other = rackOf(State, It->second.Host_);
    if (Other && *Other != *Rack)
      return false;
  }
  return true;
}

bool tellsSpeed(const Holder &State, const TaskRun &Run,
                const jobs::View &View) {
  if (!State.Policy_.LearnRunTimes_ || Run.State_ != RunState::Running ||
      Run.LongRunning_ || Run.BestEffort_)
    return false;
  auto Job = View.Jobs_.find(Run.Id_.Task_.Job_);
  return Job != View.Jobs_.end() &&
         Run.Id_.Task_.Step_ < Job->second.Accepted_.Spec_.Steps_.size() &&
         isLocal(State, Run,
                 Job->second.Accepted_.Spec_.Steps_[Run.Id_.Task_.Step_]);
}

void recordGain(Holder &State, const TaskRun &Run, double Gained,
                core::Duration Took, core::TimePoint Now) {
  if (Gained < MinGain || Took <= core::Duration(0))
    return;
  // Percentages are whole numbers.
  const double Rounding = 1 / Gained;
  expect::RateSample Sample;
  Sample.Worker_ = Run.Host_;
  Sample.Step_ = stepKey(Run.Id_.Task_);
  // Members of a gang on one worker show the same rate, which counts once.
  Sample.Task_ = Run.Gang_ ? 0 : Run.Id_.Task_.Index_;
  Sample.RatePerSecond_ =
      Gained / 100 / std::chrono::duration<double>(Took).count();
  Sample.Deviation_ =
      std::hypot(Run.Gang_ ? GangDeviation : TaskDeviation, Rounding);
  expect::recordRate(State.Speeds_, Sample, Now);
}

} // namespace

void observeProgress(Holder &State, const TaskRun &Run,
                     const HolderContext &Context) {
  // A gang member whose own work is done waits at 100% for the others.
  if (Run.Percent_ >= 100 || !tellsSpeed(State, Run, Context.View_))
    return;
  // A run that is first listed at 0% may be about to start or to restore its
  // checkpoint.
  if (Run.ListedPercent_ > 0)
    recordGain(State, Run, Run.Percent_ - Run.ListedPercent_,
               Run.ProgressedAt_ - Run.ListedAt_, Context.Now_);
  else if (Run.FirstChangeAt_)
    recordGain(State, Run, Run.Percent_ - Run.FirstChangePercent_,
               Run.ProgressedAt_ - *Run.FirstChangeAt_, Context.Now_);
}

void observeEnd(Holder &State, const TaskRun &Run, EndKind Kind,
                const HolderContext &Context) {
  // The end of a gang is that of its slowest member.
  if (Kind != EndKind::Done || Run.Gang_ || Run.ListedPercent_ <= 0 ||
      !tellsSpeed(State, Run, Context.View_))
    return;
  recordGain(State, Run, 100 - Run.ListedPercent_, Context.Now_ - Run.ListedAt_,
             Context.Now_);
}

} // namespace nutmegwell::cell
