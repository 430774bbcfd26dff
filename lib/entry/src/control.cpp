#include "nutmegwell/entry/control.h"

#include "controlsteps.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace nutmegwell::entry {

namespace {

/// True for record types with a Job_ member.
template <typename Body, typename = void> struct HasJobId : std::false_type {};
template <typename Body>
struct HasJobId<Body, std::void_t<decltype(Body::Job_)>> : std::true_type {};

/// Handles the result of a record that this host appended.
void handleResult(EntryState &State, const model::FoldResult &Result,
                  core::TimePoint Now, Effects &Out) {
  auto Found = State.PendingRecords_.find(Result.Id_);
  if (Found == State.PendingRecords_.end())
    return;
  PendingRecord Purpose = Found->second;
  State.PendingRecords_.erase(Found);
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
void rejectLost(EntryState &State, core::TimePoint Now, Effects &Out,
                Predicate Lost) {
  std::vector<core::RecordId> Ids;
  for (const auto &[Id, Purpose] : State.PendingRecords_)
    if (Lost(Id, Purpose))
      Ids.push_back(Id);
  for (const core::RecordId &Id : Ids)
    handleResult(
        State,
        {Id, false, "log_unavailable", "the record did not reach the log"}, Now,
        Out);
}

/// Updates the indexes and per-job values that this host keeps beside the
/// control state.
void updateJobIndexes(EntryState &State, const core::JobId &Id,
                      core::TimePoint Now) {
  auto It = State.ControlState_.Jobs_.find(Id);
  const model::Job *Job =
      It == State.ControlState_.Jobs_.end() ? nullptr : &It->second;
  for (auto &[Domain, Jobs] : State.ActiveJobs_)
    Jobs.erase(Id);
  if (Job && model::isRunning(Job->State_))
    State.ActiveJobs_[Job->Domain_].insert(Id);
  if (Job && Job->State_ == model::JobState::Waiting) {
    State.WaitingSince_.emplace(Id, Now);
  } else if (auto Wait = State.WaitingSince_.find(Id);
             Wait != State.WaitingSince_.end()) {
    State.EarlierWaits_[Id] += Now - Wait->second;
    State.WaitingSince_.erase(Wait);
  }
  if (Job && !model::isFinal(Job->State_))
    return;
  State.EarlierWaits_.erase(Id);
  State.MigratedFrom_.erase(Id);
  State.WaitReasons_.erase(Id);
  State.LastAttempt_.erase(Id);
  State.AttainedService_.erase(Id);
}

/// Updates these indexes and values for all jobs, including jobs that are no
/// longer in the control state.
void updateAllJobIndexes(EntryState &State, core::TimePoint Now) {
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
  State.ActiveJobs_.clear();
  for (const core::JobId &Id : Ids)
    updateJobIndexes(State, Id, Now);
}

/// Marks what the next tick has to check after a record. Renewals, intents and
/// snapshots affect neither decisions nor routing.
void markRecordChanges(EntryState &State, const model::RecordBody &Body,
                       core::TimePoint Now, Effects &Out) {
  std::visit(
      [&](const auto &Change) {
        using Kind = std::decay_t<decltype(Change)>;
        constexpr bool IsDomain = std::is_same_v<Kind, model::DomainChanged>;
        constexpr bool IsPools = std::is_same_v<Kind, model::PoolsPublished>;
        constexpr bool IsRoutes = std::is_same_v<Kind, model::RoutesPublished>;
        if constexpr (HasJobId<Kind>::value) {
          State.ChangedJobs_.insert(Change.Job_);
          updateJobIndexes(State, Change.Job_, Now);
        }
        State.CheckAllGangs_ |= IsDomain;
        State.ScheduleNeeded_ |= IsDomain || IsPools || HasJobId<Kind>::value;
        Out.RoutingChanged_ |= IsDomain || IsPools || IsRoutes;
      },
      Body);
}

void onLogEntry(EntryState &State, const LogEntry &Entry, core::TimePoint Now,
                Effects &Out) {
  if (Entry.Offset_ < State.ControlState_.NextOffset_)
    return;
  for (const model::Record &Change : Entry.Records_) {
    model::FoldResult Result =
        model::applyRecord(State.ControlState_, Change, Entry.Offset_);
    if (Result.Id_.Writer_ != State.Settings_.Incarnation_)
      continue;
    // Records of one writer apply in order: those with a lower sequence number
    // that have not been read by now would be rejected.
    rejectLost(State, Now, Out, [&Result](const core::RecordId &Id, auto &) {
      return Id < Result.Id_;
    });
    handleResult(State, Result, Now, Out);
  }
  State.ControlState_.NextOffset_ = Entry.Offset_ + 1;
  updateCellTrackers(State, Now);
  for (const model::Record &Change : Entry.Records_)
    markRecordChanges(State, Change.Body_, Now, Out);
}

void onLogReplaced(EntryState &State, const StateInstalled &Replaced,
                   core::TimePoint Now, Effects &Out) {
  if (Replaced.State_.NextOffset_ < State.ControlState_.NextOffset_)
    return;
  State.ControlState_ = Replaced.State_;
  auto Own =
      State.ControlState_.LastSequences_.find(State.Settings_.Incarnation_);
  std::uint64_t Applied =
      Own == State.ControlState_.LastSequences_.end() ? 0 : Own->second;
  for (auto It = State.PendingRecords_.begin();
       It != State.PendingRecords_.end();) {
    if (It->first.Sequence_ > Applied) {
      ++It;
      continue;
    }
    // The snapshot includes the effect of the record, if it was accepted, but
    // not whether it was.
    if (It->second.CommandId_ != 0)
      Out.Replies_.push_back({It->second.CommandId_,
                              CommandOutcome::Unknown,
                              "verdict_lost",
                              "the log reader restarted from a snapshot, so "
                              "the result is not known",
                              {}});
    It = State.PendingRecords_.erase(It);
  }
  for (auto &[Domain, Tracker] : State.CellTrackers_)
    Tracker.AppendPending_ = false;
  State.Gangs_.clear();
  updateCellTrackers(State, Now);
  updateAllJobIndexes(State, Now);
  State.ScheduleNeeded_ = true;
  Out.RoutingChanged_ = true;
}

void setLogAvailable(EntryState &State, bool Available, core::TimePoint Now,
                     Effects &Out) {
  if (!Available)
    State.LastLogFailureAt_ = Now;
  if (State.LogAvailable_ == Available)
    return;
  State.LogAvailable_ = Available;
  State.ScheduleNeeded_ = true;
  State.CheckAllGangs_ = true;
  Out.RoutingChanged_ = true;
  Out.LogEvents_.push_back(
      {"log_availability", {{"available", Available ? "true" : "false"}}});
}

void onAppendFailed(EntryState &State, const AppendFailed &Failed,
                    core::TimePoint Now, Effects &Out) {
  setLogAvailable(State, false, Now, Out);
  auto Found = State.PendingRecords_.find(Failed.Id_);
  if (Found == State.PendingRecords_.end())
    return;
  if (Found->second.CommandId_ != 0) {
    Out.Replies_.push_back({Found->second.CommandId_,
                            Failed.OutcomeUnknown_ ? CommandOutcome::Unknown
                                                   : CommandOutcome::Refused,
                            "log_unavailable",
                            "the log does not accept appends",
                            {}});
    Found->second.CommandId_ = 0;
  }
  // A record whose append has an unknown result stays pending: it may still be
  // read from the log.
  if (Failed.OutcomeUnknown_) {
    Found->second.UncertainSince_ = Now;
    return;
  }
  model::FoldResult Result;
  Result.Id_ = Failed.Id_;
  Result.Code_ = "log_unavailable";
  handleResult(State, Result, Now, Out);
}

void onLogTail(EntryState &State, const LogTailReached &Tail,
               core::TimePoint Now, Effects &Out) {
  State.LastTailReadAt_ = std::max(State.LastTailReadAt_, Tail.ReadStartedAt_);
  const core::TimePoint LostBefore =
      Tail.ReadStartedAt_ - State.Settings_.UncertainAppendTimeout_;
  rejectLost(State, Now, Out, [LostBefore](const auto &, const auto &Purpose) {
    return Purpose.UncertainSince_ != core::TimePoint{} &&
           Purpose.UncertainSince_ <= LostBefore;
  });
  // A host that appends nothing would never notice that the log is available
  // again, so a read that reaches the tail some time after the failure counts
  // as a sign that it is.
  constexpr auto RecoveryDelay = std::chrono::seconds(1);
  if (!State.LogAvailable_ &&
      Tail.ReadStartedAt_ - State.LastLogFailureAt_ >= RecoveryDelay)
    setLogAvailable(State, true, Now, Out);
}

void sendEntryHeartbeats(EntryState &State, core::TimePoint Now, Effects &Out) {
  if (Now - State.LastHeartbeatSentAt_ < State.Settings_.HeartbeatInterval_)
    return;
  State.LastHeartbeatSentAt_ = Now;
  model::EntryHeartbeat Heartbeat{
      State.Settings_.Node_, State.Settings_.Incarnation_,
      State.ControlState_.NextOffset_, State.Stopping_};
  for (const std::string &To : State.Settings_.EntryAddresses_)
    Out.Sends_.push_back({To, Heartbeat});
}

void expirePeers(EntryState &State, core::TimePoint Now) {
  for (auto It = State.Peers_.begin(); It != State.Peers_.end();) {
    bool Expired =
        Now - It->second.LastHeartbeatAt_ >= State.Settings_.PeerTimeout_;
    It = Expired ? State.Peers_.erase(It) : std::next(It);
  }
}

/// Excludes a pause of this process from the ages of heartbeats: heartbeats
/// that were not received during the pause say nothing about the senders.
void discountPause(EntryState &State, core::TimePoint Now) {
  const core::Duration Gap = Now - State.LastTickAt_;
  if (State.LastTickAt_ != core::TimePoint{} &&
      Gap >= State.Settings_.PauseThreshold_) {
    for (auto &[Name, Node] : State.Membership_.Nodes_)
      Node.LastHeartbeatAt_ = std::min(Now, Node.LastHeartbeatAt_ + Gap);
    for (auto &[Name, Peer] : State.Peers_)
      Peer.LastHeartbeatAt_ = std::min(Now, Peer.LastHeartbeatAt_ + Gap);
  }
  State.LastTickAt_ = Now;
}

void onTick(EntryState &State, core::TimePoint Now, Effects &Out) {
  discountPause(State, Now);
  onNodeChanges(State,
                membership::updateNodeStates(State.Membership_, Now,
                                             State.Settings_.Membership_),
                Out);
  expirePeers(State, Now);
  sendEntryHeartbeats(State, Now, Out);
  advanceCells(State, Now, Out);
  Out.RoutingChanged_ |= std::exchange(State.UpstreamLoadChanged_, false);
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

Effects step(EntryState &State, const Event &Input, core::TimePoint Now) {
  Effects Out;
  if (auto *Cmd = std::get_if<Command>(&Input))
    onCommand(State, *Cmd, Now, Out);
  else if (auto *Entry = std::get_if<LogEntry>(&Input))
    onLogEntry(State, *Entry, Now, Out);
  else if (auto *Replaced = std::get_if<StateInstalled>(&Input))
    onLogReplaced(State, *Replaced, Now, Out);
  else if (auto *Tail = std::get_if<LogTailReached>(&Input))
    onLogTail(State, *Tail, Now, Out);
  else if (auto *Failed = std::get_if<AppendFailed>(&Input))
    onAppendFailed(State, *Failed, Now, Out);
  else if (auto *Message = std::get_if<DatagramReceived>(&Input))
    onDatagram(State, *Message, Now, Out);
  else if (std::get_if<Tick>(&Input))
    onTick(State, Now, Out);
  else if (std::get_if<StopRequested>(&Input))
    onStop(State, Now, Out);
  else if (auto *Log = std::get_if<LogAvailability>(&Input))
    setLogAvailable(State, Log->Available_, Now, Out);
  return Out;
}

bool isLogFresh(const EntryState &State, core::TimePoint Now) {
  return State.LastTailReadAt_ != core::TimePoint{} &&
         Now - State.LastTailReadAt_ <= State.Settings_.MaxLogReadAge_;
}

routing::RoutingSnapshot makeRoutingSnapshot(const EntryState &State) {
  routing::RoutingSnapshot Snapshot;
  Snapshot.ConfigOffset_ = State.ControlState_.NextOffset_;
  Snapshot.Routes_ = State.ControlState_.Routes_;
  Snapshot.Pools_ = State.ControlState_.Pools_;
  Snapshot.LogAvailable_ = State.LogAvailable_;
  Snapshot.Stopping_ = State.Stopping_;
  for (const auto &[Name, Node] : State.Membership_.Nodes_) {
    const model::Heartbeat &Heartbeat = Node.LastHeartbeat_;
    if (Heartbeat.Kind_ != model::NodeKind::Upstream ||
        Heartbeat.Service_.empty())
      continue;
    bool Usable = Node.State_ == membership::NodeState::Alive &&
                  model::isInService(State.ControlState_, Heartbeat.Domain_);
    Snapshot.Upstreams_.push_back({Name, Heartbeat.Incarnation_,
                                   Heartbeat.Domain_, Heartbeat.Service_,
                                   Heartbeat.RequestAddress_, Heartbeat.Slots_,
                                   Heartbeat.InFlight_, Usable});
  }
  return Snapshot;
}

} // namespace nutmegwell::entry
