#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/jobs/progress.h"
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::jobs {

/// An accepted job, whose execution the caller may rely on.
struct JobAccepted {
  std::string Job_;
  std::string Queue_;
  std::string Service_;
  std::string Account_;
  int Priority_ = 0;
  std::uint32_t MaxAttempts_ = 1;
  /// When the entry host received the caller's request.
  WallTime Submitted_{};
  JobSpec Spec_;
};

/// An accepted job with more steps than the encoding of JobAccepted has room
/// for in one record. Its own encoding takes no more bytes than a caller's
/// request.
struct LargeJobAccepted {
  JobAccepted Job_;
};

/// A caller's cancellation of a job.
struct JobCancelled {
  std::string Job_;
};

/// Tasks of a step as one record holds them; empty for a step without progress.
struct RecordedStep {
  std::vector<TaskProgress> Tasks_;
};

/// Progress of a job as one record holds it.
struct RecordedProgress {
  JobState State_ = JobState::Queued;
  /// By occurrence, then by step; an occurrence without an entry has no
  /// progress.
  std::map<std::uint32_t, std::vector<RecordedStep>> Occurrences_;
};

/// Progress of a job; replaces the record before it. Once the progress has
/// outgrown one record, only a final state is recorded so.
struct JobProgressed {
  std::string Job_;
  RecordedProgress Progress_;
};

/// Steps that are done in the same occurrences.
struct DoneSteps {
  NumberRange Steps_;
  std::vector<NumberRange> Occurrences_;
};

/// State of a job and its steps that are done; replaces the record before it.
/// The steps that have begun have records of their own.
struct ProgressSummarized {
  std::string Job_;
  JobState State_ = JobState::Queued;
  std::vector<DoneSteps> DoneSteps_;
};

/// Parts of a step of which all tasks are done; replaces the record before it.
struct PartsDone {
  std::string Job_;
  OccurrenceNumber Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::vector<NumberRange> Parts_;
};

/// A task that is not done.
struct RecordedTask {
  std::uint32_t Index_ = 0;
  TaskProgress Progress_;
  /// Runs whose failures were counted before TaskProgress::FailedRun_.
  std::vector<RunNumber> EarlierFailedRuns_;
};

/// Progress of one part of a step; replaces the record before it.
struct TasksProgressed {
  std::string Job_;
  OccurrenceNumber Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Part_ = 0;
  /// Tasks that are done.
  std::vector<NumberRange> Done_;
  std::vector<RecordedTask> Tasks_;
};

/// Removes the record of a key. Has no encoding of its own: the store keeps no
/// value for the key.
struct RecordRemoved {
  std::string Key_;
};

/// Earlier failures of a step's tasks; replaces the record before it. Belongs
/// to the job's progress, which comes after it in the same append.
struct FailuresCounted {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  EarlierFailures Runs_;
};

/// The host that holds the cell from this record on. The term of its tenure is
/// the record's offset plus one.
struct CellClaimed {
  std::string Host_;
  core::Incarnation HolderIncarnation_ = 0;
  /// False when the holder releases the cell.
  bool Held_ = true;
};

/// All holders before this term have certainly stopped granting leases.
struct TenureSettled {
  core::Term Term_ = 0;
};

/// Tells whether tasks of this cell may run on a worker.
struct WorkerListed {
  std::string Host_;
  std::string FailureDomain_;
  /// False when no task can be running on the worker any more.
  bool Listed_ = true;
  /// No task starts on the worker before it is listed again, and only those of
  /// Tasks_ may be running.
  bool Closed_ = false;
  std::vector<TaskId> Tasks_;
};

/// An entry host and the address at which its peers reach it.
struct EntryHostListed {
  std::string Host_;
  std::string Address_;
};

/// Speed of one incarnation of a worker relative to the ordinary speed of the
/// service's workers.
struct LearnedSpeed {
  std::string Host_;
  std::int64_t WorkerIncarnation_ = 0;
  double Speed_ = 1;
  /// Standard error of ln(Speed_).
  double LogError_ = 0;
};

/// Speeds of a part of the workers; replaces the record of the same number.
struct LearnedSpeeds {
  std::uint32_t Number_ = 0;
  std::vector<LearnedSpeed> Workers_;
};

using Record =
    std::variant<JobAccepted, JobCancelled, JobProgressed, CellClaimed,
                 WorkerListed, EntryHostListed, TenureSettled, FailuresCounted,
                 LearnedSpeeds, ProgressSummarized, PartsDone, TasksProgressed,
                 RecordRemoved, LargeJobAccepted>;

/// Returns the key under which the store keeps the newest record of this kind.
std::string keyOf(const Record &Value);

/// Returns the job that a record accepts, or nullptr.
const JobAccepted *acceptedJob(const Record &Value);

/// A record and its offset in the store's partition.
struct StoredRecord {
  core::Offset Offset_ = 0;
  Record Value_;
};

} // namespace nutmegwell::jobs
