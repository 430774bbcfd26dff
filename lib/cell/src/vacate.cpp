// Stops runs that draining workers would take with them.

#include "holdersteps.h"
#include "releases.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Runs that are decided on together: a gang, or one run.
struct DepartingRuns {
  std::vector<RunId> Members_;
  /// Worker that leaves first.
  std::string Host_;
  DepartingUnit Unit_;
};

/// Returns the run under which a unit is known: that of its first task.
RunId firstRun(const TaskRun &Run) {
  RunId First = Run.Id_;
  if (Run.Gang_)
    First.Task_.Index_ = 0;
  return First;
}

/// Returns the time until \p Host leaves; nothing when it does not drain, or
/// does not report: an order could not reach it in time.
std::optional<core::Duration> timeUntilDeparture(const Holder &State,
                                                 const Worker &Host,
                                                 core::TimePoint Now) {
  if (!Host.Info_ || !Host.Departure_ || !isReporting(State, Host, Now))
    return std::nullopt;
  return timeLeft(*Host.Departure_, Now);
}

std::vector<RunId> membersOf(const Holder &State, const TaskRun &Run) {
  if (!Run.Gang_)
    return {Run.Id_};
  const TaskId First = firstRun(Run).Task_;
  std::vector<RunId> Members;
  for (auto It = State.Runs_.lower_bound({First, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == First.Job_ &&
       It->first.Task_.Occurrence_ == First.Occurrence_ &&
       It->first.Task_.Step_ == First.Step_;
       ++It)
    if (It->first.Run_ == Run.Id_.Run_)
      Members.push_back(It->first);
  return Members;
}

/// Returns the step of a task, or nullptr when its job is not known.
const jobs::StepSpec *stepOf(const jobs::View &View, const TaskId &Task) {
  auto Job = View.Jobs_.find(Task.Job_);
  if (Job == View.Jobs_.end() ||
      Task.Step_ >= Job->second.Accepted_.Spec_.Steps_.size())
    return nullptr;
  return &Job->second.Accepted_.Spec_.Steps_[Task.Step_];
}

/// Returns whether the result of a run counts no more: its job has ended, or
/// its task is done.
bool isSuperseded(const Holder &State, const TaskRun &Run) {
  const TaskId &Task = Run.Id_.Task_;
  auto Job = State.Jobs_.find(Task.Job_);
  if (Job == State.Jobs_.end())
    return false;
  const jobs::JobProgress &Progress = Job->second.Progress_;
  return jobs::isFinal(Progress.State_) || Progress.taskDone(Task);
}

std::optional<core::Duration> expectedRest(const DeparturePolicy &Policy,
                                           const TaskRun &Run,
                                           const HolderContext &Context) {
  // A run that is slowed down by order says nothing about its rest.
  if (Run.BestEffort_ && Run.Pace_ < 100)
    return std::nullopt;
  const jobs::StepSpec *Step = stepOf(Context.View_, Run.Id_.Task_);
  return expectedRest(Policy, {Run.Percent_, Context.Now_ - Run.ProgressedAt_,
                               timePerPercent(Run),
                               Step ? Step->Estimate_ : core::Duration(0)});
}

/// Returns the unit of \p Run, or nothing when it needs no decision.
std::optional<DepartingRuns> unitOf(const Holder &State, const TaskRun &Run,
                                    const HolderContext &Context) {
  DepartingRuns Result;
  Result.Members_ = membersOf(State, Run);
  Result.Unit_.Checkpoints_ = Run.Checkpoints_;
  Result.Unit_.LongRunning_ = Run.LongRunning_;
  for (const RunId &Id : Result.Members_) {
    const TaskRun &Member = State.Runs_.at(Id);
    if (Member.State_ == RunState::Stopping ||
        Member.State_ == RunState::EndUnlisted || isSuperseded(State, Member))
      return std::nullopt;
    const auto Left = timeUntilDeparture(State, State.Workers_.at(Member.Host_),
                                         Context.Now_);
    if (Left && (Result.Host_.empty() || *Left < Result.Unit_.TimeLeft_)) {
      Result.Host_ = Member.Host_;
      Result.Unit_.TimeLeft_ = *Left;
    }
    const auto Rest = expectedRest(State.Policy_.Departure_, Member, Context);
    if (Rest)
      Result.Unit_.Rest_ =
          std::max(Result.Unit_.Rest_.value_or(core::Duration(0)), *Rest);
  }
  return Result;
}

/// Returns the units on draining workers, those that are left least time first,
/// so that the long-running tasks which leave first are moved first.
std::vector<DepartingRuns> departingUnits(const Holder &State,
                                          const HolderContext &Context) {
  std::set<std::string> Leaving;
  for (const auto &[Name, Host] : State.Workers_)
    if (timeUntilDeparture(State, Host, Context.Now_))
      Leaving.insert(Name);
  std::vector<DepartingRuns> Units;
  if (Leaving.empty())
    return Units;
  std::set<RunId> Seen;
  for (const auto &[Id, Run] : State.Runs_) {
    if (!Leaving.count(Run.Host_) || !Seen.insert(firstRun(Run)).second)
      continue;
    if (auto Unit = unitOf(State, Run, Context))
      Units.push_back(*std::move(Unit));
  }
  std::stable_sort(Units.begin(), Units.end(),
                   [](const DepartingRuns &A, const DepartingRuns &B) {
                     return A.Unit_.TimeLeft_ < B.Unit_.TimeLeft_;
                   });
  return Units;
}

/// Returns whether a long-running unit can be stopped so that no more tasks of
/// its step are down than the step allows. Tasks that are down for any reason
/// count.
bool staysAvailable(const Holder &State, const DepartingRuns &Unit,
                    const HolderContext &Context) {
  const TaskId &Task = Unit.Members_.front().Task_;
  const jobs::StepSpec *Step = stepOf(Context.View_, Task);
  if (!Step || !Step->MaxUnavailable_)
    return true;
  const std::set<RunId> Members(Unit.Members_.begin(), Unit.Members_.end());
  std::set<std::uint32_t> Available;
  for (auto It = State.Runs_.lower_bound(
           {{Task.Job_, Task.Occurrence_, Task.Step_, 0}, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == Task.Job_ &&
       It->first.Task_.Occurrence_ == Task.Occurrence_ &&
       It->first.Task_.Step_ == Task.Step_;
       ++It)
    if (It->second.State_ == RunState::Running && !Members.count(It->first))
      Available.insert(It->first.Task_.Index_);
  return Available.size() + *Step->MaxUnavailable_ >= Step->Count_;
}

core::LogEvent vacatedEvent(const DepartingRuns &Runs, DepartureChoice Choice) {
  auto Milliseconds = [](core::Duration Span) {
    return std::to_string(core::wholeMilliseconds(Span).count());
  };
  const RunId &First = Runs.Members_.front();
  return {"worker_vacated",
          {{"host", Runs.Host_},
           {"task", toString(First.Task_)},
           {"run", std::to_string(First.Run_)},
           {"runs", std::to_string(Runs.Members_.size())},
           {"decision", name(Choice)},
           {"time_left_ms", Milliseconds(Runs.Unit_.TimeLeft_)},
           {"rest_ms",
            Runs.Unit_.Rest_ ? Milliseconds(*Runs.Unit_.Rest_) : "unknown"}}};
}

void stopUnit(Holder &State, const DepartingRuns &Unit, core::TimePoint Now,
              Effects &Out) {
  for (const RunId &Id : Unit.Members_)
    stopRun(State, State.Runs_.at(Id), "its worker leaves", Now, Out);
}

/// Wakes the holder when the stop of a run on a draining worker is to be sent
/// again: the margin covers the loss of one order, but not a late repeat.
void wakeForRepeats(const Holder &State, core::TimePoint Now, Effects &Out) {
  for (const auto &[Id, Run] : State.Runs_) {
    const core::TimePoint Due =
        Run.StopSentAt_ + State.Policy_.StopResendInterval_;
    if (Run.State_ == RunState::Stopping && Due > Now &&
        State.Workers_.at(Run.Host_).Departure_)
      Out.WakeAt_ = std::min(Out.WakeAt_, Due);
  }
}

} // namespace

void vacateWorkers(Holder &State, const HolderContext &Context, Effects &Out) {
  if (!State.Policy_.Departure_.Enabled_)
    return;
  std::map<RunId, DepartureChoice> Choices;
  for (const DepartingRuns &Unit : departingUnits(State, Context)) {
    std::optional<core::Duration> DecideAgainIn;
    DepartureChoice Choice =
        chooseDeparture(State.Policy_.Departure_, Unit.Unit_, DecideAgainIn);
    if (DecideAgainIn)
      Out.WakeAt_ = std::min(Out.WakeAt_, Context.Now_ + *DecideAgainIn);
    if (Unit.Unit_.LongRunning_ && !staysAvailable(State, Unit, Context))
      Choice = DepartureChoice::Continue;
    const RunId &First = Unit.Members_.front();
    auto Before = State.DepartureChoices_.find(First);
    if (Before == State.DepartureChoices_.end() || Before->second != Choice) {
      Out.LogEvents_.push_back(vacatedEvent(Unit, Choice));
      Out.Departures_.push_back(Choice);
    }
    Choices[First] = Choice;
    if (Choice != DepartureChoice::Continue)
      stopUnit(State, Unit, Context.Now_, Out);
  }
  State.DepartureChoices_ = std::move(Choices);
  wakeForRepeats(State, Context.Now_, Out);
}

} // namespace nutmegwell::cell
