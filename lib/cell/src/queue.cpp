#include "accountorder.h"
#include "nutmegwell/cell/load.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

using jobs::JobEntry;

/// Returns the accelerators that all unfinished priority 0 jobs need, by
/// account.
std::map<std::string, std::int64_t>
guaranteedNeeds(const Holder &State, const HolderContext &Context) {
  std::map<std::string, std::int64_t> Needs;
  for (const auto &[Name, Job] : Context.View_.Jobs_) {
    if (Job.Accepted_.Job_.empty() || Job.Accepted_.Priority_ != 0)
      continue;
    auto Live = State.Jobs_.find(Name);
    const jobs::JobState Now = Live != State.Jobs_.end()
                                   ? Live->second.Progress_.State_
                                   : Job.reportedState();
    if (jobs::isFinal(Now))
      continue;
    for (const jobs::StepSpec &Step : Job.Accepted_.Spec_.Steps_)
      Needs[Job.Accepted_.Account_] +=
          Step.PerTask_.Accelerators_ * Step.Count_;
  }
  return Needs;
}

/// Adds a copy of a task whose only run is far behind its declared time.
void addCopy(const Holder &State, Unit Work, core::TimePoint Now,
             std::vector<Unit> &Units) {
  const HolderPolicy &Policy = State.Policy_;
  const TaskId Task{Work.Job_->Accepted_.Job_, Work.Occurrence_, Work.Step_,
                    Work.Index_};
  auto It = State.Runs_.lower_bound({Task, 0});
  auto Next = std::next(It);
  if (Next != State.Runs_.end() && Next->first.Task_ == Task)
    return;
  const TaskRun &Run = It->second;
  const auto CopyDelay = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(Work.spec().Estimate_.count()) *
          Policy.CopyAfterFactor_));
  if (Run.State_ != RunState::Running ||
      Run.Percent_ >= Policy.NearlyDonePercent_ ||
      Now - Run.OrderedAt_ < CopyDelay)
    return;
  Work.OriginalHost_ = Run.Host_;
  Units.push_back(Work);
}

/// Returns true when \p Task may be running on a closed worker that has not
/// reported yet.
bool mayRunOnUnsyncedWorker(const Holder &State, const TaskId &Task) {
  return std::any_of(State.UnsyncedWorkers_.begin(),
                     State.UnsyncedWorkers_.end(), [&](const auto &Row) {
                       return Row.second.Tasks_ &&
                              Row.second.Tasks_->count(Task) > 0;
                     });
}

/// Adds units for the tasks of a step that have no run, and copies of slow
/// tasks.
void addUnits(Holder &State, const Unit &Template, LiveJob &Live,
              core::TimePoint Now, std::vector<Unit> &Units) {
  const std::string &Job = Template.Job_->Accepted_.Job_;
  const jobs::StepSpec &Step = Template.spec();
  auto MayBeRunning = [&](std::uint32_t Index) {
    return mayRunOnUnsyncedWorker(
        State, {Job, Template.Occurrence_, Template.Step_, Index});
  };
  auto HasNoRun = [&](std::uint32_t Index) {
    return findRun(State.Runs_, {Job, Template.Occurrence_, Template.Step_,
                                 Index}) == State.Runs_.end();
  };
  if (Step.Gang_) {
    for (std::uint32_t I = 0; I < Step.Count_; ++I)
      if (!HasNoRun(I) || MayBeRunning(I))
        return;
    Unit Whole = Template;
    Whole.Count_ = Step.Count_;
    Units.push_back(Whole);
    return;
  }
  const jobs::StepProgress &Progress = Live.Progress_.step(
      Template.Job_->Accepted_.Spec_, Template.Occurrence_, Template.Step_);
  for (std::uint32_t I = 0; I < Step.Count_; ++I) {
    Unit One = Template;
    One.Index_ = I;
    if (Progress.Tasks_[I].Done_ || MayBeRunning(I))
      continue;
    if (HasNoRun(I))
      Units.push_back(One);
    else if (Step.Speculative_)
      addCopy(State, One, Now, Units);
  }
}

/// Removes copies that exceed their budget, the last ones first.
void limitCopies(const Holder &State, std::vector<Unit> &Units) {
  std::size_t Copies = 0;
  const RunId *Previous = nullptr;
  for (const auto &[Id, Run] : State.Runs_) {
    Copies += Previous && Previous->Task_ == Id.Task_;
    Previous = &Id;
  }
  const std::size_t Budget = std::max<std::size_t>(
      1, State.Runs_.size() * State.Policy_.CopiesPerHundred_ / 100);
  for (auto It = Units.begin(); It != Units.end();) {
    if (It->OriginalHost_.empty() || Copies++ < Budget)
      ++It;
    else
      It = Units.erase(It);
  }
}

/// Orders units for placement: first attempts before copies, then guaranteed
/// and urgent work, then the work whose start still benefits its caller most,
/// then that of accounts that have used less lately.
bool precedes(const HolderPolicy &Policy, const Unit &A, const Unit &B) {
  if (A.OriginalHost_.empty() != B.OriginalHost_.empty())
    return A.OriginalHost_.empty();
  if (A.Guaranteed_ != B.Guaranteed_)
    return A.Guaranteed_;
  if (A.Priority_ != B.Priority_)
    return A.Priority_ < B.Priority_;
  const int StatusA = objectiveOrder(Policy, A);
  const int StatusB = objectiveOrder(Policy, B);
  if (StatusA != StatusB)
    return StatusA < StatusB;
  if (A.UsageRank_ != B.UsageRank_)
    return A.UsageRank_ < B.UsageRank_;
  if (A.Slack_ != B.Slack_)
    return A.Slack_ < B.Slack_;
  return A.Job_->Accepted_.Job_ < B.Job_->Accepted_.Job_;
}

