#include "controlsteps.h"
#include "nutmegwell/sched/migration.h"
#include "nutmegwell/sched/plan.h"
#include "nutmegwell/sched/prefer.h"

#include <algorithm>
#include <functional>
#include <set>
#include <unordered_set>

namespace nutmegwell::entry {

namespace {

void addWorkers(const EntryState &State, core::TimePoint Now,
                sched::CellView &View) {
  for (const auto &[Name, Known] : State.Membership_.Nodes_)
    if (Known.LastHeartbeat_.Kind_ == model::NodeKind::Worker &&
        Known.LastHeartbeat_.Domain_ == View.Domain_)
      View.Workers_.push_back({Name, Known.LastHeartbeat_.Rack_,
                               Known.LastHeartbeat_.Accelerators_,
                               membership::schedulabilityOf(Known, Now) !=
                                   membership::Schedulability::None});
}

/// Returns the job's value in the map, or a default value.
template <typename Value>
Value noted(const std::map<core::JobId, Value> &Notes, const core::JobId &Id) {
  auto Known = Notes.find(Id);
  return Known == Notes.end() ? Value() : Known->second;
}

/// Adds what this host knows about the attempt beyond the control state.
void describeGang(const Gang &Target, core::TimePoint Now,
                  sched::RunningJob &Out) {
  Out.Stopping_ = Out.Stopping_ || Target.Phase_ == GangPhase::Stopping;
  Out.Preemptor_ = Target.Preemptor_;
  if (Target.RunningSince_ == core::TimePoint{})
    return;
  Out.RunTime_ = Now - Target.RunningSince_;
  // A stop takes a checkpoint, so the run time is an upper bound on the work
  // since the last checkpoint.
  Out.SinceCheckpoint_ = Out.RunTime_;
  Out.AttainedService_ += Out.RunTime_ * Target.Spec_.accelerators();
}

/// Adds the committed attempts and the reservations of the cell.
void addRunning(const EntryState &State, core::TimePoint Now,
                sched::CellView &View) {
  auto Running = State.Attempts_.find(View.Domain_);
  const std::set<core::JobId> Nothing;
  for (const core::JobId &Id :
       Running == State.Attempts_.end() ? Nothing : Running->second) {
    const model::Job &Known = State.ControlState_.Jobs_.at(Id);
    sched::RunningJob Out;
    Out.Id_ = Id;
    Out.Spec_ = Known.Spec_;
    Out.Placement_ = Known.Placement_;
    Out.AttainedService_ = noted(State.AttainedService_, Id);
    Out.TotalWait_ = noted(State.EarlierWaits_, Id);
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

/// Adds accelerators that agents report as occupied by attempts that this host
/// does not drive, such as reservations of an earlier holder.
void addForeign(const EntryState &State, sched::CellView &View) {
  std::unordered_set<core::JobId> Driven;
  for (const sched::RunningJob &Job : View.Running_)
    Driven.insert(Job.Id_);
  std::map<core::JobId, sched::RunningJob> Foreign;
  for (const sched::WorkerView &Worker : View.Workers_) {
    for (const auto &Report :
         State.Membership_.Nodes_.at(Worker.Name_).LastHeartbeat_.Tasks_) {
      if (Report.State_ > model::TaskState::Stopping ||
          Driven.count(Report.Job_))
        continue;
      sched::RunningJob &Out = Foreign[Report.Job_];
      Out.Id_ = Report.Job_;
      Out.Placement_.push_back({Worker.Name_, Report.Accelerators_});
      Out.Stopping_ = true;
    }
  }
  for (auto &[Id, Job] : Foreign)
    View.Running_.push_back(std::move(Job));
}

bool onTrial(const EntryState &State, const model::NodeName &Worker,
             core::TimePoint Now) {
  return membership::schedulabilityOf(State.Membership_.Nodes_.at(Worker),
                                      Now) ==
         membership::Schedulability::OneJob;
}

/// Returns true when an attempt that began less than \p MaxAge ago, or whose
/// start time is unknown, is on the worker.
bool hasYoungJob(const sched::CellView &View, const model::NodeName &Worker,
                 core::Duration Since) {
  return std::any_of(
      View.Running_.begin(), View.Running_.end(), [&](const auto &Job) {
        return Job.RunTime_ < Since &&
               std::any_of(Job.Placement_.begin(), Job.Placement_.end(),
                           [&Worker](const model::TaskPlacement &Task) {
                             return Task.Worker_ == Worker;
                           });
      });
}

/// Marks workers on probation as unusable once they have their one job. Jobs
/// that ran there before the quarantine do not count, because they may run for
/// hours.
void closeTrials(const EntryState &State, core::TimePoint Now,
                 sched::CellView &View) {
  for (sched::WorkerView &Worker : View.Workers_)
    if (onTrial(State, Worker.Name_, Now) &&
        hasYoungJob(
            View, Worker.Name_,
            Now - State.Membership_.Nodes_.at(Worker.Name_).Quarantine_.Since_))
      Worker.Usable_ = false;
}

void addWaiting(const EntryState &State, core::TimePoint Now,
                sched::CellView &View) {
  for (const auto &[Id, Since] : State.WaitingSince_) {
    const model::Job &Known = State.ControlState_.Jobs_.at(Id);
    if (State.Gangs_.count(Id) || Known.CancelRequested_)
      continue;
    View.Waiting_.push_back(
        {Id, Known.Spec_, Now - Since, noted(State.AttainedService_, Id), true,
         noted(State.EarlierWaits_, Id), noted(State.MigratedFrom_, Id)});
  }
  std::stable_sort(
      View.Waiting_.begin(), View.Waiting_.end(),
      [](const auto &A, const auto &B) { return A.Waited_ > B.Waited_; });
}

sched::CellView makeView(const EntryState &State,
                         const model::DomainName &Domain, core::TimePoint Now) {
  sched::CellView View;
  View.Domain_ = Domain;
  View.MayStart_ = isLogFresh(State, Now) && State.LogAvailable_ &&
                   !State.Stopping_ &&
                   model::isInService(State.ControlState_, Domain);
  for (const model::PoolRow &Row : State.ControlState_.Pools_.Rows_)
    if (Row.Domain_ == Domain)
      View.Pools_.push_back(Row);
  addWorkers(State, Now, View);
  addRunning(State, Now, View);
  addForeign(State, View);
  closeTrials(State, Now, View);
  addWaiting(State, Now, View);
  return View;
}

/// Marks the jobs for which each cell is the preferred one.
void preferCells(std::vector<sched::CellView> &Views) {
  const std::vector<std::size_t> Choice = sched::preferredCells(Views);
  for (std::size_t I = 0; I < Views.size(); ++I)
    for (std::size_t J = 0; J < Views[I].Waiting_.size(); ++J)
      Views[I].Waiting_[J].Preferred_ = Choice[J] == I;
}

/// Keeps in each view the jobs that prefer its cell or have waited long enough
/// for any cell. \p Explained stays in every view, so that each cell can give
/// its reason.
void assignJobs(const EntryState &State, std::vector<sched::CellView> &Views,
                const core::JobId *Asked = nullptr) {
  for (sched::CellView &View : Views) {
    std::vector<sched::WaitingJob> Kept;
    for (sched::WaitingJob &Job : View.Waiting_)
      if (Job.Preferred_ || (Asked && Job.Id_ == *Asked) ||
          Job.Waited_ >= State.Settings_.OtherCellDelay_)
        Kept.push_back(std::move(Job));
    View.Waiting_ = std::move(Kept);
  }
}

/// Returns a view of each cell of which this host knows workers; the others
/// have nothing to offer. Hosts that receive the heartbeats of every agent and
/// have read the same log agree on the preferred cells.
std::vector<sched::CellView> makeViews(const EntryState &State,
                                       core::TimePoint Now) {
  std::vector<sched::CellView> Views;
  for (const auto &[Domain, Total] : membership::capacityOf(State.Membership_))
    if (Total > 0 && State.CellTrackers_.count(Domain))
      Views.push_back(makeView(State, Domain, Now));
  preferCells(Views);
  return Views;
}

/// Adds the workers on probation that \p Tasks uses to \p Taken. Returns false
/// when this plan has placed a job on one of them already.
bool takeTrials(const EntryState &State, const model::Placement &Tasks,
                core::TimePoint Now, std::set<model::NodeName> &Taken) {
  std::set<model::NodeName> Wanted;
  for (const model::TaskPlacement &Task : Tasks)
    if (onTrial(State, Task.Worker_, Now))
      Wanted.insert(Task.Worker_);
  for (const model::NodeName &Worker : Wanted)
    if (Taken.count(Worker) != 0)
      return false;
  Taken.insert(Wanted.begin(), Wanted.end());
  return true;
}

void apply(EntryState &State, const model::DomainName &Domain,
           const sched::Plan &Plan, core::TimePoint Now, Effects &Out) {
  for (const sched::WaitReason &Wait : Plan.Waits_)
    State.WaitReasons_[Wait.Job_] = Wait.Reason_;
  std::set<model::NodeName> Trials;
  for (const sched::StartDecision &Start : Plan.Starts_) {
    // Another cell that this host holds may have started the job in the same
    // round.
    if (State.Gangs_.count(Start.Job_))
      continue;
    // A plan may put several jobs on a worker on probation. The next round
    // finds the worker unusable and places the others elsewhere.
    if (!takeTrials(State, Start.Placement_, Now, Trials)) {
      State.ScheduleNeeded_ = true;
      continue;
    }
    State.WaitReasons_.erase(Start.Job_);
    reserveGang(State, Domain, State.ControlState_.Jobs_.at(Start.Job_),
                Start.Placement_, Now, Out);
  }
  for (const sched::PreemptDecision &Preempt : Plan.Preemptions_) {
    auto Known = State.Gangs_.find(Preempt.Job_);
    if (Known != State.Gangs_.end() &&
        (Known->second.Phase_ == GangPhase::Starting ||
         Known->second.Phase_ == GangPhase::Running)) {
      Known->second.Preemptor_ = Preempt.Preemptor_;
      if (Preempt.Migration_)
        State.MigratedFrom_[Preempt.Job_] = Domain;
      stopGang(State, Known->second, Preempt.Reason_, Now, Out);
    }
  }
}

/// Returns why one cell does not start the job, or an empty string when it
/// would.
std::string waitReason(const EntryState &State, const core::JobId &Id,
                       const model::DomainName &Domain,
                       const std::vector<sched::CellView> &Views,
                       core::TimePoint Now) {
  if (!model::isInService(State.ControlState_, Domain))
    return "failure domain " + Domain +
           " is out of service until an operator brings it back";
  if (!State.LogAvailable_ || !isLogFresh(State, Now))
    return "nothing starts in failure domain " + Domain +
           " until the log is available again";
  auto View =
      std::find_if(Views.begin(), Views.end(), [&Domain](const auto &Each) {
        return Each.Domain_ == Domain;
      });
  if (View == Views.end())
    return "no worker of failure domain " + Domain + " is known";
  for (const sched::WaitReason &Wait : State.Settings_.Decide_(*View).Waits_)
    if (Wait.Job_ == Id)
      return Wait.Reason_;
  return std::string();
}

/// Returns the reasons of every cell in which the job has a pool, or an empty
/// string when one of them would start it. Every entry host receives every
/// agent's heartbeats, so any of them can answer, not only the holder.
std::string waitReasons(const EntryState &State, const model::Job &Target,
                        core::TimePoint Now) {
  std::string Joined;
  std::vector<sched::CellView> Views = makeViews(State, Now);
  assignJobs(State, Views, &Target.Id_);
  for (const model::PoolRow &Row : State.ControlState_.Pools_.Rows_) {
    if (Row.Account_ != Target.Spec_.Account_ ||
        Row.Service_ != Target.Spec_.Service_)
      continue;
    std::string Reason = waitReason(State, Target.Id_, Row.Domain_, Views, Now);
    if (Reason.empty())
      return std::string();
    Joined += (Joined.empty() ? "" : "; ") + Reason;
  }
  return Joined;
}

/// Returns true when an urgent job waits and something changed, or when an
/// urgent job has now waited long enough for any cell to start it.
bool urgentDue(const EntryState &State, core::TimePoint Now) {
  auto Due = [&](const auto &Each) {
    const core::TimePoint Any = Each.second + State.Settings_.OtherCellDelay_;
    return (State.ScheduleNeeded_ ||
            (Any > State.LastScheduledAt_ && Any <= Now)) &&
           State.ControlState_.Jobs_.at(Each.first).Spec_.Class_ ==
               model::JobClass::Urgent;
  };
  return std::any_of(State.WaitingSince_.begin(), State.WaitingSince_.end(),
                     Due);
}

/// Returns true when the next search for jobs to migrate is due. Small cells
/// are searched in nearly every round, large ones at the full interval.
bool movesDue(const EntryState &State, core::TimePoint Now) {
  constexpr auto GapOfNode = std::chrono::milliseconds(20);
  const core::Duration Gap = GapOfNode * State.Membership_.Nodes_.size();
  return Now - State.LastMigrationSearchAt_ >=
         std::min(Gap, State.Settings_.MigrationInterval_);
}

} // namespace

std::string explainJob(const EntryState &State, const core::JobId &Id,
                       core::TimePoint Now) {
  auto Known = State.ControlState_.Jobs_.find(Id);
  if (Known == State.ControlState_.Jobs_.end())
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
  // Decisions also depend on waiting times, so a round runs at intervals even
  // when nothing else changed. With many nodes, changes are batched: a round
  // takes about 5 us for each node, and this interval keeps rounds near 0.5% of
  // a core.
  constexpr auto GapOfNode = std::chrono::milliseconds(1);
  const core::Duration Since = Now - State.LastScheduledAt_;
  const bool Due = Since >= State.Settings_.ScheduleInterval_ ||
                   (State.ScheduleNeeded_ &&
                    Since >= GapOfNode * State.Membership_.Nodes_.size());
  if (State.WaitingSince_.empty() || (!Due && !urgentDue(State, Now)))
    return;
  State.ScheduleNeeded_ = false;
  State.LastScheduledAt_ = Now;
  std::vector<sched::CellView> Views = makeViews(State, Now);
  if (movesDue(State, Now)) {
    State.LastMigrationSearchAt_ = Now;
    sched::planMigrations(Views);
  }
  assignJobs(State, Views);
  for (const sched::CellView &View : Views)
    if (holdsCell(State, View.Domain_, Now))
      apply(State, View.Domain_, State.Settings_.Decide_(View), Now, Out);
}

} // namespace nutmegwell::entry
