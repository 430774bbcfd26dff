#pragma once

#include "nutmegwell/jobs/records.h"
#include "nutmegwell/jobs/view.h"
#include <set>

namespace nutmegwell::jobs {

/// Number of tasks of a step in one record of its progress.
constexpr std::uint32_t TasksPerPart = 512;

/// Tasks of a step that one record covers.
struct StepPart {
  StepPosition Step_;
  std::uint32_t Part_ = 0;

  friend bool operator<(const StepPart &A, const StepPart &B) {
    return std::tie(A.Step_, A.Part_) < std::tie(B.Step_, B.Part_);
  }
};

/// Returns the number of the part that contains a task.
inline std::uint32_t partOf(std::uint32_t Index) {
  return Index / TasksPerPart;
}

/// Returns the tasks of a step that a part covers.
NumberRange tasksOf(std::uint32_t Part, std::uint32_t Count);

/// Returns whether all tasks of a part are done. \p Count is that of the step.
bool isPartDone(const StepProgress &Step, std::uint32_t Part,
                std::uint32_t Count);

/// Returns the parts with a task that is done, has failed or has a checkpoint,
/// and a task that is not done. Only they have a record.
std::set<std::uint32_t> begunParts(const StepProgress &Step);

/// Returns about how many bytes the progress of a job takes as one record.
/// Counts further sizes as the largest one.
std::size_t sizeAsOneRecord(const JobSpec &Spec, const JobProgress &Progress);

/// Returns the progress of a job for one record. Valid only while
/// sizeAsOneRecord returns a size that a record can have.
RecordedProgress toRecord(const JobSpec &Spec, const JobProgress &Progress);

/// Returns the progress that one record holds.
JobProgress fromRecord(const RecordedProgress &Recorded);

/// Returns the state and the steps that are done, for a job whose progress is
/// recorded in parts.
ProgressSummarized summaryOf(const std::string &Job,
                             const JobProgress &Progress);

/// Returns the record of the parts of a step that are done. \p Count is the
/// number of the step's tasks.
PartsDone partsDone(const std::string &Job, StepPosition Position,
                    const StepProgress &Step, std::uint32_t Count);

/// Returns the record of a part of a step that has begun.
TasksProgressed recordOf(const std::string &Job, const StepPart &Part,
                         const StepProgress &Step,
                         const EarlierFailures &Earlier);

/// Returns the removal of the record of a part of a step.
RecordRemoved removalOf(const std::string &Job, const StepPart &Part);

/// Returns the removal of the record of a step's parts that are done.
RecordRemoved removalOf(const std::string &Job, StepPosition Position);

/// Applies the records of progress in parts, in any order. Whatever the
/// progress held as one record before is discarded.
void applyRecord(JobEntry &Job, const ProgressSummarized &Record);
void applyRecord(JobEntry &Job, const PartsDone &Record);
void applyRecord(JobEntry &Job, const TasksProgressed &Record);

} // namespace nutmegwell::jobs
