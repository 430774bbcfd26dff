#include "nutmegwell/entry/control.h"

#include "controlsteps.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace nutmegwell::entry {

namespace {

/// True for record types with a Job_ member.
template <typename Body, typename = void> struct IsOfJob : std::false_type {};
template <typename Body>
struct IsOfJob<Body, std::void_t<decltype(Body::Job_)>> : std::true_type {};

/// Handles the result of a record that this host appended.
void settle(EntryState &State, const model::FoldResult &Result,
            core::TimePoint Now, Effects &Out) {
  auto Known = State.PendingRecords_.find(Result.Id_);
  if (Known == State.PendingRecords_.end())
    return;
  PendingRecord Purpose = Known->second;
  State.PendingRecords_.erase(Known);
  if (Purpose.CommandId_ != 0)
    Out.Replies_.push_back(
        {Purpose.CommandId_,
         Result.Accepted_ ? CommandOutcome::Applied : CommandOutcome::Refused,
         Result.Code_,
         Result.Reason_,
         {}});
  if (!Purpose.Domain_.empty())
    onCellRecord(State, Purpose, Result, Now, Out);
  if (Purpose.Job_.valid())
    onGangRecord(State, Purpose, Result, Now, Out);
}

/// Handles as rejected each pending record for which \p Lost returns true.
template <typename Predicate>
void settleLost(EntryState &State, core::TimePoint Now, Effects &Out,
                Predicate Lost) {
  std::vector<core::RecordId> Ids;
  for (const auto &[Id, Purpose] : State.PendingRecords_)
    if (Lost(Id, Purpose))
      Ids.push_back(Id);
  for (const core::RecordId &Id : Ids)
    settle(State,
           {Id, false, "log_unavailable", "the record did not reach the log"},
           Now, Out);
}

/// Updates the indexes and per-job values that this host keeps beside the
/// control state.
void noteJob(EntryState &State, const core::JobId &Id, core::TimePoint Now) {
  auto Place = State.ControlState_.Jobs_.find(Id);
  const model::Job *Known =
      Place == State.ControlState_.Jobs_.end() ? nullptr : &Place->second;
  for (auto &[Domain, Jobs] : State.Attempts_)
    Jobs.erase(Id);
  if (Known && model::isRunning(Known->State_))
    State.Attempts_[Known->Domain_].insert(Id);
  if (Known && Known->State_ == model::JobState::Waiting) {
    State.WaitingSince_.emplace(Id, Now);
  } else if (auto Began = State.WaitingSince_.find(Id);
             Began != State.WaitingSince_.end()) {
    State.EarlierWaits_[Id] += Now - Began->second;
    State.WaitingSince_.erase(Began);
  }
  if (Known && !model::isFinal(Known->State_))
    return;
  State.EarlierWaits_.erase(Id);
  State.MigratedFrom_.erase(Id);
  State.WaitReasons_.erase(Id);
  State.LastAttempt_.erase(Id);
  State.AttainedService_.erase(Id);
}

/// Updates them for all jobs, including jobs that are no longer in the control
/// state.
void noteJobs(EntryState &State, core::TimePoint Now) {
  std::set<core::JobId> Ids;
  auto AddFrom = [&Ids](const auto &Map) {
    for (const auto &[Id, Value] : Map)
      Ids.insert(Id);
  };
  AddFrom(State.ControlState_.Jobs_);
  AddFrom(State.WaitingSince_);
  AddFrom(State.EarlierWaits_);
  AddFrom(State.MigratedFrom_);
  AddFrom(State.WaitReasons_);
  AddFrom(State.LastAttempt_);
  AddFrom(State.AttainedService_);
  State.Attempts_.clear();
  for (const core::JobId &Id : Ids)
    noteJob(State, Id, Now);
}

/// Marks what the next tick has to check after a record. Renewals, intents and
/// snapshots affect neither decisions nor routing.
void markChanged(EntryState &State, const model::RecordBody &Body,
                 core::TimePoint Now, Effects &Out) {
  std::visit(
      [&](const auto &Change) {
        using Kind = std::decay_t<decltype(Change)>;
        constexpr bool IsDomain = std::is_same_v<Kind, model::DomainChanged>;
        constexpr bool IsPools = std::is_same_v<Kind, model::PoolsPublished>;
        constexpr bool IsRoutes = std::is_same_v<Kind, model::RoutesPublished>;
        if constexpr (IsOfJob<Kind>::value) {
          State.ChangedJobs_.insert(Change.Job_);
          noteJob(State, Change.Job_, Now);
        }
        State.CheckAllGangs_ |= IsDomain;
        State.ScheduleNeeded_ |= IsDomain || IsPools || IsOfJob<Kind>::value;
        Out.RoutingChanged_ |= IsDomain || IsPools || IsRoutes;
      },
      Body);
}

void onLogEntry(EntryState &State, const LogEntry &What, core::TimePoint Now,
                Effects &Out) {
  if (What.At_ < State.ControlState_.NextOffset_)
    return;
  for (const model::Record &Change : What.Records_) {
    model::FoldResult Result =
        model::applyRecord(State.ControlState_, Change, What.At_);
    if (Result.Id_.Writer_ != State.Settings_.Incarnation_)
      continue;
    // Records of one writer apply in order: those with a lower sequence number
    // that have not been read by now would be rejected.
    settleLost(State, Now, Out, [&Result](const core::RecordId &Id, auto &) {
      return Id < Result.Id_;
    });
    settle(State, Result, Now, Out);
  }
  State.ControlState_.NextOffset_ = What.At_ + 1;
  noteCells(State, Now);
  for (const model::Record &Change : What.Records_)
    markChanged(State, Change.Body_, Now, Out);
}

void onLogReplaced(EntryState &State, const StateInstalled &What,
                   core::TimePoint Now, Effects &Out) {
  if (What.State_.NextOffset_ < State.ControlState_.NextOffset_)
    return;
  State.ControlState_ = What.State_;
  auto Mine =
      State.ControlState_.LastSequences_.find(State.Settings_.Incarnation_);
  std::uint64_t Applied =
      Mine == State.ControlState_.LastSequences_.end() ? 0 : Mine->second;
  for (auto Place = State.PendingRecords_.begin();
       Place != State.PendingRecords_.end();) {
    if (Place->first.Sequence_ > Applied) {
      ++Place;
      continue;
    }
    // The snapshot includes the effect of the record, if it was accepted, but
    // not whether it was.
    if (Place->second.CommandId_ != 0)
      Out.Replies_.push_back({Place->second.CommandId_,
                              CommandOutcome::Unknown,
                              "verdict_lost",
                              "the log reader restarted from a snapshot, so "
                              "the result is not known",
                              {}});
    Place = State.PendingRecords_.erase(Place);
  }
  for (auto &[Domain, Tracker] : State.CellTrackers_)
    Tracker.Pending_ = false;
  State.Gangs_.clear();
  noteCells(State, Now);
  noteJobs(State, Now);
  State.ScheduleNeeded_ = true;
  Out.RoutingChanged_ = true;
}

void setLogAvailable(EntryState &State, bool Available, core::TimePoint Now,
                     Effects &Out) {
  if (!Available)
    State.UnavailableSince_ = Now;
  if (State.LogAvailable_ == Available)
    return;
  State.LogAvailable_ = Available;
  State.ScheduleNeeded_ = true;
  State.CheckAllGangs_ = true;
  Out.RoutingChanged_ = true;
  Out.LogEvents_.push_back(
      {"log_availability", {{"available", Available ? "true" : "false"}}});
}

void onAppendFailed(EntryState &State, const AppendFailed &What,
                    core::TimePoint Now, Effects &Out) {
  setLogAvailable(State, false, Now, Out);
  auto Known = State.PendingRecords_.find(What.Id_);
  if (Known == State.PendingRecords_.end())
    return;
  if (Known->second.CommandId_ != 0) {
    Out.Replies_.push_back({Known->second.CommandId_,
                            What.OutcomeUnknown_ ? CommandOutcome::Unknown
                                                 : CommandOutcome::Refused,
                            "log_unavailable",
                            "the log does not accept appends",
                            {}});
    Known->second.CommandId_ = 0;
  }
  // A record whose append has an unknown result stays pending: it may still be
  // read from the log.
  if (What.OutcomeUnknown_) {
    Known->second.UncertainSince_ = Now;
    return;
  }
  model::FoldResult Result;
  Result.Id_ = What.Id_;
  Result.Code_ = "log_unavailable";
  settle(State, Result, Now, Out);
}

void onLogTail(EntryState &State, const LogTailReached &What,
               core::TimePoint Now, Effects &Out) {
  State.LastTailReadAt_ = std::max(State.LastTailReadAt_, What.ReadAt_);
  const core::TimePoint Settled =
      What.ReadAt_ - State.Settings_.UncertainAppendTimeout_;
  settleLost(State, Now, Out, [Settled](const auto &, const auto &Purpose) {
    return Purpose.UncertainSince_ != core::TimePoint{} &&
           Purpose.UncertainSince_ <= Settled;
  });
  // A host that appends nothing would never notice that the log is available
  // again, so a read that reaches the tail some time after the failure counts
  // as proof.
  constexpr auto RetryAfter = std::chrono::seconds(1);
  if (!State.LogAvailable_ &&
      What.ReadAt_ - State.UnavailableSince_ >= RetryAfter)
    setLogAvailable(State, true, Now, Out);
}

void sendEntryHeartbeats(EntryState &State, core::TimePoint Now, Effects &Out) {
  if (Now - State.LastHeartbeatSentAt_ < State.Settings_.HeartbeatInterval_)
    return;
  State.LastHeartbeatSentAt_ = Now;
  model::EntryHeartbeat Beat{State.Settings_.Node_,
                             State.Settings_.Incarnation_,
                             State.ControlState_.NextOffset_, State.Stopping_};
  for (const std::string &To : State.Settings_.EntryAddresses_)
    Out.Sends_.push_back({To, Beat});
}

void advancePeers(EntryState &State, core::TimePoint Now) {
  for (auto Place = State.Peers_.begin(); Place != State.Peers_.end();) {
    bool Lapsed =
        Now - Place->second.LastHeartbeatAt_ >= State.Settings_.PeerTimeout_;
    Place = Lapsed ? State.Peers_.erase(Place) : std::next(Place);
  }
}

/// Excludes a pause of this process from the ages of heartbeats: heartbeats
/// that were not received during the pause say nothing about the senders.
void notePause(EntryState &State, core::TimePoint Now) {
  const core::Duration Gap = Now - State.LastTickAt_;
  if (State.LastTickAt_ != core::TimePoint{} &&
      Gap >= State.Settings_.PauseAfter_) {
    for (auto &[Name, Known] : State.Membership_.Nodes_)
      Known.LastHeartbeatAt_ = std::min(Now, Known.LastHeartbeatAt_ + Gap);
    for (auto &[Name, Peer] : State.Peers_)
      Peer.LastHeartbeatAt_ = std::min(Now, Peer.LastHeartbeatAt_ + Gap);
  }
  State.LastTickAt_ = Now;
}

void onTick(EntryState &State, core::TimePoint Now, Effects &Out) {
  notePause(State, Now);
  noteNodeChanges(State,
                  membership::updateNodeStates(State.Membership_, Now,
                                               State.Settings_.Membership_),
                  Out);
  advancePeers(State, Now);
  sendEntryHeartbeats(State, Now, Out);
  advanceCells(State, Now, Out);
  Out.RoutingChanged_ |= std::exchange(State.LoadsChanged_, false);
  advanceGangs(State, Now, Out);
  schedule(State, Now, Out);
}

void onStop(EntryState &State, core::TimePoint Now, Effects &Out) {
  if (State.Stopping_)
    return;
  State.Stopping_ = true;
  releaseCells(State, Now, Out);
  State.LastHeartbeatSentAt_ = {};
  sendEntryHeartbeats(State, Now, Out);
  Out.RoutingChanged_ = true;
  Out.LogEvents_.push_back({"stop_requested", {}});
}

} // namespace

