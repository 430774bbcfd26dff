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
  for (const auto &[Name, Node] : State.Membership_.Nodes_)
    if (Node.LastHeartbeat_.Kind_ == model::NodeKind::Worker &&
        Node.LastHeartbeat_.Domain_ == View.Domain_)
      View.Workers_.push_back({Name, Node.LastHeartbeat_.Rack_,
                               Node.LastHeartbeat_.Accelerators_,
                               membership::schedulabilityOf(Node, Now) !=
                                   membership::Schedulability::None});
}

/// Returns the job's value in the map, or a default value.
template <typename Value>
Value valueOrDefault(const std::map<core::JobId, Value> &Values,
                     const core::JobId &Id) {
  auto Found = Values.find(Id);
  return Found == Values.end() ? Value() : Found->second;
}

/// Adds what this host knows about the attempt beyond the control state.
void addGangDetails(const Gang &Target, core::TimePoint Now,
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
  auto Running = State.ActiveJobs_.find(View.Domain_);
  const std::set<core::JobId> Empty;
  for (const core::JobId &Id :
       Running == State.ActiveJobs_.end() ? Empty : Running->second) {
    const model::Job &Job = State.ControlState_.Jobs_.at(Id);
    sched::RunningJob Out;
    Out.Id_ = Id;
    Out.Spec_ = Job.Spec_;
    Out.Placement_ = Job.Placement_;
    Out.AttainedService_ = valueOrDefault(State.AttainedService_, Id);
    Out.TotalWait_ = valueOrDefault(State.EarlierWaits_, Id);
    Out.Stopping_ = Job.State_ == model::JobState::Stopping;
    auto Found = State.Gangs_.find(Id);
    if (Found != State.Gangs_.end())
      addGangDetails(Found->second, Now, Out);
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
void addUntracked(const EntryState &State, sched::CellView &View) {
  std::unordered_set<core::JobId> Driven;
  for (const sched::RunningJob &Job : View.Running_)
    Driven.insert(Job.Id_);
  std::map<core::JobId, sched::RunningJob> Untracked;
  for (const sched::WorkerView &Worker : View.Workers_) {
    for (const auto &Report :
         State.Membership_.Nodes_.at(Worker.Name_).LastHeartbeat_.Tasks_) {
      if (Report.State_ > model::TaskState::Stopping ||
          Driven.count(Report.Job_))
        continue;
      sched::RunningJob &Out = Untracked[Report.Job_];
      Out.Id_ = Report.Job_;
      Out.Placement_.push_back({Worker.Name_, Report.Accelerators_});
      Out.Stopping_ = true;
    }
  }
  for (auto &[Id, Job] : Untracked)
    View.Running_.push_back(std::move(Job));
}

/// Returns true for a worker that gets a single job after its quarantine, until
/// a task has succeeded or failed there.
bool isOnProbation(const EntryState &State, const model::NodeName &Worker,
                   core::TimePoint Now) {
  return membership::schedulabilityOf(State.Membership_.Nodes_.at(Worker),
                                      Now) ==
         membership::Schedulability::OneJob;
}

/// Returns true when an attempt that began less than \p MaxAge ago, or whose
/// start time is unknown, is on the worker.
bool hasRecentJob(const sched::CellView &View, const model::NodeName &Worker,
                  core::Duration MaxAge) {
  return std::any_of(
      View.Running_.begin(), View.Running_.end(), [&](const auto &Job) {
        return Job.RunTime_ < MaxAge &&
               std::any_of(Job.Placement_.begin(), Job.Placement_.end(),
                           [&Worker](const model::TaskPlacement &Task) {
                             return Task.Worker_ == Worker;
                           });
      });
}

/// Marks workers on probation as unusable once they have their one job. Jobs
/// that ran there before the quarantine do not count, because they may run for
/// hours.
void closeProbationWorkers(const EntryState &State, core::TimePoint Now,
                           sched::CellView &View) {
  for (sched::WorkerView &Worker : View.Workers_)
    if (isOnProbation(State, Worker.Name_, Now) &&
        hasRecentJob(
            View, Worker.Name_,
            Now - State.Membership_.Nodes_.at(Worker.Name_).Quarantine_.Since_))
      Worker.Usable_ = false;
}

void addWaiting(const EntryState &State, core::TimePoint Now,
                sched::CellView &View) {
  for (const auto &[Id, Since] : State.WaitingSince_) {
    const model::Job &Job = State.ControlState_.Jobs_.at(Id);
    if (State.Gangs_.count(Id) || Job.CancelRequested_)
      continue;
    View.Waiting_.push_back({Id, Job.Spec_, Now - Since,
                             valueOrDefault(State.AttainedService_, Id), true,
                             valueOrDefault(State.EarlierWaits_, Id),
                             valueOrDefault(State.MigratedFrom_, Id)});
  }
  std::stable_sort(
      View.Waiting_.begin(), View.Waiting_.end(),
      [](const auto &A, const auto &B) { return A.Waited_ > B.Waited_; });
}

sched::CellView makeCellView(const EntryState &State,
                             const model::DomainName &Domain,
                             core::TimePoint Now) {
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
  addUntracked(State, View);
  closeProbationWorkers(State, Now, View);
  addWaiting(State, Now, View);
  return View;
}

/// Marks the jobs for which each cell is the preferred one.
void setPreferredCells(std::vector<sched::CellView> &Views) {
  const std::vector<std::size_t> Choice = sched::preferredCells(Views);
  for (std::size_t I = 0; I < Views.size(); ++I)
    for (std::size_t J = 0; J < Views[I].Waiting_.size(); ++J)
      Views[I].Waiting_[J].Preferred_ = Choice[J] == I;
}

/// Keeps in each view the jobs that prefer its cell or have waited long enough
/// for any cell. \p Explained stays in every view, so that each cell can give
/// its reason.
void keepEligibleJobs(const EntryState &State,
                      std::vector<sched::CellView> &Views,
                      const core::JobId *Explained = nullptr) {
  for (sched::CellView &View : Views) {
    std::vector<sched::WaitingJob> Kept;
    for (sched::WaitingJob &Job : View.Waiting_)
      if (Job.Preferred_ || (Explained && Job.Id_ == *Explained) ||
          Job.Waited_ >= State.Settings_.NonPreferredCellDelay_)
        Kept.push_back(std::move(Job));
    View.Waiting_ = std::move(Kept);
  }
}

/// Returns a view of each cell of which this host knows workers; the others
/// have nothing to offer. Hosts that receive the heartbeats of every agent and
/// have read the same log agree on the preferred cells.
std::vector<sched::CellView> makeCellViews(const EntryState &State,
                                           core::TimePoint Now) {
  std::vector<sched::CellView> Views;
  for (const auto &[Domain, Total] : membership::capacityOf(State.Membership_))
    if (Total > 0 && State.CellTrackers_.count(Domain))
      Views.push_back(makeCellView(State, Domain, Now));
  setPreferredCells(Views);
  return Views;
}

/// Adds the workers on probation that \p Tasks uses to \p Taken. Returns false
/// when this plan has placed a job on one of them already.
bool takeProbationWorkers(const EntryState &State,
                          const model::Placement &Tasks, core::TimePoint Now,
                          std::set<model::NodeName> &Taken) {
  std::set<model::NodeName> Wanted;
  for (const model::TaskPlacement &Task : Tasks)
    if (isOnProbation(State, Task.Worker_, Now))
      Wanted.insert(Task.Worker_);
  for (const model::NodeName &Worker : Wanted)
    if (Taken.count(Worker) != 0)
      return false;
  Taken.insert(Wanted.begin(), Wanted.end());
  return true;
}

void applyPlan(EntryState &State, const model::DomainName &Domain,
               const sched::Plan &Plan, core::TimePoint Now, Effects &Out) {
  for (const sched::WaitReason &Wait : Plan.Waits_)
    State.WaitReasons_[Wait.Job_] = Wait.Reason_;
  std::set<model::NodeName> Probation;
  for (const sched::StartDecision &Start : Plan.Starts_) {
    // Another cell that this host holds may have started the job in the same
    // round.
    if (State.Gangs_.count(Start.Job_))
      continue;
    // A plan may put several jobs on a worker on probation. The next round
    // finds the worker unusable and places the others elsewhere.
    if (!takeProbationWorkers(State, Start.Placement_, Now, Probation)) {
      State.ScheduleNeeded_ = true;
      continue;
    }
    State.WaitReasons_.erase(Start.Job_);
    reserveGang(State, Domain, State.ControlState_.Jobs_.at(Start.Job_),
                Start.Placement_, Now, Out);
  }
  for (const sched::PreemptDecision &Preempt : Plan.Preemptions_) {
    auto Found = State.Gangs_.find(Preempt.Job_);
    if (Found != State.Gangs_.end() &&
        (Found->second.Phase_ == GangPhase::Starting ||
         Found->second.Phase_ == GangPhase::Running)) {
      Found->second.Preemptor_ = Preempt.Preemptor_;
      if (Preempt.Migration_)
        State.MigratedFrom_[Preempt.Job_] = Domain;
      stopGang(State, Found->second, Preempt.Reason_, Now, Out);
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
  std::vector<sched::CellView> Views = makeCellViews(State, Now);
  keepEligibleJobs(State, Views, &Target.Id_);
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
bool isUrgentRoundDue(const EntryState &State, core::TimePoint Now) {
  auto Due = [&](const auto &Each) {
    const core::TimePoint Any =
        Each.second + State.Settings_.NonPreferredCellDelay_;
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
bool isMigrationSearchDue(const EntryState &State, core::TimePoint Now) {
  constexpr auto IntervalPerNode = std::chrono::milliseconds(20);
  const core::Duration Interval =
      IntervalPerNode * State.Membership_.Nodes_.size();
  return Now - State.LastMigrationSearchAt_ >=
         std::min(Interval, State.Settings_.MigrationInterval_);
}

} // namespace

std::string explainJob(const EntryState &State, const core::JobId &Id,
                       core::TimePoint Now) {
  auto Found = State.ControlState_.Jobs_.find(Id);
  if (Found == State.ControlState_.Jobs_.end())
    return "no such job is known";
  const model::Job &Target = Found->second;
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
  constexpr auto IntervalPerNode = std::chrono::milliseconds(1);
  const core::Duration SinceLastRound = Now - State.LastScheduledAt_;
  const bool Due =
      SinceLastRound >= State.Settings_.ScheduleInterval_ ||
      (State.ScheduleNeeded_ &&
       SinceLastRound >= IntervalPerNode * State.Membership_.Nodes_.size());
  if (State.WaitingSince_.empty() || (!Due && !isUrgentRoundDue(State, Now)))
    return;
  State.ScheduleNeeded_ = false;
  State.LastScheduledAt_ = Now;
  std::vector<sched::CellView> Views = makeCellViews(State, Now);
  if (isMigrationSearchDue(State, Now)) {
    State.LastMigrationSearchAt_ = Now;
    sched::planMigrations(Views);
  }
  keepEligibleJobs(State, Views);
  for (const sched::CellView &View : Views)
    if (holdsCell(State, View.Domain_, Now))
      applyPlan(State, View.Domain_, State.Settings_.Decide_(View), Now, Out);
}

} // namespace nutmegwell::entry
