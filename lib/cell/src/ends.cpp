#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

using jobs::JobState;

const char *name(EndKind Kind) {
  switch (Kind) {
  case EndKind::Done:
    return "done";
  case EndKind::Failed:
    return "failed";
  case EndKind::Stopped:
    return "stopped";
  case EndKind::LeaseExpired:
    return "lapsed";
  case EndKind::GangMemberEnded:
    return "broken";
  case EndKind::GangIncomplete:
    return "alone";
  }
  return "unknown";
}

const char *name(RefusalKind Kind) {
  switch (Kind) {
  case RefusalKind::Fenced:
    return "fenced";
  case RefusalKind::SupersededRun:
    return "old";
  case RefusalKind::Late:
    return "late";
  case RefusalKind::InsufficientCapacity:
    return "room";
  case RefusalKind::NoTicket:
    return "no ticket";
  case RefusalKind::Unhealthy:
    return "unhealthy";
  case RefusalKind::Invalid:
    return "invalid";
  case RefusalKind::Draining:
    return "draining";
  case RefusalKind::OtherIncarnation:
    return "other incarnation";
  }
  return "unknown";
}

namespace {

/// The parts of a job that the end of a run affects.
struct EndTarget {
  const jobs::JobEntry &Job_;
  LiveJob &Live_;
  const jobs::StepSpec &Step_;
};

bool taskExists(const jobs::JobSpec &Spec, const TaskId &Task) {
  return Task.Step_ < Spec.Steps_.size() &&
         Task.Index_ < Spec.Steps_[Task.Step_].Count_ &&
         Task.Occurrence_ < Spec.occurrences();
}

void finishIfDone(Holder &State, const EndTarget &Target, Effects &Out) {
  if (!Target.Live_.Progress_.allDone(Target.Job_.Accepted_.Spec_))
    return;
  Target.Live_.Progress_.State_ = JobState::Completed;
  State.JobsToRecord_.insert(Target.Job_.Accepted_.Job_);
  Out.LogEvents_.push_back(
      {"job_completed", {{"job", Target.Job_.Accepted_.Job_}}});
}

/// Stops the other copies of a completed task.
void stopCopies(Holder &State, const TaskId &Task, core::TimePoint Now,
                Effects &Out) {
  for (auto It = findRun(State.Runs_, Task);
       It != State.Runs_.end() && It->first.Task_ == Task; ++It)
    stopRun(State, It->second, "another run of the task completed", Now, Out);
}

void applyCompletion(Holder &State, const EndTarget &Target, const RunId &Id,
                     core::TimePoint Now, Effects &Out) {
  if (Target.Step_.LongRunning_)
    return;
  jobs::JobProgress &Progress = Target.Live_.Progress_;
  const TaskId &Task = Id.Task_;
  if (!Progress.taskDone(Task)) {
    jobs::StepProgress &Step = Progress.step(Task.Occurrence_, Task.Step_);
    Step.finish(Task.Index_);
    noteTaskChanged(Target.Live_, Task, Target.Step_.Gang_);
    // The completion of one member completes the whole gang.
    if (Target.Step_.Gang_ || Step.Done_.firstMissing(0) >= Target.Step_.Count_)
      Progress.finishStep(Task.Occurrence_, Task.Step_);
  }
  if (!Target.Step_.Gang_)
    stopCopies(State, Task, Now, Out);
  State.JobsToRecord_.insert(Id.Task_.Job_);
  finishIfDone(State, Target, Out);
}

/// Counts the failure of a run and returns true, unless it is counted already:
/// the holder that recorded it may have ended before it could acknowledge the
/// end.
bool countFailure(LiveJob &Live, jobs::TaskProgress &Task, const TaskId &Id,
                  RunNumber Run) {
  if (Task.FailedRun_ == Run)
    return false;
  if (Task.FailedRun_ != 0) {
    const jobs::StepPosition Step{Id.Occurrence_, Id.Step_};
    std::vector<RunNumber> &Earlier = Live.EarlierFailures_[Step][Id.Index_];
    if (std::find(Earlier.begin(), Earlier.end(), Run) != Earlier.end())
      return false;
    Earlier.push_back(Task.FailedRun_);
    Live.FailuresToRecord_.insert(Step);
  }
  ++Task.Failures_;
  Task.FailedRun_ = Run;
  return true;
}

void applyFailure(Holder &State, const EndTarget &Target, const RunId &Id,
                  core::TimePoint Now, Effects &Out) {
  if (Target.Step_.LongRunning_)
    return;
  TaskId Counted = Id.Task_;
  if (Target.Step_.Gang_)
    Counted.Index_ = 0;
  if (Target.Live_.Progress_.taskDone(Counted))
    return;
  jobs::TaskProgress &Task =
      Target.Live_.Progress_.step(Counted.Occurrence_, Counted.Step_)
          .Tasks_[Counted.Index_];
  if (!countFailure(Target.Live_, Task, Counted, Id.Run_))
    return;
  noteTaskChanged(Target.Live_, Counted, Target.Step_.Gang_);
  State.JobsToRecord_.insert(Id.Task_.Job_);
  Target.Live_.NotBefore_ = Now + State.Policy_.RetryBackoff_;
  if (Task.Failures_ < Target.Job_.Accepted_.MaxAttempts_)
    return;
  Target.Live_.Progress_.State_ = JobState::Failed;
  Out.LogEvents_.push_back(
      {"job_failed",
       {{"job", Id.Task_.Job_},
        {"task", toString(Id.Task_)},
        {"failures", std::to_string(Task.Failures_)},
        {"attempts", std::to_string(Target.Job_.Accepted_.MaxAttempts_)}}});
  stopJob(State, Id.Task_.Job_, "the job failed", Now, Out);
}

void applyCheckpoint(Holder &State, const EndTarget &Target,
                     const EndedTask &End) {
  if (End.Checkpoint_.empty() || !Target.Step_.Checkpoints_)
    return;
  saveCheckpoint(Target.Live_, End.Id_.Task_, Target.Step_.Gang_,
                 End.Checkpoint_);
  State.JobsToRecord_.insert(End.Id_.Task_.Job_);
}

void applyEnd(Holder &State, const EndedTask &End, const HolderContext &Context,
              Effects &Out) {
  const TaskId &Task = End.Id_.Task_;
  auto Entry = Context.View_.Jobs_.find(Task.Job_);
  if (Entry == Context.View_.Jobs_.end() ||
      !taskExists(Entry->second.Accepted_.Spec_, Task))
    return;
  const jobs::JobEntry &Job = Entry->second;
  LiveJob &Live = liveJob(State, Job, Context.Now_);
  if (jobs::isFinal(Live.Progress_.State_))
    return;
  noteTaskStarted(State, Task.Job_, Live);
  const EndTarget Target{Job, Live, Job.Accepted_.Spec_.Steps_[Task.Step_]};
  applyCheckpoint(State, Target, End);
  if (End.Kind_ == EndKind::Done)
    applyCompletion(State, Target, End.Id_, Context.Now_, Out);
  else if (End.Kind_ == EndKind::Failed)
    applyFailure(State, Target, End.Id_, Context.Now_, Out);
}

void updateWorkerHealth(Holder &State, Worker &Host, const EndedTask &End,
                        core::TimePoint OrderedAt, core::TimePoint Now,
                        Effects &Out) {
  if (End.Kind_ == EndKind::Failed)
    noteFailure(State, Host, End.Id_.Task_, OrderedAt, Now);
  if (End.Kind_ != EndKind::Done)
    return;
  if (isOnProbation(Host.Health_, State.Policy_.Quarantine_))
    Out.LogEvents_.push_back({"worker_recovered",
                              {{"host", Host.Host_},
                               {"task", toString(End.Id_.Task_)},
                               {"run", std::to_string(End.Id_.Run_)}}});
  noteSuccess(State, Host, End.Id_.Task_);
}

} // namespace

