#include "parts.h"

namespace nutmegwell::entry {

namespace {

/// Returns what this host grants to a worker, counted from its heartbeat.
model::HeartbeatAck makeAck(const EntryState &State,
                            const model::Heartbeat &Beat, core::TimePoint Now) {
  model::HeartbeatAck Ack;
  Ack.Entry_ = State.Settings_.Node_;
  Ack.Sequence_ = Beat.Sequence_;
  Ack.ConfigOffset_ = State.Fold_.Next_;
  Ack.Term_ = ownTerm(State, Beat.Domain_);
  if (Ack.Term_ == 0 || State.Stopping_)
    return Ack;
  if (Now - State.LastTail_ < State.Settings_.OutageLease_)
    Ack.TaskLease_ = State.Settings_.TaskLease_;
  if (holds(State, Beat.Domain_, Now) && fresh(State, Now) &&
      model::inService(State.Fold_, Beat.Domain_))
    Ack.StartPermit_ = State.Settings_.StartPermit_;
  return Ack;
}

bool routingDiffers(const model::Heartbeat &A, const model::Heartbeat &B) {
  return A.InFlight_ != B.InFlight_ || A.Slots_ != B.Slots_ ||
         A.Service_ != B.Service_ || A.RequestAddress_ != B.RequestAddress_;
}

void onHeartbeat(EntryState &State, const std::string &From,
                 const model::Heartbeat &Beat, core::TimePoint Now,
                 Effects &Out) {
  model::Heartbeat Before;
  auto Known = State.Nodes_.Nodes_.find(Beat.Node_);
  if (Known != State.Nodes_.Nodes_.end())
    Before = Known->second.Last_;
  noteNodeChanges(
      State, membership::noteHeartbeat(State.Nodes_, Beat, From, Now), Out);
  if (routingDiffers(Before, Beat))
    Out.RoutingChanged_ = true;
  const membership::Node &Target = State.Nodes_.Nodes_.at(Beat.Node_);
  if (Target.Last_.Incarnation_ != Beat.Incarnation_)
    return;
  Out.Sends_.push_back({From, makeAck(State, Beat, Now)});
  if (Beat.Kind_ == model::NodeKind::Worker && !Beat.Tasks_.empty()) {
    stopUnknownTasks(State, Target, Now, Out);
    State.Dirty_ = true;
  }
}

void onEntryHeartbeat(EntryState &State, const model::EntryHeartbeat &Beat,
                      core::TimePoint Now) {
  if (Beat.Node_ == State.Settings_.Node_)
    return;
  PeerEntry &Peer = State.Peers_[Beat.Node_];
  Peer = PeerEntry{Beat.Incarnation_, Beat.Next_, Now, Beat.Leaving_};
  confirmFormer(State, Peer, Beat.Node_, Now);
}

} // namespace

void noteNodeChanges(EntryState &State,
                     const std::vector<membership::NodeChange> &Changes,
                     Effects &Out) {
  for (const membership::NodeChange &Change : Changes) {
    Out.RoutingChanged_ = true;
    State.Dirty_ = true;
    Out.Changes_.push_back({"node_state",
                            {{"node", Change.Node_},
                             {"from", toString(Change.From_)},
                             {"to", toString(Change.To_)}}});
  }
}

void onDatagram(EntryState &State, const DatagramReceived &What,
                core::TimePoint Now, Effects &Out) {
  if (auto *Beat = std::get_if<model::Heartbeat>(&What.Message_))
    onHeartbeat(State, What.From_, *Beat, Now, Out);
  else if (auto *Answer = std::get_if<model::ReserveAnswer>(&What.Message_))
    onReserveAnswer(State, *Answer, Now, Out);
  else if (auto *Peer = std::get_if<model::EntryHeartbeat>(&What.Message_))
    onEntryHeartbeat(State, *Peer, Now);
}

} // namespace nutmegwell::entry
