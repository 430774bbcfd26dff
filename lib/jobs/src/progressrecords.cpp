#include "nutmegwell/jobs/progressrecords.h"

#include <algorithm>
#include <limits>
#include <set>

namespace nutmegwell::jobs {

namespace {

/// Bytes of a task without a checkpoint, and of the counts of a list.
constexpr double TaskBytes = 17;
constexpr double CountBytes = 4;

double checkpointBytes(const StepProgress &Step) {
  double Bytes = 0;
  for (const auto &[Index, Task] : Step.Tasks_)
    Bytes += static_cast<double>(Task.Checkpoint_.size());
  return Bytes;
}

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

NumberRange tasksOf(std::uint32_t Part, std::uint32_t Count) {
  const std::uint64_t First = std::uint64_t(Part) * TasksPerPart;
  return {First, std::min<std::uint64_t>(First + TasksPerPart, Count)};
}

bool isPartDone(const StepProgress &Step, std::uint32_t Part,
                std::uint32_t Count) {
  const NumberRange Tasks = tasksOf(Part, Count);
  return Step.Done_.firstMissing(Tasks.First_) >= Tasks.End_;
}

std::set<std::uint32_t> begunParts(const StepProgress &Step) {
  std::set<std::uint32_t> Parts;
  const auto AddPartOf = [&](std::uint64_t Index) {
    Parts.insert(partOf(static_cast<std::uint32_t>(Index)));
  };
  for (const auto &[Index, Task] : Step.Tasks_)
    AddPartOf(Index);
  // The parts between the ends of a range are done.
  for (NumberRange Done : Step.Done_.ranges()) {
    AddPartOf(Done.First_);
    AddPartOf(Done.End_ - 1);
  }
  return Parts;
}

std::size_t sizeAsOneRecord(const JobSpec &Spec, const JobProgress &Progress) {
  double Bytes = 0;
  std::uint64_t Occurrences = 0;
  for (std::uint32_t I = 0; I < Spec.Steps_.size(); ++I) {
    const std::uint64_t Done = Progress.doneOccurrences(I).count();
    Occurrences = std::max(Occurrences, Done);
    Bytes += static_cast<double>(Done) * Spec.Steps_[I].Count_ * TaskBytes;
  }
  const StepPosition *Before = nullptr;
  for (const auto &[Position, Step] : Progress.BegunSteps_) {
    Bytes +=
        Spec.Steps_[Position.second].Count_ * TaskBytes + checkpointBytes(Step);
    Occurrences += !Before || Before->first != Position.first;
    Before = &Position;
  }
  Bytes += static_cast<double>(Occurrences) * CountBytes *
           static_cast<double>(2 + Spec.Steps_.size());
  constexpr auto Largest = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::size_t>(std::min(Bytes, double(Largest)));
}

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

ProgressSummarized summaryOf(const std::string &Job,
                             const JobProgress &Progress) {
  ProgressSummarized Record{Job, Progress.State_, {}};
  const std::vector<NumberSet> &Steps = Progress.DoneSteps_;
  for (std::size_t First = 0; First < Steps.size();) {
    std::size_t End = First + 1;
    while (End < Steps.size() && Steps[End] == Steps[First])
      ++End;
    if (!Steps[First].empty())
      Record.DoneSteps_.push_back({{First, End}, Steps[First].ranges()});
    First = End;
  }
  return Record;
}

PartsDone partsDone(const std::string &Job, StepPosition Position,
                    const StepProgress &Step, std::uint32_t Count) {
  PartsDone Record{Job, Position.first, Position.second, {}};
  for (NumberRange Done : Step.Done_.rangesIn({0, Count})) {
    const std::uint64_t First = (Done.First_ + TasksPerPart - 1) / TasksPerPart;
    const std::uint64_t End =
        (Done.End_ + (Done.End_ == Count ? TasksPerPart - 1 : 0)) /
        TasksPerPart;
    if (First < End)
      Record.Parts_.push_back({First, End});
  }
  return Record;
}

TasksProgressed recordOf(const std::string &Job, const StepPart &Part,
                         const StepProgress &Step,
                         const EarlierFailures &Earlier) {
  TasksProgressed Record{
      Job, Part.Step_.first, Part.Step_.second, Part.Part_, {}, {}};
  const NumberRange Covered = tasksOf(Part.Part_, UINT32_MAX);
  Record.Done_ = Step.Done_.rangesIn(Covered);
  for (auto It =
           Step.Tasks_.lower_bound(static_cast<std::uint32_t>(Covered.First_));
       It != Step.Tasks_.end() && Covered.contains(It->first); ++It) {
    RecordedTask Row{It->first, It->second, {}};
    if (auto Runs = Earlier.find(It->first); Runs != Earlier.end())
      Row.EarlierFailedRuns_ = Runs->second;
    Record.Tasks_.push_back(std::move(Row));
  }
  return Record;
}

RecordRemoved removalOf(const std::string &Job, const StepPart &Part) {
  return {keyOf(TasksProgressed{
      Job, Part.Step_.first, Part.Step_.second, Part.Part_, {}, {}})};
}

RecordRemoved removalOf(const std::string &Job, StepPosition Position) {
  return {keyOf(PartsDone{Job, Position.first, Position.second, {}})};
}

namespace {

void beginParts(JobEntry &Job) {
  if (Job.Progress_.InParts_)
    return;
  Job.Progress_.InParts_ = true;
  Job.Progress_.forgetSteps();
  Job.EarlierFailures_.clear();
}

/// Drops what is known of the tasks of steps that are done.
void dropDoneSteps(JobEntry &Job) {
  std::vector<StepPosition> Done;
  for (const auto &[Position, Step] : Job.Progress_.BegunSteps_)
    if (Job.Progress_.stepDone(Position.first, Position.second))
      Done.push_back(Position);
  for (const StepPosition &Position : Done) {
    Job.Progress_.BegunSteps_.erase(Position);
    Job.EarlierFailures_.erase(Position);
  }
}

} // namespace

void applyRecord(JobEntry &Job, const ProgressSummarized &Record) {
  /// Far above the steps that a request has room for.
  constexpr std::uint64_t MaxSteps = 1 << 20;
  beginParts(Job);
  JobProgress &Progress = Job.Progress_;
  if (isFinal(Progress.State_))
    return;
  Progress.State_ = Record.State_;
  for (const DoneSteps &Row : Record.DoneSteps_) {
    if (Row.Steps_.End_ > MaxSteps)
      continue;
    if (Progress.DoneSteps_.size() < Row.Steps_.End_)
      Progress.DoneSteps_.resize(Row.Steps_.End_);
    for (auto Step = Row.Steps_.First_; Step < Row.Steps_.End_; ++Step)
      for (NumberRange Occurrences : Row.Occurrences_)
        Progress.DoneSteps_[Step].insert(Occurrences);
  }
  dropDoneSteps(Job);
}

void applyRecord(JobEntry &Job, const PartsDone &Record) {
  beginParts(Job);
  if (isFinal(Job.Progress_.State_) ||
      Job.Progress_.stepDone(Record.Occurrence_, Record.Step_))
    return;
  StepProgress &Step = Job.Progress_.step(Record.Occurrence_, Record.Step_);
  for (NumberRange Parts : Record.Parts_) {
    const NumberRange Tasks{Parts.First_ * TasksPerPart,
                            Parts.End_ * TasksPerPart};
    Step.Done_.insert(Tasks);
    for (auto It = Step.Tasks_.begin(); It != Step.Tasks_.end();)
      It = Tasks.contains(It->first) ? Step.Tasks_.erase(It) : std::next(It);
  }
}

void applyRecord(JobEntry &Job, const TasksProgressed &Record) {
  beginParts(Job);
  if (isFinal(Job.Progress_.State_) ||
      Job.Progress_.stepDone(Record.Occurrence_, Record.Step_))
    return;
  const StepPosition Position{Record.Occurrence_, Record.Step_};
  StepProgress &Step = Job.Progress_.BegunSteps_[Position];
  EarlierFailures &Earlier = Job.EarlierFailures_[Position];
  const NumberRange Covered = tasksOf(Record.Part_, UINT32_MAX);
  const auto First = static_cast<std::uint32_t>(Covered.First_);
  const auto End = static_cast<std::uint32_t>(Covered.End_);
  Step.Tasks_.erase(Step.Tasks_.lower_bound(First),
                    Step.Tasks_.lower_bound(End));
  Earlier.erase(Earlier.lower_bound(First), Earlier.lower_bound(End));
  for (NumberRange Done : Record.Done_)
    Step.Done_.insert(Done);
  for (const RecordedTask &Row : Record.Tasks_) {
    if (Step.isDone(Row.Index_))
      continue;
    Step.Tasks_[Row.Index_] = Row.Progress_;
    if (!Row.EarlierFailedRuns_.empty())
      Earlier[Row.Index_] = Row.EarlierFailedRuns_;
  }
  if (Earlier.empty())
    Job.EarlierFailures_.erase(Position);
}

} // namespace nutmegwell::jobs
