#include "nutmegwell/cell/pace.h"
#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

bool adjustPace(WorkerPace &Pace, const PacePolicy &Policy, double Load,
                core::TimePoint Now) {
  if (Load <= 1)
    Pace.OverSince_ = core::TimePoint::max();
  else
    Pace.OverSince_ = std::min(Pace.OverSince_, Now);
  unsigned NewPercent = Pace.Percent_;
  if (Load > 1 && Now - Pace.OverSince_ >= Policy.FullStopAfter_) {
    NewPercent = 0;
  } else if (Now - Pace.ChangedAt_ < Policy.Interval_) {
    return false;
  } else if (Load > Policy.SlowAbove_) {
    NewPercent = Pace.Percent_ / 2 < Policy.MinPace_ ? 0 : Pace.Percent_ / 2;
  } else if (Load < Policy.SpeedUpBelow_) {
    NewPercent = std::min(100u, Pace.Percent_ + Policy.StepUp_);
  }
  if (NewPercent == Pace.Percent_)
    return false;
  Pace.Percent_ = NewPercent;
  Pace.ChangedAt_ = Now;
  return true;
}

namespace {

/// Serving load and best-effort runs of one worker.
struct SharedWorker {
  double Load_ = 0;
  std::vector<TaskRun *> BestEffortRuns_;
};

std::map<std::string, SharedWorker> sharedWorkers(Holder &State) {
  std::map<std::string, SharedWorker> Result;
  for (auto &[Id, Run] : State.Runs_) {
    if (Run.State_ != RunState::Running)
      continue;
    if (Run.BestEffort_)
      Result[Run.Host_].BestEffortRuns_.push_back(&Run);
    else if (Run.TargetLatency_ > core::Duration(0))
      Result[Run.Host_].Load_ =
          std::max(Result[Run.Host_].Load_,
                   Run.Usage_ / std::chrono::duration<double, std::milli>(
                                    Run.TargetLatency_)
                                    .count());
  }
  return Result;
}

} // namespace

void adjustPaces(Holder &State, const HolderContext &Context, Effects &Out) {
  const PacePolicy &Policy = State.Policy_.Pace_;
  for (auto &[Name, Shared] : sharedWorkers(State)) {
    Worker &Host = State.Workers_[Name];
    if (Shared.BestEffortRuns_.empty())
      continue;
    if (adjustPace(Host.Pace_, Policy, Shared.Load_, Context.Now_))
      Out.LogEvents_.push_back(
          {"pace_changed",
           {{"host", Name},
            {"percent", std::to_string(Host.Pace_.Percent_)},
            {"load", std::to_string(Shared.Load_)},
            {"runs", std::to_string(Shared.BestEffortRuns_.size())}}});
    for (TaskRun *Run : Shared.BestEffortRuns_) {
      const bool Repeat =
          Host.Pace_.Percent_ < 100 &&
          Context.Now_ - Run->PaceSentAt_ >= Policy.ResendInterval_;
      if (Run->Pace_ == Host.Pace_.Percent_ && !Repeat)
        continue;
      Run->Pace_ = Host.Pace_.Percent_;
      Run->PaceSentAt_ = Context.Now_;
      Host.Paces_.push_back({Run->Id_, Run->Pace_});
      Host.OrdersDue_ = true;
    }
  }
}

} // namespace nutmegwell::cell
