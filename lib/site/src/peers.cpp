#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Number of heartbeats whose send time is kept. An acknowledgement of an older
/// one is too old to confirm a tenure.
constexpr std::size_t KeptBeats = 32;

cell::EntryHeartbeat makeBeat(const EntryState &State, core::TimePoint Now) {
  cell::EntryHeartbeat Beat;
  Beat.Host_ = State.Settings_.Host_;
  Beat.Address_ = State.Settings_.Address_;
  Beat.Incarnation_ = State.Settings_.Incarnation_;
  Beat.Stopping_ = State.Stopping_;
  Beat.Term_ = State.View_.Term_;
  Beat.IsHolder_ = State.Holder_ && State.Holder_->Term_ == State.View_.Term_;
  Beat.HolderContactAge_ = Now - State.LastHolderContactAt_;
  Beat.OperatorNextOffset_ = State.Operator_.NextOffset_;
  Beat.CellNextOffset_ = State.Cell_.NextOffset_;
  Beat.StoreReadAge_ = Now - State.Cell_.LastFullReadSentAt_;
  Beat.Hosts_ = State.Hosts_;
  if (State.Holder_)
    Beat.EmptyWorkers_ = cell::emptyWorkers(*State.Holder_);
  return Beat;
}

/// Sends the records that a peer has lacked for a whole heartbeat interval.
void relayTo(const StreamState &Stream, store::Stream Which,
             core::Offset PeerNext, core::Offset NextThen, LinkId Link,
             EntryEffects &Out) {
  if (!Stream.Synced_ || PeerNext >= Stream.NextOffset_ || PeerNext >= NextThen)
    return;
  cell::RelayedRecords Relay;
  Relay.Stream_ = Which;
  Relay.From_ = PeerNext;
  Relay.NextOffset_ = Stream.NextOffset_;
  for (const auto &[Key, Record] : Stream.Newest_)
    if (Record.Offset_ >= PeerNext)
      Relay.Records_.push_back(Record);
  std::sort(Relay.Records_.begin(), Relay.Records_.end(),
            [](const auto &A, const auto &B) { return A.Offset_ < B.Offset_; });
  Out.LogEvents_.push_back(
      {"records_to_peer",
       {{"from", std::to_string(PeerNext)},
        {"next", std::to_string(Stream.NextOffset_)},
        {"records", std::to_string(Relay.Records_.size())}}});
  Out.Sends_.emplace_back(Link, std::move(Relay));
}

/// Confirms this host's tenure by a peer's read of the store. The read was not
/// sent before the heartbeat that the peer acknowledges, less the age of the
/// read that the peer states.
void confirmThrough(EntryState &State, const Peer &Other) {
  const cell::EntryHeartbeat &Beat = Other.Heartbeat_;
  if (!State.Holder_ || Beat.Term_ != State.Holder_->Term_ ||
      Beat.CellNextOffset_ < State.Holder_->Term_)
    return;
  auto It = Other.SentAt_.find(Beat.AcknowledgedSequence_);
  if (It != Other.SentAt_.end())
    cell::onTenureConfirmed(*State.Holder_, It->second - Beat.StoreReadAge_);
}

void noteHolder(EntryState &State, const cell::EntryHeartbeat &Beat,
                core::TimePoint Now) {
  const jobs::CellClaimed &Claim = State.View_.Claim_;
  if (Beat.IsHolder_ && Beat.Term_ == State.View_.Term_)
    State.LastHolderContactAt_ = Now;
  if (Claim.Held_ && Beat.Host_ == Claim.Host_ &&
      Beat.Incarnation_ != Claim.HolderIncarnation_)
    State.HolderEnded_ = true;
  for (EarlierHolder &Earlier : State.EarlierHolders_)
    if (Earlier.Host_ == Beat.Host_ &&
        Earlier.Incarnation_ != Beat.Incarnation_)
      Earlier.GrantsEnd_ = std::min(Earlier.GrantsEnd_, Now);
  if (Beat.IsHolder_ && Beat.Term_ == State.View_.Term_) {
    if (State.EmptyWorkersTerm_ != Beat.Term_)
      State.EmptyWorkersAt_.clear();
    State.EmptyWorkersTerm_ = Beat.Term_;
    for (const std::string &Host : Beat.EmptyWorkers_)
      State.EmptyWorkersAt_[Host] = Beat.CellNextOffset_;
  }
}

} // namespace

