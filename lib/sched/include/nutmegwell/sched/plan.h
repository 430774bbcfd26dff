#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/job.h"
#include "nutmegwell/model/tables.h"
#include "nutmegwell/sched/policy.h"
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegwell::sched {

/// The scheduler's view of a worker of the cell.
struct WorkerView {
  model::NodeName Name_;
  model::RackName Rack_;
  std::uint32_t Accelerators_ = 0;
  /// False for a worker that takes no new work.
  bool Usable_ = true;
};

struct WaitingJob {
  core::JobId Id_;
  model::JobSpec Spec_;
  /// Time since the job was submitted or requeued.
  core::Duration Waited_{};
  /// Attained service: run time in earlier attempts, multiplied by the number
  /// of accelerators.
  core::Duration AttainedService_{};
  /// False when another cell is to run the job (see preferredCells). This cell
  /// then preempts no job for it.
  bool Preferred_ = true;
  /// Time that the job waited before its earlier attempts.
  core::Duration EarlierWait_{};
  /// Domain out of which the job was migrated for a waiting one (see
  /// planMigrations); the job does not return there at once.
  model::DomainName MigratedFrom_{};
};

struct RunningJob {
  core::JobId Id_;
  model::JobSpec Spec_;
  model::Placement Placement_;
  /// Time since the last checkpoint; preemption loses the work done in it.
  core::Duration SinceCheckpoint_{};
  core::Duration AttainedService_{};
  /// True while the job is being stopped; its accelerators become free soon.
  bool Stopping_ = false;
  /// Waiting job for which this one is being stopped, if any.
  core::JobId Preemptor_;
  /// Time since this attempt started; 0 when it has not started or its start is
  /// unknown. A job with 0 is preempted only to reclaim a guarantee.
  core::Duration RunTime_{};
  /// Waiting job for which this one may be migrated to another cell, if any
  /// (see planMigrations).
  core::JobId MigratableFor_{};
  /// Time that the job waited before all its attempts.
  core::Duration TotalWait_{};
};

/// Complete input of the decision for one cell.
struct CellView {
  model::DomainName Domain_;
  /// False when no job may start: the domain is out of service, or this host
  /// has no up-to-date copy of the log.
  bool MayStart_ = true;
  std::vector<WorkerView> Workers_;
  std::vector<model::PoolRow> Pools_;
  std::vector<WaitingJob> Waiting_;
  std::vector<RunningJob> Running_;
};

struct StartDecision {
  core::JobId Job_;
  model::Placement Placement_;
};

struct PreemptDecision {
  core::JobId Job_;
  /// Waiting job that gets the accelerators.
  core::JobId Preemptor_;
  std::string Reason_;
  /// True when the job is migrated: it is within its guarantee and has a place
  /// in another cell (see planMigrations).
  bool Migration_ = false;
};

/// One sentence that says why a job waits and what would let it start.
struct WaitReason {
  core::JobId Job_;
  std::string Reason_;
};

struct Plan {
  std::vector<StartDecision> Starts_;
  std::vector<PreemptDecision> Preemptions_;
  std::vector<WaitReason> Waits_;
};

/// Decides which jobs to start and which to preempt in one cell.
Plan planCell(const CellView &View, const Policy &Options = Policy());

/// Returns why the job can never run in any cell with these pools and this
/// capacity, or an empty string when it can.
std::string infeasibleReason(const model::JobSpec &Spec,
                             const model::PoolsTable &Pools,
                             const model::DomainCapacity &Capacity);

} // namespace nutmegwell::sched
