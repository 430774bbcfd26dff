#include "nutmegwell/membership/membership.h"

#include <algorithm>

namespace nutmegwell::membership {

namespace {

constexpr std::size_t MaxReplaced = 8;
constexpr core::Duration MaxTold = std::chrono::hours(24);

constexpr const char *StateNames[] = {"alive", "silent", "lapsed", "leaving"};

bool wasReplaced(const Node &Known, core::Incarnation Value) {
  return std::find(Known.ReplacedIncarnations_.begin(),
                   Known.ReplacedIncarnations_.end(),
                   Value) != Known.ReplacedIncarnations_.end();
}

void replaceIncarnation(Node &Known) {
  Known.ReplacedIncarnations_.push_back(Known.LastHeartbeat_.Incarnation_);
  if (Known.ReplacedIncarnations_.size() > MaxReplaced)
    Known.ReplacedIncarnations_.pop_front();
}

NodeState overdueState(const Node &Known, core::TimePoint Now,
                       const MembershipSettings &Settings) {
  core::Duration Quiet = Now - Known.LastHeartbeatAt_;
  if (Quiet >= Settings.UnreachableAfter_)
    return NodeState::Unreachable;
  if (Known.State_ == NodeState::Leaving)
    return NodeState::Leaving;
  if (Quiet >= Settings.SuspectAfter_)
    return NodeState::Suspect;
  return Known.State_;
}

/// Takes over the quarantine that the agent tells. Bounds what a foreign
/// datagram can hold, so that no sum of times overflows.
Quarantine toldQuarantine(const model::Heartbeat &Beat, core::TimePoint Now) {
  const core::Duration None{0};
  Quarantine Told;
  Told.Length_ = std::clamp(Beat.Quarantine_, None, MaxTold);
  Told.Since_ = Now - std::clamp(Beat.QuarantinedFor_, None, MaxTold);
  return Told;
}

} // namespace

const char *toString(NodeState Value) {
  return StateNames[static_cast<int>(Value)];
}

std::vector<NodeChange> applyHeartbeat(MembershipState &State,
                                       const model::Heartbeat &Beat,
                                       const std::string &From,
                                       core::TimePoint Now) {
  auto [Place, Inserted] = State.Nodes_.emplace(Beat.Node_, Node());
  Node &Known = Place->second;
  const NodeState Before = Inserted ? NodeState::Unreachable : Known.State_;
  bool NewIncarnation = Inserted;
  if (!Inserted) {
    if (wasReplaced(Known, Beat.Incarnation_))
      return {};
    if (Known.LastHeartbeat_.Incarnation_ != Beat.Incarnation_) {
      replaceIncarnation(Known);
      NewIncarnation = true;
    } else if (Beat.Sequence_ <= Known.LastHeartbeat_.Sequence_) {
      return {};
    }
  }
  Known.LastHeartbeat_ = Beat;
  Known.Address_ = From;
  Known.LastHeartbeatAt_ = Now;
  Known.Quarantine_ = toldQuarantine(Beat, Now);
  Known.State_ = Beat.Leaving_ ? NodeState::Leaving : NodeState::Alive;
  if (Known.State_ == Before && !NewIncarnation)
    return {};
  return {{Beat.Node_, Before, Known.State_, NewIncarnation}};
}

std::vector<NodeChange> updateNodeStates(MembershipState &State,
                                         core::TimePoint Now,
                                         const MembershipSettings &Settings) {
  std::vector<NodeChange> Changes;
  for (auto Place = State.Nodes_.begin(); Place != State.Nodes_.end();) {
    Node &Known = Place->second;
    NodeState Next = overdueState(Known, Now, Settings);
    if (Next != Known.State_) {
      Changes.push_back({Place->first, Known.State_, Next, false});
      Known.State_ = Next;
    }
    bool Forget = Now - Known.LastHeartbeatAt_ >= Settings.ForgetAfter_;
    Place = Forget ? State.Nodes_.erase(Place) : std::next(Place);
  }
  return Changes;
}

Schedulability schedulabilityOf(const Node &Target, core::TimePoint Now) {
  if (Target.State_ != NodeState::Alive || isActive(Target.Quarantine_, Now))
    return Schedulability::None;
  return Target.Quarantine_.Length_ == core::Duration::zero()
             ? Schedulability::Any
             : Schedulability::OneJob;
}

model::DomainCapacity capacityOf(const MembershipState &State) {
  model::DomainCapacity Capacity;
  for (const auto &[Name, Known] : State.Nodes_)
    Capacity[Known.LastHeartbeat_.Domain_] +=
        Known.LastHeartbeat_.Accelerators_;
  return Capacity;
}

} // namespace nutmegwell::membership
