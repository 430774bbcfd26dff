#include "holdersteps.h"
#include <algorithm>

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
         !Run.BestEffort_ && !Run.LongRunning_ &&
         !ranRemotely(State, Step, Run, RunsOfStep) &&
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

bool isDone(const LiveJob &Live, const TaskId &Task) {
  const jobs::StepProgress *Progress =
      Live.Progress_.find(Task.Occurrence_, Task.Step_);
  return Progress && Task.Index_ < Progress->Tasks_.size() &&
         Progress->Tasks_[Task.Index_].Done_;
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
      isDone(Live->second, Task))
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

core::Duration expectedRunTime(const Holder &State,
                               const jobs::JobAccepted &Job,
                               const jobs::StepSpec &Step) {
  if (!State.Policy_.LearnRunTimes_ || Step.LongRunning_ || Step.BestEffort_)
    return Step.Estimate_;
  return expect::expectedWork(State.RunTimes_, {Job.Queue_, Job.Account_},
                              Step.Estimate_)
      .Median_;
}

} // namespace nutmegwell::cell