bool isFresh(const EntryState &State, const Peer &Other, core::TimePoint Now) {
  /// Missed heartbeats after which a peer counts as unreachable.
  constexpr int LostBeats = 4;
  return Other.LastHeartbeatAt_ != core::TimePoint() &&
         Now - Other.LastHeartbeatAt_ <
             LostBeats * State.Settings_.Policy_.HeartbeatInterval_;
}

void sendBeats(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  if (Now >= State.NextHeartbeatAt_) {
    State.NextHeartbeatAt_ = Now + State.Settings_.Policy_.HeartbeatInterval_;
    std::set<std::string> Addresses(State.Settings_.Seeds_.begin(),
                                    State.Settings_.Seeds_.end());
    std::map<std::string, Peer *> ByAddress;
    for (const auto &[Host, Address] : State.Hosts_)
      Addresses.insert(Address);
    for (auto &[Host, Other] : State.Peers_)
      ByAddress[Other.Address_] = &Other;
    Addresses.erase(State.Settings_.Address_);
    for (const std::string &Address : Addresses) {
      cell::EntryHeartbeat Beat = makeBeat(State, Now);
      auto Known = ByAddress.find(Address);
      if (Known != ByAddress.end()) {
        Peer &Other = *Known->second;
        Beat.Sequence_ = Other.NextSequence_++;
        Beat.AcknowledgedSequence_ = Other.Heartbeat_.Sequence_;
        Other.SentAt_[Beat.Sequence_] = Now;
        if (Other.SentAt_.size() > KeptBeats)
          Other.SentAt_.erase(Other.SentAt_.begin());
      }
      Out.SendsTo_.emplace_back(Address, std::move(Beat));
    }
  }
  Out.WakeAt_ = std::min(Out.WakeAt_, State.NextHeartbeatAt_);
}

void onBeat(EntryState &State, LinkId Link, const cell::EntryHeartbeat &Beat,
            core::TimePoint Now, EntryEffects &Out) {
  if (Beat.Host_ == State.Settings_.Host_)
    return;
  Peer &Other = State.Peers_[Beat.Host_];
  if (Other.Incarnation_ != Beat.Incarnation_) {
    Out.LogEvents_.push_back(
        {"peer_seen",
         {{"host", Beat.Host_},
          {"address", Beat.Address_},
          {"process", std::to_string(Beat.Incarnation_)}}});
    Other.SentAt_.clear();
  }
  Other.Incarnation_ = Beat.Incarnation_;
  Other.Address_ = Beat.Address_;
  Other.LastHeartbeatAt_ = Now;
  Other.Heartbeat_ = Beat;
  State.Hosts_[Beat.Host_] = Beat.Address_;
  for (const auto &[Host, Address] : Beat.Hosts_)
    State.Hosts_.emplace(Host, Address);
  noteHolder(State, Beat, Now);
  confirmThrough(State, Other);
  relayTo(State.Operator_, store::Stream::Operator, Beat.OperatorNextOffset_,
          Other.OperatorOffsetAtHeartbeat_, Link, Out);
  relayTo(State.Cell_, store::Stream::Cell, Beat.CellNextOffset_,
          Other.CellOffsetAtHeartbeat_, Link, Out);
  Other.OperatorOffsetAtHeartbeat_ = State.Operator_.NextOffset_;
  Other.CellOffsetAtHeartbeat_ = State.Cell_.NextOffset_;
}

} // namespace nutmegwell::site
