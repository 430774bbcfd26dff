#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/names.h"
#include "nutmegwell/model/records.h"
#include <optional>
#include <vector>

namespace nutmegwell::logclient {

/// Rules for when to write a snapshot and how large it may be.
struct SnapshotPolicy {
  /// A snapshot is due after this many entries. A starting entry host must read
  /// all entries after the last snapshot: about 200 reads of 256 entries.
  std::uint64_t MaxEntries_ = 50000;
  /// Below this many bytes after the last snapshot, none is due because of
  /// size.
  std::uint64_t MinBytes_ = 1 << 20;
  /// Maximum encoded size of a snapshot in bytes.
  std::size_t MaxSnapshot_ = 32 << 20;
  /// A snapshot is due when the bytes after the last one exceed its size by
  /// this factor. With 4, snapshots add at most a quarter to the other bytes of
  /// the log.
  std::uint64_t MaxGrowthFactor_ = 4;
};

/// An entry host's view of the log and its snapshots.
struct SnapshotView {
  /// Oldest retained offset, as of the last read.
  core::Offset First_ = 0;
  /// First offset that this host's control state has not applied.
  core::Offset Next_ = 0;
  /// First offset that the last snapshot does not cover; 0 without one.
  core::Offset Covered_ = 0;
  /// Bytes of the entries from Covered_ on.
  std::uint64_t BytesSince_ = 0;
  /// Size of the last snapshot; 0 when this host does not know it.
  std::uint64_t SnapshotBytes_ = 0;
  /// True while a snapshot of this host is not yet appended and read back.
  bool Pending_ = false;
  /// Rank of this host among the live entry hosts, from 0. Hosts of a higher
  /// rank wait longer, so that usually only one host writes the snapshot.
  unsigned Rank_ = 0;
};

/// Returns true when a snapshot is due: when too many entries or bytes follow
/// the last one, or before retention removes entries that are needed to
/// continue from the last one.
bool snapshotDue(const SnapshotPolicy &Policy, const SnapshotView &View);

/// Returns the snapshot of \p State. Returns ResourceExhausted when it is
/// larger than the policy allows, and FailedPrecondition when no entry was
/// applied yet.
absl::StatusOr<model::SnapshotTaken>
makeSnapshot(const SnapshotPolicy &Policy, const model::ControlState &State);

/// Position of the control state that a peer entry host offers.
struct PeerState {
  model::NodeName Peer_;
  /// First offset that the peer has not applied.
  core::Offset Next_ = 0;
};

/// States that a starting entry host can choose from.
struct StartSources {
  /// True when the log could be read to its end.
  bool LogReadable_ = false;
  /// Oldest retained offset, when the log could be read.
  core::Offset First_ = 0;
  /// First offset after the log's snapshot and the entries that follow it;
  /// empty without a usable snapshot.
  std::optional<core::Offset> LogNextOffset_;
  std::vector<PeerState> Peers_;
  /// Highest offset that this host or a peer has announced as its next one.
  core::Offset AtLeast_ = 0;
};

enum class StartKind : std::uint8_t {
  /// No state is new enough; retry later.
  Wait,
  Log,
  Peer
};

struct StartChoice {
  StartKind Kind_ = StartKind::Wait;
  /// The peer to start from if Kind_ is Peer.
  model::NodeName Peer_;
};

/// Chooses the state to start from, never one that is older than
/// Sources.AtLeast_. The log is preferred. If the log can be read, a peer's
/// state is chosen only when all entries after it are retained.
StartChoice chooseStart(const StartSources &Sources);

} // namespace nutmegwell::logclient