/// Collects the units of one job and the time of its next occurrence.
class JobScan {
public:
  JobScan(Holder &State, const HolderContext &Context, const JobEntry &Job,
          bool Guaranteed)
      : State_(State), Context_(Context), Job_(Job), Guaranteed_(Guaranteed),
        Chains_(expectedChains(State, Job.Accepted_)),
        Queue_(Context.Tables_.queue(Job.Accepted_.Queue_)) {}

  void collect(LiveJob &Live, std::vector<Unit> &Units, core::TimePoint &Wake) {
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    for (std::uint32_t Occurrence = 0; Occurrence < Spec.occurrences();
         ++Occurrence) {
      if (Spec.timed()) {
        const jobs::WallTime Start =
            Spec.dueAt(Occurrence) + State_.Policy_.DueMargin_;
        if (Context_.Wall_ < Start) {
          Wake = std::min(Wake, Context_.Now_ + (Start - Context_.Wall_));
          break;
        }
      }
      for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step)
        if (stepReady(Spec, Live.Progress_, Occurrence, Step))
          addUnits(State_, makeUnit(Occurrence, Step), Live, Context_.Now_,
                   Units);
    }
  }

private:
  Unit makeUnit(std::uint32_t Occurrence, std::uint32_t Step) const {
    Unit Work;
    Work.Job_ = &Job_;
    Work.Occurrence_ = Occurrence;
    Work.Step_ = Step;
    Work.Priority_ = Job_.Accepted_.Priority_;
    Work.Guaranteed_ = Guaranteed_;
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    Work.Begin_ =
        Spec.timed() ? Spec.dueAt(Occurrence) : Job_.Accepted_.Submitted_;
    Work.Objective_ = objectiveOf(Queue_, Chains_);
    Work.Slack_ =
        Work.Begin_ + Work.Objective_ - Context_.Wall_ - Chains_[Step];
    return Work;
  }

  Holder &State_;
  const HolderContext &Context_;
  const JobEntry &Job_;
  bool Guaranteed_;
  std::vector<core::Duration> Chains_;
  const jobs::Queue *Queue_;
};

} // namespace

bool stepReady(const jobs::JobSpec &Spec, const jobs::JobProgress &Progress,
               std::uint32_t Occurrence, std::uint32_t Step) {
  for (std::uint32_t Dependency : Spec.Steps_[Step].DependsOn_)
    if (!Progress.stepDone(Occurrence, Dependency))
      return false;
  return !Progress.stepDone(Occurrence, Step);
}

std::set<std::string> accountsWithinGuarantee(const Holder &State,
                                              const HolderContext &Context) {
  std::set<std::string> Names;
  for (const auto &[Name, Need] : guaranteedNeeds(State, Context)) {
    const jobs::Account *Account = Context.Tables_.account(Name);
    if (Account && Need <= Account->GuaranteedAccelerators_)
      Names.insert(Name);
  }
  return Names;
}

ObjectiveStatus objectiveStatusOf(const HolderPolicy &Policy,
                                  const Unit &Work) {
  if (Work.Slack_ >= core::Duration(0))
    return ObjectiveStatus::OnTime;
  const core::Duration UntilExpired =
      Work.Slack_ + Work.Objective_ * (Policy.LateFactor_ - 1);
  return UntilExpired >= core::Duration(0) ? ObjectiveStatus::Late
                                           : ObjectiveStatus::Expired;
}

bool acceptsRemotePlacement(const HolderPolicy &Policy, const Unit &Work,
                            double FreeShare, core::Duration Waited) {
  const auto Slowdown = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(Work.spec().Estimate_.count()) *
          (Policy.RemotePenalty_ - 1)));
  if (Waited >= Slowdown)
    return true;
  const bool OnTime =
      objectiveStatusOf(Policy, Work) == ObjectiveStatus::OnTime;
  return FreeShare >= Policy.RemoteMinFreeShare_ &&
         (!OnTime || Work.Slack_ >= Slowdown);
}

std::vector<Unit> readyUnits(Holder &State, const HolderContext &Context,
                             core::TimePoint &Wake) {
  std::vector<Unit> Units;
  const bool MayRunAnyTask = std::any_of(
      State.UnsyncedWorkers_.begin(), State.UnsyncedWorkers_.end(),
      [](const auto &Row) { return !Row.second.Tasks_.has_value(); });
  const auto WithinGuarantee = accountsWithinGuarantee(State, Context);
  for (const auto &[Name, Job] : Context.View_.Jobs_) {
    if (Job.Accepted_.Job_.empty() || jobs::isFinal(Job.reportedState()))
      continue;
    // An open worker that has not reported may run any task that an earlier
    // holder could know of.
    if (MayRunAnyTask && Job.AcceptedAt_ < State.ClaimedAt_)
      continue;
    LiveJob &Live = liveJob(State, Job, Context.Now_);
    if (jobs::isFinal(Live.Progress_.State_))
      continue;
    if (Context.Now_ < Live.NotBefore_) {
      Wake = std::min(Wake, Live.NotBefore_);
      continue;
    }
    const bool Guaranteed = Job.Accepted_.Priority_ == 0 &&
                            WithinGuarantee.count(Job.Accepted_.Account_) > 0;
    JobScan(State, Context, Job, Guaranteed).collect(Live, Units, Wake);
  }
  rankUnits(State, Context, Units);
  std::sort(Units.begin(), Units.end(), [&](const Unit &A, const Unit &B) {
    return precedes(State.Policy_, A, B);
  });
  limitCopies(State, Units);
  return Units;
}

} // namespace nutmegwell::cell
