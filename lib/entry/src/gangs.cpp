#include "controlsteps.h"
#include "gangreports.h"

#include <algorithm>
#include <utility>

namespace nutmegwell::entry {

namespace {

using model::TaskState;

void enter(Gang &Target, GangPhase Phase, core::TimePoint Now) {
  Target.Phase_ = Phase;
  Target.Since_ = Now;
  Target.LastSent_ = {};
  Target.Answered_.clear();
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
  for (const auto &[Worker, Process] : Target.WorkerIncarnations_) {
    const membership::Node *Known = findNode(State, Worker);
    if (Known && !Target.Answered_.count(Worker))
      Out.Sends_.push_back({Known->Address_, Make(Worker)});
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
  const model::Job &Known = State.ControlState_.Jobs_.at(Target.Job_);
  sendToUnanswered(State, Target, Now, Out, [&](const model::NodeName &Worker) {
    return model::Reserve{Target.Term_,
                          Target.Job_,
                          Target.Attempt_,
                          tasksOn(Target, Worker),
                          Target.Spec_.Command_,
                          Known.Checkpoint_,
                          State.Settings_.ReservationLease_};
  });
}

/// Drops a reservation that was not committed. The job stays in the waiting
/// state.
void abandon(EntryState &State, Gang &Target, core::TimePoint Now,
             Effects &Out) {
  Target.Answered_.clear();
  Target.LastSent_ = {};
  sendStops(State, Target, Now, Out);
  State.ScheduleNeeded_ = true;
}

void advanceReserving(EntryState &State, Gang &Target, core::TimePoint Now,
                      Effects &Out) {
  if (Now - Target.Since_ >= State.Settings_.ReservationLease_) {
    abandon(State, Target, Now, Out);
    State.Gangs_.erase(Target.Job_);
    return;
  }
  sendReserves(State, Target, Now, Out);
}

void advanceStopping(EntryState &State, Gang &Target, core::TimePoint Now,
                     Effects &Out) {
  noteMembers(State, Target);
  for (const auto &[Worker, Process] : Target.WorkerIncarnations_)
    if (stoppedOn(State, Target, Worker, Process, Now))
      Target.Answered_.insert(Worker);
  sendStops(State, Target, Now, Out);
  if (Target.Answered_.size() < Target.WorkerIncarnations_.size() ||
      Target.RecordPending_ || !State.LogAvailable_)
    return;
  Target.RecordPending_ = true;
  const model::Job &Known = State.ControlState_.Jobs_.at(Target.Job_);
  append(State, Out,
         model::JobRequeued{Target.Job_, Target.Attempt_, Target.Domain_,
                            Target.Term_, joinedCheckpoint(State, Target),
                            Known.Reason_.empty() ? Target.StopReason_
                                                  : Known.Reason_,
                            Target.TaskFailed_},
         PendingRecord{0, {}, Target.Job_, Target.Attempt_, {}, {}});
}

void finish(EntryState &State, Gang &Target, Effects &Out) {
  Target.RecordPending_ = true;
  append(State, Out,
         model::JobFinished{Target.Job_, Target.Attempt_, Target.Domain_,
                            Target.Term_, model::JobState::Finished, ""},
         PendingRecord{0, {}, Target.Job_, Target.Attempt_, {}, {}});
}

void noteRunning(Gang &Target, core::TimePoint Now) {
  enter(Target, GangPhase::Running, Now);
  Target.RunningSince_ = Now;
}

void advanceStarted(EntryState &State, Gang &Target, core::TimePoint Now,
                    Effects &Out) {
  if (Target.RecordPending_)
    return;
  noteMembers(State, Target);
  GangReport Report = inspect(State, Target);
  const model::Job &Known = State.ControlState_.Jobs_.at(Target.Job_);
  Target.TaskFailed_ = Report.TaskFailed_;
  if (Report.Done_ == Target.WorkerIncarnations_.size()) {
    if (State.LogAvailable_)
      finish(State, Target, Out);
    return;
  }
  if (Known.CancelRequested_)
    return stopGang(State, Target, "cancelled by its caller", Now, Out);
  if (!Report.Fault_.empty())
    return stopGang(State, Target, Report.Fault_, Now, Out);
  if (!model::isInService(State.ControlState_, Target.Domain_))
    return stopGang(State, Target,
                    "failure domain " + Target.Domain_ +
                        " was taken out of service",
                    Now, Out);
  if (Target.Phase_ == GangPhase::Running)
    return;
  if (Report.Started_ == Target.WorkerIncarnations_.size())
    return noteRunning(Target, Now);
  if (Now - Target.Since_ >= State.Settings_.StartBound_)
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
void adopt(EntryState &State, const model::Job &Known, core::TimePoint Now) {
  Gang Target;
  Target.Job_ = Known.Id_;
  Target.Attempt_ = Known.Attempt_;
  Target.Domain_ = Known.Domain_;
  Target.Spec_ = Known.Spec_;
  Target.Placement_ = Known.Placement_;
  noteMembers(State, Target);
  enter(Target,
        Known.State_ == model::JobState::Stopping ? GangPhase::Stopping
                                                  : GangPhase::Starting,
        Now);
  State.Gangs_.emplace(Known.Id_, std::move(Target));
}

/// Returns true when this host has received heartbeats from all workers of the
/// job, or has run long enough to treat the missing ones as lost.
bool mayAdopt(const EntryState &State, const model::Job &Known,
              core::TimePoint Now) {
  if (Now - State.StartedAt_ >= State.Settings_.Membership_.UnreachableAfter_)
    return true;
  return std::all_of(Known.Placement_.begin(), Known.Placement_.end(),
                     [&State](const model::TaskPlacement &Task) {
                       return findNode(State, Task.Worker_) != nullptr;
                     });
}

/// Adopts committed attempts of held cells, and drops gangs whose attempt has
/// ended or whose cell this host no longer holds.
void reconcile(EntryState &State, core::TimePoint Now, Effects &Out) {
  for (const auto &[Domain, Jobs] : State.Attempts_) {
    if (!holdsCell(State, Domain, Now))
      continue;
    for (const core::JobId &Id : Jobs) {
      const model::Job &Known = State.ControlState_.Jobs_.at(Id);
      if (!State.Gangs_.count(Id) && mayAdopt(State, Known, Now))
        adopt(State, Known, Now);
    }
  }
  for (auto Place = State.Gangs_.begin(); Place != State.Gangs_.end();) {
    Gang &Target = Place->second;
    auto Known = State.ControlState_.Jobs_.find(Place->first);
    bool Committed = Target.Phase_ != GangPhase::Reserving &&
                     Target.Phase_ != GangPhase::Committing;
    // A committed gang is driven until another holder is known, so that it is
    // stopped when it fails while the log is unavailable. This is safe because
    // agents refuse the term once they know a higher one.
    bool Held = Committed ? ownTerm(State, Target.Domain_) != 0
                          : holdsCell(State, Target.Domain_, Now);
    bool Over = Known == State.ControlState_.Jobs_.end() || !Held ||
                (Committed ? !model::isRunning(Known->second.State_) ||
                                 Known->second.Attempt_ != Target.Attempt_
                           : Known->second.State_ != model::JobState::Waiting);
    Target.Term_ = ownTerm(State, Target.Domain_);
    if (Over && !Committed)
      abandon(State, Target, Now, Out);
    Place = Over ? State.Gangs_.erase(Place) : std::next(Place);
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
  noteMembers(State, New);
  enter(New, GangPhase::Reserving, Now);
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
  enter(Target, GangPhase::Stopping, Now);
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
  auto Known = State.Gangs_.find(Answer.Job_);
  if (Known == State.Gangs_.end() ||
      Known->second.Attempt_ != Answer.Attempt_ ||
      Known->second.Phase_ != GangPhase::Reserving ||
      !Known->second.WorkerIncarnations_.count(Answer.Node_))
    return;
  Gang &Target = Known->second;
  if (!Answer.Accepted_) {
    abandon(State, Target, Now, Out);
    // When the job has ended meanwhile, nothing would remove the reason again.
    if (State.WaitingSince_.count(Answer.Job_))
      State.WaitReasons_[Answer.Job_] =
          "worker " + Answer.Node_ +
          " refused the reservation: " + Answer.Code_;
    State.Gangs_.erase(Known);
    return;
  }
  Target.Answered_.insert(Answer.Node_);
  if (Target.Answered_.size() < Target.WorkerIncarnations_.size())
    return;
  enter(Target, GangPhase::Committing, Now);
  append(State, Out,
         model::JobCommitted{Target.Job_, Target.Attempt_, Target.Domain_,
                             Target.Term_, Target.Placement_},
         PendingRecord{0, {}, Target.Job_, Target.Attempt_, {}, {}});
}

void onGangRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out) {
  auto Known = State.Gangs_.find(Purpose.Job_);
  // The result of a record of an abandoned attempt may arrive after the next
  // attempt has begun.
  if (Known == State.Gangs_.end() || Known->second.Attempt_ != Purpose.Attempt_)
    return;
  Gang &Target = Known->second;
  Target.RecordPending_ = false;
  State.ChangedJobs_.insert(Purpose.Job_);
  if (Target.Phase_ == GangPhase::Committing && !Result.Accepted_) {
    abandon(State, Target, Now, Out);
    State.Gangs_.erase(Known);
    return;
  }
  if (!Result.Accepted_)
    return;
  const model::Job &Job = State.ControlState_.Jobs_.at(Purpose.Job_);
  if (Job.State_ == model::JobState::Running) {
    enter(Target, GangPhase::Starting, Now);
  } else if (Job.State_ == model::JobState::Stopping) {
    if (Target.Phase_ != GangPhase::Stopping)
      enter(Target, GangPhase::Stopping, Now);
  } else {
    Out.LogEvents_.push_back({"job_state",
                              {{"job", core::toString(Job.Id_)},
                               {"state", toString(Job.State_)},
                               {"reason", Job.Reason_}}});
    State.Gangs_.erase(Known);
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
    if (ended(Report.State_) || Report.State_ == TaskState::Reserved)
      continue;
    auto Known = State.ControlState_.Jobs_.find(Report.Job_);
    bool Committed = Known != State.ControlState_.Jobs_.end() &&
                     Known->second.Attempt_ == Report.Attempt_ &&
                     model::isRunning(Known->second.State_);
    if (!Committed)
      Out.Sends_.push_back(
          {Target.Address_,
           model::Stop{ownTerm(State, Target.LastHeartbeat_.Domain_),
                       Report.Job_, Report.Attempt_,
                       State.Settings_.CheckpointGrace_}});
  }
}

void advanceGangs(EntryState &State, core::TimePoint Now, Effects &Out) {
  reconcile(State, Now, Out);
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
