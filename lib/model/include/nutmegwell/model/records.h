#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/model/job.h"
#include "nutmegwell/model/tables.h"
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::model {

struct RoutesPublished {
  core::Version ExpectedVersion_ = 0;
  RoutesTable Table_;
};

struct PoolsPublished {
  core::Version ExpectedVersion_ = 0;
  PoolsTable Table_;
};

/// Takes a failure domain out of service or brings it back.
struct DomainChanged {
  core::Version ExpectedVersion_ = 0;
  DomainName Domain_;
  bool InService_ = true;
};

/// Claims a cell with Term_, which must be one above the term in force.
struct CellClaimed {
  DomainName Domain_;
  core::Term Term_ = 0;
  NodeName Holder_;
  core::Incarnation HolderIncarnation_ = 0;
};

struct CellRenewed {
  DomainName Domain_;
  core::Term Term_ = 0;
};

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

/// Starts attempt Attempt_ of a job; must be above the job's last attempt.
struct JobCommitted {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  Placement Placement_;
};

/// Starts to stop an attempt; the job keeps its accelerators until it ends.
struct JobStopping {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  std::string Reason_;
};

/// Ends an attempt that no agent runs any more and puts the job back.
struct JobRequeued {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  std::string Checkpoint_;
  std::string Reason_;
  /// True when a task failed, as opposed to being preempted or lost.
  bool TaskFailed_ = false;
};

struct JobFinished {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  DomainName Domain_;
  core::Term Term_ = 0;
  JobState State_ = JobState::Finished;
  std::string Reason_;
};

/// Reserves the key of a non-idempotent request for one attempt.
struct IntentRecorded {
  AccountName Account_;
  std::string Key_;
  ServiceName Service_;
  core::AttemptId Attempt_;
  NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
};

/// Frees a key whose attempt certainly did not run and never will.
struct IntentReleased {
  AccountName Account_;
  std::string Key_;
  core::AttemptId Attempt_;
};

/// Notes that the attempt of a key was answered.
struct IntentSettled {
  AccountName Account_;
  std::string Key_;
  core::AttemptId Attempt_;
};

/// The control state after the entry at LastIncludedOffset_, encoded by the
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

/// One change of the control state. The writer counts its records from 1.
struct Record {
  core::RecordId Id_;
  RecordBody Body_;
};

/// The unit of one append.
using Batch = std::vector<Record>;

} // namespace nutmegwell::model
