#include "parts.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Beats for which the time of sending is kept; older echoes say too little.
constexpr std::size_t KeptBeats = 32;

cell::EntryBeat makeBeat(const EntryState &State, core::TimePoint Now) {
  cell::EntryBeat Beat;
  Beat.Host_ = State.Settings_.Host_;
  Beat.Address_ = State.Settings_.Address_;
  Beat.Process_ = State.Settings_.Process_;
  Beat.Stopping_ = State.Stopping_;
  Beat.Term_ = State.View_.Term_;
  Beat.IsHolder_ = State.Holder_ && State.Holder_->Term_ == State.View_.Term_;
  Beat.HolderHeardAgo_ = Now - State.HolderHeard_;
  Beat.OperatorNext_ = State.Operator_.Next_;
  Beat.CellNext_ = State.Cell_.Next_;
  Beat.StoreReadAgo_ = Now - State.Cell_.GoodReadSentAt_;
  Beat.Hosts_ = State.Hosts_;
  if (State.Holder_)
    Beat.VoidWorkers_ = cell::voidWorkers(*State.Holder_);
  return Beat;
}

/// Sends the records that a peer has lacked for a whole beat.
void relayTo(const StreamState &Stream, store::Stream Which,
             core::Offset PeerNext, core::Offset NextThen, LinkId Link,
             EntryEffects &Out) {
  if (!Stream.Synced_ || PeerNext >= Stream.Next_ || PeerNext >= NextThen)
    return;
  cell::RelayedRecords Relay;
  Relay.Stream_ = Which;
  Relay.From_ = PeerNext;
  Relay.Next_ = Stream.Next_;
  for (const auto &[Key, Record] : Stream.Newest_)
    if (Record.Offset_ >= PeerNext)
      Relay.Records_.push_back(Record);
  std::sort(Relay.Records_.begin(), Relay.Records_.end(),
            [](const auto &A, const auto &B) { return A.Offset_ < B.Offset_; });
  Out.Decisions_.push_back(
      {"records_to_peer",
       {{"from", std::to_string(PeerNext)},
        {"next", std::to_string(Stream.Next_)},
        {"records", std::to_string(Relay.Records_.size())}}});
  Out.Sends_.emplace_back(Link, std::move(Relay));
}

/// A peer's read of the store confirms the tenure when it was certainly sent
/// after the beat that the peer echoes, less the age that the peer gives.
void confirmThrough(EntryState &State, const Peer &Other) {
  const cell::EntryBeat &Beat = Other.Beat_;
  if (!State.Holder_ || Beat.Term_ != State.Holder_->Term_ ||
      Beat.CellNext_ < State.Holder_->Term_)
    return;
  auto It = Other.SentAt_.find(Beat.Echo_);
  if (It != Other.SentAt_.end())
    cell::onTenureConfirmed(*State.Holder_, It->second - Beat.StoreReadAgo_);
}

void noteHolder(EntryState &State, const cell::EntryBeat &Beat,
                core::TimePoint Now) {
  const jobs::CellClaimed &Claim = State.View_.Claim_;
  if (Beat.IsHolder_ && Beat.Term_ == State.View_.Term_)
    State.HolderHeard_ = Now;
  if (Claim.Held_ && Beat.Host_ == Claim.Host_ &&
      Beat.Process_ != Claim.Process_)
    State.HolderEnded_ = true;
  for (EarlierHolder &Earlier : State.Earlier_)
    if (Earlier.Host_ == Beat.Host_ && Earlier.Process_ != Beat.Process_)
      Earlier.GrantsEnd_ = std::min(Earlier.GrantsEnd_, Now);
  if (Beat.IsHolder_ && Beat.Term_ == State.View_.Term_) {
    if (State.VoidTerm_ != Beat.Term_)
      State.VoidAt_.clear();
    State.VoidTerm_ = Beat.Term_;
    for (const std::string &Host : Beat.VoidWorkers_)
      State.VoidAt_[Host] = Beat.CellNext_;
  }
}

} // namespace

bool isFresh(const EntryState &State, const Peer &Other, core::TimePoint Now) {
  /// Lost beats after which a peer counts as silent.
  constexpr int LostBeats = 4;
  return Other.LastBeat_ != core::TimePoint() &&
         Now - Other.LastBeat_ <
             LostBeats * State.Settings_.Policy_.BeatInterval_;
}

void sendBeats(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  if (Now >= State.NextBeat_) {
    State.NextBeat_ = Now + State.Settings_.Policy_.BeatInterval_;
    std::set<std::string> Addresses(State.Settings_.Seeds_.begin(),
                                    State.Settings_.Seeds_.end());
    std::map<std::string, Peer *> ByAddress;
    for (const auto &[Host, Address] : State.Hosts_)
      Addresses.insert(Address);
    for (auto &[Host, Other] : State.Peers_)
      ByAddress[Other.Address_] = &Other;
    Addresses.erase(State.Settings_.Address_);
    for (const std::string &Address : Addresses) {
      cell::EntryBeat Beat = makeBeat(State, Now);
      auto Known = ByAddress.find(Address);
      if (Known != ByAddress.end()) {
        Peer &Other = *Known->second;
        Beat.Sequence_ = Other.NextSequence_++;
        Beat.Echo_ = Other.Beat_.Sequence_;
        Other.SentAt_[Beat.Sequence_] = Now;
        if (Other.SentAt_.size() > KeptBeats)
          Other.SentAt_.erase(Other.SentAt_.begin());
      }
      Out.SendsTo_.emplace_back(Address, std::move(Beat));
    }
  }
  Out.Wake_ = std::min(Out.Wake_, State.NextBeat_);
}

void onBeat(EntryState &State, LinkId Link, const cell::EntryBeat &Beat,
            core::TimePoint Now, EntryEffects &Out) {
  if (Beat.Host_ == State.Settings_.Host_)
    return;
  Peer &Other = State.Peers_[Beat.Host_];
  if (Other.Process_ != Beat.Process_) {
    Out.Decisions_.push_back({"peer_seen",
                              {{"host", Beat.Host_},
                               {"address", Beat.Address_},
                               {"process", std::to_string(Beat.Process_)}}});
    Other.SentAt_.clear();
  }
  Other.Process_ = Beat.Process_;
  Other.Address_ = Beat.Address_;
  Other.LastBeat_ = Now;
  Other.Beat_ = Beat;
  State.Hosts_[Beat.Host_] = Beat.Address_;
  for (const auto &[Host, Address] : Beat.Hosts_)
    State.Hosts_.emplace(Host, Address);
  noteHolder(State, Beat, Now);
  confirmThrough(State, Other);
  relayTo(State.Operator_, store::Stream::Operator, Beat.OperatorNext_,
          Other.OperatorNextThen_, Link, Out);
  relayTo(State.Cell_, store::Stream::Cell, Beat.CellNext_, Other.CellNextThen_,
          Link, Out);
  Other.OperatorNextThen_ = State.Operator_.Next_;
  Other.CellNextThen_ = State.Cell_.Next_;
}

} // namespace nutmegwell::site
