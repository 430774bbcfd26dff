#pragma once

#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/records.h"
#include <atomic>
#include <functional>
#include <map>

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
  /// The log's end as the search found it; 0 for a peer's state.
  core::Offset End_ = 0;
  /// Peer that gave State_; empty when it is from the log.
  model::NodeName Peer_;
  /// Encoded size of the snapshot that gave State_; 0 for another start.
  std::uint64_t SnapshotBytes_ = 0;
};

/// Returns where to start: the latest snapshot whose following entries are all
/// retained, or the empty state when the log is retained from offset 0.
/// Returns NotFound when neither exists, and the read's error otherwise.
/// Entries that hold no usable snapshot are skipped.
absl::StatusOr<StartPoint> findStart(const LogService &Log,
                                     std::size_t MaxEntries);

/// The other entry hosts as sources of a state to start from.
struct StartPeers {
  /// Returns the highest offset that this host or a peer has announced as its
  /// next one.
  std::function<core::Offset()> AtLeast_;
  /// Returns the states of the peers that have applied the log up to an offset.
  std::function<std::map<model::NodeName, model::ControlState>(core::Offset)>
      States_;
};

/// Returns where to start by the rule of chooseStart, from the log or from a
/// peer. Returns NotFound when neither has a state that is new enough, and the
/// log's error when it cannot be read and no peer helps.
absl::StatusOr<StartPoint> findBestStart(const LogService &Log,
                                         std::size_t MaxEntries,
                                         const StartPeers &Peers);

struct ReaderEvents {
  /// Called in the log's order for each decodable entry.
  std::function<void(core::Offset, const model::Batch &)> OnBatch_;
  /// Called after every read that reached the tail, with the time at which
  /// that read began.
  std::function<void(core::TimePoint)> OnTail_;
  /// Finds where to go on when entries were lost to retention. Without it the
  /// log alone is searched.
  std::function<absl::StatusOr<StartPoint>()> FindStart_;
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
