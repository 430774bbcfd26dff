#include "controlsteps.h"
#include "gangreports.h"

#include <algorithm>
#include <utility>

namespace nutmegwell::entry {

namespace {

using model::TaskState;

void enterPhase(Gang &Target, GangPhase Phase, core::TimePoint Now) {
  Target.Phase_ = Phase;
  Target.PhaseSince_ = Now;
  Target.LastSent_ = {};
  Target.AnsweredWorkers_.clear();
  Target.RecordPending_ = false;
}

/// Returns the accelerator masks of the gang's tasks on one worker.
std::vector<std::uint64_t> tasksOn(const Gang &Target,
                                   const model::NodeName &Worker) {
  std::vector<std::uint64_t> Tasks;
  for (const model::TaskPlacement &Task : Target.Placement_)
    if (Task.Worker_ == Worker)
      Tasks.push_back(Task.Accelerators_);
  return Tasks;
}

template <typename MakeMessage>
void sendToUnanswered(const EntryState &State, Gang &Target,
                      core::TimePoint Now, Effects &Out, MakeMessage Make) {
  if (Now - Target.LastSent_ < State.Settings_.ResendInterval_)
    return;
  Target.LastSent_ = Now;
  for (const auto &[Worker, Incarnation] : Target.WorkerIncarnations_) {
    const membership::Node *Node = findNode(State, Worker);
    if (Node && !Target.AnsweredWorkers_.count(Worker))
      Out.Sends_.push_back({Node->Address_, Make(Worker)});
  }
}

void sendStops(const EntryState &State, Gang &Target, core::TimePoint Now,
               Effects &Out) {
  model::Stop Message{Target.Term_, Target.Job_, Target.Attempt_,
                      State.Settings_.CheckpointGrace_};
  sendToUnanswered(State, Target, Now, Out,
                   [&Message](const model::NodeName &) { return Message; });
}

void sendReserves(const EntryState &State, Gang &Target, core::TimePoint Now,
                  Effects &Out) {
  const model::Job &Job = State.ControlState_.Jobs_.at(Target.Job_);
  sendToUnanswered(State, Target, Now, Out, [&](const model::NodeName &Worker) {
    return model::Reserve{Target.Term_,
                          Target.Job_,
                          Target.Attempt_,
                          tasksOn(Target, Worker),
                          Target.Spec_.Command_,
                          Job.Checkpoint_,
                          State.Settings_.ReservationLease_};
  });
}

/// Drops a reservation that was not committed. The job stays in the waiting
/// state.
void abandonReservation(EntryState &State, Gang &Target, core::TimePoint Now,
                        Effects &Out) {
  Target.AnsweredWorkers_.clear();
  Target.LastSent_ = {};
  sendStops(State, Target, Now, Out);
  State.ScheduleNeeded_ = true;
}

void advanceReserving(EntryState &State, Gang &Target, core::TimePoint Now,
                      Effects &Out) {
  if (Now - Target.PhaseSince_ >= State.Settings_.ReservationLease_) {
    abandonReservation(State, Target, Now, Out);
    State.Gangs_.erase(Target.Job_);
    return;
  }
  sendReserves(State, Target, Now, Out);
}

void advanceStopping(EntryState &State, Gang &Target, core::TimePoint Now,
                     Effects &Out) {
  recordWorkerIncarnations(State, Target);
  for (const auto &[Worker, Incarnation] : Target.WorkerIncarnations_)
    if (hasStoppedOn(State, Target, Worker, Incarnation, Now))
      Target.AnsweredWorkers_.insert(Worker);
  sendStops(State, Target, Now, Out);
  if (Target.AnsweredWorkers_.size() < Target.WorkerIncarnations_.size() ||
      Target.RecordPending_ || !State.LogAvailable_)
    return;
  Target.RecordPending_ = true;
  const model::Job &Job = State.ControlState_.Jobs_.at(Target.Job_);
  append(
      State, Out,
      model::JobRequeued{Target.Job_, Target.Attempt_, Target.Domain_,
                         Target.Term_, joinedCheckpoint(State, Target),
                         Job.Reason_.empty() ? Target.StopReason_ : Job.Reason_,
                         Target.TaskFailed_},
      PendingRecord{0, {}, Target.Job_, Target.Attempt_, {}, {}});
}

void appendFinished(EntryState &State, Gang &Target, Effects &Out) {
  Target.RecordPending_ = true;
  append(State, Out,
         model::JobFinished{Target.Job_, Target.Attempt_, Target.Domain_,
                            Target.Term_, model::JobState::Finished, ""},
         PendingRecord{0, {}, Target.Job_, Target.Attempt_, {}, {}});
}

void enterRunning(Gang &Target, core::TimePoint Now) {
  enterPhase(Target, GangPhase::Running, Now);
  Target.RunningSince_ = Now;
}

void advanceStarted(EntryState &State, Gang &Target, core::TimePoint Now,
                    Effects &Out) {
  if (Target.RecordPending_)
    return;
  recordWorkerIncarnations(State, Target);
  GangReport Report = summarizeReports(State, Target);
  const model::Job &Job = State.ControlState_.Jobs_.at(Target.Job_);
  Target.TaskFailed_ = Report.TaskFailed_;
  if (Report.DoneWorkers_ == Target.WorkerIncarnations_.size()) {
    if (State.LogAvailable_)
      appendFinished(State, Target, Out);
    return;
  }
  if (Job.CancelRequested_)
    return stopGang(State, Target, "cancelled by its caller", Now, Out);
  if (!Report.FailureReason_.empty())
    return stopGang(State, Target, Report.FailureReason_, Now, Out);
  if (!model::isInService(State.ControlState_, Target.Domain_))
    return stopGang(State, Target,
                    "failure domain " + Target.Domain_ +
                        " was taken out of service",
                    Now, Out);
  if (Target.Phase_ == GangPhase::Running)
    return;
  if (Report.StartedWorkers_ == Target.WorkerIncarnations_.size())
    return enterRunning(Target, Now);
  if (Now - Target.PhaseSince_ >= State.Settings_.StartTimeout_)
    return stopGang(State, Target, "not every task started in time", Now, Out);
  model::Start Message{Target.Term_, Target.Job_, Target.Attempt_};
  sendToUnanswered(State, Target, Now, Out,
                   [&Message](const model::NodeName &) { return Message; });
}

void advanceGang(EntryState &State, const core::JobId &Id, core::TimePoint Now,
                 Effects &Out) {
  Gang &Target = State.Gangs_.at(Id);
  switch (Target.Phase_) {
  case GangPhase::Reserving:
    return advanceReserving(State, Target, Now, Out);
  case GangPhase::Committing:
    return;
  case GangPhase::Starting:
  case GangPhase::Running:
    return advanceStarted(State, Target, Now, Out);
  case GangPhase::Stopping:
    return advanceStopping(State, Target, Now, Out);
  }
}

/// Takes over a committed attempt that an earlier holder, or an earlier process
/// of this host, started.
void adoptAttempt(EntryState &State, const model::Job &Job,
                  core::TimePoint Now) {
  Gang Adopted;
  Adopted.Job_ = Job.Id_;
  Adopted.Attempt_ = Job.Attempt_;
  Adopted.Domain_ = Job.Domain_;
  Adopted.Spec_ = Job.Spec_;
  Adopted.Placement_ = Job.Placement_;
  recordWorkerIncarnations(State, Adopted);
  enterPhase(Adopted,
             Job.State_ == model::JobState::Stopping ? GangPhase::Stopping
                                                     : GangPhase::Starting,
             Now);
  State.Gangs_.emplace(Job.Id_, std::move(Adopted));
}

/// Returns true when this host has received heartbeats from all workers of the
/// job, or has run long enough to treat the missing ones as lost.
bool canAdopt(const EntryState &State, const model::Job &Job,
              core::TimePoint Now) {
  if (Now - State.StartedAt_ >= State.Settings_.Membership_.UnreachableAfter_)
    return true;
  return std::all_of(Job.Placement_.begin(), Job.Placement_.end(),
                     [&State](const model::TaskPlacement &Task) {
                       return findNode(State, Task.Worker_) != nullptr;
                     });
}

/// Adopts committed attempts of held cells, and drops gangs whose attempt has
/// ended or whose cell this host no longer holds.
void reconcileGangs(EntryState &State, core::TimePoint Now, Effects &Out) {
  for (const auto &[Domain, Jobs] : State.ActiveJobs_) {
    if (!holdsCell(State, Domain, Now))
      continue;
    for (const core::JobId &Id : Jobs) {
      const model::Job &Job = State.ControlState_.Jobs_.at(Id);
      if (!State.Gangs_.count(Id) && canAdopt(State, Job, Now))
        adoptAttempt(State, Job, Now);
    }
  }
  for (auto It = State.Gangs_.begin(); It != State.Gangs_.end();) {
    Gang &Target = It->second;
    auto Found = State.ControlState_.Jobs_.find(It->first);
    bool Committed = Target.Phase_ != GangPhase::Reserving &&
                     Target.Phase_ != GangPhase::Committing;
    // A committed gang is driven until another holder is known, so that it is
    // stopped when it fails while the log is unavailable. This is safe because
    // agents refuse the term once they know a higher one.
    bool Held = Committed ? ownTerm(State, Target.Domain_) != 0
                          : holdsCell(State, Target.Domain_, Now);
    bool Over = Found == State.ControlState_.Jobs_.end() || !Held ||
                (Committed ? !model::isRunning(Found->second.State_) ||
                                 Found->second.Attempt_ != Target.Attempt_
                           : Found->second.State_ != model::JobState::Waiting);
    Target.Term_ = ownTerm(State, Target.Domain_);
    if (Over && !Committed)
      abandonReservation(State, Target, Now, Out);
    It = Over ? State.Gangs_.erase(It) : std::next(It);
  }
}

} // namespace

void reserveGang(EntryState &State, const model::DomainName &Domain,
                 const model::Job &Target, const model::Placement &Tasks,
                 core::TimePoint Now, Effects &Out) {
  std::uint32_t &Last = State.LastAttempt_[Target.Id_];
  Last = std::max(Last, Target.Attempt_) + 1;
  Gang New;
  New.Job_ = Target.Id_;
  New.Attempt_ = Last;
  New.Domain_ = Domain;
  New.Term_ = ownTerm(State, Domain);
  New.Spec_ = Target.Spec_;
  New.Placement_ = Tasks;
  recordWorkerIncarnations(State, New);
  enterPhase(New, GangPhase::Reserving, Now);
  sendReserves(State, New, Now, Out);
  State.Gangs_[Target.Id_] = std::move(New);
}

void stopGang(EntryState &State, Gang &Target, const std::string &Reason,
              core::TimePoint Now, Effects &Out) {
  if (Target.RecordPending_)
    return;
  if (Target.RunningSince_ != core::TimePoint{})
    State.AttainedService_[Target.Job_] +=
        (Now - Target.RunningSince_) * Target.Spec_.accelerators();
  enterPhase(Target, GangPhase::Stopping, Now);
  Target.StopReason_ = Reason;
  sendStops(State, Target, Now, Out);
  if (!State.LogAvailable_)
    return;
  Target.RecordPending_ = true;
  append(State, Out,
         model::JobStopping{Target.Job_, Target.Attempt_, Target.Domain_,
                            Target.Term_, Reason},
         PendingRecord{0, {}, Target.Job_, Target.Attempt_, {}, {}});
}

void onReserveAnswer(EntryState &State, const model::ReserveAnswer &Answer,
                     core::TimePoint Now, Effects &Out) {
  auto Found = State.Gangs_.find(Answer.Job_);
  if (Found == State.Gangs_.end() ||
      Found->second.Attempt_ != Answer.Attempt_ ||
      Found->second.Phase_ != GangPhase::Reserving ||
      !Found->second.WorkerIncarnations_.count(Answer.Node_))
    return;
  Gang &Target = Found->second;
  if (!Answer.Accepted_) {
    abandonReservation(State, Target, Now, Out);
    // When the job has ended meanwhile, nothing would remove the reason again.
    if (State.WaitingSince_.count(Answer.Job_))
      State.WaitReasons_[Answer.Job_] =
          "worker " + Answer.Node_ +
          " refused the reservation: " + Answer.Code_;
    State.Gangs_.erase(Found);
    return;
  }
  Target.AnsweredWorkers_.insert(Answer.Node_);
  if (Target.AnsweredWorkers_.size() < Target.WorkerIncarnations_.size())
    return;
  enterPhase(Target, GangPhase::Committing, Now);
  append(State, Out,
         model::JobCommitted{Target.Job_, Target.Attempt_, Target.Domain_,
                             Target.Term_, Target.Placement_},
         PendingRecord{0, {}, Target.Job_, Target.Attempt_, {}, {}});
}

void onGangRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out) {
  auto Found = State.Gangs_.find(Purpose.Job_);
  // The result of a record of an abandoned attempt may arrive after the next
  // attempt has begun.
  if (Found == State.Gangs_.end() || Found->second.Attempt_ != Purpose.Attempt_)
    return;
  Gang &Target = Found->second;
  Target.RecordPending_ = false;
  State.ChangedJobs_.insert(Purpose.Job_);
  if (Target.Phase_ == GangPhase::Committing && !Result.Accepted_) {
    abandonReservation(State, Target, Now, Out);
    State.Gangs_.erase(Found);
    return;
  }
  if (!Result.Accepted_)
    return;
  const model::Job &Job = State.ControlState_.Jobs_.at(Purpose.Job_);
  if (Job.State_ == model::JobState::Running) {
    enterPhase(Target, GangPhase::Starting, Now);
  } else if (Job.State_ == model::JobState::Stopping) {
    if (Target.Phase_ != GangPhase::Stopping)
      enterPhase(Target, GangPhase::Stopping, Now);
  } else {
    Out.LogEvents_.push_back({"job_state",
                              {{"job", core::toString(Job.Id_)},
                               {"state", toString(Job.State_)},
                               {"reason", Job.Reason_}}});
    State.Gangs_.erase(Found);
    State.ScheduleNeeded_ = true;
    return;
  }
  Out.LogEvents_.push_back({"job_state",
                            {{"job", core::toString(Job.Id_)},
                             {"state", toString(Job.State_)},
                             {"attempt", std::to_string(Job.Attempt_)},
                             {"domain", Job.Domain_},
                             {"reason", Job.Reason_}}});
  advanceGang(State, Purpose.Job_, Now, Out);
}

