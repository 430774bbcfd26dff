#include "controlsteps.h"

#include <algorithm>

namespace nutmegwell::entry {

namespace {

/// Returns the acknowledgement of a heartbeat, with the task lease and the
/// start permit that this host grants. Both count from when the agent sent the
/// heartbeat.
model::HeartbeatAck makeAck(const EntryState &State,
                            const model::Heartbeat &Heartbeat,
                            core::TimePoint Now) {
  model::HeartbeatAck Ack;
  Ack.Entry_ = State.Settings_.Node_;
  Ack.Sequence_ = Heartbeat.Sequence_;
  Ack.ConfigOffset_ = State.ControlState_.NextOffset_;
  Ack.Term_ = ownTerm(State, Heartbeat.Domain_);
  if (Ack.Term_ == 0 || State.Stopping_)
    return Ack;
  if (Now - State.LastTailReadAt_ < State.Settings_.OutageRenewalLimit_)
    Ack.TaskLease_ = State.Settings_.TaskLease_;
  if (holdsCell(State, Heartbeat.Domain_, Now) && isLogFresh(State, Now) &&
      model::isInService(State.ControlState_, Heartbeat.Domain_))
    Ack.StartPermit_ = State.Settings_.StartPermit_;
  return Ack;
}

bool routingDiffers(const model::Heartbeat &A, const model::Heartbeat &B) {
  return A.Slots_ != B.Slots_ || A.Service_ != B.Service_ ||
         A.RequestAddress_ != B.RequestAddress_;
}

bool sameReport(const model::TaskReport &A, const model::TaskReport &B) {
  return A.Job_ == B.Job_ && A.Attempt_ == B.Attempt_ && A.State_ == B.State_ &&
         A.Accelerators_ == B.Accelerators_ && A.Checkpoint_ == B.Checkpoint_;
}

/// Marks the jobs whose task report was added, changed or removed. Returns true
/// when there is any. Agents list their shares in a fixed order, so reports are
/// compared by position.
bool markReportChanges(EntryState &State,
                       const std::vector<model::TaskReport> &Old,
                       const std::vector<model::TaskReport> &New) {
  bool Any = false;
  for (std::size_t I = 0; I < std::max(Old.size(), New.size()); ++I) {
    if (I < Old.size() && I < New.size() && sameReport(Old[I], New[I]))
      continue;
    Any = true;
    if (I < Old.size())
      State.ChangedJobs_.insert(Old[I].Job_);
    if (I < New.size())
      State.ChangedJobs_.insert(New[I].Job_);
  }
  return Any;
}

void onHeartbeat(EntryState &State, const std::string &From,
                 const model::Heartbeat &Heartbeat, core::TimePoint Now,
                 Effects &Out) {
  static const model::Heartbeat Empty;
  auto Found = State.Membership_.Nodes_.find(Heartbeat.Node_);
  const model::Heartbeat &Before = Found == State.Membership_.Nodes_.end()
                                       ? Empty
                                       : Found->second.LastHeartbeat_;
  if (routingDiffers(Before, Heartbeat))
    Out.RoutingChanged_ = true;
  State.UpstreamLoadChanged_ |= Before.InFlight_ != Heartbeat.InFlight_;
  if (markReportChanges(State, Before.Tasks_, Heartbeat.Tasks_) ||
      Before.Accelerators_ != Heartbeat.Accelerators_)
    State.ScheduleNeeded_ = true;
  onNodeChanges(
      State,
      membership::applyHeartbeat(State.Membership_, Heartbeat, From, Now), Out);
  const membership::Node &Target = State.Membership_.Nodes_.at(Heartbeat.Node_);
  if (Target.LastHeartbeat_.Incarnation_ != Heartbeat.Incarnation_)
    return;
  Out.Sends_.push_back({From, makeAck(State, Heartbeat, Now)});
  if (Heartbeat.Kind_ == model::NodeKind::Worker)
    stopUnknownTasks(State, Target, Now, Out);
}

void onEntryHeartbeat(EntryState &State, const model::EntryHeartbeat &Heartbeat,
                      core::TimePoint Now) {
  if (Heartbeat.Node_ == State.Settings_.Node_)
    return;
  PeerEntryHost &Peer = State.Peers_[Heartbeat.Node_];
  Peer = PeerEntryHost{Heartbeat.Incarnation_, Heartbeat.NextOffset_, Now,
                       Heartbeat.Leaving_};
  dropFormerHolders(State, Peer, Heartbeat.Node_, Now);
}

} // namespace

void onNodeChanges(EntryState &State,
                   const std::vector<membership::NodeChange> &Changes,
                   Effects &Out) {
  for (const membership::NodeChange &Change : Changes) {
    Out.RoutingChanged_ = true;
    State.ScheduleNeeded_ = true;
    State.CheckAllGangs_ = true;
    Out.LogEvents_.push_back({"node_state",
                              {{"node", Change.Node_},
                               {"from", toString(Change.From_)},
                               {"to", toString(Change.To_)}}});
  }
}

void onDatagram(EntryState &State, const DatagramReceived &Received,
                core::TimePoint Now, Effects &Out) {
  if (auto *Heartbeat = std::get_if<model::Heartbeat>(&Received.Message_))
    onHeartbeat(State, Received.From_, *Heartbeat, Now, Out);
  else if (auto *Answer = std::get_if<model::ReserveAnswer>(&Received.Message_))
    onReserveAnswer(State, *Answer, Now, Out);
  else if (auto *Peer = std::get_if<model::EntryHeartbeat>(&Received.Message_))
    onEntryHeartbeat(State, *Peer, Now);
}

} // namespace nutmegwell::entry
