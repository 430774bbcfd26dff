#include "accountorder.h"
#include "nutmegwell/cell/load.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

using jobs::JobEntry;

/// Returns the accelerators that all unfinished priority 0 jobs need, by
/// account.
std::map<std::string, double> guaranteedNeeds(const Holder &State,
                                              const HolderContext &Context) {
  std::map<std::string, double> Needs;
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
          static_cast<double>(Step.PerTask_.Accelerators_) * Step.Count_;
  }
  return Needs;
}

/// Occurrences of a step with one status that one decision considers. Bounds
/// the work for a job of which many are due.
constexpr std::size_t MaxOccurrencesConsidered = 64;

/// Returns whether \p It is a run of the step of \p Work.
bool isRunOf(const Holder &State, TaskRunMap::const_iterator It,
             const Unit &Work) {
  return It != State.Runs_.end() &&
         It->first.Task_.Job_ == Work.Job_->Accepted_.Job_ &&
         It->first.Task_.Occurrence_ == Work.Occurrence_ &&
         It->first.Task_.Step_ == Work.Step_;
}

/// Returns the first run of the step of \p Work from task \p From on, or the
/// run behind them.
TaskRunMap::const_iterator firstRunFrom(const Holder &State, const Unit &Work,
                                        std::uint32_t From) {
  return State.Runs_.lower_bound(
      {{Work.Job_->Accepted_.Job_, Work.Occurrence_, Work.Step_, From}, 0});
}

/// Adds a copy of a task whose only run is far behind its declared time.
void addCopy(const Holder &State, TaskRunMap::const_iterator It, Unit Work,
             core::TimePoint Now, std::vector<Unit> &Units) {
  const HolderPolicy &Policy = State.Policy_;
  auto Next = std::next(It);
  if (Next != State.Runs_.end() && Next->first.Task_ == It->first.Task_)
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
  Work.Index_ = It->first.Task_.Index_;
  Work.OriginalHost_ = Run.Host_;
  Units.push_back(std::move(Work));
}

/// Adds copies of the slow tasks of a step.
void addCopies(const Holder &State, const Unit &Template, const LiveJob &Live,
               core::TimePoint Now, std::vector<Unit> &Units) {
  const TaskId *Previous = nullptr;
  for (auto It = firstRunFrom(State, Template, 0); isRunOf(State, It, Template);
       ++It) {
    const TaskId &Task = It->first.Task_;
    if (!(Previous && *Previous == Task) && !Live.Progress_.taskDone(Task))
      addCopy(State, It, Template, Now, Units);
    Previous = &Task;
  }
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

/// Returns whether a member of a gang has a run, or may have one on a worker
/// that has not reported yet.
bool hasMember(const Holder &State, const Unit &Gang) {
  if (isRunOf(State, firstRunFrom(State, Gang, 0), Gang))
    return true;
  const TaskId First{Gang.Job_->Accepted_.Job_, Gang.Occurrence_, Gang.Step_,
                     0};
  return std::any_of(State.UnsyncedWorkers_.begin(),
                     State.UnsyncedWorkers_.end(), [&](const auto &Row) {
                       if (!Row.second.Tasks_)
                         return false;
                       const auto It = Row.second.Tasks_->lower_bound(First);
                       return It != Row.second.Tasks_->end() &&
                              It->Job_ == First.Job_ &&
                              It->Occurrence_ == First.Occurrence_ &&
                              It->Step_ == First.Step_;
                     });
}

/// Adds a unit for the tasks of a step that have no run, and copies of slow
/// tasks. Returns whether tasks wait.
bool addUnits(const Holder &State, const Unit &Template, const LiveJob &Live,
              core::TimePoint Now, std::vector<Unit> &Units) {
  const jobs::StepSpec &Step = Template.spec();
  Unit Waiting = Template;
  if (Step.Gang_) {
    if (hasMember(State, Template))
      return false;
    Waiting.Count_ = Step.Count_;
    Units.push_back(std::move(Waiting));
    return true;
  }
  if (Step.Speculative_)
    addCopies(State, Template, Live, Now, Units);
  const auto First = nextWaitingTask(State, Template, 0);
  if (!First)
    return false;
  Waiting.Index_ = *First;
  Units.push_back(std::move(Waiting));
  return true;
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
  return std::tie(A.Job_->Accepted_.Job_, A.Occurrence_, A.Step_, A.Index_) <
         std::tie(B.Job_->Accepted_.Job_, B.Occurrence_, B.Step_, B.Index_);
}

/// Collects the units of one job and the time of its next occurrence.
class JobScan {
public:
  JobScan(const Holder &State, const HolderContext &Context,
          const JobEntry &Job, bool Guaranteed)
      : State_(State), Context_(Context), Job_(Job), Guaranteed_(Guaranteed),
        Chains_(expectedChains(State, Job.Accepted_)),
        Objective_(objectiveOf(Context.Tables_.queue(Job.Accepted_.Queue_),
                               Chains_)) {}

  void collect(const LiveJob &Live, ReadyUnits &Ready, core::TimePoint &Wake) {
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step) {
      const DueOccurrences Due =
          dueOccurrences(State_.Policy_, Job_.Accepted_, Objective_,
                         Chains_[Step], Context_.Wall_);
      for (jobs::NumberRange Range : {Due.OnTime_, Due.Late_, Due.Expired_})
        collectStep(Live, Step, Range, Ready);
    }
    wakeForNext(Wake);
  }

private:
  /// Collects the units of a step in the occurrences \p Within.
  void collectStep(const LiveJob &Live, std::uint32_t Step,
                   jobs::NumberRange Within, ReadyUnits &Ready) {
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    std::size_t Considered = 0;
    for (auto Next = jobs::nextReady(Spec, Live.Progress_, Step, Within);
         !Next.empty();
         Next = jobs::nextReady(Spec, Live.Progress_, Step, Within)) {
      for (auto Occurrence = Next.First_; Occurrence < Next.End_;
           ++Occurrence) {
        if (Considered >= MaxOccurrencesConsidered) {
          Ready.Complete_ = false;
          return;
        }
        Considered += addUnits(State_, makeUnit(Occurrence, Step), Live,
                               Context_.Now_, Ready.Units_);
      }
      Within.First_ = Next.End_;
    }
  }

  /// Wakes the holder when the next occurrence is due.
  void wakeForNext(core::TimePoint &Wake) const {
    /// Limits the sum of times; the holder wakes far more often.
    constexpr core::Duration LongestSleep = std::chrono::hours(1);
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    const jobs::OccurrenceNumber Due =
        Spec.dueCount(Context_.Wall_ - State_.Policy_.DueMargin_);
    if (!Spec.timed() || Due >= Spec.occurrences())
      return;
    const core::Duration Wait =
        Spec.dueAt(Due) - (Context_.Wall_ - State_.Policy_.DueMargin_);
    Wake = std::min(Wake, Context_.Now_ + std::min(Wait, LongestSleep));
  }

  Unit makeUnit(jobs::OccurrenceNumber Occurrence, std::uint32_t Step) const {
    Unit Work;
    Work.Job_ = &Job_;
    Work.Occurrence_ = Occurrence;
    Work.Step_ = Step;
    Work.Priority_ = Job_.Accepted_.Priority_;
    Work.Guaranteed_ = Guaranteed_;
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    Work.Begin_ =
        Spec.timed() ? Spec.dueAt(Occurrence) : Job_.Accepted_.Submitted_;
    Work.Objective_ = Objective_;
    Work.Slack_ =
        Work.Begin_ + Work.Objective_ - Context_.Wall_ - Chains_[Step];
    return Work;
  }

  const Holder &State_;
  const HolderContext &Context_;
  const JobEntry &Job_;
  bool Guaranteed_;
  std::vector<core::Duration> Chains_;
  core::Duration Objective_;
};

} // namespace

