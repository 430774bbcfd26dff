#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/jobs/progress.h"
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::jobs {

/// A job that its caller may rely on.
struct JobAccepted {
  std::string Job_;
  std::string Queue_;
  std::string Service_;
  std::string Account_;
  int Priority_ = 0;
  std::uint32_t MaxAttempts_ = 1;
  /// When the entry host read the caller's request.
  WallTime Submitted_{};
  JobSpec Spec_;
};

/// A caller's cancellation of a job.
struct JobCancelled {
  std::string Job_;
};

/// Progress of a job; replaces what was recorded before.
struct JobProgressed {
  std::string Job_;
  JobProgress Progress_;
};

/// The cell's holder from this record on. The record's term is its offset plus
/// one.
struct CellClaimed {
  std::string Host_;
  core::Incarnation HolderIncarnation_ = 0;
  /// False when the holder gives the cell back.
  bool Held_ = true;
};

/// Every holder before the one of this term has certainly stopped giving
/// grants.
struct TenureSettled {
  core::Term Term_ = 0;
};

/// A worker on which tasks of this cell may run.
struct WorkerListed {
  std::string Host_;
  std::string FailureDomain_;
  /// False when nothing can run there any more.
  bool Listed_ = true;
  /// No task starts there before the worker is listed anew, and only those of
  /// Tasks_ may be running.
  bool Closed_ = false;
  std::vector<TaskId> Tasks_;
};

/// An entry host and the address at which its peers reach it.
struct EntryHostListed {
  std::string Host_;
  std::string Address_;
};

using Record =
    std::variant<JobAccepted, JobCancelled, JobProgressed, CellClaimed,
                 WorkerListed, EntryHostListed, TenureSettled>;

/// Returns the key under which the store keeps the newest such record.
std::string keyOf(const Record &Value);

/// A record and its place in the store's partition.
struct StoredRecord {
  core::Offset Offset_ = 0;
  Record Value_;
};

} // namespace nutmegwell::jobs