core::RecordId append(EntryState &State, Effects &Out, model::RecordBody Body,
                      PendingRecord Purpose) {
  core::RecordId Id{State.Settings_.Incarnation_, State.NextSequence_++};
  State.PendingRecords_.emplace(Id, std::move(Purpose));
  Out.Appends_.push_back({Id, std::move(Body)});
  return Id;
}

EntryState makeEntryState(const EntrySettings &Settings, core::TimePoint Now) {
  EntryState State;
  State.Settings_ = Settings;
  State.StartedAt_ = Now;
  return State;
}

Effects step(EntryState &State, const Event &What, core::TimePoint Now) {
  Effects Out;
  if (auto *Asked = std::get_if<Command>(&What))
    onCommand(State, *Asked, Now, Out);
  else if (auto *Entry = std::get_if<LogEntry>(&What))
    onLogEntry(State, *Entry, Now, Out);
  else if (auto *Replaced = std::get_if<StateInstalled>(&What))
    onLogReplaced(State, *Replaced, Now, Out);
  else if (auto *Tail = std::get_if<LogTailReached>(&What))
    onLogTail(State, *Tail, Now, Out);
  else if (auto *Failed = std::get_if<AppendFailed>(&What))
    onAppendFailed(State, *Failed, Now, Out);
  else if (auto *Message = std::get_if<DatagramReceived>(&What))
    onDatagram(State, *Message, Now, Out);
  else if (std::get_if<Tick>(&What))
    onTick(State, Now, Out);
  else if (std::get_if<StopRequested>(&What))
    onStop(State, Now, Out);
  else if (auto *Log = std::get_if<LogAvailability>(&What))
    setLogAvailable(State, Log->Available_, Now, Out);
  return Out;
}

