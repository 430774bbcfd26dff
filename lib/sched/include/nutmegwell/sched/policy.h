#pragma once

#include <cstdint>

namespace nutmegwell::sched {

/// Which of several places that fit a gang is taken.
enum class Fit : std::uint8_t {
  /// The first in the order of the view.
  First,
  /// The one that leaves least free in its subtree.
  Best
};

/// Which borrowers are preempted when several places would do.
enum class Victims : std::uint8_t {
  /// As few jobs as possible.
  Fewest,
  /// Those that lose the least accelerator time: work since the last checkpoint
  /// and the time to stop and restore.
  LeastLost
};

/// In which order waiting jobs borrow.
enum class Order : std::uint8_t {
  /// As the view lists them.
  Listed,
  /// More urgent classes first, then least attained service; a job that has
  /// waited long goes before those that have not.
  LeastAttained
};

/// Choices of the scheduling policy. The defaults are the policy in force; the
/// measuring program sets others to compare.
struct Policy {
  Fit Fit_ = Fit::Best;
  /// Whether an account's free guarantee is reclaimed by preempting jobs that
  /// borrow it.
  bool Guarantees_ = true;
  Victims Victims_ = Victims::LeastLost;
  /// Whether accelerators go first to the job for which they are being freed.
  bool KeepClaims_ = true;
  /// Whether a job that has waited long takes accelerators from borrowers that
  /// have run for a while.
  bool Turns_ = true;
  Order Order_ = Order::LeastAttained;
  /// Whether a job with a claim on borrowed accelerators starts in a free place
  /// outside all guaranteed blocks instead, when there is one.
  bool SpareUnowned_ = true;
  /// Whether a job's wait counts from all its attempts, so that a preempted job
  /// does not go back behind those that arrived after it.
  bool TotalWait_ = true;
  /// Whether a job takes its turn only from jobs that waited less than it.
  bool TurnsByWait_ = true;
  /// Whether a job whose account is at its limit takes its turn from jobs of
  /// the same account.
  bool TurnsPastLimit_ = true;
  /// Whether long waits count in proportion to a job's size.
  bool WaitBySize_ = true;
  /// Whether jobs within a guarantee are moved to other cells for the gang that
  /// has waited longest.
  bool Moves_ = true;
};

} // namespace nutmegwell::sched
