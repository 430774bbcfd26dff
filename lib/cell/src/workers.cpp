#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Reported progress of a run, or of a whole gang.
struct RunProgress {
  bool AllRunning_ = true;
  core::TimePoint OrderedAt_ = core::TimePoint::max();
  /// When any member last made progress.
  core::TimePoint ProgressedAt_{};
  /// Lowest percentage of the members.
  double Percent_ = 100;
};

void addMember(RunProgress &Sum, const TaskRun &Run) {
  Sum.AllRunning_ &= Run.State_ == RunState::Running;
  Sum.OrderedAt_ = std::min(Sum.OrderedAt_, Run.OrderedAt_);
  Sum.ProgressedAt_ = std::max(Sum.ProgressedAt_, Run.ProgressedAt_);
  Sum.Percent_ = std::min(Sum.Percent_, Run.Percent_);
}

RunProgress progressOf(const Holder &State, const TaskRun &Run,
                       std::uint32_t Members) {
  RunProgress Sum;
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
  Sum.AllRunning_ &= Present >= Members;
  return Sum;
}

/// Returns how long a run or gang may show no progress before it counts as
/// stalled.
core::Duration stallTimeout(const HolderPolicy &Policy,
                            const RunProgress &Progress) {
  /// Percentages are rounded and can lag by one report, so that the time of
  /// four percent without a change is not yet a stall.
  constexpr int StallPercent = 4;
  const core::Duration Worked = Progress.ProgressedAt_ - Progress.OrderedAt_;
  if (Progress.Percent_ < 1 || Worked <= core::Duration(0))
    return Policy.StallTimeout_;
  // The percentage refers to the declared work, which is often far off. At 100
  // only the time taken so far indicates how long the rest may take.
  if (Progress.Percent_ >= 100)
    return std::max(Policy.StallTimeout_, Worked * Policy.OverrunFactor_);
  const core::Duration TimePerPercent(static_cast<std::int64_t>(
      static_cast<double>(Worked.count()) / Progress.Percent_));
  return std::max(Policy.StallTimeout_, TimePerPercent * StallPercent);
}

/// Returns whether the leases up to \p End have expired. Until the store
/// confirms that no other host had claimed the cell by then, another holder may
/// have extended them and handled their runs' ends.
bool isExpired(const Holder &State, core::TimePoint End, core::TimePoint Now) {
  return Now >= End && State.TenureConfirmedAt_ >= End;
}

/// Returns whether the state of the worker's runs is up to date.
bool isReporting(const Holder &State, const Worker &Host, core::TimePoint Now) {
  return Host.Connected_ && Host.Reachable_ &&
         Now - Host.LastReportAt_ <= State.Policy_.SuspectAfter_;
}

} // namespace

void expireLeases(Holder &State, const HolderContext &Context, Effects &Out) {
  for (auto &[Name, Host] : State.Workers_) {
    const bool Silent = !Host.Reachable_ || Context.Now_ - Host.LastReportAt_ >
                                                State.Policy_.SuspectAfter_;
    if (!Silent || !Host.Synced_ ||
        !isExpired(State, Host.LeaseEnds_, Context.Now_))
      continue;
    Host.Synced_ = false;
    std::vector<TaskRunMap::iterator> Lost;
    for (auto It = State.Runs_.begin(); It != State.Runs_.end(); ++It)
      if (It->second.Host_ == Name)
        Lost.push_back(It);
    for (auto It : Lost)
      dropRun(State, It, "the worker's lease expired without contact", Out);
    if (Host.Listed_ || Host.Closed_ || State.ListingsToRecord_.count(Name))
      State.ListingsToRecord_[Name] = Listing::Gone;
    Host.Listed_ = Host.Closed_ = false;
  }
  for (auto It = State.UnsyncedWorkers_.begin();
       It != State.UnsyncedWorkers_.end();) {
    if (!isExpired(State, It->second.RunsEndBy_, Context.Now_)) {
      if (Context.Now_ < It->second.RunsEndBy_)
        Out.WakeAt_ = std::min(Out.WakeAt_, It->second.RunsEndBy_);
      ++It;
      continue;
    }
    Out.LogEvents_.push_back({"earlier_runs_over", {{"host", It->first}}});
    State.ListingsToRecord_[It->first] = Listing::Gone;
    It = State.UnsyncedWorkers_.erase(It);
  }
}

