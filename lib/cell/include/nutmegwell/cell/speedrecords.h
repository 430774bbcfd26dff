#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/expect/speeds.h"
#include "nutmegwell/jobs/records.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// Bounds of the records of learned speeds.
struct SpeedRecordPolicy {
  /// Rows of a record, which keeps its encoding below 10 KB.
  std::size_t MaxRows_ = 100;
  /// Minimum time between two records. With 533 workers, a change of all speeds
  /// is recorded within 12 s.
  core::Duration Interval_ = std::chrono::seconds(2);
  /// A restored speed has at least this error, so that it yields to about ten
  /// new runs.
  double MinRestoredError_ = 0.1;
  /// Speeds beyond this factor either way are malformed; those of one service's
  /// workers differ by less than ten.
  double MaxSpeed_ = 100;
};

/// The record that holds a worker's speed, and the row in it.
struct RecordedSpeed {
  std::uint32_t Number_ = 0;
  jobs::LearnedSpeed Row_;
};

/// Contents of the records of learned speeds, as the holder that writes them
/// has them.
struct SpeedRecords {
  /// By host. A worker keeps its record as long as it is here.
  std::map<std::string, RecordedSpeed> Rows_;
  /// When the speeds were last compared with the rows.
  std::optional<core::TimePoint> CheckedAt_;
  /// Malformed rows that were ignored and not logged yet.
  std::size_t IgnoredRows_ = 0;
};

/// Speeds to be recorded, and the workers that exist.
struct SpeedsToRecord {
  /// Workers of which a process has reported that may still run.
  std::set<std::string> Workers_;
  /// Rows of those among them whose speeds are known.
  std::vector<jobs::LearnedSpeed> Known_;
  /// Rows of workers that have not reported may give way to others. Not at the
  /// begin of a tenure, when some agents have yet to connect.
  bool MayReplace_ = false;
};

/// Returns the contents of the records, by number, without malformed rows. Of
/// two rows of a worker, that of the later incarnation counts.
SpeedRecords readSpeedRecords(
    const SpeedRecordPolicy &Policy,
    const std::map<std::uint32_t, std::vector<jobs::LearnedSpeed>> &Records);

/// Returns the recorded speed of an incarnation of a worker, if there is one.
std::optional<expect::WorkerSpeed>
recordedSpeed(const SpeedRecordPolicy &Policy, const SpeedRecords &Recorded,
              const std::string &Host, std::int64_t WorkerIncarnation);

/// Returns the record with the most rows that have changed by more than their
/// error, and updates \p Recorded; nothing when no row has changed. A worker
/// without a row gets the first free one of the records 0 to N / MaxRows_ for N
/// existing workers, or that of a worker that exists no more, so that the
/// number of records is bounded by the largest number of workers that existed
/// at one time.
std::optional<jobs::LearnedSpeeds>
nextSpeedRecord(const SpeedRecordPolicy &Policy, SpeedRecords &Recorded,
                const SpeedsToRecord &Current);

} // namespace nutmegwell::cell
