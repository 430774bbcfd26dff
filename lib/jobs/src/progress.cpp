#include "nutmegwell/jobs/progress.h"
#include <algorithm>
#include <charconv>

namespace nutmegwell::jobs {

namespace {

template <typename Number>
bool parseNumber(const std::string &Text, std::size_t &At, Number &Value) {
  if (At >= Text.size() || Text[At] != '.')
    return false;
  const char *First = Text.data() + At + 1;
  const char *Last = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(First, Last, Value);
  if (Error != std::errc() || End == First)
    return false;
  At = static_cast<std::size_t>(End - Text.data());
  return true;
}

} // namespace

std::string toString(const TaskId &Id) {
  return Id.Job_ + "." + std::to_string(Id.Occurrence_) + "." +
         std::to_string(Id.Step_) + "." + std::to_string(Id.Index_);
}

bool parseTaskId(const std::string &Text, TaskId &Id) {
  std::size_t At = Text.find('.');
  if (At == std::string::npos || At == 0)
    return false;
  Id.Job_ = Text.substr(0, At);
  return parseNumber(Text, At, Id.Occurrence_) &&
         parseNumber(Text, At, Id.Step_) && parseNumber(Text, At, Id.Index_) &&
         At == Text.size();
}

const char *name(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

void StepProgress::finish(std::uint32_t Index) {
  Done_.insert(Index);
  Tasks_.erase(Index);
}

std::string StepProgress::checkpoint(std::uint32_t Index) const {
  auto It = Tasks_.find(Index);
  return It == Tasks_.end() ? std::string() : It->second.Checkpoint_;
}

StepProgress &JobProgress::step(OccurrenceNumber Occurrence,
                                std::uint32_t Step) {
  return BegunSteps_[{Occurrence, Step}];
}

const StepProgress *JobProgress::find(OccurrenceNumber Occurrence,
                                      std::uint32_t Step) const {
  auto It = BegunSteps_.find({Occurrence, Step});
  return It == BegunSteps_.end() ? nullptr : &It->second;
}

bool JobProgress::stepDone(OccurrenceNumber Occurrence,
                           std::uint32_t Step) const {
  return doneOccurrences(Step).contains(Occurrence);
}

bool JobProgress::taskDone(const TaskId &Task) const {
  if (stepDone(Task.Occurrence_, Task.Step_))
    return true;
  const StepProgress *Begun = find(Task.Occurrence_, Task.Step_);
  return Begun && Begun->isDone(Task.Index_);
}

void JobProgress::finishStep(OccurrenceNumber Occurrence, std::uint32_t Step) {
  if (DoneSteps_.size() <= Step)
    DoneSteps_.resize(Step + 1);
  DoneSteps_[Step].insert(Occurrence);
  BegunSteps_.erase({Occurrence, Step});
}

bool JobProgress::allDone(const JobSpec &Spec) const {
  for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step)
    if (doneOccurrences(Step).firstMissing(0) < Spec.occurrences())
      return false;
  return true;
}

const NumberSet &JobProgress::doneOccurrences(std::uint32_t Step) const {
  static const NumberSet None;
  return Step < DoneSteps_.size() ? DoneSteps_[Step] : None;
}

void JobProgress::forgetSteps() {
  DoneSteps_.clear();
  BegunSteps_.clear();
}

NumberRange nextReady(const JobSpec &Spec, const JobProgress &Progress,
                      std::uint32_t Step, NumberRange Within) {
  const NumberSet &Done = Progress.doneOccurrences(Step);
  while (!Within.empty()) {
    Within.First_ = Done.firstMissing(Within.First_);
    NumberRange Ready = Within;
    const NumberRange NextDone = Done.firstRange(Ready.First_);
    if (!NextDone.empty())
      Ready.End_ = std::min(Ready.End_, NextDone.First_);
    for (std::uint32_t Dependency : Spec.Steps_[Step].DependsOn_) {
      const NumberRange Possible =
          Progress.doneOccurrences(Dependency).firstRange(Ready.First_);
      if (Possible.empty())
        return {};
      Ready.First_ = Possible.First_;
      Ready.End_ = std::min(Ready.End_, Possible.End_);
    }
    if (!Ready.empty())
      return Ready;
    Within.First_ = Ready.First_;
  }
  return {};
}

} // namespace nutmegwell::jobs