DueOccurrences dueOccurrences(const HolderPolicy &Policy,
                              const jobs::JobAccepted &Job,
                              core::Duration Objective, core::Duration Chain,
                              jobs::WallTime Now) {
  const jobs::WallTime OnTimeFrom = Now + Chain - Objective;
  const jobs::WallTime LateFrom =
      OnTimeFrom - Objective * (Policy.LateFactor_ - 1);
  const jobs::JobSpec &Spec = Job.Spec_;
  DueOccurrences Due;
  if (!Spec.timed()) {
    jobs::NumberRange &Only = Job.Submitted_ >= OnTimeFrom ? Due.OnTime_
                              : Job.Submitted_ >= LateFrom ? Due.Late_
                                                           : Due.Expired_;
    Only = {0, 1};
    return Due;
  }
  constexpr core::Duration Tick(1);
  const auto All = Spec.dueCount(Now - Policy.DueMargin_);
  const auto BeforeOnTime = std::min(All, Spec.dueCount(OnTimeFrom - Tick));
  const auto BeforeLate =
      std::min(BeforeOnTime, Spec.dueCount(LateFrom - Tick));
  Due.OnTime_ = {BeforeOnTime, All};
  Due.Late_ = {BeforeLate, BeforeOnTime};
  Due.Expired_ = {0, BeforeLate};
  return Due;
}

std::optional<std::uint32_t>
nextWaitingTask(const Holder &State, const Unit &Work, std::uint32_t From) {
  const std::string &Job = Work.Job_->Accepted_.Job_;
  auto Live = State.Jobs_.find(Job);
  const jobs::StepProgress *Begun =
      Live == State.Jobs_.end()
          ? nullptr
          : Live->second.Progress_.find(Work.Occurrence_, Work.Step_);
  std::uint64_t Index = From;
  while (true) {
    if (Begun)
      Index = Begun->Done_.firstMissing(Index);
    if (Index >= Work.spec().Count_)
      return std::nullopt;
    const auto Task = static_cast<std::uint32_t>(Index);
    const auto Run = firstRunFrom(State, Work, Task);
    if ((!isRunOf(State, Run, Work) || Run->first.Task_.Index_ != Task) &&
        !mayRunOnUnsyncedWorker(State,
                                {Job, Work.Occurrence_, Work.Step_, Task}))
      return Task;
    ++Index;
  }
}

std::set<std::string> accountsWithinGuarantee(const Holder &State,
                                              const HolderContext &Context) {
  std::set<std::string> Names;
  for (const auto &[Name, Need] : guaranteedNeeds(State, Context)) {
    const jobs::Account *Account = Context.Tables_.account(Name);
    if (Account &&
        Need <= static_cast<double>(Account->GuaranteedAccelerators_))
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

ReadyUnits readyUnits(Holder &State, const HolderContext &Context,
                      core::TimePoint &Wake) {
  ReadyUnits Ready;
  std::vector<Unit> &Units = Ready.Units_;
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
    JobScan(State, Context, Job, Guaranteed).collect(Live, Ready, Wake);
  }
  rankUnits(State, Context, Units);
  std::sort(Units.begin(), Units.end(), [&](const Unit &A, const Unit &B) {
    return precedes(State.Policy_, A, B);
  });
  limitCopies(State, Units);
  return Ready;
}

} // namespace nutmegwell::cell
