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

/// Departure of a draining worker, as it was announced.
struct DepartureNotice {
  /// Time left in the newest announcement.
  core::Duration Announced_{0};
  /// Until this time the worker stays at least.
  core::TimePoint LeavesAt_{};
};

/// Applies an announcement, received at \p Now, that a worker stays for at
/// least \p Remaining, or that it does not drain. The time left counts from the
/// first announcement: one that repeats the figure adds no time, since a report
/// is sent again without a new announcement. A lower figure can only shorten
/// the stay, because a delayed message makes it appear longer. A higher figure
/// extends it.
void updateNotice(std::optional<DepartureNotice> &Notice, bool Draining,
                  core::Duration Remaining, core::TimePoint Now);

/// Returns how long the worker stays at least.
core::Duration timeLeft(const DepartureNotice &Notice, core::TimePoint Now);

/// Progress of a run whose rest is estimated.
struct RestEvidence {
  double Percent_ = 0;
  /// Time since the percentage last changed.
  core::Duration SinceChange_{0};
  /// The run's own time for one percent, once it is known.
  std::optional<core::Duration> TimePerPercent_;
  /// Declared time of the whole task; zero when there is none.
  core::Duration Declared_{0};
};

/// Returns the expected remaining time of a run, or nothing when there is
/// neither progress nor a declared time. The time since the last change counts
/// only up to that of one percent and one report interval, so that a stalled
/// run does not appear to be ending.
std::optional<core::Duration> expectedRest(const DeparturePolicy &Policy,
                                           const RestEvidence &Run);

/// Decides on a unit on a draining worker. With Continue, \p DecideAgainIn is
/// the time after which the decision may change, absent when only new evidence
/// changes it.
///
/// A unit that is expected to end in time continues. Any other unit with
/// checkpoints continues until a stop just fits before its worker leaves. One
/// without checkpoints is stopped at once, unless nothing is known of its rest:
/// then it may end in time. A long-running unit never ends and is moved at
/// once, so that the tasks of a step can be moved one after the other.
///
/// Load pattern: a tenth of the workers taken away at 2 s notice, while their
/// runs have seconds of work behind them and before them.
DepartureChoice chooseDeparture(const DeparturePolicy &Policy,
                                const DepartingUnit &Unit,
                                std::optional<core::Duration> &DecideAgainIn);

} // namespace nutmegwell::cell
