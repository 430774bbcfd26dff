#pragma once

#include <cstdint>

namespace nutmegwell::sched {

/// Which place a gang gets when several fit.
enum class PlacementFit : std::uint8_t {
  /// The first in the order of the view.
  First,
  /// The one that leaves the fewest accelerators free in its subtree.
  Best
};

/// Which borrowing jobs are preempted when there are several possible places.
enum class VictimSelection : std::uint8_t {
  /// As few jobs as possible.
  Fewest,
  /// The jobs that lose the least accelerator time: work since the last
  /// checkpoint, and the time to stop and restore.
  LeastLost
};

/// Order in which waiting jobs borrow accelerators.
enum class QueueOrder : std::uint8_t {
  /// The order of the view.
  Listed,
  /// Jobs that have waited long first, then more urgent classes, then least
  /// attained service.
  LeastAttained
};

/// Options of the scheduling policy. The defaults are the policy in production;
/// benchmarks set other values to compare them.
struct Policy {
  PlacementFit Fit_ = PlacementFit::Best;
  /// Whether a job reclaims a free part of its account's guarantee by
  /// preempting the jobs that borrow it.
  bool ReclaimGuarantees_ = true;
  VictimSelection VictimSelection_ = VictimSelection::LeastLost;
  /// Whether freed accelerators go first to the job for which other jobs were
  /// preempted.
  bool ReserveForPreemptor_ = true;
  /// Whether a job that has waited long may preempt borrowing jobs that have
  /// run for a minimum time.
  bool AgingPreemption_ = true;
  QueueOrder QueueOrder_ = QueueOrder::LeastAttained;
  /// Whether a job whose claim would need preemptions starts instead on free
  /// accelerators outside all guaranteed blocks, when it fits there.
  bool PreferUnguaranteed_ = true;
  /// Whether a job's wait includes that of earlier attempts, so that a
  /// preempted job does not queue behind jobs that arrived after it.
  bool CountEarlierWaits_ = true;
  /// Whether aging preempts only jobs that have waited less than the job that
  /// gets the accelerators.
  bool AgingVictimsWaitedLess_ = true;
  /// Whether a job whose account is at its limit may preempt jobs of the same
  /// account by aging.
  bool AgingWithinAccount_ = true;
  /// Whether long waits are weighted by the number of accelerators of the job.
  bool WeightWaitBySize_ = true;
  /// Whether jobs within a guarantee are migrated to other cells for a gang
  /// that has waited long.
  bool Migrations_ = true;
};

} // namespace nutmegwell::sched
