#include "holdersteps.h"
#include "nutmegwell/cell/load.h"
#include <algorithm>
#include <cmath>

namespace nutmegwell::cell {

namespace {

/// Share of its run time for which a run may show no progress before it counts
/// as paused. Bounds the error of its work by the same share.
constexpr int MaxGapDivisor = 4;

/// Returns the attempts at the tasks of the step of \p Run.
std::vector<const TaskRun *> runsOfStep(const Holder &State,
                                        const TaskRun &Run) {
  const TaskId &Task = Run.Id_.Task_;
  std::vector<const TaskRun *> Runs;
  for (auto It = State.Runs_.lower_bound(
           {{Task.Job_, Task.Occurrence_, Task.Step_, 0}, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == Task.Job_ &&
       It->first.Task_.Occurrence_ == Task.Occurrence_ &&
       It->first.Task_.Step_ == Task.Step_;
       ++It)
    Runs.push_back(&It->second);
  return Runs;
}

/// Returns the rack of a worker, or an empty string when it is not known.
std::string rackOf(const Holder &State, const std::string &Host) {
  auto It = State.Workers_.find(Host);
  return It != State.Workers_.end() && It->second.Info_
             ? It->second.Info_->Rack_
             : std::string();
}

/// Returns whether a run was slowed down by its place: away from the data, or
/// across racks from the other runs of its step.
bool ranRemotely(const Holder &State, const jobs::StepSpec &Step,
                 const TaskRun &Run,
                 const std::vector<const TaskRun *> &RunsOfStep) {
  const std::string Rack = rackOf(State, Run.Host_);
  if (!Step.DataRack_.empty() && Rack != Step.DataRack_)
    return true;
  return Step.SameRack_ &&
         std::any_of(RunsOfStep.begin(), RunsOfStep.end(),
                     [&](const TaskRun *Other) {
                       return rackOf(State, Other->Host_) != Rack;
                     });
}

/// Returns whether a run has shown no progress for a large part of its time.
/// Runs without reported progress do not show that.
bool wasPaused(const HolderPolicy &Policy, const TaskRun &Run,
               core::TimePoint Now) {
  if (!Run.FirstChangeAt_)
    return false;
  const core::Duration Gap = std::max(Run.LongestGap_, Now - Run.ProgressedAt_);
  return Gap >
         std::max(Policy.SuspectAfter_, (Now - Run.OrderedAt_) / MaxGapDivisor);
}

/// Returns whether the time from the order of a run to its end is that of its
/// task near its data.
bool showsWork(const Holder &State, const jobs::StepSpec &Step,
               const TaskRun &Run,
               const std::vector<const TaskRun *> &RunsOfStep,
               core::TimePoint Now) {
  return Run.FromStart_ && Run.State_ != RunState::Stopping &&
         Run.State_ != RunState::EndUnlisted && !Run.BestEffort_ &&
         !Run.LongRunning_ && !ranRemotely(State, Step, Run, RunsOfStep) &&
         !wasPaused(State.Policy_, Run, Now);
}

/// Returns the member of a gang that has determined its end, or nullptr when
/// not all members are known. A gang takes as long as its slowest member, so
/// that only this one's run time shows its work.
const TaskRun *slowestMember(const jobs::StepSpec &Step,
                             const std::vector<const TaskRun *> &Members) {
  if (Members.size() != Step.Count_)
    return nullptr;
  return *std::min_element(Members.begin(), Members.end(),
                           [](const TaskRun *A, const TaskRun *B) {
                             return A->Percent_ < B->Percent_;
                           });
}

/// Time between two looks at all speeds, for log and metrics.
constexpr core::Duration SpeedReportInterval = std::chrono::seconds(1);

/// Maximum number of lines of a look; the rest follows with the next ones. The
/// log queue holds 2,000 lines.
constexpr std::size_t MaxSpeedLines = 20;

/// Factor by which a speed changes before it is logged again.
constexpr double LoggedSpeedChange = 1.25;

/// Returns whether a known speed differs enough from what was logged last.
bool needsLine(const SpeedLog &Log, const Worker &Host,
               const expect::WorkerSpeed &Speed) {
  auto It = Log.Lines_.find(Host.Host_);
  if (It == Log.Lines_.end() ||
      It->second.WorkerIncarnation_ != Host.Info_->WorkerIncarnation_)
    return true;
  const double Change = std::abs(std::log(Speed.Speed_ / It->second.Speed_));
  return Change >= std::log(LoggedSpeedChange) && Change > Speed.LogError_;
}

void add(SpeedFigures &Figures, double Speed) {
  Figures.Min_ = Figures.Known_ == 0 ? Speed : std::min(Figures.Min_, Speed);
  Figures.Max_ = std::max(Figures.Max_, Speed);
  ++Figures.Known_;
}

} // namespace

void recordFinishedWork(Holder &State, const TaskRun &Run,
                        const HolderContext &Context) {
  if (!State.Policy_.LearnRunTimes_)
    return;
  const TaskId &Task = Run.Id_.Task_;
  const auto Entry = Context.View_.Jobs_.find(Task.Job_);
  const auto Live = State.Jobs_.find(Task.Job_);
  if (Entry == Context.View_.Jobs_.end() || Live == State.Jobs_.end() ||
      Task.Step_ >= Entry->second.Accepted_.Spec_.Steps_.size() ||
      Live->second.Progress_.taskDone(Task))
    return;
  const jobs::JobAccepted &Job = Entry->second.Accepted_;
  const jobs::StepSpec &Step = Job.Spec_.Steps_[Task.Step_];
  const std::vector<const TaskRun *> Runs = runsOfStep(State, Run);
  const TaskRun *Slowest = Step.Gang_ ? slowestMember(Step, Runs) : &Run;
  if (!Slowest || !showsWork(State, Step, *Slowest, Runs, Context.Now_))
    return;
  const std::chrono::duration<double, std::micro> Work =
      (Context.Now_ - Slowest->OrderedAt_) *
      expect::speedOf(State.Speeds_, Slowest->Host_).Speed_;
  expect::recordWork(State.RunTimes_, {Job.Queue_, Job.Account_},
                     Step.Estimate_,
                     std::chrono::duration_cast<core::Duration>(
                         std::min<decltype(Work)>(Work, expect::MaxWork)));
}

std::vector<core::Duration> expectedChains(const Holder &State,
                                           const jobs::JobAccepted &Job) {
  std::vector<core::Duration> RunTimes;
  for (const jobs::StepSpec &Step : Job.Spec_.Steps_)
    RunTimes.push_back(expectedRunTime(State, Job, Step));
  return longestChains(Job.Spec_, RunTimes);
}

core::Duration expectedRunTime(const Holder &State,
                               const jobs::JobAccepted &Job,
                               const jobs::StepSpec &Step) {
  if (!State.Policy_.LearnRunTimes_ || Step.LongRunning_ || Step.BestEffort_)
    return Step.Estimate_;
  if (Step.Estimate_ > core::Duration(0) &&
      !expect::declaredTimesAreWrong(State.RunTimes_, Job.Queue_))
    return Step.Estimate_;
  return expect::expectedWork(State.RunTimes_, {Job.Queue_, Job.Account_},
                              Step.Estimate_)
      .Median_;
}

void reportSpeeds(Holder &State, core::TimePoint Now, Effects &Out) {
  SpeedLog &Log = State.SpeedLog_;
  if (!State.Policy_.LearnRunTimes_ || Now < Log.NextAt_)
    return;
  Log.NextAt_ = Now + SpeedReportInterval;
  SpeedFigures Figures;
  std::size_t Lines = 0;
  for (const auto &[Name, Host] : State.Workers_) {
    const expect::WorkerSpeed Speed = expect::speedOf(State.Speeds_, Name);
    if (!isPresent(Host) || !isSpeedKnown(State.Policy_, Speed))
      continue;
    add(Figures, Speed.Speed_);
    if (Lines >= MaxSpeedLines || !needsLine(Log, Host, Speed))
      continue;
    ++Lines;
    Log.Lines_[Name] = {Host.Info_->WorkerIncarnation_, Speed.Speed_};
    Out.LogEvents_.push_back({"speed_learned",
                              {{"host", Name},
                               {"worker", Host.Info_->Id_},
                               {"speed", std::to_string(Speed.Speed_)},
                               {"error", std::to_string(Speed.LogError_)}}});
  }
  Out.SpeedFigures_ = Figures;
}

} // namespace nutmegwell::cell
