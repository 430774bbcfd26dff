#pragma once

#include "nutmegwell/jobs/numberset.h"
#include "nutmegwell/jobs/spec.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace nutmegwell::jobs {

/// Identifies one task of a job.
struct TaskId {
  std::string Job_;
  OccurrenceNumber Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  friend bool operator==(const TaskId &A, const TaskId &B) {
    return A.Job_ == B.Job_ && A.Occurrence_ == B.Occurrence_ &&
           A.Step_ == B.Step_ && A.Index_ == B.Index_;
  }
  friend bool operator<(const TaskId &A, const TaskId &B) {
    return std::tie(A.Job_, A.Occurrence_, A.Step_, A.Index_) <
           std::tie(B.Job_, B.Occurrence_, B.Step_, B.Index_);
  }
};

/// Number of a run of a task; each new run has a higher number.
using RunNumber = std::uint64_t;

/// Returns "JOB.OCCURRENCE.STEP.INDEX".
std::string toString(const TaskId &Id);

/// Parses the format of toString. Returns false when \p Text has another
/// format.
bool parseTaskId(const std::string &Text, TaskId &Id);

enum class JobState : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

const char *name(JobState State);

/// Returns true when no task of a job in \p State may start any more.
inline bool isFinal(JobState State) { return State >= JobState::Completed; }

struct TaskProgress {
  bool Done_ = false;
  /// Attempts that failed.
  std::uint32_t Failures_ = 0;
  /// Run whose failure was counted last. The members of a gang share a run,
  /// which counts once, at the first task.
  RunNumber FailedRun_ = 0;
  /// Newest checkpoint; empty for none.
  std::string Checkpoint_;
};

/// Runs of a step's tasks whose failures were counted before
/// TaskProgress::FailedRun_, by the index of the task. A worker lists the end
/// of a run until it has the acknowledgement, also to the next holder, and the
/// ends of different runs arrive in any order.
using EarlierFailures = std::map<std::uint32_t, std::vector<RunNumber>>;

/// Occurrence and number of a step within its job.
using StepPosition = std::pair<OccurrenceNumber, std::uint32_t>;

/// Tasks of one step of one occurrence.
struct StepProgress {
  /// Tasks that are done.
  NumberSet Done_;
  /// Failures and checkpoints of the other tasks that have any. A gang has
  /// those of its first task.
  std::map<std::uint32_t, TaskProgress> Tasks_;

  /// Marks a task as done.
  void finish(std::uint32_t Index);
  bool isDone(std::uint32_t Index) const { return Done_.contains(Index); }
  /// Returns the newest checkpoint of a task; empty for none.
  std::string checkpoint(std::uint32_t Index) const;
};

/// Progress of a job that is never taken back: completed tasks, counted
/// failures and saved checkpoints. Its size goes by the steps that have begun
/// and are not done, not by those that are done or have yet to begin.
struct JobProgress {
  JobState State_ = JobState::Queued;
  /// Occurrences of which a step is done, by step; may end before the last
  /// step.
  std::vector<NumberSet> DoneSteps_;
  /// Steps with some progress that are not done.
  std::map<StepPosition, StepProgress> BegunSteps_;
  /// The progress is recorded in parts, because it has outgrown one record.
  bool InParts_ = false;

  /// Returns the progress of a step that is not done, and adds an empty one if
  /// there is none.
  StepProgress &step(OccurrenceNumber Occurrence, std::uint32_t Step);
  /// Returns the progress of a step that has begun and is not done, or nullptr.
  const StepProgress *find(OccurrenceNumber Occurrence,
                           std::uint32_t Step) const;
  bool stepDone(OccurrenceNumber Occurrence, std::uint32_t Step) const;
  bool taskDone(const TaskId &Task) const;
  /// Marks a step as done and drops what is known of its tasks.
  void finishStep(OccurrenceNumber Occurrence, std::uint32_t Step);
  bool allDone(const JobSpec &Spec) const;
  /// Returns the occurrences of which a step is done.
  const NumberSet &doneOccurrences(std::uint32_t Step) const;
  /// Drops everything but the state.
  void forgetSteps();
};

/// Returns the first consecutive occurrences of \p Within in which the step is
/// not done and all that it depends on is, or an empty range. Takes time
/// logarithmic in the gaps of the done occurrences for each one passed.
NumberRange nextReady(const JobSpec &Spec, const JobProgress &Progress,
                      std::uint32_t Step, NumberRange Within);

} // namespace nutmegwell::jobs
