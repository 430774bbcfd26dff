#include "entrysteps.h"
#include <algorithm>
#include <utility>

namespace nutmegwell::site {

namespace {

/// Returns the addresses by which an agent finds the holder.
cell::EntryInfo makeEntryInfo(const EntryState &State, core::TimePoint Now) {
  cell::EntryInfo Info;
  Info.Hosts_[State.Settings_.Host_] = State.Settings_.Address_;
  for (const auto &[Host, Other] : State.Peers_)
    if (isReachable(State, Other, Now))
      Info.Hosts_[Host] = Other.Address_;
  Info.Term_ = State.View_.Term_;
  auto Address = State.Hosts_.find(State.View_.Claim_.Host_);
  const bool HeldHere = State.View_.Claim_.Host_ == State.Settings_.Host_;
  // An attempt to connect to a failed holder costs an agent a second.
  if (vacancyReason(State, Now).empty() && Address != State.Hosts_.end() &&
      (!HeldHere || State.Holder_))
    Info.HolderAddress_ = Address->second;
  return Info;
}

/// Sends the connected agents the address of a new holder, which needs their
/// reports before it can start anything, and the hosts to use when this one
/// fails.
void sendEntryInfo(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  // Changes of the reachable peers are looked for once per heartbeat interval.
  if (State.View_.Term_ == State.LastEntryInfo_.Term_ &&
      Now < State.NextHeartbeatAt_)
    return;
  cell::EntryInfo Info = makeEntryInfo(State, Now);
  if (Info.HolderAddress_.empty() ||
      (Info.Term_ == State.LastEntryInfo_.Term_ &&
       Info.Hosts_ == State.LastEntryInfo_.Hosts_))
    return;
  State.LastEntryInfo_ = Info;
  for (const auto &[Host, Link] : State.AgentLinks_)
    Out.Sends_.emplace_back(Link, Info);
}

/// Passes an agent's report to the holder on this host, or else sends the agent
/// the holder's address.
void onAgentReport(EntryState &State, LinkId Link,
                   const cell::AgentReport &Report, core::TimePoint Now,
                   jobs::WallTime Wall, EntryEffects &Out) {
  const bool NewLink =
      std::exchange(State.AgentLinks_[Report.Host_], Link) != Link;
  if (NewLink || !State.Holder_)
    Out.Sends_.emplace_back(Link, makeEntryInfo(State, Now));
  if (State.Holder_) {
    cell::Effects Effects;
    cell::onReport(*State.Holder_, Report, holderContext(State, Now, Wall),
                   Effects);
    std::move(Effects.LogEvents_.begin(), Effects.LogEvents_.end(),
              std::back_inserter(Out.LogEvents_));
  }
}

void runHolder(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
               EntryEffects &Out) {
  if (!State.Holder_)
    return;
  cell::Effects Effects;
  cell::advanceHolder(*State.Holder_, holderContext(State, Now, Wall), Effects);
  Out.WakeAt_ = std::min(Out.WakeAt_, Effects.WakeAt_);
  Out.Departures_ = std::move(Effects.Departures_);
  std::move(Effects.LogEvents_.begin(), Effects.LogEvents_.end(),
            std::back_inserter(Out.LogEvents_));
  for (auto &[Host, Orders] : Effects.Orders_) {
    auto Link = State.AgentLinks_.find(Host);
    if (Link != State.AgentLinks_.end())
      Out.Sends_.emplace_back(Link->second, std::move(Orders));
  }
  Out.ApprovalRequest_ = std::move(Effects.ApprovalRequest_);
  if (Effects.SpeedFigures_)
    Out.SpeedFigures_ = Effects.SpeedFigures_;
  if (Effects.AccountUsages_)
    Out.AccountUsages_ = std::move(Effects.AccountUsages_);
  if (!Effects.Append_.empty())
    State.HolderAppendToken_ =
        queueAppend(State, Writer::Holder, Effects.Append_);
}

/// Records this host's address, so that others find it.
void recordOwnAddress(EntryState &State) {
  auto It = State.View_.EntryHosts_.find(State.Settings_.Host_);
  const bool Known = It != State.View_.EntryHosts_.end() &&
                     It->second == State.Settings_.Address_;
  if (State.OwnAddressRecorded_ || Known || !State.CellStream_.Synced_)
    return;
  State.OwnAddressRecorded_ = true;
  queueAppend(
      State, Writer::Own,
      {jobs::EntryHostListed{State.Settings_.Host_, State.Settings_.Address_}});
}

} // namespace

EntryState makeEntryState(EntrySettings Settings, EntryCodec Codec,
                          core::TimePoint Now) {
  EntryState State;
  State.OwnWriter_ = store::makeAppender(
      Settings.Policy_.Append_,
      Settings.Host_ + "-" + std::to_string(Settings.Incarnation_), 0);
  State.Hosts_[Settings.Host_] = Settings.Address_;
  State.Settings_ = std::move(Settings);
  State.Codec_ = std::move(Codec);
  State.StartedAt_ = Now;
  State.LastHolderContactAt_ = Now;
  State.NextHeartbeatAt_ = Now;
  return State;
}

cell::HolderContext holderContext(const EntryState &State, core::TimePoint Now,
                                  jobs::WallTime Wall) {
  static const jobs::ServiceTables NoTables;
  return {State.View_, State.Tables_ ? *State.Tables_ : NoTables,
          State.OutOfServiceDomains_, Now, Wall};
}

void onMessage(EntryState &State, const MessageOrigin &Origin,
               const cell::PeerMessage &Message, core::TimePoint Now,
               jobs::WallTime Wall, EntryEffects &Out) {
  const LinkId Link = Origin.Link_;
  if (const auto *Heartbeat = std::get_if<cell::EntryHeartbeat>(&Message))
    onHeartbeat(State, Link, *Heartbeat, Now, Out);
  else if (const auto *Relayed = std::get_if<cell::RelayedRecords>(&Message))
    onRelayedRecords(State, *Relayed, Origin.ArrivedAt_, Now, Out);
  else if (const auto *Lacked = std::get_if<cell::RecordsRequest>(&Message))
    onRecordsRequest(State, Link, *Lacked, Now, Out);
  else if (const auto *Request =
               std::get_if<cell::ForwardedAppendRequest>(&Message))
    onForwardedAppendRequest(State, Link, *Request, Out);
  else if (const auto *Response =
               std::get_if<cell::ForwardedAppendResponse>(&Message))
    onForwardedAppendResponse(State, *Response, Now, Out);
  else if (const auto *Report = std::get_if<cell::AgentReport>(&Message))
    onAgentReport(State, Link, *Report, Now, Wall, Out);
  else if (const auto *Load = std::get_if<cell::LoadReport>(&Message))
    onLoadReport(State, *Load, Now, Out);
}

void onApprovalResponse(EntryState &State, const cell::ApprovalRequest &Request,
                        const absl::StatusOr<cell::ApprovalResponse> &Response,
                        core::TimePoint Now, jobs::WallTime Wall,
                        EntryEffects &Out) {
  if (!State.Holder_)
    return;
  cell::Effects Effects;
  cell::onApprovalResponse(*State.Holder_, Request, Response,
                           holderContext(State, Now, Wall), Effects);
  std::move(Effects.LogEvents_.begin(), Effects.LogEvents_.end(),
            std::back_inserter(Out.LogEvents_));
}

void onLinkClosed(EntryState &State, LinkId Link) {
  for (auto It = State.AgentLinks_.begin(); It != State.AgentLinks_.end(); ++It)
    if (It->second == Link) {
      if (State.Holder_)
        cell::onAgentDisconnected(*State.Holder_, It->first);
      State.AgentLinks_.erase(It);
      return;
    }
}

void onStopRequested(EntryState &State, EntryEffects &Out) {
  if (State.Stopping_)
    return;
  State.Stopping_ = true;
  Out.LogEvents_.push_back(
      {"stop_asked", {{"calls", std::to_string(State.Calls_.size())}}});
}

void advanceEntry(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                  EntryEffects &Out) {
  recordOwnAddress(State);
  advanceElection(State, Now, Wall, Out);
  sendEntryInfo(State, Now, Out);
  runHolder(State, Now, Wall, Out);
  answerDeniedCalls(State, Now, Wall, Out);
  answerForUnknownJobs(State, Now, Out);
  expireCalls(State, Now, Out);
  requestReads(State, Now, Out);
  requestRelays(State, Now, Out);
  requestAppends(State, Now, Out);
  reportLoad(State, Now, Wall, Out);
  sendHeartbeats(State, Now, Out);
}

bool isReady(const EntryState &State) {
  return State.Tables_ && State.CellStream_.Synced_ && !State.Stopping_;
}

bool isDrained(const EntryState &State) {
  return State.Stopping_ && State.Released_ && State.Calls_.empty() &&
         State.DeniedCalls_.empty();
}

} // namespace nutmegwell::site
