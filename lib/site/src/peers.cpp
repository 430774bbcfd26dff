#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Number of heartbeats whose send time is kept. An acknowledgement of an older
/// one is too old to confirm a tenure.
constexpr std::size_t KeptHeartbeats = 32;

cell::EntryHeartbeat makeHeartbeat(const EntryState &State,
                                   core::TimePoint Now) {
  cell::EntryHeartbeat Heartbeat;
  Heartbeat.Host_ = State.Settings_.Host_;
  Heartbeat.Address_ = State.Settings_.Address_;
  Heartbeat.Incarnation_ = State.Settings_.Incarnation_;
  Heartbeat.Stopping_ = State.Stopping_;
  Heartbeat.Term_ = State.View_.Term_;
  Heartbeat.IsHolder_ =
      State.Holder_ && State.Holder_->Term_ == State.View_.Term_;
  Heartbeat.HolderContactAge_ = Now - State.LastHolderContactAt_;
  Heartbeat.OperatorNextOffset_ = State.OperatorStream_.NextOffset_;
  Heartbeat.CellNextOffset_ = State.CellStream_.NextOffset_;
  Heartbeat.StoreReadAge_ = Now - State.CellStream_.LastFullReadSentAt_;
  // Peers do not choose a host whose latest read has failed.
  if (State.CellStream_.ReadsFailing_)
    Heartbeat.StoreReadAge_ =
        std::max(Heartbeat.StoreReadAge_, State.Settings_.Policy_.ReadTimeout_);
  if (State.Holder_)
    Heartbeat.EmptyWorkers_ = cell::emptyWorkers(*State.Holder_);
  return Heartbeat;
}

/// Returns true when a heartbeat is to contain the known hosts: the first ones
/// to a peer, those after a change, and a few others in case all of these were
/// lost.
bool carriesHosts(const EntryState &State,
                  const cell::EntryHeartbeat &Heartbeat, core::TimePoint Now) {
  constexpr int RepeatsAfterChange = 4;
  constexpr std::uint64_t FirstHeartbeats = 4;
  constexpr std::uint64_t Every = 16;
  return Heartbeat.Sequence_ <= FirstHeartbeats ||
         Heartbeat.Sequence_ % Every == 0 ||
         Now - State.HostsChangedAt_ <
             RepeatsAfterChange * State.Settings_.Policy_.HeartbeatInterval_;
}

/// Confirms this host's tenure by a peer's read of the store. The read was not
/// sent before the heartbeat that the peer acknowledges, less the age of the
/// read that the peer states.
void confirmTenureThrough(EntryState &State, const Peer &Other) {
  const cell::EntryHeartbeat &Heartbeat = Other.Heartbeat_;
  if (!State.Holder_ || Heartbeat.Term_ != State.Holder_->Term_ ||
      Heartbeat.CellNextOffset_ < State.Holder_->Term_)
    return;
  auto It = Other.HeartbeatSentAt_.find(Heartbeat.AcknowledgedSequence_);
  if (It != Other.HeartbeatSentAt_.end())
    cell::onTenureConfirmed(*State.Holder_,
                            It->second - Heartbeat.StoreReadAge_);
}

void updateHolder(EntryState &State, const cell::EntryHeartbeat &Heartbeat,
                  core::TimePoint Now) {
  const jobs::CellClaimed &Claim = State.View_.Claim_;
  if (Heartbeat.IsHolder_ && Heartbeat.Term_ == State.View_.Term_)
    State.LastHolderContactAt_ = Now;
  if (Claim.Held_ && Heartbeat.Host_ == Claim.Host_ &&
      Heartbeat.Incarnation_ != Claim.HolderIncarnation_)
    State.HolderEnded_ = true;
  for (EarlierHolder &Earlier : State.EarlierHolders_)
    if (Earlier.Host_ == Heartbeat.Host_ &&
        Earlier.Incarnation_ != Heartbeat.Incarnation_)
      Earlier.GrantsEnd_ = std::min(Earlier.GrantsEnd_, Now);
  if (Heartbeat.IsHolder_ && Heartbeat.Term_ == State.View_.Term_) {
    if (State.EmptyWorkersTerm_ != Heartbeat.Term_)
      State.EmptyWorkersAt_.clear();
    State.EmptyWorkersTerm_ = Heartbeat.Term_;
    for (const std::string &Host : Heartbeat.EmptyWorkers_)
      State.EmptyWorkersAt_[Host] = Heartbeat.CellNextOffset_;
  }
}

