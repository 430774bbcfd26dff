#include "nutmegwell/agent/control.h"

#include "shares.h"

#include <algorithm>
#include <set>

namespace nutmegwell::agent {

namespace {

constexpr std::size_t MaxSentAt = 16;

void sendHeartbeats(AgentState &State, core::TimePoint Now, Effects &Out) {
  // The first heartbeat of a process says that its predecessor's tasks ended.
  if (!State.Ready_)
    return;
  State.LastHeartbeat_ = Now;
  const AgentSettings &Settings = State.Settings_;
  model::Heartbeat Beat;
  Beat.Node_ = Settings.Node_;
  Beat.Incarnation_ = Settings.Incarnation_;
  Beat.Sequence_ = ++State.Sequence_;
  Beat.Kind_ = Settings.Kind_;
  Beat.Domain_ = Settings.Domain_;
  Beat.Rack_ = Settings.Rack_;
  Beat.Accelerators_ = Settings.Accelerators_;
  Beat.Service_ = State.Upstream_.Service_;
  Beat.RequestAddress_ = Settings.RequestAddress_;
  Beat.Slots_ = State.Upstream_.Slots_;
  Beat.InFlight_ = State.Upstream_.InFlight_;
  Beat.Leaving_ = State.Stopping_ || State.Upstream_.Leaving_;
  if (State.Stopping_ && State.LeaveSequence_ == 0)
    State.LeaveSequence_ = Beat.Sequence_;
  Beat.HighestTerm_ = State.HighestTerm_;
  if (State.Quarantine_.Length_ != core::Duration::zero()) {
    Beat.Quarantine_ = State.Quarantine_.Length_;
    Beat.QuarantinedFor_ = Now - State.Quarantine_.Since_;
  }
  Beat.Tasks_ = makeReports(State);
  State.SentAt_[Beat.Sequence_] = Now;
  if (State.SentAt_.size() > MaxSentAt)
    State.SentAt_.erase(State.SentAt_.begin());
  for (const std::string &To : Settings.EntryAddresses_)
    Out.Sends_.push_back({To, Beat});
}

/// Returns false for a term below the highest seen, and notes a higher one.
bool acceptTerm(AgentState &State, core::Term Value, Effects &Out) {
  if (Value < State.HighestTerm_)
    return false;
  if (Value > State.HighestTerm_) {
    State.HighestTerm_ = Value;
    // The new holder decides afresh whether work may start.
    State.PermitUntil_ = {};
    State.AckedSequence_ = 0;
    Out.LogEvents_.push_back({"term", {{"term", std::to_string(Value)}}});
  }
  return true;
}

void onAck(AgentState &State, const model::HeartbeatAck &Ack, Effects &Out) {
  if (State.LeaveSequence_ != 0 && Ack.Sequence_ >= State.LeaveSequence_)
    State.LeaveAcknowledgedBy_.insert(Ack.Entry_);
  auto Sent = State.SentAt_.find(Ack.Sequence_);
  if (Ack.Term_ == 0 || Sent == State.SentAt_.end() ||
      !acceptTerm(State, Ack.Term_, Out))
    return;
  if (Ack.TaskLease_ > core::Duration::zero())
    State.LeaseUntil_ =
        std::max(State.LeaseUntil_, Sent->second + Ack.TaskLease_);
  // A late acknowledgement must not bring back a permit that a newer one ended.
  if (Ack.Sequence_ < State.AckedSequence_)
    return;
  State.AckedSequence_ = Ack.Sequence_;
  // A zero permit ends the one in force at once: the domain was taken out or
  // the holder's view of the log is old.
  State.PermitUntil_ =
      Ack.StartPermit_ == core::Duration::zero()
          ? core::TimePoint{}
          : std::max(State.PermitUntil_, Sent->second + Ack.StartPermit_);
}

void onDatagram(AgentState &State, const DatagramReceived &What,
                core::TimePoint Now, Effects &Out) {
  bool Changed = false;
  if (auto *Ack = std::get_if<model::HeartbeatAck>(&What.Message_)) {
    onAck(State, *Ack, Out);
  } else if (auto *Wanted = std::get_if<model::Reserve>(&What.Message_)) {
    if (acceptTerm(State, Wanted->Term_, Out))
      Out.Sends_.push_back({What.From_, reserve(State, *Wanted, Now)});
  } else if (auto *Begin = std::get_if<model::Start>(&What.Message_)) {
    if (acceptTerm(State, Begin->Term_, Out))
      Changed = start(State, *Begin, Now, Out);
  } else if (auto *End = std::get_if<model::Stop>(&What.Message_)) {
    if (acceptTerm(State, End->Term_, Out))
      Changed = stop(State, {End->Job_, End->Attempt_}, End->Grace_, Now, Out);
  }
  if (Changed)
    sendHeartbeats(State, Now, Out);
}

void stopAll(AgentState &State, core::TimePoint Now, Effects &Out) {
  std::vector<ShareKey> Keys;
  for (const auto &[Key, Known] : State.Shares_)
    if (!ended(Known.State_))
      Keys.push_back(Key);
  for (const ShareKey &Key : Keys)
    stop(State, Key, model::LeaseExpiryGrace, Now, Out);
}

/// Asks again for what the runtime has not done yet.
void callRuntime(AgentState &State, core::TimePoint Now, Effects &Out) {
  if (State.Settings_.Kind_ != model::NodeKind::Worker ||
      Now - State.LastListing_ < State.Settings_.RuntimeInterval_)
    return;
  State.LastListing_ = Now;
  ListTasks Listing;
  // The runtime's lease must not outlast the task lease: an agent that is
  // paused or dies while cut off cannot stop its tasks.
  Listing.Lease_ = std::clamp<core::Duration>(
      State.LeaseUntil_ + model::LeaseExpiryGrace - Now, core::Duration::zero(),
      State.Settings_.RuntimeLease_);
  for (const auto &[Key, Known] : State.Shares_) {
    bool Stopping = Known.State_ == model::TaskState::Stopping;
    for (std::size_t I = 0; I < Known.Tasks_.size(); ++I) {
      if (ended(Known.Tasks_[I]))
        continue;
      if (Stopping)
        Out.Calls_.push_back(StopTask{taskId(Key, I), Known.Grace_});
      else if (!ended(Known.State_))
        Listing.Renew_.push_back(taskId(Key, I));
    }
  }
  Out.Calls_.push_back(std::move(Listing));
}

/// Stops what an earlier process of this agent left in the runtime.
void clearRuntime(AgentState &State, const RuntimeListing &What, Effects &Out) {
  bool Clear = true;
  for (const RuntimeTask &Task : What.Tasks_) {
    if (ended(Task.State_))
      continue;
    Clear = false;
    Out.Calls_.push_back(StopTask{Task.Id_, core::Duration::zero()});
  }
  // A call of the earlier process may still take effect within the bound.
  State.Ready_ =
      Clear && State.FirstTick_ != core::TimePoint{} &&
      What.RequestedAt_ >= State.FirstTick_ + State.Settings_.RuntimeCallBound_;
}

/// Stops tasks that no share accounts for, such as a start that took effect
/// after its share was given up.
void stopUnknown(const AgentState &State, const RuntimeListing &What,
                 Effects &Out) {
  std::set<std::string> Expected;
  for (const auto &[Key, Known] : State.Shares_)
    for (std::size_t I = 0; I < Known.Tasks_.size(); ++I)
      if (!ended(Known.State_))
        Expected.insert(taskId(Key, I));
  for (const RuntimeTask &Task : What.Tasks_)
    if (!ended(Task.State_) && !Expected.count(Task.Id_))
      Out.Calls_.push_back(StopTask{Task.Id_, core::Duration::zero()});
}

void onTick(AgentState &State, core::TimePoint Now, Effects &Out) {
  if (State.FirstTick_ == core::TimePoint{})
    State.FirstTick_ = Now;
  if (State.Settings_.Kind_ == model::NodeKind::Upstream)
    State.Ready_ = true;
  callRuntime(State, Now, Out);
  bool Changed = expireShares(State, Now);
  if (State.LeaseUntil_ != core::TimePoint{} && State.LeaseUntil_ <= Now) {
    State.LeaseUntil_ = {};
    Out.LogEvents_.push_back({"task_lease_lapsed", {}});
    stopAll(State, Now, Out);
    Changed = true;
  }
  bool Due = Now - State.LastHeartbeat_ >= State.Settings_.HeartbeatInterval_;
  if (Due || Changed)
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
  for (const auto &[Key, Known] : State.Shares_)
    if (!ended(Known.State_))
      return false;
  return State.Upstream_.InFlight_ == 0;
}

Effects step(AgentState &State, const Event &What, core::TimePoint Now) {
  Effects Out;
  if (auto *Message = std::get_if<DatagramReceived>(&What)) {
    onDatagram(State, *Message, Now, Out);
  } else if (auto *Listing = std::get_if<RuntimeListing>(&What)) {
    if (!State.Ready_) {
      clearRuntime(State, *Listing, Out);
    } else {
      if (noteListing(State, *Listing, Now))
        sendHeartbeats(State, Now, Out);
      stopUnknown(State, *Listing, Out);
    }
  } else if (auto *Failed = std::get_if<StartFailed>(&What)) {
    if (noteStartFailure(State, Failed->Id_, Now))
      sendHeartbeats(State, Now, Out);
  } else if (auto *Changed = std::get_if<UpstreamChanged>(&What)) {
    bool Told = Changed->Info_.Leaving_ != State.Upstream_.Leaving_ ||
                Changed->Info_.Service_ != State.Upstream_.Service_ ||
                Changed->Info_.Slots_ != State.Upstream_.Slots_;
    State.Upstream_ = Changed->Info_;
    if (Told)
      sendHeartbeats(State, Now, Out);
  } else if (std::get_if<Tick>(&What)) {
    onTick(State, Now, Out);
  } else if (!State.Stopping_) {
    State.Stopping_ = true;
    stopAll(State, Now, Out);
    sendHeartbeats(State, Now, Out);
  }
  return Out;
}

} // namespace nutmegwell::agent
