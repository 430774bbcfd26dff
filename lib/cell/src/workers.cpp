#include "steps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Progress that a run makes in each of its percents, or zero when unknown.
core::Duration timePerPercent(const Attempt &Run) {
  if (Run.Percent_ < 1 || Run.ChangedAt_ <= Run.OrderedAt_)
    return core::Duration(0);
  return core::Duration(static_cast<std::int64_t>(
      static_cast<double>((Run.ChangedAt_ - Run.OrderedAt_).count()) /
      Run.Percent_));
}

/// Returns how long a run may stand still before it is given up.
core::Duration patienceWith(const HolderPolicy &Policy, const Attempt &Run) {
  /// A reported percentage can lag by a report and be rounded; four steps of it
  /// are not yet a stall.
  constexpr int StepsOfPatience = 4;
  return std::max(Policy.NoProgress_, timePerPercent(Run) * StepsOfPatience);
}

/// Returns true when all members of the gang of \p Run are running.
bool gangComplete(const Holder &State, const Attempt &Run,
                  const jobs::StepSpec &Step) {
  const TaskId &Task = Run.Id_.Task_;
  std::uint32_t Present = 0;
  for (auto It = State.Attempts_.lower_bound(
           {{Task.Job_, Task.Occurrence_, Task.Step_, 0}, 0});
       It != State.Attempts_.end() && It->first.Task_.Job_ == Task.Job_ &&
       It->first.Task_.Occurrence_ == Task.Occurrence_ &&
       It->first.Task_.Step_ == Task.Step_;
       ++It)
    Present += It->second.State_ == AttemptState::Running;
  return Present >= Step.Count_;
}

} // namespace

void expireLeases(Holder &State, const Surroundings &Around, Effects &Out) {
  for (auto &[Name, Host] : State.Workers_) {
    const bool Silent =
        Around.Now_ - Host.LastReport_ > State.Policy_.SilentAfter_;
    if (!Silent || !Host.Synced_ || Around.Now_ < Host.LeaseEnds_)
      continue;
    Host.Synced_ = false;
    std::vector<AttemptMap::iterator> Lost;
    for (auto It = State.Attempts_.begin(); It != State.Attempts_.end(); ++It)
      if (It->second.Host_ == Name)
        Lost.push_back(It);
    for (auto It : Lost)
      dropAttempt(State, It, "the worker's lease has ended unheard", Out);
    if (Host.Listed_)
      State.Listing_[Name] = false;
  }
  for (auto It = State.Unheard_.begin(); It != State.Unheard_.end();) {
    if (Around.Now_ < It->second) {
      Out.Wake_ = std::min(Out.Wake_, It->second);
      ++It;
      continue;
    }
    Out.Decisions_.push_back({"earlier_runs_over", {{"host", It->first}}});
    State.Listing_[It->first] = false;
    It = State.Unheard_.erase(It);
  }
}

void stopStalled(Holder &State, const Surroundings &Around, Effects &Out) {
  std::vector<RunId> Stalled;
  for (const auto &[Id, Run] : State.Attempts_) {
    const Worker &Host = State.Workers_[Run.Host_];
    const bool Heard = Host.Connected_ && Around.Now_ - Host.LastReport_ <=
                                              State.Policy_.SilentAfter_;
    if (Run.State_ != AttemptState::Running || Run.Lasting_ || !Heard)
      continue;
    const core::TimePoint GiveUp =
        Run.ChangedAt_ + patienceWith(State.Policy_, Run);
    if (Around.Now_ < GiveUp) {
      Out.Wake_ = std::min(Out.Wake_, GiveUp);
      continue;
    }
    auto Job = Around.View_.Jobs_.find(Id.Task_.Job_);
    if (Run.Gang_ && Job != Around.View_.Jobs_.end() &&
        !gangComplete(State, Run,
                      Job->second.Accepted_.Spec_.Steps_[Id.Task_.Step_]))
      continue;
    Stalled.push_back(Id);
  }
  for (const RunId &Id : Stalled) {
    Attempt &Run = State.Attempts_.at(Id);
    if (Run.State_ != AttemptState::Running)
      continue;
    noteBadEnd(State.Workers_[Run.Host_].Trust_, State.Policy_.Trust_,
               Around.Now_);
    if (Run.Gang_)
      stopGang(State, Id, "no progress", Around.Now_, Out);
    else
      stopAttempt(State, Run, "no progress", Around.Now_, Out);
  }
}

void applyCancels(Holder &State, const Surroundings &Around, Effects &Out) {
  for (const auto &[Name, Job] : Around.View_.Jobs_) {
    if (!Job.CancelAsked_ || Job.Accepted_.Job_.empty() ||
        jobs::ended(Job.Progress_.State_))
      continue;
    LiveJob &Live = liveJob(State, Job, Around.Now_);
    if (jobs::ended(Live.Progress_.State_))
      continue;
    Live.Progress_.State_ = jobs::JobState::Cancelled;
    State.Dirty_.insert(Name);
    Out.Decisions_.push_back({"job_cancelled", {{"job", Name}}});
    stopJob(State, Name, "the job was cancelled", Around.Now_, Out);
  }
}

} // namespace nutmegwell::cell
