#include "nutmegwell/agent/control.h"

#include "shares.h"

#include <algorithm>
#include <set>

namespace nutmegwell::agent {

namespace {

/// Heartbeats whose send times are kept. Acknowledgements of older ones grant
/// nothing.
constexpr std::size_t MaxTrackedHeartbeats = 16;

void sendHeartbeats(AgentState &State, core::TimePoint Now, Effects &Out) {
  // Entry hosts take the first heartbeat of an agent process to mean that all
  // tasks of the process before it have ended.
  if (!State.Ready_)
    return;
  State.LastHeartbeatSentAt_ = Now;
  const AgentSettings &Settings = State.Settings_;
  model::Heartbeat Heartbeat;
  Heartbeat.Node_ = Settings.Node_;
  Heartbeat.Incarnation_ = Settings.Incarnation_;
  Heartbeat.Sequence_ = ++State.Sequence_;
  Heartbeat.Kind_ = Settings.Kind_;
  Heartbeat.Domain_ = Settings.Domain_;
  Heartbeat.Rack_ = Settings.Rack_;
  Heartbeat.Accelerators_ = Settings.Accelerators_;
  Heartbeat.Service_ = State.Upstream_.Service_;
  Heartbeat.RequestAddress_ = Settings.RequestAddress_;
  Heartbeat.Slots_ = State.Upstream_.Slots_;
  Heartbeat.InFlight_ = State.Upstream_.InFlight_;
  Heartbeat.Leaving_ = State.Stopping_ || State.Upstream_.Leaving_;
  if (State.Stopping_ && State.FirstLeaveSequence_ == 0)
    State.FirstLeaveSequence_ = Heartbeat.Sequence_;
  Heartbeat.HighestTerm_ = State.HighestTerm_;
  if (State.Quarantine_.Length_ != core::Duration::zero()) {
    Heartbeat.Quarantine_ = State.Quarantine_.Length_;
    Heartbeat.QuarantinedFor_ = Now - State.Quarantine_.Since_;
  }
  Heartbeat.Tasks_ = makeTaskReports(State);
  State.HeartbeatSentAt_[Heartbeat.Sequence_] = Now;
  if (State.HeartbeatSentAt_.size() > MaxTrackedHeartbeats)
    State.HeartbeatSentAt_.erase(State.HeartbeatSentAt_.begin());
  for (const std::string &Address : Settings.EntryAddresses_)
    Out.Sends_.push_back({Address, Heartbeat});
}

/// Returns false when \p Value is below the highest term received, and adopts a
/// higher one.
bool acceptTerm(AgentState &State, core::Term Value, Effects &Out) {
  if (Value < State.HighestTerm_)
    return false;
  if (Value > State.HighestTerm_) {
    State.HighestTerm_ = Value;
    // The permit came from the earlier holder; the new one must grant its own.
    State.PermitUntil_ = {};
    State.AckedSequence_ = 0;
    Out.LogEvents_.push_back({"term", {{"term", std::to_string(Value)}}});
  }
  return true;
}

void onAck(AgentState &State, const model::HeartbeatAck &Ack, Effects &Out) {
  if (State.FirstLeaveSequence_ != 0 &&
      Ack.Sequence_ >= State.FirstLeaveSequence_)
    State.LeaveAcknowledgedBy_.insert(Ack.Entry_);
  auto SentAt = State.HeartbeatSentAt_.find(Ack.Sequence_);
  if (Ack.Term_ == 0 || SentAt == State.HeartbeatSentAt_.end() ||
      !acceptTerm(State, Ack.Term_, Out))
    return;
  if (Ack.TaskLease_ > core::Duration::zero())
    State.LeaseUntil_ =
        std::max(State.LeaseUntil_, SentAt->second + Ack.TaskLease_);
  // A delayed acknowledgement must not restore a permit that a newer one has
  // revoked.
  if (Ack.Sequence_ < State.AckedSequence_)
    return;
  State.AckedSequence_ = Ack.Sequence_;
  // A zero permit revokes the current one at once: the failure domain was taken
  // out of service, or the holder's view of the log is outdated.
  State.PermitUntil_ =
      Ack.StartPermit_ == core::Duration::zero()
          ? core::TimePoint{}
          : std::max(State.PermitUntil_, SentAt->second + Ack.StartPermit_);
}

void onDatagram(AgentState &State, const DatagramReceived &Received,
                core::TimePoint Now, Effects &Out) {
  bool Changed = false;
  if (auto *Ack = std::get_if<model::HeartbeatAck>(&Received.Message_)) {
    onAck(State, *Ack, Out);
  } else if (auto *Reservation =
                 std::get_if<model::Reserve>(&Received.Message_)) {
    if (acceptTerm(State, Reservation->Term_, Out))
      Out.Sends_.push_back(
          {Received.From_, reserveShare(State, *Reservation, Now)});
  } else if (auto *StartMessage =
                 std::get_if<model::Start>(&Received.Message_)) {
    if (acceptTerm(State, StartMessage->Term_, Out))
      Changed = startShare(State, *StartMessage, Now, Out);
  } else if (auto *StopMessage = std::get_if<model::Stop>(&Received.Message_)) {
    if (acceptTerm(State, StopMessage->Term_, Out))
      Changed = stopShare(State, {StopMessage->Job_, StopMessage->Attempt_},
                          StopMessage->Grace_, Now, Out);
  }
  if (Changed)
    sendHeartbeats(State, Now, Out);
}

/// Stops every share that has not ended.
void stopAllShares(AgentState &State, core::TimePoint Now, Effects &Out) {
  std::vector<ShareKey> Keys;
  for (const auto &[Key, Each] : State.Shares_)
    if (!isFinal(Each.State_))
      Keys.push_back(Key);
  for (const ShareKey &Key : Keys)
    stopShare(State, Key, model::LeaseExpiryGrace, Now, Out);
}

/// Polls the runtime when the interval has passed: renews the leases, lists the
/// tasks and repeats the stops that have not taken effect.
void pollRuntime(AgentState &State, core::TimePoint Now, Effects &Out) {
  if (State.Settings_.Kind_ != model::NodeKind::Worker ||
      Now - State.LastRuntimePollAt_ < State.Settings_.RuntimePollInterval_)
    return;
  State.LastRuntimePollAt_ = Now;
  ListTasks Poll;
  // The lease at the runtime must not outlast the task lease, since an agent
  // that is paused, or dies during a network partition, cannot stop its tasks.
  Poll.Lease_ = std::clamp<core::Duration>(
      State.LeaseUntil_ + model::LeaseExpiryGrace - Now, core::Duration::zero(),
      State.Settings_.RuntimeLease_);
  for (const auto &[Key, Each] : State.Shares_) {
    bool Stopping = Each.State_ == model::TaskState::Stopping;
    for (std::size_t I = 0; I < Each.Tasks_.size(); ++I) {
      if (isFinal(Each.Tasks_[I]))
        continue;
      if (Stopping)
        Out.Calls_.push_back(StopTask{taskId(Key, I), Each.Grace_});
      else if (!isFinal(Each.State_))
        Poll.Renew_.push_back(taskId(Key, I));
    }
  }
  Out.Calls_.push_back(std::move(Poll));
}

/// Stops the tasks that an earlier agent process left in the runtime, and sets
/// Ready_ once all have ended.
void stopLeftoverTasks(AgentState &State, const RuntimeListing &Listing,
                       Effects &Out) {
  bool AllEnded = true;
  for (const RuntimeTask &Task : Listing.Tasks_) {
    if (isFinal(Task.State_))
      continue;
    AllEnded = false;
    Out.Calls_.push_back(StopTask{Task.Id_, core::Duration::zero()});
  }
  // A call of the earlier process may still take effect until
  // RuntimeCallMaxDelay_ has passed.
  State.Ready_ = AllEnded && State.FirstTickAt_ != core::TimePoint{} &&
                 Listing.RequestedAt_ >=
                     State.FirstTickAt_ + State.Settings_.RuntimeCallMaxDelay_;
}

/// Stops orphan tasks, which belong to no active share. One arises when a start
/// takes effect after its share has ended.
void stopOrphanTasks(const AgentState &State, const RuntimeListing &Listing,
                     Effects &Out) {
  std::set<std::string> Expected;
  for (const auto &[Key, Each] : State.Shares_)
    for (std::size_t I = 0; I < Each.Tasks_.size(); ++I)
      if (!isFinal(Each.State_))
        Expected.insert(taskId(Key, I));
  for (const RuntimeTask &Task : Listing.Tasks_)
    if (!isFinal(Task.State_) && !Expected.count(Task.Id_))
      Out.Calls_.push_back(StopTask{Task.Id_, core::Duration::zero()});
}

void onTick(AgentState &State, core::TimePoint Now, Effects &Out) {
  if (State.FirstTickAt_ == core::TimePoint{})
    State.FirstTickAt_ = Now;
  if (State.Settings_.Kind_ == model::NodeKind::Upstream)
    State.Ready_ = true;
  pollRuntime(State, Now, Out);
  bool Changed = expireShares(State, Now);
  if (State.LeaseUntil_ != core::TimePoint{} && State.LeaseUntil_ <= Now) {
    State.LeaseUntil_ = {};
    Out.LogEvents_.push_back({"task_lease_lapsed", {}});
    stopAllShares(State, Now, Out);
    Changed = true;
  }
  bool HeartbeatDue =
      Now - State.LastHeartbeatSentAt_ >= State.Settings_.HeartbeatInterval_;
  if (HeartbeatDue || Changed)
    sendHeartbeats(State, Now, Out);
}

} // namespace

std::string taskId(const ShareKey &Key, std::size_t Index) {
  return core::toString(Key.first) + "." + std::to_string(Key.second) + "." +
         std::to_string(Index);
}

AgentState makeAgentState(const AgentSettings &Settings) {
  AgentState State;
  State.Settings_ = Settings;
  return State;
}

bool isLeaveAcknowledged(const AgentState &State) {
  return State.LeaveAcknowledgedBy_.size() >=
         State.Settings_.EntryAddresses_.size();
}

bool isDrained(const AgentState &State) {
  for (const auto &[Key, Each] : State.Shares_)
    if (!isFinal(Each.State_))
      return false;
  return State.Upstream_.InFlight_ == 0;
}

Effects step(AgentState &State, const Event &Input, core::TimePoint Now) {
  Effects Out;
  if (auto *Message = std::get_if<DatagramReceived>(&Input)) {
    onDatagram(State, *Message, Now, Out);
  } else if (auto *Listing = std::get_if<RuntimeListing>(&Input)) {
    if (!State.Ready_) {
      stopLeftoverTasks(State, *Listing, Out);
    } else {
      if (reconcileShares(State, *Listing, Now))
        sendHeartbeats(State, Now, Out);
      stopOrphanTasks(State, *Listing, Out);
    }
  } else if (auto *Failed = std::get_if<StartFailed>(&Input)) {
    if (applyStartFailure(State, Failed->Id_, Now))
      sendHeartbeats(State, Now, Out);
  } else if (auto *Changed = std::get_if<UpstreamChanged>(&Input)) {
    bool MustReport = Changed->Info_.Leaving_ != State.Upstream_.Leaving_ ||
                      Changed->Info_.Service_ != State.Upstream_.Service_ ||
                      Changed->Info_.Slots_ != State.Upstream_.Slots_;
    State.Upstream_ = Changed->Info_;
    if (MustReport)
      sendHeartbeats(State, Now, Out);
  } else if (std::get_if<Tick>(&Input)) {
    onTick(State, Now, Out);
  } else if (!State.Stopping_) {
    State.Stopping_ = true;
    stopAllShares(State, Now, Out);
    sendHeartbeats(State, Now, Out);
  }
  return Out;
}

} // namespace nutmegwell::agent
