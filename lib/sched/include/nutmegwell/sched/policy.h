#pragma once

#include <cstdint>

namespace nutmegwell::sched {

/// Which of several places that fit a gang is taken.
enum class PlacementFit : std::uint8_t {
  /// The first in the order of the view.
  First,
  /// The one that leaves least free in its subtree.
  Best
};

/// Which borrowers are preempted when several places would do.
enum class VictimSelection : std::uint8_t {
  /// As few jobs as possible.
  Fewest,
  /// Those that lose the least accelerator time: work since the last checkpoint
  /// and the time to stop and restore.
  LeastLost
};

/// In which order waiting jobs borrow.
enum class QueueOrder : std::uint8_t {
  /// As the view lists them.
  Listed,
  /// More urgent classes first, then least attained service; a job that has
  /// waited long goes before those that have not.
  LeastAttained
};

/// Choices of the scheduling policy. The defaults are the policy in force; the
/// measuring program sets others to compare.
struct Policy {
  PlacementFit Fit_ = PlacementFit::Best;
  /// Whether an account's free guarantee is reclaimed by preempting jobs that
  /// borrow it.
  bool ReclaimGuarantees_ = true;
  VictimSelection VictimSelection_ = VictimSelection::LeastLost;
  /// Whether accelerators go first to the job for which they are being freed.
  bool ReserveForPreemptor_ = true;
  /// Whether a job that has waited long takes accelerators from borrowers that
  /// have run for a while.
  bool AgingPreemption_ = true;
  QueueOrder QueueOrder_ = QueueOrder::LeastAttained;
  /// Whether a job with a claim on borrowed accelerators starts in a free place
  /// outside all guaranteed blocks instead, when there is one.
  bool PreferUnguaranteed_ = true;
  /// Whether a job's wait counts from all its attempts, so that a preempted job
  /// does not go back behind those that arrived after it.
  bool CountEarlierWaits_ = true;
  /// Whether a job takes its turn only from jobs that waited less than it.
  bool AgingVictimsWaitedLess_ = true;
  /// Whether a job whose account is at its limit takes its turn from jobs of
  /// the same account.
  bool AgingWithinAccount_ = true;
  /// Whether long waits count in proportion to a job's size.
  bool WeightWaitBySize_ = true;
  /// Whether jobs within a guarantee are moved to other cells for the gang that
  /// has waited longest.
  bool Migrations_ = true;
};

} // namespace nutmegwell::sched
