#pragma once

#include "nutmegwell/core/random.h"
#include "nutmegwell/sched/plan.h"

namespace nutmegwell::bench {

/// The sizes of a set of failure domains and what is asked of them.
struct Deployment {
  std::string Name_;
  std::vector<std::uint32_t> WorkersPerDomain_;
  std::uint32_t AcceleratorsPerWorker_ = 8;
  std::uint32_t WorkersPerRack_ = 3;
  std::uint32_t Jobs_ = 500;
  /// Median of the real run times.
  core::Duration MedianTime_ = std::chrono::minutes(15);
  bool DesignSize_ = false;
};

/// A job with what only the measuring program knows about it.
struct JobInput {
  model::JobSpec Spec_;
  core::Duration Arrival_{};
  core::Duration RunTime_{};
  /// False when a checkpoint on demand fails, so that preemption loses the work
  /// since the last periodic one.
  bool SavesOnDemand_ = true;
};

enum class FaultKind : std::uint8_t { WorkerDown, WorkerUp, Notice, Off, Back };

struct Fault {
  core::Duration Time_{};
  FaultKind Kind_ = FaultKind::WorkerDown;
  std::size_t Domain_ = 0;
  std::size_t Worker_ = 0;
};

/// Everything that a run depends on besides the decision function.
struct Workload {
  std::vector<sched::CellView> Cells_;
  std::vector<JobInput> Jobs_;
  std::vector<Fault> Faults_;
  core::Duration Horizon_{};
  /// The time from a domain's notice to its return; empty when it stays.
  core::Duration AbsenceFrom_{};
  core::Duration AbsenceTo_{};
};

/// Three domains with 10 workers of 8 accelerators in all.
Deployment deploymentA();
/// The same workers in four domains.
Deployment deploymentB();
/// One domain of the design size: 533 workers of 2 accelerators.
Deployment designCell();

/// Returns the cells with their pools and no jobs.
std::vector<sched::CellView> makeCells(const Deployment &Sizes);

/// Returns jobs that ask for \p Load of the capacity, in bursts, and worker
/// faults. Depends on the seed alone.
Workload makeWorkload(const Deployment &Sizes, double Load, std::uint64_t Seed);

/// Makes the first domain leave with notice and return.
void addAbsence(Workload &Load);

} // namespace nutmegwell::bench
