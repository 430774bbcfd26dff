#include "nutmegwell/sched/plan.h"
#include "parts.h"

#include <algorithm>
#include <functional>

namespace nutmegwell::entry {

namespace {

/// Returns true when \p Domain is the cell that should try the job first.
bool isPreferredCell(const EntryState &State, const model::Job &Target,
                     const model::DomainName &Domain) {
  std::vector<model::DomainName> Candidates;
  for (const model::PoolRow &Row : State.Fold_.Pools_.Rows_)
    if (Row.Account_ == Target.Spec_.Account_ &&
        Row.Service_ == Target.Spec_.Service_ &&
        model::inService(State.Fold_, Row.Domain_))
      Candidates.push_back(Row.Domain_);
  if (Candidates.empty())
    return true;
  std::size_t Choice = std::hash<core::JobId>()(Target.Id_) % Candidates.size();
  return Candidates[Choice] == Domain;
}

void addWorkers(const EntryState &State, core::TimePoint Now,
                sched::CellView &View) {
  for (const auto &[Name, Known] : State.Nodes_.Nodes_)
    if (Known.Last_.Kind_ == model::NodeKind::Worker &&
        Known.Last_.Domain_ == View.Domain_)
      View.Workers_.push_back({Name, Known.Last_.Rack_,
                               Known.Last_.Accelerators_,
                               membership::takesWork(Known, Now)});
}

core::Duration attained(const EntryState &State, const core::JobId &Id) {
  auto Known = State.Attained_.find(Id);
  return Known == State.Attained_.end() ? core::Duration::zero()
                                        : Known->second;
}

/// Adds what this host knows of the attempt beyond the fold.
void describeGang(const Gang &Target, core::TimePoint Now,
                  sched::RunningJob &Out) {
  Out.Stopping_ = Out.Stopping_ || Target.Phase_ == GangPhase::Stopping;
  Out.StoppingFor_ = Target.StoppingFor_;
  if (Target.RunningSince_ == core::TimePoint{})
    return;
  Out.RunTime_ = Now - Target.RunningSince_;
  // A stop takes a checkpoint, so what is at stake is bounded by the run time.
  Out.SinceCheckpoint_ = Out.RunTime_;
  Out.Attained_ += Out.RunTime_ * Target.Spec_.accelerators();
}

/// Adds committed and reserved attempts of the cell.
void addRunning(const EntryState &State, core::TimePoint Now,
                sched::CellView &View) {
  for (const auto &[Id, Known] : State.Fold_.Jobs_) {
    if (Known.Domain_ != View.Domain_ || !model::isRunning(Known.State_))
      continue;
    sched::RunningJob Out;
    Out.Id_ = Id;
    Out.Spec_ = Known.Spec_;
    Out.Placement_ = Known.Placement_;
    Out.Attained_ = attained(State, Id);
    Out.Stopping_ = Known.State_ == model::JobState::Stopping;
    auto Driven = State.Gangs_.find(Id);
    if (Driven != State.Gangs_.end())
      describeGang(Driven->second, Now, Out);
    View.Running_.push_back(std::move(Out));
  }
  for (const auto &[Id, Target] : State.Gangs_) {
    if (Target.Domain_ != View.Domain_ ||
        (Target.Phase_ != GangPhase::Reserving &&
         Target.Phase_ != GangPhase::Committing))
      continue;
    sched::RunningJob Out;
    Out.Id_ = Id;
    Out.Spec_ = Target.Spec_;
    Out.Placement_ = Target.Placement_;
    View.Running_.push_back(std::move(Out));
  }
}

/// Adds accelerators that agents report as held by anything else, such as the
/// reservations of an earlier holder.
void addForeign(const EntryState &State, sched::CellView &View) {
  for (const sched::WorkerView &Worker : View.Workers_) {
    for (const auto &Report :
         State.Nodes_.Nodes_.at(Worker.Name_).Last_.Tasks_) {
      if (Report.State_ > model::TaskState::Stopping)
        continue;
      bool Known = std::any_of(
          View.Running_.begin(), View.Running_.end(),
          [&Report](const auto &Job) { return Job.Id_ == Report.Job_; });
      if (Known)
        continue;
      sched::RunningJob Out;
      Out.Id_ = Report.Job_;
      Out.Placement_ = {{Worker.Name_, Report.Accelerators_}};
      Out.Stopping_ = true;
      View.Running_.push_back(std::move(Out));
    }
  }
}

void addWaiting(const EntryState &State, core::TimePoint Now,
                sched::CellView &View) {
  for (const auto &[Id, Since] : State.WaitingSince_) {
    const model::Job &Known = State.Fold_.Jobs_.at(Id);
    if (State.Gangs_.count(Id) || Known.CancelRequested_)
      continue;
    const bool Preferred = isPreferredCell(State, Known, View.Domain_);
    if (Now - Since < State.Settings_.OtherCellDelay_ && !Preferred)
      continue;
    View.Waiting_.push_back(
        {Id, Known.Spec_, Now - Since, attained(State, Id), Preferred});
  }
  std::stable_sort(
      View.Waiting_.begin(), View.Waiting_.end(),
      [](const auto &A, const auto &B) { return A.Waited_ > B.Waited_; });
}

sched::CellView makeView(const EntryState &State,
                         const model::DomainName &Domain, core::TimePoint Now) {
  sched::CellView View;
  View.Domain_ = Domain;
  View.MayStart_ = fresh(State, Now) && State.LogAvailable_ &&
                   !State.Stopping_ && model::inService(State.Fold_, Domain);
  for (const model::PoolRow &Row : State.Fold_.Pools_.Rows_)
    if (Row.Domain_ == Domain)
      View.Pools_.push_back(Row);
  addWorkers(State, Now, View);
  addRunning(State, Now, View);
  addForeign(State, View);
  addWaiting(State, Now, View);
  return View;
}

void apply(EntryState &State, const model::DomainName &Domain,
           const sched::Plan &Plan, core::TimePoint Now, Effects &Out) {
  for (const sched::WaitReason &Wait : Plan.Waits_)
    State.WaitReasons_[Wait.Job_] = Wait.Reason_;
  for (const sched::StartDecision &Start : Plan.Starts_) {
    State.WaitReasons_.erase(Start.Job_);
    reserveGang(State, Domain, State.Fold_.Jobs_.at(Start.Job_),
                Start.Placement_, Now, Out);
  }
  for (const sched::PreemptDecision &Preempt : Plan.Preemptions_) {
    auto Known = State.Gangs_.find(Preempt.Job_);
    if (Known != State.Gangs_.end() &&
        (Known->second.Phase_ == GangPhase::Starting ||
         Known->second.Phase_ == GangPhase::Running)) {
      Known->second.StoppingFor_ = Preempt.For_;
      stopGang(State, Known->second, Preempt.Reason_, Now, Out);
    }
  }
}

/// Returns why one cell does not start the job, or an empty string.
std::string waitReason(const EntryState &State, const core::JobId &Id,
                       const model::DomainName &Domain, core::TimePoint Now) {
  if (!model::inService(State.Fold_, Domain))
    return "failure domain " + Domain +
           " is out of service until an operator brings it back";
  if (!State.LogAvailable_ || !fresh(State, Now))
    return "nothing starts in failure domain " + Domain +
           " until the log is available again";
  for (const sched::WaitReason &Wait :
       State.Settings_.Decide_(makeView(State, Domain, Now)).Waits_)
    if (Wait.Job_ == Id)
      return Wait.Reason_;
  return std::string();
}

/// Returns the reasons of every cell in which the job has a pool. Every entry
/// host hears every agent, so that each can tell, not the holder alone.
std::string waitReasons(const EntryState &State, const model::Job &Target,
                        core::TimePoint Now) {
  std::string Joined;
  for (const model::PoolRow &Row : State.Fold_.Pools_.Rows_) {
    if (Row.Account_ != Target.Spec_.Account_ ||
        Row.Service_ != Target.Spec_.Service_)
      continue;
    std::string Reason = waitReason(State, Target.Id_, Row.Domain_, Now);
    if (Reason.empty())
      return std::string();
    Joined += (Joined.empty() ? "" : "; ") + Reason;
  }
  return Joined;
}

} // namespace

std::string explain(const EntryState &State, const core::JobId &Id,
                    core::TimePoint Now) {
  auto Known = State.Fold_.Jobs_.find(Id);
  if (Known == State.Fold_.Jobs_.end())
    return "no such job is known";
  const model::Job &Target = Known->second;
  if (Target.State_ == model::JobState::Running)
    return "the job runs in failure domain " + Target.Domain_;
  if (Target.State_ != model::JobState::Waiting)
    return std::string("the job is ") + toString(Target.State_) +
           (Target.Reason_.empty() ? "" : ": " + Target.Reason_);
  std::string Reasons = waitReasons(State, Target, Now);
  if (Reasons.empty())
    return "the job is about to start";
  return "the job waits: " + Reasons;
}

void schedule(EntryState &State, core::TimePoint Now, Effects &Out) {
  // Waiting times change decisions too, so a cell is looked at now and then
  // even when nothing else changed.
  bool Due = Now - State.LastSchedule_ >= State.Settings_.ScheduleInterval_;
  if (State.WaitingSince_.empty() || (!State.Dirty_ && !Due))
    return;
  State.Dirty_ = false;
  State.LastSchedule_ = Now;
  std::vector<model::DomainName> Held;
  for (const auto &[Domain, Tracker] : State.Cells_)
    if (holds(State, Domain, Now))
      Held.push_back(Domain);
  for (const model::DomainName &Domain : Held)
    apply(State, Domain, State.Settings_.Decide_(makeView(State, Domain, Now)),
          Now, Out);
}

} // namespace nutmegwell::entry
