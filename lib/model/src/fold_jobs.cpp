#include "fold.h"

namespace nutmegwell::model {

namespace {

Job *findJob(ControlState &State, const core::JobId &Id) {
  auto It = State.Jobs_.find(Id);
  return It == State.Jobs_.end() ? nullptr : &It->second;
}

FoldOutcome unknownJob(const core::JobId &Id) {
  return {"unknown_job", "no job " + core::toString(Id)};
}

/// Moves a job to a final state and evicts the oldest final job above the
/// bound.
void endJob(ControlState &State, Job &Target, JobState Final,
            std::string Reason) {
  Target.State_ = Final;
  Target.Reason_ = std::move(Reason);
  Target.Placement_.clear();
  State.FinalJobs_.push_back(Target.Id_);
  if (State.FinalJobs_.size() > MaxFinalJobs) {
    State.Jobs_.erase(State.FinalJobs_.front());
    State.FinalJobs_.pop_front();
  }
}

/// Rejects a record that is not about the job's current attempt, or not under
/// the current term of the cell that runs the attempt.
template <typename Body>
FoldOutcome checkAttempt(ControlState &State, const Body &Change, Job *Target) {
  if (!Target)
    return unknownJob(Change.Job_);
  if (Target->Attempt_ != Change.Attempt_ ||
      Target->Domain_ != Change.Domain_ ||
      (Target->State_ != JobState::Running &&
       Target->State_ != JobState::Stopping))
    return {"stale_attempt", "job " + core::toString(Change.Job_) + " is " +
                                 toString(Target->State_) + " in attempt " +
                                 std::to_string(Target->Attempt_)};
  return checkTerm(State, Change.Domain_, Change.Term_);
}

} // namespace

FoldOutcome fold(ControlState &State, const JobSubmitted &Change) {
  auto [It, Inserted] = State.Jobs_.emplace(Change.Job_, Job());
  if (!Inserted)
    return {"duplicate_job", "a job with this id was already submitted"};
  It->second.Id_ = Change.Job_;
  It->second.Spec_ = Change.Spec_;
  return {};
}

FoldOutcome fold(ControlState &State, const JobCancelled &Change) {
  Job *Target = findJob(State, Change.Job_);
  if (!Target)
    return unknownJob(Change.Job_);
  if (isFinal(Target->State_))
    return {"already_final",
            std::string("the job is ") + toString(Target->State_)};
  Target->CancelRequested_ = true;
  if (Target->State_ == JobState::Waiting)
    endJob(State, *Target, JobState::Cancelled, "cancelled by its caller");
  return {};
}

FoldOutcome fold(ControlState &State, const JobCommitted &Change) {
  Job *Target = findJob(State, Change.Job_);
  if (!Target)
    return unknownJob(Change.Job_);
  if (Target->State_ != JobState::Waiting ||
      Change.Attempt_ <= Target->Attempt_)
    return {"stale_attempt", "job " + core::toString(Change.Job_) + " is " +
                                 toString(Target->State_) + " in attempt " +
                                 std::to_string(Target->Attempt_)};
  if (!isInService(State, Change.Domain_))
    return {"domain_out",
            "failure domain " + Change.Domain_ + " is out of service"};
  FoldOutcome Outcome = checkTerm(State, Change.Domain_, Change.Term_);
  if (!Outcome.Code_.empty())
    return Outcome;
  Target->State_ = JobState::Running;
  Target->Attempt_ = Change.Attempt_;
  Target->Domain_ = Change.Domain_;
  Target->Placement_ = Change.Placement_;
  Target->Reason_.clear();
  return {};
}

FoldOutcome fold(ControlState &State, const JobStopping &Change) {
  Job *Target = findJob(State, Change.Job_);
  FoldOutcome Outcome = checkAttempt(State, Change, Target);
  if (!Outcome.Code_.empty())
    return Outcome;
  Target->State_ = JobState::Stopping;
  Target->Reason_ = Change.Reason_;
  return {};
}

FoldOutcome fold(ControlState &State, const JobRequeued &Change) {
  Job *Target = findJob(State, Change.Job_);
  FoldOutcome Outcome = checkAttempt(State, Change, Target);
  if (!Outcome.Code_.empty())
    return Outcome;
  if (!Change.Checkpoint_.empty())
    Target->Checkpoint_ = Change.Checkpoint_;
  if (Target->CancelRequested_) {
    endJob(State, *Target, JobState::Cancelled, "cancelled by its caller");
    return {};
  }
  if (Change.TaskFailed_ && ++Target->FailedAttempts_ >= MaxFailedAttempts) {
    endJob(State, *Target, JobState::Failed, Change.Reason_);
    return {};
  }
  Target->State_ = JobState::Waiting;
  Target->Placement_.clear();
  Target->Domain_.clear();
  Target->Reason_ = Change.Reason_;
  return {};
}

FoldOutcome fold(ControlState &State, const JobFinished &Change) {
  Job *Target = findJob(State, Change.Job_);
  FoldOutcome Outcome = checkAttempt(State, Change, Target);
  if (!Outcome.Code_.empty())
    return Outcome;
  if (!isFinal(Change.State_))
    return {"invalid_state", std::string("a job cannot end in the state ") +
                                 toString(Change.State_)};
  endJob(State, *Target, Change.State_, Change.Reason_);
  return {};
}

} // namespace nutmegwell::model
