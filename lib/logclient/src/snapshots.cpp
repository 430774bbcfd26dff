#include "nutmegwell/logclient/snapshots.h"

#include "nutmegwell/wire/binary.h"
#include <algorithm>

namespace nutmegwell::logclient {

bool snapshotDue(const SnapshotPolicy &Policy, const SnapshotView &View) {
  // Each rank raises the limits by a quarter, up to rank 8.
  constexpr std::uint64_t Quarters = 4;
  constexpr std::uint64_t MaxRank = 8;
  const std::uint64_t Factor =
      Quarters + std::min<std::uint64_t>(View.Rank_, MaxRank);
  if (View.Pending_ || View.Next_ <= View.Covered_)
    return false;
  const std::uint64_t Entries = View.Next_ - View.Covered_;
  const std::uint64_t MaxBytes =
      std::max(Policy.MinBytes_, Policy.MaxGrowthFactor_ * View.SnapshotBytes_);
  if (Entries * Quarters >= Policy.MaxEntries_ * Factor ||
      View.BytesSince_ * Quarters >= MaxBytes * Factor)
    return true;
  if (View.First_ == 0 || View.Next_ <= View.First_)
    return false;
  // Retention has begun to remove entries. The last snapshot must stay in the
  // newer half of the retained entries, so that it is not removed while the
  // append of the next one is slow.
  const std::uint64_t Retained = View.Next_ - View.First_;
  return Entries * Quarters * 2 >=
         Retained * std::min(Factor, Quarters * 2 - 1);
}

absl::StatusOr<model::SnapshotTaken>
makeSnapshot(const SnapshotPolicy &Policy, const model::ControlState &State) {
  if (State.NextOffset_ == 0)
    return core::makeError(absl::StatusCode::kFailedPrecondition, "snapshot",
                           "",
                           "the control state has not applied any entry yet");
  model::SnapshotTaken Snapshot{State.NextOffset_ - 1, wire::encode(State)};
  if (Snapshot.State_.size() > Policy.MaxSnapshot_)
    return core::makeError(
        absl::StatusCode::kResourceExhausted, "snapshot", "",
        "the encoded state has " + std::to_string(Snapshot.State_.size()) +
            " bytes; the limit is " + std::to_string(Policy.MaxSnapshot_));
  return Snapshot;
}

StartChoice chooseStart(const StartSources &Sources) {
  if (Sources.LogReadable_ && Sources.LogNextOffset_ &&
      *Sources.LogNextOffset_ >= Sources.AtLeast_)
    return {StartKind::Log, {}};
  const core::Offset Least = Sources.LogReadable_
                                 ? std::max(Sources.First_, Sources.AtLeast_)
                                 : Sources.AtLeast_;
  const PeerState *Best = nullptr;
  for (const PeerState &Peer : Sources.Peers_)
    if (Peer.Next_ >= Least && (!Best || Peer.Next_ > Best->Next_))
      Best = &Peer;
  if (!Best)
    return {};
  return {StartKind::Peer, Best->Peer_};
}

} // namespace nutmegwell::logclient
