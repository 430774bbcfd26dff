#include "nutmegwell/jobs/progress.h"
#include <algorithm>
#include <charconv>

namespace nutmegwell::jobs {

namespace {

bool parseNumber(const std::string &Text, std::size_t &At,
                 std::uint32_t &Value) {
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

bool StepProgress::done() const {
  return std::all_of(Tasks_.begin(), Tasks_.end(),
                     [](const TaskProgress &Task) { return Task.Done_; });
}

StepProgress &JobProgress::step(const JobSpec &Spec, std::uint32_t Occurrence,
                                std::uint32_t Step) {
  std::vector<StepProgress> &Steps = Occurrences_[Occurrence];
  Steps.resize(Spec.Steps_.size());
  StepProgress &Entry = Steps[Step];
  Entry.Tasks_.resize(Spec.Steps_[Step].Count_);
  return Entry;
}

const StepProgress *JobProgress::find(std::uint32_t Occurrence,
                                      std::uint32_t Step) const {
  auto It = Occurrences_.find(Occurrence);
  if (It == Occurrences_.end() || Step >= It->second.size() ||
      It->second[Step].Tasks_.empty())
    return nullptr;
  return &It->second[Step];
}

bool JobProgress::stepDone(std::uint32_t Occurrence, std::uint32_t Step) const {
  const StepProgress *Entry = find(Occurrence, Step);
  return Entry && Entry->done();
}

bool JobProgress::occurrenceDone(const JobSpec &Spec,
                                 std::uint32_t Occurrence) const {
  for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step)
    if (!stepDone(Occurrence, Step))
      return false;
  return true;
}

bool JobProgress::allDone(const JobSpec &Spec) const {
  for (std::uint32_t I = 0; I < Spec.occurrences(); ++I)
    if (!occurrenceDone(Spec, I))
      return false;
  return true;
}

} // namespace nutmegwell::jobs