/// Shows a peer that the link on which it sends its heartbeats works. Every
/// version ignores an EntryInfo from another entry host.
void answerHeartbeat(const EntryState &State, Peer &Other, LinkId Link,
                     core::TimePoint Now, EntryEffects &Out) {
  const core::Duration Interval =
      State.Settings_.Policy_.HeartbeatAnswerInterval_;
  if (Other.AnsweredLink_ == Link && Now - Other.AnsweredAt_ < Interval)
    return;
  Other.AnsweredLink_ = Link;
  Other.AnsweredAt_ = Now;
  Out.Sends_.emplace_back(Link, cell::EntryInfo());
}

} // namespace

bool isReachable(const EntryState &State, const Peer &Other,
                 core::TimePoint Now) {
  /// Missed heartbeats after which a peer counts as unreachable.
  constexpr int MissedHeartbeats = 4;
  return Other.LastHeartbeatAt_ != core::TimePoint() &&
         Now - Other.LastHeartbeatAt_ <
             MissedHeartbeats * State.Settings_.Policy_.HeartbeatInterval_;
}

void sendHeartbeats(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
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
      cell::EntryHeartbeat Heartbeat = makeHeartbeat(State, Now);
      auto Known = ByAddress.find(Address);
      if (Known != ByAddress.end()) {
        Peer &Other = *Known->second;
        Heartbeat.Sequence_ = Other.NextSequence_++;
        Heartbeat.AcknowledgedSequence_ = Other.Heartbeat_.Sequence_;
        Other.HeartbeatSentAt_[Heartbeat.Sequence_] = Now;
        if (Other.HeartbeatSentAt_.size() > KeptHeartbeats)
          Other.HeartbeatSentAt_.erase(Other.HeartbeatSentAt_.begin());
      }
      if (carriesHosts(State, Heartbeat, Now))
        Heartbeat.Hosts_ = State.Hosts_;
      Out.SendsTo_.emplace_back(Address, std::move(Heartbeat));
    }
  }
  Out.WakeAt_ = std::min(Out.WakeAt_, State.NextHeartbeatAt_);
}

void learnHost(EntryState &State, const std::string &Host,
               const std::string &Address, core::TimePoint Now) {
  std::string &Known = State.Hosts_[Host];
  if (Known == Address)
    return;
  Known = Address;
  State.HostsChangedAt_ = Now;
}

void onHeartbeat(EntryState &State, LinkId Link,
                 const cell::EntryHeartbeat &Heartbeat, core::TimePoint Now,
                 EntryEffects &Out) {
  if (Heartbeat.Host_ == State.Settings_.Host_)
    return;
  Peer &Other = State.Peers_[Heartbeat.Host_];
  if (Other.Incarnation_ != Heartbeat.Incarnation_) {
    Out.LogEvents_.push_back(
        {"peer_seen",
         {{"host", Heartbeat.Host_},
          {"address", Heartbeat.Address_},
          {"process", std::to_string(Heartbeat.Incarnation_)}}});
    Other.HeartbeatSentAt_.clear();
  }
  Other.Incarnation_ = Heartbeat.Incarnation_;
  Other.Address_ = Heartbeat.Address_;
  Other.LastHeartbeatAt_ = Now;
  Other.Heartbeat_ = Heartbeat;
  learnHost(State, Heartbeat.Host_, Heartbeat.Address_, Now);
  for (const auto &[Host, Address] : Heartbeat.Hosts_)
    if (!State.Hosts_.count(Host))
      learnHost(State, Host, Address, Now);
  updateHolder(State, Heartbeat, Now);
  confirmTenureThrough(State, Other);
  notePeerOffsets(State, Heartbeat, Now);
  answerHeartbeat(State, Other, Link, Now, Out);
}

} // namespace nutmegwell::site
