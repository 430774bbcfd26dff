// Records of the progress of jobs.

#include "holdersteps.h"
#include "nutmegwell/jobs/progressrecords.h"
#include <iterator>
#include <limits>

namespace nutmegwell::cell {

namespace {

using jobs::StepPart;
using jobs::StepPosition;

/// Largest size of a job's progress that is kept as one record, which holders
/// of earlier versions read. Each change writes the whole record, and the store
/// takes records of up to 256 KiB.
constexpr std::size_t MaxSizeAsOneRecord = 64 * 1024;

bool fitsOneRecord(const jobs::JobAccepted &Job, const LiveJob &Live) {
  const jobs::JobProgress &Progress = Live.Progress_;
  std::size_t Size = jobs::sizeAsOneRecord(Job.Spec_, Progress);
  for (const auto &[Position, Tasks] : Live.EarlierFailures_)
    for (const auto &[Index, Runs] : Tasks)
      Size += sizeof(Index) + Runs.size() * sizeof(RunNumber);
  // The occurrences in one record are numbers of 32 bits.
  constexpr auto LargestNumber = std::numeric_limits<std::uint32_t>::max();
  const auto IsLarge = [](jobs::OccurrenceNumber Number) {
    return Number > LargestNumber;
  };
  for (const jobs::NumberSet &Done : Progress.DoneSteps_)
    if (!Done.firstRange(LargestNumber).empty())
      return false;
  return Size <= MaxSizeAsOneRecord &&
         (Progress.BegunSteps_.empty() ||
          !IsLarge(Progress.BegunSteps_.rbegin()->first.first));
}

void addAsOneRecord(const jobs::JobAccepted &Job, LiveJob &Live,
                    std::vector<jobs::Record> &Records) {
  for (const StepPosition &Step : Live.FailuresToRecord_)
    Records.push_back(
        jobs::FailuresCounted{Job.Job_, static_cast<std::uint32_t>(Step.first),
                              Step.second, Live.EarlierFailures_[Step]});
  Records.push_back(
      jobs::JobProgressed{Job.Job_, jobs::toRecord(Job.Spec_, Live.Progress_)});
}

/// Records to write, and removals of records that these cover. The removals
/// come last, since the records of one append may take several calls.
struct RecordChanges {
  std::vector<jobs::Record> Written_;
  std::vector<jobs::Record> Removed_;
};

/// Removes the failures that were recorded beside one record.
void removeEarlierFailures(const jobs::JobAccepted &Job, const LiveJob &Live,
                           RecordChanges &Changes) {
  for (const auto &[Step, Failures] : Live.EarlierFailures_)
    Changes.Removed_.push_back(jobs::RecordRemoved{jobs::keyOf(
        jobs::FailuresCounted{Job.Job_,
                              static_cast<std::uint32_t>(Step.first),
                              Step.second,
                              {}})});
}

/// Goes over from one record to parts.
void beginParts(const jobs::JobAccepted &Job, LiveJob &Live,
                RecordChanges &Changes) {
  removeEarlierFailures(Job, Live, Changes);
  Live.Progress_.InParts_ = true;
  for (const auto &[Position, Step] : Live.Progress_.BegunSteps_)
    for (std::uint32_t Part : jobs::begunParts(Step))
      Live.PartsToRecord_.insert({Position, Part});
}

/// Adds the records of the changed parts. Those of steps that are done, and of
/// parts that are, give way to the records that cover them.
void addParts(const jobs::JobAccepted &Job, LiveJob &Live,
              RecordChanges &Changes) {
  static const jobs::EarlierFailures NoFailures;
  std::set<StepPosition> StepsWithDoneParts;
  for (const StepPart &Part : Live.PartsToRecord_) {
    const auto &[Occurrence, StepNumber] = Part.Step_;
    const std::uint32_t Count = Job.Spec_.Steps_[StepNumber].Count_;
    const jobs::StepProgress *Step =
        Live.Progress_.find(Occurrence, StepNumber);
    if (!Step || jobs::isPartDone(*Step, Part.Part_, Count)) {
      Changes.Removed_.push_back(jobs::removalOf(Job.Job_, Part));
      StepsWithDoneParts.insert(Part.Step_);
      continue;
    }
    auto Earlier = Live.EarlierFailures_.find(Part.Step_);
    Changes.Written_.push_back(jobs::recordOf(
        Job.Job_, Part, *Step,
        Earlier == Live.EarlierFailures_.end() ? NoFailures : Earlier->second));
  }
  for (const StepPosition &Position : StepsWithDoneParts) {
    const std::uint32_t Count = Job.Spec_.Steps_[Position.second].Count_;
    if (Count <= jobs::TasksPerPart)
      continue;
    if (const auto *Step = Live.Progress_.find(Position.first, Position.second))
      Changes.Written_.push_back(
          jobs::partsDone(Job.Job_, Position, *Step, Count));
    else
      Changes.Removed_.push_back(jobs::removalOf(Job.Job_, Position));
  }
}

/// Drops the failures of steps that are done.
void dropDoneFailures(LiveJob &Live) {
  for (auto It = Live.EarlierFailures_.begin();
       It != Live.EarlierFailures_.end();)
    It = Live.Progress_.stepDone(It->first.first, It->first.second)
             ? Live.EarlierFailures_.erase(It)
             : std::next(It);
}

/// Adds the final state in place of all other records of the progress.
void addFinalState(const jobs::JobAccepted &Job, LiveJob &Live,
                   RecordChanges &Changes) {
  jobs::JobProgress &Progress = Live.Progress_;
  Changes.Written_.push_back(
      jobs::JobProgressed{Job.Job_, {Progress.State_, {}}});
  if (Progress.InParts_) {
    for (const auto &[Position, Step] : Progress.BegunSteps_) {
      for (std::uint32_t Part : jobs::begunParts(Step))
        Live.PartsToRecord_.insert({Position, Part});
      if (Job.Spec_.Steps_[Position.second].Count_ > jobs::TasksPerPart)
        Changes.Removed_.push_back(jobs::removalOf(Job.Job_, Position));
    }
    for (const StepPart &Part : Live.PartsToRecord_)
      Changes.Removed_.push_back(jobs::removalOf(Job.Job_, Part));
    Changes.Removed_.push_back(jobs::RecordRemoved{
        jobs::keyOf(jobs::ProgressSummarized{Job.Job_, {}, {}})});
  } else {
    removeEarlierFailures(Job, Live, Changes);
  }
  Progress.forgetSteps();
  Live.EarlierFailures_.clear();
}

} // namespace

void noteTaskChanged(LiveJob &Live, const TaskId &Task, bool Gang) {
  // The progress of a gang is that of its first task.
  if (Live.Progress_.InParts_)
    Live.PartsToRecord_.insert(
        {{Task.Occurrence_, Task.Step_}, jobs::partOf(Gang ? 0 : Task.Index_)});
}

void addProgress(const jobs::JobAccepted &Job, LiveJob &Live,
                 std::vector<jobs::Record> &Records) {
  RecordChanges Changes;
  if (jobs::isFinal(Live.Progress_.State_)) {
    addFinalState(Job, Live, Changes);
  } else if (!Live.Progress_.InParts_ && fitsOneRecord(Job, Live)) {
    addAsOneRecord(Job, Live, Changes.Written_);
  } else {
    if (!Live.Progress_.InParts_)
      beginParts(Job, Live, Changes);
    addParts(Job, Live, Changes);
    Changes.Written_.push_back(jobs::summaryOf(Job.Job_, Live.Progress_));
    dropDoneFailures(Live);
  }
  for (auto *Part : {&Changes.Written_, &Changes.Removed_})
    std::move(Part->begin(), Part->end(), std::back_inserter(Records));
  Live.FailuresToRecord_.clear();
  Live.PartsToRecord_.clear();
}

} // namespace nutmegwell::cell
