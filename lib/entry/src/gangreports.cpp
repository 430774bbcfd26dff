#include "gangreports.h"

#include "controlsteps.h"
#include <algorithm>

namespace nutmegwell::entry {

namespace {

using model::TaskState;

/// Returns true when the agent that ran the attempt is unreachable or was
/// replaced.
bool isLost(const EntryState &State, const model::NodeName &Worker,
            core::Incarnation Incarnation) {
  const membership::Node *Node = findNode(State, Worker);
  return !Node || Node->State_ == membership::NodeState::Unreachable ||
         (Incarnation != 0 && Node->LastHeartbeat_.Incarnation_ != Incarnation);
}

} // namespace

bool isFinal(TaskState Value) {
  return Value == TaskState::Done || Value == TaskState::Failed ||
         Value == TaskState::Stopped;
}

const membership::Node *findNode(const EntryState &State,
                                 const model::NodeName &Name) {
  auto Found = State.Membership_.Nodes_.find(Name);
  return Found == State.Membership_.Nodes_.end() ? nullptr : &Found->second;
}

const model::TaskReport *findReport(const EntryState &State,
                                    const model::NodeName &Node,
                                    const core::JobId &Job,
                                    std::uint32_t Attempt) {
  const membership::Node *Found = findNode(State, Node);
  if (!Found)
    return nullptr;
  for (const model::TaskReport &Report : Found->LastHeartbeat_.Tasks_)
    if (Report.Job_ == Job && Report.Attempt_ == Attempt)
      return &Report;
  return nullptr;
}

void recordWorkerIncarnations(const EntryState &State, Gang &Target) {
  for (const model::TaskPlacement &Task : Target.Placement_) {
    core::Incarnation &Incarnation = Target.WorkerIncarnations_[Task.Worker_];
    if (Incarnation == 0 &&
        findReport(State, Task.Worker_, Target.Job_, Target.Attempt_))
      Incarnation = findNode(State, Task.Worker_)->LastHeartbeat_.Incarnation_;
  }
}

bool hasStoppedOn(const EntryState &State, const Gang &Target,
                  const model::NodeName &Worker, core::Incarnation Incarnation,
                  core::TimePoint Now) {
  const membership::Node *Node = findNode(State, Worker);
  const EntrySettings &Settings = State.Settings_;
  // An agent that this host cannot reach may still have received lease renewals
  // from an earlier holder.
  const core::TimePoint LastRenewal =
      std::max(Node ? Node->LastHeartbeatAt_ : Target.PhaseSince_,
               lastRenewalByFormerHolders(State, Target.Domain_));
  const core::Duration Grace = std::max<core::Duration>(
      Settings.CheckpointGrace_, model::LeaseExpiryGrace);
  const bool LeaseExpired =
      Now - LastRenewal >= Settings.TaskLease_ + Grace + Settings.StopMargin_;
  if (!Node)
    return LeaseExpired;
  // A restarted agent stops the tasks of its predecessor before it sends its
  // first heartbeat. As long as no incarnation has reported the attempt, the
  // one that sends heartbeats now may be the one that runs it.
  if (Incarnation != 0 && Node->LastHeartbeat_.Incarnation_ != Incarnation)
    return true;
  const model::TaskReport *Report =
      findReport(State, Worker, Target.Job_, Target.Attempt_);
  if (Report && isFinal(Report->State_))
    return true;
  return LeaseExpired;
}

std::string joinedCheckpoint(const EntryState &State, const Gang &Target) {
  std::string Joined;
  for (const auto &[Worker, Incarnation] : Target.WorkerIncarnations_) {
    const model::TaskReport *Report =
        findReport(State, Worker, Target.Job_, Target.Attempt_);
    if (!Report || Report->Checkpoint_.empty())
      return std::string();
    Joined += (Joined.empty() ? "" : ";") + Report->Checkpoint_;
  }
  return Joined;
}

GangReport summarizeReports(const EntryState &State, const Gang &Target) {
  GangReport Result;
  for (const auto &[Worker, Incarnation] : Target.WorkerIncarnations_) {
    if (isLost(State, Worker, Incarnation)) {
      Result.FailureReason_ = "worker " + Worker + " was lost";
      continue;
    }
    const model::TaskReport *Report =
        findReport(State, Worker, Target.Job_, Target.Attempt_);
    bool Alive =
        findNode(State, Worker)->State_ != membership::NodeState::Suspect;
    if (!Report) {
      if (Alive && Target.Phase_ == GangPhase::Running)
        Result.FailureReason_ = "worker " + Worker + " no longer runs the task";
      continue;
    }
    if (Report->State_ == TaskState::Running ||
        Report->State_ == TaskState::Done)
      ++Result.StartedWorkers_;
    if (Report->State_ == TaskState::Done)
      ++Result.DoneWorkers_;
    if (Report->State_ == TaskState::Failed) {
      Result.FailureReason_ = "a task failed on worker " + Worker;
      Result.TaskFailed_ = true;
    }
    if (Report->State_ == TaskState::Stopped)
      Result.FailureReason_ = "worker " + Worker + " stopped the task";
  }
  return Result;
}

} // namespace nutmegwell::entry
