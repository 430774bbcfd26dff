// How recent this host's tables and its view of the jobs are, for answers that
// a queue, a key or a job does not exist.

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

core::TimePoint tablesCompleteAsOf(const EntryState &State) {
  core::TimePoint AsOf = State.OperatorStream_.LastFullReadSentAt_;
  // A heartbeat states the age of the reads of the cell's stream. A peer reads
  // both streams from the same store.
  for (const auto &[Host, Other] : State.Peers_)
    if (Other.Heartbeat_.OperatorNextOffset_ <=
        State.OperatorStream_.NextOffset_)
      AsOf = std::max(AsOf, readByPeer(Other));
  return AsOf;
}

bool needsRead(const EntryState &State, store::Stream Which,
               core::TimePoint SentAt) {
  if (Which == store::Stream::Operator)
    return !State.DeniedCalls_.empty();
  return std::any_of(
      State.Calls_.begin(), State.Calls_.end(), [&](const auto &Row) {
        return waitsForView(Row.second) && Row.second.ArrivedAt_ > SentAt;
      });
}

bool callersWaitFor(const EntryState &State, store::Stream Which) {
  if (Which == store::Stream::Operator)
    return !State.DeniedCalls_.empty();
  return std::any_of(State.Calls_.begin(), State.Calls_.end(),
                     [](const auto &Row) { return waitsForView(Row.second); });
}

} // namespace nutmegwell::site
