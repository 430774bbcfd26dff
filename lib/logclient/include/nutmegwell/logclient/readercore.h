#pragma once

#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/records.h"
#include <atomic>

namespace nutmegwell::logclient {

struct ReaderSettings {
  /// Entries of one read.
  std::size_t MaxEntries_ = 256;
  /// Waiting time of one long poll; bounds the age of a quiet log's tail.
  core::Duration Wait_ = std::chrono::milliseconds(300);
  core::Duration BackoffMin_ = std::chrono::milliseconds(50);
  core::Duration BackoffMax_ = std::chrono::seconds(1);
};

/// State from which to apply the log, and the first offset to apply to it.
struct StartPoint {
  model::ControlState State_;
  core::Offset From_ = 0;
  /// True when State_ is from a snapshot; otherwise the log is whole.
  bool FromSnapshot_ = false;
  /// Encoded size of that snapshot.
  std::uint64_t SnapshotBytes_ = 0;
};

/// Returns where to start: the latest snapshot whose following entries are all
/// retained, or the empty state when the log is retained from offset 0.
/// Returns NotFound when neither exists, and the read's error otherwise.
/// Entries that hold no usable snapshot are skipped.
absl::StatusOr<StartPoint> findStart(const LogService &Log,
                                     std::size_t MaxEntries);

struct ReaderEvents {
  /// Called in the log's order for each decodable entry.
  std::function<void(core::Offset, const model::Batch &)> OnBatch_;
  /// Called after every read that reached the tail, with the time at which
  /// that read began.
  std::function<void(core::TimePoint)> OnTail_;
  /// Called when entries were lost to retention: the state so far must be
  /// replaced by this one. Batches follow from StartPoint::From_ on.
  std::function<void(const StartPoint &)> OnRestart_;
};

/// What a reader keeps between reads. The counters may be read from any thread.
struct ReaderState {
  explicit ReaderState(core::Offset From) : Next_(From) {}

  core::Offset Next_;
  /// Time since the clock's epoch of the last OnTail_.
  std::atomic<core::Duration> LastTail_{core::Duration::zero()};
  std::atomic<std::uint64_t> Undecodable_{0};
  std::atomic<std::uint64_t> FailedReads_{0};
  std::atomic<std::uint64_t> Restarts_{0};
};

/// Reads once and calls the events. Returns false when the read failed; the
/// state is then as it was, and the caller should pause.
bool readOnce(ReaderState &State, const LogService &Log,
              const ReaderSettings &Settings, const ReaderEvents &Events,
              const core::Clock &Time);

} // namespace nutmegwell::logclient
