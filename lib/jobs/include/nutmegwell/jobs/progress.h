#pragma once

#include "nutmegwell/jobs/spec.h"
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace nutmegwell::jobs {

/// Identifies one task of a job.
struct TaskId {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
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
using StepPosition = std::pair<std::uint32_t, std::uint32_t>;

/// Tasks of one step of one occurrence.
struct StepProgress {
  std::vector<TaskProgress> Tasks_;

  bool done() const;
};

/// Progress of a job that is never taken back: completed tasks, counted
/// failures and saved checkpoints.
struct JobProgress {
  JobState State_ = JobState::Queued;
  /// By occurrence, then by step; an occurrence without an entry has no
  /// progress.
  std::map<std::uint32_t, std::vector<StepProgress>> Occurrences_;

  /// Returns the progress of a step, and adds an empty one if there is none.
  StepProgress &step(const JobSpec &Spec, std::uint32_t Occurrence,
                     std::uint32_t Step);
  /// Returns the progress of a step, or nullptr when it has none.
  const StepProgress *find(std::uint32_t Occurrence, std::uint32_t Step) const;
  bool stepDone(std::uint32_t Occurrence, std::uint32_t Step) const;
  bool occurrenceDone(const JobSpec &Spec, std::uint32_t Occurrence) const;
  bool allDone(const JobSpec &Spec) const;
};

} // namespace nutmegwell::jobs