bool isLogFresh(const EntryState &State, core::TimePoint Now) {
  return State.LastTailReadAt_ != core::TimePoint{} &&
         Now - State.LastTailReadAt_ <= State.Settings_.LogFreshness_;
}

routing::RoutingSnapshot makeRoutingSnapshot(const EntryState &State) {
  routing::RoutingSnapshot Snapshot;
  Snapshot.ConfigOffset_ = State.ControlState_.NextOffset_;
  Snapshot.Routes_ = State.ControlState_.Routes_;
  Snapshot.Pools_ = State.ControlState_.Pools_;
  Snapshot.LogAvailable_ = State.LogAvailable_;
  Snapshot.Stopping_ = State.Stopping_;
  for (const auto &[Name, Known] : State.Membership_.Nodes_) {
    const model::Heartbeat &Beat = Known.LastHeartbeat_;
    if (Beat.Kind_ != model::NodeKind::Upstream || Beat.Service_.empty())
      continue;
    bool Usable = Known.State_ == membership::NodeState::Alive &&
                  model::isInService(State.ControlState_, Beat.Domain_);
    Snapshot.Upstreams_.push_back({Name, Beat.Incarnation_, Beat.Domain_,
                                   Beat.Service_, Beat.RequestAddress_,
                                   Beat.Slots_, Beat.InFlight_, Usable});
  }
  return Snapshot;
}

} // namespace nutmegwell::entry
