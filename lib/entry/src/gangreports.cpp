#include "gangreports.h"

#include "controlsteps.h"
#include <algorithm>

namespace nutmegwell::entry {

namespace {

using model::TaskState;

/// Returns true when the agent that ran the attempt is unreachable or was
/// replaced.
bool lost(const EntryState &State, const model::NodeName &Worker,
          core::Incarnation Process) {
  const membership::Node *Known = findNode(State, Worker);
  return !Known || Known->State_ == membership::NodeState::Unreachable ||
         (Process != 0 && Known->LastHeartbeat_.Incarnation_ != Process);
}

} // namespace

bool ended(TaskState Value) {
  return Value == TaskState::Done || Value == TaskState::Failed ||
         Value == TaskState::Stopped;
}

const membership::Node *findNode(const EntryState &State,
                                 const model::NodeName &Name) {
  auto Known = State.Membership_.Nodes_.find(Name);
  return Known == State.Membership_.Nodes_.end() ? nullptr : &Known->second;
}

const model::TaskReport *findReport(const EntryState &State,
                                    const model::NodeName &Node,
                                    const core::JobId &Job,
                                    std::uint32_t Attempt) {
  const membership::Node *Known = findNode(State, Node);
  if (!Known)
    return nullptr;
  for (const model::TaskReport &Report : Known->LastHeartbeat_.Tasks_)
    if (Report.Job_ == Job && Report.Attempt_ == Attempt)
      return &Report;
  return nullptr;
}

void noteMembers(const EntryState &State, Gang &Target) {
  for (const model::TaskPlacement &Task : Target.Placement_) {
    core::Incarnation &Process = Target.WorkerIncarnations_[Task.Worker_];
    if (Process == 0 &&
        findReport(State, Task.Worker_, Target.Job_, Target.Attempt_))
      Process = findNode(State, Task.Worker_)->LastHeartbeat_.Incarnation_;
  }
}

bool stoppedOn(const EntryState &State, const Gang &Target,
               const model::NodeName &Worker, core::Incarnation Process,
               core::TimePoint Now) {
  const membership::Node *Known = findNode(State, Worker);
  const EntrySettings &Settings = State.Settings_;
  // An agent that this host cannot reach may still have received lease renewals
  // from an earlier holder.
  const core::TimePoint Renewed =
      std::max(Known ? Known->LastHeartbeatAt_ : Target.Since_,
               renewedByOthers(State, Target.Domain_));
  const core::Duration Grace = std::max<core::Duration>(
      Settings.CheckpointGrace_, model::LeaseExpiryGrace);
  const bool LeaseOver =
      Now - Renewed >= Settings.TaskLease_ + Grace + Settings.StopMargin_;
  if (!Known)
    return LeaseOver;
  // A restarted agent stops the tasks of its predecessor before it sends its
  // first heartbeat. As long as no incarnation has reported the attempt, the
  // one that sends heartbeats now may be the one that runs it.
  if (Process != 0 && Known->LastHeartbeat_.Incarnation_ != Process)
    return true;
  const model::TaskReport *Report =
      findReport(State, Worker, Target.Job_, Target.Attempt_);
  if (Report && ended(Report->State_))
    return true;
  return LeaseOver;
}

std::string joinedCheckpoint(const EntryState &State, const Gang &Target) {
  std::string Joined;
  for (const auto &[Worker, Process] : Target.WorkerIncarnations_) {
    const model::TaskReport *Report =
        findReport(State, Worker, Target.Job_, Target.Attempt_);
    if (!Report || Report->Checkpoint_.empty())
      return std::string();
    Joined += (Joined.empty() ? "" : ";") + Report->Checkpoint_;
  }
  return Joined;
}

GangReport inspect(const EntryState &State, const Gang &Target) {
  GangReport Result;
  for (const auto &[Worker, Process] : Target.WorkerIncarnations_) {
    if (lost(State, Worker, Process)) {
      Result.Fault_ = "worker " + Worker + " was lost";
      continue;
    }
    const model::TaskReport *Report =
        findReport(State, Worker, Target.Job_, Target.Attempt_);
    bool Alive =
        findNode(State, Worker)->State_ != membership::NodeState::Suspect;
    if (!Report) {
      if (Alive && Target.Phase_ == GangPhase::Running)
        Result.Fault_ = "worker " + Worker + " no longer runs the task";
      continue;
    }
    if (Report->State_ == TaskState::Running ||
        Report->State_ == TaskState::Done)
      ++Result.Started_;
    if (Report->State_ == TaskState::Done)
      ++Result.Done_;
    if (Report->State_ == TaskState::Failed) {
      Result.Fault_ = "a task failed on worker " + Worker;
      Result.TaskFailed_ = true;
    }
    if (Report->State_ == TaskState::Stopped)
      Result.Fault_ = "worker " + Worker + " stopped the task";
  }
  return Result;
}

} // namespace nutmegwell::entry
