#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegwell::cell {

struct DeparturePolicy {
  bool Enabled_ = false;
  /// Longest time that a worker takes to stop a run.
  core::Duration StopTime_ = std::chrono::milliseconds(900);
  /// Added to StopTime_: one report interval, since an order travels with the
  /// answer to a report.
  core::Duration OrderMargin_ = std::chrono::milliseconds(500);
};

/// A run, or all runs of a gang, of which some are on a draining worker.
struct DepartingUnit {
  bool Checkpoints_ = false;
  bool LongRunning_ = false;
  /// Expected rest of the slowest member; absent when nothing is known of it.
  std::optional<core::Duration> Rest_;
  /// Time until the first of the unit's workers leaves.
  core::Duration TimeLeft_{0};
};

enum class DepartureChoice : std::uint8_t {
  /// Leave the unit to end, or to be decided later.
  Continue,
  /// Stop it now, so that it saves a checkpoint before its worker leaves.
  SaveCheckpoint,
  /// Stop it now, because it would be lost, and start it elsewhere.
  StartElsewhere
};

const char *name(DepartureChoice Choice);

/// Decides on a unit on a draining worker. With Continue, \p DecideAgainIn is
/// the time after which the decision may change, absent when it does not.
///
/// Load pattern: a tenth of the workers taken away at 2 s notice, while their
/// runs have seconds of work behind them and before them.
DepartureChoice chooseDeparture(const DeparturePolicy &Policy,
                                const DepartingUnit &Unit,
                                std::optional<core::Duration> &DecideAgainIn);

} // namespace nutmegwell::cell