void stopStalled(Holder &State, const HolderContext &Context, Effects &Out) {
  std::vector<RunId> Stalled;
  for (const auto &[Id, Run] : State.Runs_) {
    const Worker &Host = State.Workers_[Run.Host_];
    if (Run.State_ != RunState::Running || Run.LongRunning_ ||
        !isReporting(State, Host, Context.Now_))
      continue;
    auto Job = Context.View_.Jobs_.find(Id.Task_.Job_);
    const std::uint32_t Members =
        Job != Context.View_.Jobs_.end()
            ? Job->second.Accepted_.Spec_.Steps_[Id.Task_.Step_].Count_
            : 1;
    const RunProgress Progress = progressOf(State, Run, Members);
    const core::TimePoint StalledAt =
        Progress.ProgressedAt_ + stallTimeout(State.Policy_, Progress);
    if (!Progress.AllRunning_)
      continue;
    if (Context.Now_ < StalledAt) {
      Out.WakeAt_ = std::min(Out.WakeAt_, StalledAt);
      continue;
    }
    Stalled.push_back(Id);
    Out.LogEvents_.push_back(
        {"run_stalled",
         {{"task", toString(Id.Task_)},
          {"run", std::to_string(Id.Run_)},
          {"host", Run.Host_},
          {"percent", std::to_string(Run.Percent_)},
          {"since_ms", std::to_string(core::wholeMilliseconds(Context.Now_ -
                                                              Run.ProgressedAt_)
                                          .count())},
          {"ordered_ms_ago",
           std::to_string(core::wholeMilliseconds(Context.Now_ - Run.OrderedAt_)
                              .count())}}});
  }
  for (const RunId &Id : Stalled) {
    TaskRun &Run = State.Runs_.at(Id);
    if (Run.State_ != RunState::Running)
      continue;
    noteFailure(State, State.Workers_[Run.Host_], Id.Task_, Run.OrderedAt_,
                Context.Now_);
    if (Run.Gang_)
      stopGang(State, Id, "no progress", Context.Now_, Out);
    else
      stopRun(State, Run, "no progress", Context.Now_, Out);
  }
}

void endProbations(Holder &State, core::TimePoint Now, Effects &Out) {
  const QuarantinePolicy &Policy = State.Policy_.Quarantine_;
  for (const auto &[Id, Run] : State.Runs_) {
    Worker &Host = State.Workers_[Run.Host_];
    if (Run.State_ != RunState::Running || !isReporting(State, Host, Now) ||
        !isProofOfHealth(Host.Health_, Policy, Run.OrderedAt_, Now))
      continue;
    recordSuccess(Host.Health_);
    Out.LogEvents_.push_back({"worker_recovered",
                              {{"host", Run.Host_},
                               {"task", toString(Id.Task_)},
                               {"run", std::to_string(Id.Run_)}}});
  }
}

void applyCancels(Holder &State, const HolderContext &Context, Effects &Out) {
  for (const auto &[Name, Job] : Context.View_.Jobs_) {
    if (!Job.CancelRequested_ || Job.Accepted_.Job_.empty() ||
        jobs::isFinal(Job.Progress_.State_))
      continue;
    LiveJob &Live = liveJob(State, Job, Context.Now_);
    if (jobs::isFinal(Live.Progress_.State_))
      continue;
    Live.Progress_.State_ = jobs::JobState::Cancelled;
    State.JobsToRecord_.insert(Name);
    Out.LogEvents_.push_back({"job_cancelled", {{"job", Name}}});
    stopJob(State, Name, "the job was cancelled", Context.Now_, Out);
  }
}

} // namespace nutmegwell::cell
