#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/model/job.h"
#include "nutmegwell/model/tables.h"
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::model {

/// Replaces the routes table.
struct RoutesPublished {
  /// Version that the change replaces; with another current version it is
  /// rejected.
  core::Version ExpectedVersion_ = 0;
  RoutesTable Table_;
};

/// Replaces the pools table, under the same condition.
struct PoolsPublished {
  core::Version ExpectedVersion_ = 0;
  PoolsTable Table_;
};

/// Takes a failure domain out of service or puts it back.
struct DomainChanged {
  core::Version ExpectedVersion_ = 0;
  DomainName Domain_;
  bool InService_ = true;
};

/// Claims a cell under a new term, which must be one above the current term.
struct CellClaimed {
  DomainName Domain_;
  core::Term Term_ = 0;
  NodeName Holder_;
  core::Incarnation HolderIncarnation_ = 0;
};

/// Renews the lease of the cell's holder.
struct CellRenewed {
  DomainName Domain_;
  core::Term Term_ = 0;
};

/// Ends the tenure of the cell's holder before the lease expires.
struct CellReleased {
  DomainName Domain_;
  core::Term Term_ = 0;
};

struct JobSubmitted {
  core::JobId Job_;
  JobSpec Spec_;
};

struct JobCancelled {
  core::JobId Job_;
};

/// Commits a gang start. Attempt_ must be above the job's last attempt.
struct JobCommitted {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  Placement Placement_;
};

/// Begins to stop an attempt. The job keeps its accelerators until the attempt
/// ends.
struct JobStopping {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  std::string Reason_;
};

/// Ends an attempt that no agent runs any more and returns the job to the
/// queue.
struct JobRequeued {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  std::string Checkpoint_;
  std::string Reason_;
  /// True when a task failed; false when the attempt was preempted or lost.
  bool TaskFailed_ = false;
};

/// Ends a job in a final state.
struct JobFinished {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  JobState State_ = JobState::Finished;
  std::string Reason_;
};

/// Assigns the key of a non-idempotent request to one attempt, before the
/// attempt is dispatched.
struct IntentRecorded {
  AccountName Account_;
  std::string Key_;
  ServiceName Service_;
  core::AttemptId Attempt_;
  NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
};

/// Releases a key whose attempt did not run and cannot run later.
struct IntentReleased {
  AccountName Account_;
  std::string Key_;
  core::AttemptId Attempt_;
};

/// Records that the attempt of a key was answered.
struct IntentSettled {
  AccountName Account_;
  std::string Key_;
  core::AttemptId Attempt_;
};

/// The control state after the log entry at LastIncludedOffset_, encoded by the
/// wire library.
struct SnapshotTaken {
  core::Offset LastIncludedOffset_ = 0;
  std::string State_;
};

using RecordBody =
    std::variant<RoutesPublished, PoolsPublished, DomainChanged, CellClaimed,
                 CellRenewed, CellReleased, JobSubmitted, JobCancelled,
                 JobCommitted, JobStopping, JobRequeued, JobFinished,
                 IntentRecorded, IntentReleased, IntentSettled, SnapshotTaken>;

/// One change of the control state. Each writer numbers its records from 1.
struct Record {
  core::RecordId Id_;
  RecordBody Body_;
};

/// The records of one append to the log.
using Batch = std::vector<Record>;

} // namespace nutmegwell::model
