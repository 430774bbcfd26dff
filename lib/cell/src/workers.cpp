#include "steps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Reported progress of a run, or of a whole gang.
struct Pace {
  bool AllPresent_ = true;
  core::TimePoint OrderedAt_ = core::TimePoint::max();
  /// When any member last made progress.
  core::TimePoint ChangedAt_{};
  /// Lowest percentage of the members.
  double Percent_ = 100;
};

void addMember(Pace &Sum, const TaskRun &Run) {
  Sum.AllPresent_ &= Run.State_ == RunState::Running;
  Sum.OrderedAt_ = std::min(Sum.OrderedAt_, Run.OrderedAt_);
  Sum.ChangedAt_ = std::max(Sum.ChangedAt_, Run.ProgressedAt_);
  Sum.Percent_ = std::min(Sum.Percent_, Run.Percent_);
}

Pace paceOf(const Holder &State, const TaskRun &Run, std::uint32_t Members) {
  Pace Sum;
  if (!Run.Gang_) {
    addMember(Sum, Run);
    return Sum;
  }
  const TaskId &Task = Run.Id_.Task_;
  std::uint32_t Present = 0;
  for (auto It = State.Runs_.lower_bound(
           {{Task.Job_, Task.Occurrence_, Task.Step_, 0}, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == Task.Job_ &&
       It->first.Task_.Occurrence_ == Task.Occurrence_ &&
       It->first.Task_.Step_ == Task.Step_;
       ++It, ++Present)
    addMember(Sum, It->second);
  Sum.AllPresent_ &= Present >= Members;
  return Sum;
}

/// Returns how long a run or gang may show no progress before it counts as
/// stalled.
core::Duration patienceWith(const HolderPolicy &Policy, const Pace &Work) {
  /// Percentages are rounded and can lag by one report, so that the time of
  /// four percent without a change is not yet a stall.
  constexpr int StepsOfPatience = 4;
  const core::Duration Worked = Work.ChangedAt_ - Work.OrderedAt_;
  if (Work.Percent_ < 1 || Worked <= core::Duration(0))
    return Policy.StallTimeout_;
  // The percentage refers to the declared work, which is often far off. At 100
  // only the time taken so far indicates how long the rest may take.
  if (Work.Percent_ >= 100)
    return std::max(Policy.StallTimeout_, Worked * Policy.OverrunFactor_);
  const core::Duration Each(static_cast<std::int64_t>(
      static_cast<double>(Worked.count()) / Work.Percent_));
  return std::max(Policy.StallTimeout_, Each * StepsOfPatience);
}

} // namespace

void expireLeases(Holder &State, const HolderContext &Around, Effects &Out) {
  for (auto &[Name, Host] : State.Workers_) {
    const bool Silent = !Host.Reachable_ || Around.Now_ - Host.LastReportAt_ >
                                                State.Policy_.SuspectAfter_;
    if (!Silent || !Host.Synced_ || Around.Now_ < Host.LeaseEnds_)
      continue;
    Host.Synced_ = false;
    std::vector<TaskRunMap::iterator> Lost;
    for (auto It = State.Runs_.begin(); It != State.Runs_.end(); ++It)
      if (It->second.Host_ == Name)
        Lost.push_back(It);
    for (auto It : Lost)
      dropAttempt(State, It, "the worker's lease expired without contact", Out);
    if (Host.Listed_ || Host.Closed_ || State.ListingsToRecord_.count(Name))
      State.ListingsToRecord_[Name] = Listing::Gone;
    Host.Listed_ = Host.Closed_ = false;
  }
  for (auto It = State.UnsyncedWorkers_.begin();
       It != State.UnsyncedWorkers_.end();) {
    if (Around.Now_ < It->second.RunsEndBy_) {
      Out.WakeAt_ = std::min(Out.WakeAt_, It->second.RunsEndBy_);
      ++It;
      continue;
    }
    Out.LogEvents_.push_back({"earlier_runs_over", {{"host", It->first}}});
    State.ListingsToRecord_[It->first] = Listing::Gone;
    It = State.UnsyncedWorkers_.erase(It);
  }
}

void stopStalled(Holder &State, const HolderContext &Around, Effects &Out) {
  std::vector<RunId> Stalled;
  for (const auto &[Id, Run] : State.Runs_) {
    const Worker &Host = State.Workers_[Run.Host_];
    const bool Heard =
        Host.Connected_ && Host.Reachable_ &&
        Around.Now_ - Host.LastReportAt_ <= State.Policy_.SuspectAfter_;
    if (Run.State_ != RunState::Running || Run.LongRunning_ || !Heard)
      continue;
    auto Job = Around.View_.Jobs_.find(Id.Task_.Job_);
    const std::uint32_t Members =
        Job != Around.View_.Jobs_.end()
            ? Job->second.Accepted_.Spec_.Steps_[Id.Task_.Step_].Count_
            : 1;
    const Pace Work = paceOf(State, Run, Members);
    const core::TimePoint GiveUp =
        Work.ChangedAt_ + patienceWith(State.Policy_, Work);
    if (!Work.AllPresent_)
      continue;
    if (Around.Now_ < GiveUp) {
      Out.WakeAt_ = std::min(Out.WakeAt_, GiveUp);
      continue;
    }
    Stalled.push_back(Id);
    Out.LogEvents_.push_back(
        {"run_stalled",
         {{"task", toString(Id.Task_)},
          {"run", std::to_string(Id.Run_)},
          {"host", Run.Host_},
          {"percent", std::to_string(Run.Percent_)},
          {"since_ms", std::to_string(core::wholeMilliseconds(Around.Now_ -
                                                              Run.ProgressedAt_)
                                          .count())},
          {"ordered_ms_ago",
           std::to_string(core::wholeMilliseconds(Around.Now_ - Run.OrderedAt_)
                              .count())}}});
  }
  for (const RunId &Id : Stalled) {
    TaskRun &Run = State.Runs_.at(Id);
    if (Run.State_ != RunState::Running)
      continue;
    recordFailure(State.Workers_[Run.Host_].Health_, State.Policy_.Quarantine_,
                  Around.Now_);
    if (Run.Gang_)
      stopGang(State, Id, "no progress", Around.Now_, Out);
    else
      stopAttempt(State, Run, "no progress", Around.Now_, Out);
  }
}

void applyCancels(Holder &State, const HolderContext &Around, Effects &Out) {
  for (const auto &[Name, Job] : Around.View_.Jobs_) {
    if (!Job.CancelRequested_ || Job.Accepted_.Job_.empty() ||
        jobs::isFinal(Job.Progress_.State_))
      continue;
    LiveJob &Live = liveJob(State, Job, Around.Now_);
    if (jobs::isFinal(Live.Progress_.State_))
      continue;
    Live.Progress_.State_ = jobs::JobState::Cancelled;
    State.JobsToRecord_.insert(Name);
    Out.LogEvents_.push_back({"job_cancelled", {{"job", Name}}});
    stopJob(State, Name, "the job was cancelled", Around.Now_, Out);
  }
}

} // namespace nutmegwell::cell