void saveCheckpoint(LiveJob &Live, const TaskId &Task, bool Gang,
                    const std::string &Checkpoint) {
  TaskId Saved = Task;
  if (Gang)
    Saved.Index_ = 0;
  if (Live.Progress_.taskDone(Saved))
    return;
  noteTaskChanged(Live, Saved, Gang);
  Live.Progress_.step(Saved.Occurrence_, Saved.Step_)
      .Tasks_[Saved.Index_]
      .Checkpoint_ = Checkpoint;
}

void handleEnds(Holder &State, Worker &Host, const AgentReport &Report,
                const HolderContext &Context, Effects &Out) {
  for (const EndedTask &End : Report.Ended_) {
    if (End.Number_ <= Host.EndsHandled_)
      continue;
    Host.EndsHandled_ = End.Number_;
    auto It = State.Runs_.find(End.Id_);
    const bool Known = It != State.Runs_.end();
    Out.LogEvents_.push_back({"task_ended",
                              {{"task", toString(End.Id_.Task_)},
                               {"run", std::to_string(End.Id_.Run_)},
                               {"host", Host.Host_},
                               {"end", name(End.Kind_)},
                               {"number", std::to_string(End.Number_)},
                               {"expected", Known ? "yes" : "no"}}});
    const bool Gang = Known && It->second.Gang_;
    const core::TimePoint OrderedAt =
        Known ? It->second.OrderedAt_ : Context.Now_;
    if (Known) {
      observeEnd(State, It->second, End.Kind_, Context);
      if (End.Kind_ == EndKind::Done)
        recordFinishedWork(State, It->second, Context);
      State.Runs_.erase(It);
    }
    updateWorkerHealth(State, Host, End, OrderedAt, Context.Now_, Out);
    applyEnd(State, End, Context, Out);
    if (Gang && End.Kind_ != EndKind::Done)
      stopGang(State, End.Id_, "a gang member ended", Context.Now_, Out);
  }
}

} // namespace nutmegwell::cell
