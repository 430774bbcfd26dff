#pragma once

#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/records.h"
#include <atomic>
#include <functional>
#include <map>

namespace nutmegwell::logclient {

struct ReaderSettings {
  /// Maximum number of entries per read.
  std::size_t MaxEntries_ = 256;
  /// Wait of one long poll. When no entries arrive, this bounds the age of the
  /// last tail read.
  core::Duration Wait_ = std::chrono::milliseconds(300);
  core::Duration BackoffMin_ = std::chrono::milliseconds(50);
  core::Duration BackoffMax_ = std::chrono::seconds(1);
};

/// State from which to apply the log, and the first offset to apply to it.
struct StartPoint {
  model::ControlState State_;
  core::Offset From_ = 0;
  /// End of the log as found by the search; 0 for a peer's state.
  core::Offset End_ = 0;
  /// Peer that State_ was fetched from; empty when it is from the log.
  model::NodeName Peer_;
  /// Encoded size of the snapshot that State_ was decoded from; 0 if State_ is
  /// empty or from a peer.
  std::uint64_t SnapshotBytes_ = 0;
};

/// Returns the start point from the log: the latest snapshot whose following
/// entries are all retained, or the empty state when the log is retained from
/// offset 0. Returns NotFound when neither exists, and the error of a read that
/// fails. Snapshots that cannot be decoded are skipped.
absl::StatusOr<StartPoint> findStart(const LogService &Log,
                                     std::size_t MaxEntries);

/// Access to the peer entry hosts as sources of a state to start from.
struct StartPeers {
  /// Returns the highest offset that this host or a peer has announced as its
  /// next one.
  std::function<core::Offset()> AtLeast_;
  /// Returns the states of the peers that have applied the log up to an offset.
  std::function<std::map<model::NodeName, model::ControlState>(core::Offset)>
      States_;
};

/// Returns the start point that chooseStart selects, from the log or from a
/// peer. Returns NotFound when neither has a state that is new enough, and the
/// log's error when the log cannot be read and no peer has such a state.
absl::StatusOr<StartPoint> findBestStart(const LogService &Log,
                                         std::size_t MaxEntries,
                                         const StartPeers &Peers);

struct ReaderEvents {
  /// Called for each entry that can be decoded, in the order of the log.
  std::function<void(core::Offset, const model::Batch &)> OnBatch_;
  /// Called after every read that reached the tail, with the time at which
  /// that read began.
  std::function<void(core::TimePoint)> OnTail_;
  /// Finds a new start point when retention has removed entries that were not
  /// read yet. If empty, only the log is searched.
  std::function<absl::StatusOr<StartPoint>()> FindStart_;
  /// Called when retention has removed entries that were not read yet. The
  /// state built so far must be replaced by the given one; the next batches are
  /// those from StartPoint::From_ on.
  std::function<void(const StartPoint &)> OnRestart_;
};

/// State of a reader between reads. The atomic members may be read from any
/// thread.
struct ReaderState {
  explicit ReaderState(core::Offset From) : Next_(From) {}

  core::Offset Next_;
  /// Time passed to the last OnTail_, as the duration since the clock's epoch.
  std::atomic<core::Duration> LastTail_{core::Duration::zero()};
  std::atomic<std::uint64_t> Undecodable_{0};
  std::atomic<std::uint64_t> FailedReads_{0};
  std::atomic<std::uint64_t> Restarts_{0};
};

/// Reads once and calls the events. Returns false when the read failed; the
/// next offset is then unchanged, and the caller should back off.
bool readOnce(ReaderState &State, const LogService &Log,
              const ReaderSettings &Settings, const ReaderEvents &Events,
              const core::Clock &Time);

} // namespace nutmegwell::logclient