void stopUnknownTasks(EntryState &State, const membership::Node &Target,
                      core::TimePoint Now, Effects &Out) {
  if (!holdsCell(State, Target.LastHeartbeat_.Domain_, Now) ||
      !isLogFresh(State, Now))
    return;
  for (const model::TaskReport &Report : Target.LastHeartbeat_.Tasks_) {
    if (isFinal(Report.State_) || Report.State_ == TaskState::Reserved)
      continue;
    auto Found = State.ControlState_.Jobs_.find(Report.Job_);
    bool Committed = Found != State.ControlState_.Jobs_.end() &&
                     Found->second.Attempt_ == Report.Attempt_ &&
                     model::isRunning(Found->second.State_);
    if (!Committed)
      Out.Sends_.push_back(
          {Target.Address_,
           model::Stop{ownTerm(State, Target.LastHeartbeat_.Domain_),
                       Report.Job_, Report.Attempt_,
                       State.Settings_.CheckpointGrace_}});
  }
}

void advanceGangs(EntryState &State, core::TimePoint Now, Effects &Out) {
  reconcileGangs(State, Now, Out);
  const std::set<core::JobId> Changed = std::exchange(State.ChangedJobs_, {});
  const bool All = std::exchange(State.CheckAllGangs_, false);
  std::vector<core::JobId> Ids;
  for (const auto &[Id, Target] : State.Gangs_)
    if (All || Target.Phase_ != GangPhase::Running || Changed.count(Id))
      Ids.push_back(Id);
  for (const core::JobId &Id : Ids)
    advanceGang(State, Id, Now, Out);
}

} // namespace nutmegwell::entry
