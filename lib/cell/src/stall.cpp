// Runs that make no progress.

#include "nutmegwell/cell/stall.h"
#include "releases.h"
#include <algorithm>

namespace nutmegwell::cell {

core::Duration stallTimeout(const StallPolicy &Policy,
                            const RunProgress &Progress,
                            const StepEvidence &Evidence) {
  core::Duration Timeout(0);
  if (Progress.Percent_ >= 100) {
    // The percentage refers to the declared work, which is often far off. Now
    // only the time taken so far indicates how long the rest may take.
    const core::Duration Whole =
        Progress.Gained_ > 0
            ? core::Duration(static_cast<std::int64_t>(
                  static_cast<double>(Progress.Worked_.count()) * 100 /
                  Progress.Gained_))
            : Evidence.Declared_;
    Timeout = Whole * Policy.OverrunFactor_;
  } else if (Progress.TimePerPercent_) {
    Timeout = *Progress.TimePerPercent_ * Policy.StallPercent_;
  } else {
    Timeout = Evidence.TimePerPercent_.value_or(Evidence.Declared_ / 100) *
              Policy.StallPercent_ * Policy.OverrunFactor_;
  }
  /// Limits the shift.
  constexpr unsigned MaxDoublings = 16;
  return std::max(Policy.MinTimeout_, Timeout) *
         (1 << std::min(Evidence.EarlierStalls_, MaxDoublings));
}

namespace {

void addMember(RunProgress &Sum, const TaskRun &Run) {
  Sum.AllRunning_ &= Run.State_ == RunState::Running;
  Sum.ProgressedAt_ = std::max(Sum.ProgressedAt_, Run.ProgressedAt_);
  Sum.Worked_ = std::max(Sum.Worked_, Run.ProgressedAt_ - Run.OrderedAt_);
  Sum.Gained_ = std::max(Sum.Gained_, Run.Percent_ - Run.ListedPercent_);
  Sum.Percent_ = std::min(Sum.Percent_, Run.Percent_);
  if (const auto Time = timePerPercent(Run))
    Sum.TimePerPercent_ =
        std::max(Sum.TimePerPercent_.value_or(core::Duration(0)), *Time);
}

using RunIterator = TaskRunMap::iterator;

/// Runs of one step, which are adjacent in the map of runs.
struct StepRuns {
  RunIterator First_;
  RunIterator Last_;
};

StepRuns stepRunsAt(TaskRunMap &Runs, RunIterator First) {
  const TaskId &Task = First->first.Task_;
  RunIterator Last = First;
  while (Last != Runs.end() && Last->first.Task_.Job_ == Task.Job_ &&
         Last->first.Task_.Occurrence_ == Task.Occurrence_ &&
         Last->first.Task_.Step_ == Task.Step_)
    ++Last;
  return {First, Last};
}

/// Judges the runs of one step.
class StepJudge {
public:
  StepJudge(const Holder &State, const jobs::View &View, const StepRuns &Runs) {
    const TaskId &Task = Runs.First_->first.Task_;
    std::uint32_t Members = 1;
    auto Job = View.Jobs_.find(Task.Job_);
    if (Job != View.Jobs_.end()) {
      const jobs::StepSpec &Step =
          Job->second.Accepted_.Spec_.Steps_[Task.Step_];
      Members = Step.Count_;
      Declared_ = Step.Estimate_;
    }
    std::uint32_t Present = 0;
    for (auto It = Runs.First_; It != Runs.Last_; ++It, ++Present)
      addMember(All_, It->second);
    All_.AllRunning_ &= Present >= Members;
    auto Outcomes = State.StepOutcomes_.find({Task.Job_, Task.Step_});
    if (Outcomes != State.StepOutcomes_.end())
      Stalls_ = Outcomes->second.Stalls_;
  }

  /// Returns the progress of a run, or that of its gang.
  RunProgress progressOf(const TaskRun &Run) const {
    if (Run.Gang_)
      return All_;
    RunProgress One;
    addMember(One, Run);
    return One;
  }

