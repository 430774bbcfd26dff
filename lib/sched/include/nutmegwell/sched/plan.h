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

/// A worker of the cell as the scheduler sees it.
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
  /// How long the job has waited since it was submitted or put back.
  core::Duration Waited_{};
  /// Accelerator time that the job has used in earlier attempts.
  core::Duration AttainedService_{};
  /// False while another cell is to take the job (see preferredCells); then
  /// nothing is preempted for it here.
  bool Preferred_ = true;
  /// How long the job waited for its earlier attempts.
  core::Duration EarlierWait_{};
  /// The domain from which the job was moved for a waiting one (see
  /// planMigrations); it does not go back there at once.
  model::DomainName MigratedFrom_{};
};

struct RunningJob {
  core::JobId Id_;
  model::JobSpec Spec_;
  model::Placement Placement_;
  /// Time since its last checkpoint: what preemption would lose.
  core::Duration SinceCheckpoint_{};
  core::Duration AttainedService_{};
  /// True while the job is being stopped; its accelerators come free soon.
  bool Stopping_ = false;
  /// The waiting job for which this one is being stopped, if any.
  core::JobId Preemptor_;
  /// Time since this attempt started; one with 0 keeps its place.
  core::Duration RunTime_{};
  /// The waiting job for which this one may be moved to another cell, if any
  /// (see planMigrations).
  core::JobId MigratableFor_{};
  /// How long the job waited for all its attempts.
  core::Duration TotalWait_{};
};

/// All that a decision for one cell depends on.
struct CellView {
  model::DomainName Domain_;
  /// False when nothing may start: out of service, or no fresh log.
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
  /// The waiting job that takes the accelerators.
  core::JobId Preemptor_;
  std::string Reason_;
  /// True when the job is moved: it is within its guarantee and has a place in
  /// another cell (see planMigrations).
  bool Migration_ = false;
};

/// Why a job waits and what would let it start, in one plain sentence.
struct WaitReason {
  core::JobId Job_;
  std::string Reason_;
};

struct Plan {
  std::vector<StartDecision> Starts_;
  std::vector<PreemptDecision> Preemptions_;
  std::vector<WaitReason> Waits_;
};

/// Returns what to start and what to preempt in one cell.
Plan planCell(const CellView &View, const Policy &Choices = Policy());

/// Returns why no cell with this many accelerators and this pool could ever run
/// the job, or an empty string when it can.
std::string infeasibleReason(const model::JobSpec &Spec,
                             const model::PoolsTable &Pools,
                             const model::DomainCapacity &Capacity);

} // namespace nutmegwell::sched
