#include "entrysteps.h"
#include <algorithm>
#include <utility>

namespace nutmegwell::site {

namespace {

/// Returns the addresses by which an agent finds the holder.
cell::EntryInfo infoFor(const EntryState &State, core::TimePoint Now) {
  cell::EntryInfo Info;
  Info.Hosts_[State.Settings_.Host_] = State.Settings_.Address_;
  for (const auto &[Host, Other] : State.Peers_)
    if (isFresh(State, Other, Now))
      Info.Hosts_[Host] = Other.Address_;
  Info.Term_ = State.View_.Term_;
  auto Address = State.Hosts_.find(State.View_.Claim_.Host_);
  const bool Here = State.View_.Claim_.Host_ == State.Settings_.Host_;
  // An attempt to connect to a failed holder costs an agent a second.
  if (vacancy(State, Now).empty() && Address != State.Hosts_.end() &&
      (!Here || State.Holder_))
    Info.HolderAddress_ = Address->second;
  return Info;
}

/// Sends the connected agents the address of a new holder, which needs their
/// reports before it can start anything, and the hosts to use when this one
/// fails.
void tellAgents(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  // Changes of the reachable peers are looked for once per heartbeat interval.
  if (State.View_.Term_ == State.LastEntryInfo_.Term_ &&
      Now < State.NextHeartbeatAt_)
    return;
  cell::EntryInfo Info = infoFor(State, Now);
  if (Info.HolderAddress_.empty() ||
      (Info.Term_ == State.LastEntryInfo_.Term_ &&
       Info.Hosts_ == State.LastEntryInfo_.Hosts_))
    return;
  State.LastEntryInfo_ = Info;
  for (const auto &[Host, Link] : State.Agents_)
    Out.Sends_.emplace_back(Link, Info);
}

/// Passes an agent's report to the holder on this host, or else sends the agent
/// the holder's address.
void onAgent(EntryState &State, LinkId Link, const cell::AgentReport &Report,
             core::TimePoint Now, jobs::WallTime Wall, EntryEffects &Out) {
  const bool NewLink = std::exchange(State.Agents_[Report.Host_], Link) != Link;
  if (NewLink || !State.Holder_)
    Out.Sends_.emplace_back(Link, infoFor(State, Now));
  if (State.Holder_) {
    cell::Effects Effects;
    cell::onReport(*State.Holder_, Report, surroundingsOf(State, Now, Wall),
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
  cell::advanceHolder(*State.Holder_, surroundingsOf(State, Now, Wall),
                      Effects);
  Out.WakeAt_ = std::min(Out.WakeAt_, Effects.WakeAt_);
  std::move(Effects.LogEvents_.begin(), Effects.LogEvents_.end(),
            std::back_inserter(Out.LogEvents_));
  for (auto &[Host, Orders] : Effects.Orders_) {
    auto Link = State.Agents_.find(Host);
    if (Link != State.Agents_.end())
      Out.Sends_.emplace_back(Link->second, std::move(Orders));
  }
  Out.ApprovalRequest_ = std::move(Effects.ApprovalRequest_);
  if (!Effects.Append_.empty())
    State.HolderToken_ = append(State, Writer::Holder, Effects.Append_);
}

/// Records this host's address, so that others find it.
void listSelf(EntryState &State) {
  auto It = State.View_.EntryHosts_.find(State.Settings_.Host_);
  const bool Known = It != State.View_.EntryHosts_.end() &&
                     It->second == State.Settings_.Address_;
  if (State.Listed_ || Known || !State.Cell_.Synced_)
    return;
  State.Listed_ = true;
  append(
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

cell::HolderContext surroundingsOf(const EntryState &State, core::TimePoint Now,
                                   jobs::WallTime Wall) {
  static const jobs::ServiceTables NoTables;
  return {State.View_, State.Tables_ ? *State.Tables_ : NoTables,
          State.OutOfServiceDomains_, Now, Wall};
}

void onMessage(EntryState &State, LinkId Link, const cell::PeerMessage &Message,
               core::TimePoint Now, jobs::WallTime Wall, EntryEffects &Out) {
  if (const auto *Beat = std::get_if<cell::EntryHeartbeat>(&Message))
    onBeat(State, Link, *Beat, Now, Out);
  else if (const auto *Relay = std::get_if<cell::RelayedRecords>(&Message))
    onRelay(State, *Relay, Now, Out);
  else if (const auto *Ask =
               std::get_if<cell::ForwardedAppendRequest>(&Message))
    onAsk(Link, *Ask, Out);
  else if (const auto *Answer =
               std::get_if<cell::ForwardedAppendResponse>(&Message))
    onAnswer(State, *Answer, Now, Out);
  else if (const auto *Report = std::get_if<cell::AgentReport>(&Message))
    onAgent(State, Link, *Report, Now, Wall, Out);
}

void onApprovalResponse(EntryState &State,
                        const cell::ApprovalRequest &Question,
                        const absl::StatusOr<cell::ApprovalResponse> &Answer,
                        core::TimePoint Now, jobs::WallTime Wall,
                        EntryEffects &Out) {
  if (!State.Holder_)
    return;
  cell::Effects Effects;
  cell::onApprovalResponse(*State.Holder_, Question, Answer,
                           surroundingsOf(State, Now, Wall), Effects);
  std::move(Effects.LogEvents_.begin(), Effects.LogEvents_.end(),
            std::back_inserter(Out.LogEvents_));
}

void onLinkClosed(EntryState &State, LinkId Link) {
  for (auto It = State.Agents_.begin(); It != State.Agents_.end(); ++It)
    if (It->second == Link) {
      if (State.Holder_)
        cell::onAgentDisconnected(*State.Holder_, It->first);
      State.Agents_.erase(It);
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
  listSelf(State);
  holdElection(State, Now, Wall, Out);
  tellAgents(State, Now, Out);
  runHolder(State, Now, Wall, Out);
  expireCalls(State, Now, Out);
  requestReads(State, Now, Out);
  requestAppends(State, Now, Out);
  sendBeats(State, Now, Out);
}

bool isReady(const EntryState &State) {
  return State.Tables_ && State.Cell_.Synced_ && !State.Stopping_;
}

bool isDrained(const EntryState &State) {
  return State.Stopping_ && State.Released_ && State.Calls_.empty();
}

} // namespace nutmegwell::site