  StepEvidence evidenceFor(const TaskRun &Run) const {
    auto Earlier = Stalls_.find(Run.Gang_ ? 0 : Run.Id_.Task_.Index_);
    return {Declared_, All_.TimePerPercent_,
            Earlier != Stalls_.end() ? Earlier->second : 0};
  }

private:
  core::Duration Declared_{0};
  /// Progress of all runs of the step together.
  RunProgress All_;
  std::map<std::uint32_t, unsigned> Stalls_;
};

/// Restarts the clock of best-effort runs that are slowed down by order, and
/// returns false for them.
bool runsAtFullPace(TaskRun &Run, core::TimePoint Now) {
  if (!Run.BestEffort_ || Run.Pace_ >= 100)
    return true;
  Run.ProgressedAt_ = Now;
  return false;
}

core::LogEvent stallEvent(const TaskRun &Run, const RunProgress &Progress,
                          const StepEvidence &Evidence, core::Duration Timeout,
                          core::TimePoint Now) {
  auto Milliseconds = [](core::Duration Span) {
    return std::to_string(core::wholeMilliseconds(Span).count());
  };
  return {"run_stalled",
          {{"task", toString(Run.Id_.Task_)},
           {"run", std::to_string(Run.Id_.Run_)},
           {"host", Run.Host_},
           {"percent", std::to_string(Run.Percent_)},
           {"since_ms", Milliseconds(Now - Progress.ProgressedAt_)},
           {"ordered_ms_ago", Milliseconds(Now - Run.OrderedAt_)},
           {"timeout_ms", Milliseconds(Timeout)},
           {"declared_ms", Milliseconds(Evidence.Declared_)},
           {"ms_per_percent",
            Milliseconds(Evidence.TimePerPercent_.value_or(core::Duration(0)))},
           {"earlier_stalls", std::to_string(Evidence.EarlierStalls_)}}};
}

void stopAsStalled(Holder &State, const RunId &Id, core::TimePoint Now,
                   Effects &Out) {
  TaskRun &Run = State.Runs_.at(Id);
  if (Run.State_ != RunState::Running)
    return;
  noteFailure(State, State.Workers_[Run.Host_], Id.Task_, Run.OrderedAt_, Now);
  ++State.StepOutcomes_[{Id.Task_.Job_, Id.Task_.Step_}]
        .Stalls_[Run.Gang_ ? 0 : Id.Task_.Index_];
  if (Run.Gang_)
    stopGang(State, Id, "no progress", Now, Out);
  else
    stopRun(State, Run, "no progress", Now, Out);
}

/// Adds the runs of one step that have stalled to \p Stalled.
void collectStalled(Holder &State, const StepRuns &Runs,
                    const HolderContext &Context, std::vector<RunId> &Stalled,
                    Effects &Out) {
  const StepJudge Judge(State, Context.View_, Runs);
  for (auto It = Runs.First_; It != Runs.Last_; ++It) {
    TaskRun &Run = It->second;
    if (Run.State_ != RunState::Running || Run.LongRunning_ ||
        !isReporting(State, State.Workers_[Run.Host_], Context.Now_) ||
        !runsAtFullPace(Run, Context.Now_))
      continue;
    const RunProgress Progress = Judge.progressOf(Run);
    const StepEvidence Evidence = Judge.evidenceFor(Run);
    const core::Duration Timeout =
        stallTimeout(State.Policy_.Stall_, Progress, Evidence);
    const core::TimePoint StalledAt = Progress.ProgressedAt_ + Timeout;
    if (!Progress.AllRunning_)
      continue;
    if (Context.Now_ < StalledAt) {
      Out.WakeAt_ = std::min(Out.WakeAt_, StalledAt);
      continue;
    }
    Stalled.push_back(Run.Id_);
    Out.LogEvents_.push_back(
        stallEvent(Run, Progress, Evidence, Timeout, Context.Now_));
  }
}

} // namespace

void stopStalled(Holder &State, const HolderContext &Context, Effects &Out) {
  std::vector<RunId> Stalled;
  for (auto It = State.Runs_.begin(); It != State.Runs_.end();) {
    const StepRuns Runs = stepRunsAt(State.Runs_, It);
    collectStalled(State, Runs, Context, Stalled, Out);
    It = Runs.Last_;
  }
  for (const RunId &Id : Stalled)
    stopAsStalled(State, Id, Context.Now_, Out);
}

} // namespace nutmegwell::cell
