#include "nutmegwell/jobs/progressrecords.h"

namespace nutmegwell::jobs {

namespace {

std::vector<TaskProgress> allTasks(std::uint32_t Count,
                                   const StepProgress &Step) {
  std::vector<TaskProgress> Tasks(Count);
  for (const auto &[Index, Task] : Step.Tasks_)
    if (Index < Count)
      Tasks[Index] = Task;
  for (NumberRange Done : Step.Done_.rangesIn({0, Count}))
    for (std::uint64_t I = Done.First_; I < Done.End_; ++I)
      Tasks[I].Done_ = true;
  return Tasks;
}

/// Returns a step in which all tasks are done.
StepProgress doneStep(std::uint32_t Count) {
  StepProgress Step;
  Step.Done_.insert({0, Count});
  return Step;
}

void addRecordedStep(JobProgress &Progress, StepPosition Position,
                     const RecordedStep &Recorded) {
  if (Recorded.Tasks_.empty())
    return;
  StepProgress Step;
  for (std::uint32_t I = 0; I < Recorded.Tasks_.size(); ++I) {
    const TaskProgress &Task = Recorded.Tasks_[I];
    if (Task.Done_)
      Step.Done_.insert(I);
    else if (Task.FailedRun_ != 0 || Task.Failures_ != 0 ||
             !Task.Checkpoint_.empty())
      Step.Tasks_[I] = Task;
  }
  if (Step.Done_.firstMissing(0) >= Recorded.Tasks_.size())
    Progress.finishStep(Position.first, Position.second);
  else if (!Step.Done_.empty() || !Step.Tasks_.empty())
    Progress.BegunSteps_[Position] = std::move(Step);
}

} // namespace

RecordedProgress toRecord(const JobSpec &Spec, const JobProgress &Progress) {
  RecordedProgress Recorded;
  Recorded.State_ = Progress.State_;
  const auto Add = [&](OccurrenceNumber Occurrence, std::uint32_t Step,
                       const StepProgress &Tasks) {
    std::vector<RecordedStep> &Steps =
        Recorded.Occurrences_[static_cast<std::uint32_t>(Occurrence)];
    Steps.resize(Spec.Steps_.size());
    Steps[Step].Tasks_ = allTasks(Spec.Steps_[Step].Count_, Tasks);
  };
  for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step) {
    const StepProgress AllDone = doneStep(Spec.Steps_[Step].Count_);
    for (NumberRange Range : Progress.doneOccurrences(Step).ranges())
      for (auto Occurrence = Range.First_; Occurrence < Range.End_;
           ++Occurrence)
        Add(Occurrence, Step, AllDone);
  }
  for (const auto &[Position, Step] : Progress.BegunSteps_)
    Add(Position.first, Position.second, Step);
  return Recorded;
}

JobProgress fromRecord(const RecordedProgress &Recorded) {
  JobProgress Progress;
  Progress.State_ = Recorded.State_;
  for (const auto &[Occurrence, Steps] : Recorded.Occurrences_)
    for (std::uint32_t Step = 0; Step < Steps.size(); ++Step)
      addRecordedStep(Progress, {Occurrence, Step}, Steps[Step]);
  return Progress;
}

} // namespace nutmegwell::jobs
