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

/// Choices of the scheduling policy. The defaults are the policy in force; the
/// measuring program sets others to compare.
struct Policy {
  Fit Fit_ = Fit::Best;
  /// Whether an account's free guarantee is reclaimed by preempting jobs that
  /// borrow it.
  bool Guarantees_ = true;
  /// Whether jobs are preempted only in the cell that is to take the job.
  bool OneCellReclaims_ = true;
};

} // namespace nutmegwell::sched
