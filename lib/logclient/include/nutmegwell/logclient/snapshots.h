#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/names.h"
#include "nutmegwell/model/records.h"
#include <optional>
#include <vector>

namespace nutmegwell::logclient {

/// When to write snapshots.
struct SnapshotPolicy {
  /// Entries after the last snapshot, which every starting entry host must
  /// read: 200 reads of 256 entries.
  std::uint64_t MaxEntries_ = 50000;
  /// Bytes after the last snapshot for which none is written.
  std::uint64_t MinBytes_ = 1 << 20;
  /// Largest encoded state that is written.
  std::size_t MaxSnapshot_ = 32 << 20;
  /// Bytes after the last snapshot, as a multiple of its size. Snapshots then
  /// add at most a quarter to the other bytes of the log.
  std::uint64_t Growth_ = 4;
};

/// What an entry host knows of the log and its snapshots.
struct SnapshotView {
  /// Oldest retained offset, as of the last read.
  core::Offset First_ = 0;
  /// First offset that the own state has not applied.
  core::Offset Next_ = 0;
  /// First offset that the last snapshot does not cover; 0 without one.
  core::Offset Covered_ = 0;
  /// Bytes of the entries from Covered_ on.
  std::uint64_t BytesSince_ = 0;
  /// Size of the last snapshot; 0 when this host does not know it.
  std::uint64_t SnapshotBytes_ = 0;
  /// True while an own snapshot waits to be appended or read.
  bool Pending_ = false;
  /// Place of this host among the live entry hosts, from 0. Hosts of a higher
  /// place wait longer, so that usually one of them writes.
  unsigned Rank_ = 0;
};

/// Returns true when a snapshot should be written now: when too much follows
/// the last one, or before retention removes what the last one needs.
bool snapshotDue(const SnapshotPolicy &Policy, const SnapshotView &View);

/// Returns the snapshot of \p State, or ResourceExhausted when it is larger
/// than the policy allows.
absl::StatusOr<model::SnapshotTaken>
makeSnapshot(const SnapshotPolicy &Policy, const model::ControlState &State);

/// State that a peer entry host offers.
struct PeerState {
  model::NodeName Peer_;
  /// First offset that the peer has not applied.
  core::Offset Next_ = 0;
};

/// What a starting entry host can start from.
struct StartSources {
  /// True when the log could be read to its end.
  bool LogRead_ = false;
  /// Oldest retained offset, when the log could be read.
  core::Offset First_ = 0;
  /// First offset after the state of the log's snapshot and the entries that
  /// follow it; nothing without a usable snapshot.
  std::optional<core::Offset> LogNext_;
  std::vector<PeerState> Peers_;
  /// Highest offset that this host or a peer has announced as its next one.
  core::Offset AtLeast_ = 0;
};

enum class StartKind : std::uint8_t {
  /// Nothing is new enough; ask again.
  Wait,
  Log,
  Peer
};

struct StartChoice {
  StartKind Kind_ = StartKind::Wait;
  /// The peer to start from.
  model::NodeName Peer_;
};

/// Returns the state to start from, never one below Sources.AtLeast_. The log
/// is preferred; a peer's state must be followed by retained entries.
StartChoice chooseStart(const StartSources &Sources);

} // namespace nutmegwell::logclient
