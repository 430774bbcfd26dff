// Whether failed runs speak against their job or against the workers, and the
// quarantines that follow.

#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Returns the workers on which a run of \p Step lasts longer than \p Span.
std::set<std::string> hostsOutliving(const Holder &State, const JobStep &Step,
                                     core::Duration Span, core::TimePoint Now) {
  std::set<std::string> Hosts;
  for (auto It = State.Runs_.lower_bound({{Step.Job_, 0, 0, 0}, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == Step.Job_; ++It)
    if (It->first.Task_.Step_ == Step.Step_ &&
        It->second.State_ == RunState::Running &&
        Now - It->second.OrderedAt_ > Span)
      Hosts.insert(It->second.Host_);
  return Hosts;
}

jobs::JobState stateOf(const Holder &State, const std::string &Job) {
  auto It = State.Jobs_.find(Job);
  return It != State.Jobs_.end() ? It->second.Progress_.State_
                                 : jobs::JobState::Running;
}

/// Decides whether the failures of \p Step speak against its job, and logs when
/// that changes.
void attributeFailures(const Holder &State, const JobStep &Step,
                       StepOutcomes &Outcomes, core::TimePoint Now,
                       Effects &Out) {
  if (Outcomes.FailedOn_.empty())
    return;
  const std::set<std::string> OutlivedOn =
      hostsOutliving(State, Step, Outcomes.LongestFailure_, Now);
  // A job that completes was not at fault, on however many workers it failed.
  const bool AtFault = stateOf(State, Step.Job_) != jobs::JobState::Completed &&
                       isJobAtFault(Outcomes, OutlivedOn);
  if (AtFault == Outcomes.JobAtFault_)
    return;
  Outcomes.JobAtFault_ = AtFault;
  Out.LogEvents_.push_back(
      {"failures_attributed",
       {{"job", Step.Job_},
        {"step", std::to_string(Step.Step_)},
        {"to", AtFault ? "job" : "workers"},
        {"failed_on", std::to_string(Outcomes.FailedOn_.size())},
        {"succeeded_on", std::to_string(Outcomes.SucceededOn_.size())},
        {"outlived_on", std::to_string(OutlivedOn.size())}}});
}

/// Updates the quarantine of a worker, and logs when it becomes longer.
void updateWorker(Worker &Host, const QuarantinePolicy &Policy,
                  const std::set<JobStep> &JobsAtFault, Effects &Out) {
  const core::TimePoint Before = Host.Health_.QuarantinedUntil_;
  updateQuarantine(Host.Health_, Policy, JobsAtFault);
  if (Host.Health_.QuarantinedUntil_ > Before)
    Out.LogEvents_.push_back(
        {"worker_rests",
         {{"host", Host.Host_},
          {"bad_ends", std::to_string(Host.Health_.ConsecutiveFailures_)},
          {"rest_ms", std::to_string(core::wholeMilliseconds(
                                         Host.Health_.QuarantinedUntil_ -
                                         Host.Health_.LastFailureAt_)
                                         .count())}}});
}

} // namespace

void noteFailure(Holder &State, Worker &Host, const TaskId &Task,
                 core::TimePoint OrderedAt, core::TimePoint Now) {
  // The runs of an ended job are being stopped, whatever they do until then.
  if (jobs::isFinal(stateOf(State, Task.Job_)))
    return;
  const JobStep Step{Task.Job_, Task.Step_};
  recordFailure(Host.Health_, Step, Now);
  StepOutcomes &Outcomes = State.StepOutcomes_[Step];
  Outcomes.FailedOn_.insert(Host.Host_);
  Outcomes.LongestFailure_ =
      std::max(Outcomes.LongestFailure_, Now - OrderedAt);
}

void noteSuccess(Holder &State, Worker &Host, const TaskId &Task) {
  recordSuccess(Host.Health_);
  if (!jobs::isFinal(stateOf(State, Task.Job_)))
    State.StepOutcomes_[{Task.Job_, Task.Step_}].SucceededOn_.insert(
        Host.Host_);
}

void updateQuarantines(Holder &State, core::TimePoint Now, Effects &Out) {
  std::set<JobStep> JobsAtFault;
  for (auto &[Step, Outcomes] : State.StepOutcomes_) {
    attributeFailures(State, Step, Outcomes, Now, Out);
    if (Outcomes.JobAtFault_)
      JobsAtFault.insert(Step);
  }
  for (auto &[Name, Host] : State.Workers_)
    updateWorker(Host, State.Policy_.Quarantine_, JobsAtFault, Out);
  for (auto It = State.StepOutcomes_.begin();
       It != State.StepOutcomes_.end();) {
    if (!jobs::isFinal(stateOf(State, It->first.Job_))) {
      ++It;
      continue;
    }
    for (auto &[Name, Host] : State.Workers_)
      settleFailures(Host.Health_, It->first, It->second.JobAtFault_);
    It = State.StepOutcomes_.erase(It);
  }
}

} // namespace nutmegwell::cell
