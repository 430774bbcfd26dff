// How recent this host's view of the jobs is, for answers that a job does not
// exist.

#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Returns a time as of which \p Other had read all records. It is the send
/// time of the heartbeat that the peer acknowledges, before which the peer's
/// own was not sent, less the age of the read that the peer states.
core::TimePoint readByPeer(const Peer &Other) {
  auto It = Other.HeartbeatSentAt_.find(Other.Heartbeat_.AcknowledgedSequence_);
  return It != Other.HeartbeatSentAt_.end()
             ? It->second - Other.Heartbeat_.StoreReadAge_
             : core::TimePoint();
}

bool waitsForView(const WaitingCall &Call) { return Call.AppendToken_ == 0; }

} // namespace

core::TimePoint viewCompleteAsOf(const EntryState &State) {
  core::TimePoint AsOf = State.CellStream_.LastFullReadSentAt_;
  for (const auto &[Host, Other] : State.Peers_)
    if (Other.Heartbeat_.CellNextOffset_ <= State.CellStream_.NextOffset_)
      AsOf = std::max(AsOf, readByPeer(Other));
  return AsOf;
}

bool needsRead(const EntryState &State, core::TimePoint SentAt) {
  return std::any_of(
      State.Calls_.begin(), State.Calls_.end(), [&](const auto &Row) {
        return waitsForView(Row.second) && Row.second.ArrivedAt_ > SentAt;
      });
}

bool waitsForView(const EntryState &State) {
  return std::any_of(State.Calls_.begin(), State.Calls_.end(),
                     [](const auto &Row) { return waitsForView(Row.second); });
}

} // namespace nutmegwell::site
