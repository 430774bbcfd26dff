#pragma once

#include "workload.h"
#include <functional>

namespace nutmegwell::bench {

using Decide = std::function<sched::Plan(const sched::CellView &)>;

/// What became of one job.
struct JobResult {
  core::Duration Completion_{};
  core::Duration RunTime_{};
  core::Duration LongestWait_{};
  model::JobClass Class_ = model::JobClass::Normal;
  std::uint32_t Accelerators_ = 0;
  std::uint32_t Preemptions_ = 0;
  /// All waits of the job together.
  core::Duration Waited_{};
  /// The wait of the first attempt.
  core::Duration FirstWait_{};
  /// True when the account had a free guarantee of the job's shape from the
  /// job's arrival until it started.
  bool Entitled_ = false;
};

struct RunResult {
  std::vector<JobResult> Jobs_;
  /// Time-weighted mean of the share of free accelerators that the largest
  /// waiting gang cannot use for want of adjacency.
  double Fragmentation_ = 0;
  /// Useful accelerator-seconds during the absence over what the remaining
  /// domains could do; 0 without an absence.
  double AbsenceShare_ = 0;
  /// Shares of the remaining accelerators during the absence that were idle
  /// while jobs waited, and in which jobs were stopped or restored.
  double AbsenceIdle_ = 0;
  double AbsenceChanging_ = 0;
  /// Time from when a job had a free guarantee until it started.
  std::vector<double> ReclaimSeconds_;
  /// Cases that took longer than the checkpoint grace and one decision.
  std::size_t ReclaimLate_ = 0;
  /// Those of them in which another job of the account got the guarantee, most
  /// often one of the same burst for which it was already being reclaimed.
  std::size_t ReclaimLateToOwn_ = 0;
  std::size_t PartialGangs_ = 0;
  std::size_t Invalid_ = 0;
  std::size_t Unfinished_ = 0;
  std::size_t Preemptions_ = 0;
  /// Accelerator-seconds that preempted jobs had to do again.
  double LostWork_ = 0;
  std::vector<double> DecisionMicros_;
};

/// A policy to run.
struct NamedPolicy {
  std::string Name_;
  Decide Decide_;
  /// Sets what depends on all cells; without it, every cell may take every job.
  std::function<void(std::vector<sched::CellView> &)> Arrange_;
};

/// Runs the jobs and faults through the policy under a simulated clock. Only
/// decision times depend on the machine.
RunResult simulate(const Workload &Load, const NamedPolicy &Policy);

} // namespace nutmegwell::bench
