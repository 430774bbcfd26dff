#include "nutmegwell/membership/membership.h"

#include <algorithm>

namespace nutmegwell::membership {

namespace {

constexpr std::size_t MaxReplaced = 8;
constexpr core::Duration MaxTold = std::chrono::hours(24);

constexpr const char *StateNames[] = {"alive", "silent", "lapsed", "leaving"};

bool wasReplaced(const Node &Known, core::Incarnation Value) {
  return std::find(Known.Replaced_.begin(), Known.Replaced_.end(), Value) !=
         Known.Replaced_.end();
}

void replaceIncarnation(Node &Known) {
  Known.Replaced_.push_back(Known.Last_.Incarnation_);
  if (Known.Replaced_.size() > MaxReplaced)
    Known.Replaced_.pop_front();
}

NodeState overdueState(const Node &Known, core::TimePoint Now,
                       const MembershipSettings &Settings) {
  core::Duration Quiet = Now - Known.LastHeard_;
  if (Quiet >= Settings.LapseAfter_)
    return NodeState::Lapsed;
  if (Known.State_ == NodeState::Leaving)
    return NodeState::Leaving;
  if (Quiet >= Settings.SilentAfter_)
    return NodeState::Silent;
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

std::vector<NodeChange> noteHeartbeat(MembershipState &State,
                                      const model::Heartbeat &Beat,
                                      const std::string &From,
                                      core::TimePoint Now) {
  auto [Place, Inserted] = State.Nodes_.emplace(Beat.Node_, Node());
  Node &Known = Place->second;
  const NodeState Before = Inserted ? NodeState::Lapsed : Known.State_;
  bool NewIncarnation = Inserted;
  if (!Inserted) {
    if (wasReplaced(Known, Beat.Incarnation_))
      return {};
    if (Known.Last_.Incarnation_ != Beat.Incarnation_) {
      replaceIncarnation(Known);
      NewIncarnation = true;
    } else if (Beat.Sequence_ <= Known.Last_.Sequence_) {
      return {};
    }
  }
  Known.Last_ = Beat;
  Known.Address_ = From;
  Known.LastHeard_ = Now;
  Known.Quarantine_ = toldQuarantine(Beat, Now);
  Known.State_ = Beat.Leaving_ ? NodeState::Leaving : NodeState::Alive;
  if (Known.State_ == Before && !NewIncarnation)
    return {};
  return {{Beat.Node_, Before, Known.State_, NewIncarnation}};
}

std::vector<NodeChange> advance(MembershipState &State, core::TimePoint Now,
                                const MembershipSettings &Settings) {
  std::vector<NodeChange> Changes;
  for (auto Place = State.Nodes_.begin(); Place != State.Nodes_.end();) {
    Node &Known = Place->second;
    NodeState Next = overdueState(Known, Now, Settings);
    if (Next != Known.State_) {
      Changes.push_back({Place->first, Known.State_, Next, false});
      Known.State_ = Next;
    }
    bool Forget = Now - Known.LastHeard_ >= Settings.ForgetAfter_;
    Place = Forget ? State.Nodes_.erase(Place) : std::next(Place);
  }
  return Changes;
}

Intake intakeOf(const Node &Target, core::TimePoint Now) {
  if (Target.State_ != NodeState::Alive || lasts(Target.Quarantine_, Now))
    return Intake::None;
  return Target.Quarantine_.Length_ == core::Duration::zero() ? Intake::Any
                                                              : Intake::OneJob;
}

model::DomainCapacity capacityOf(const MembershipState &State) {
  model::DomainCapacity Capacity;
  for (const auto &[Name, Known] : State.Nodes_)
    Capacity[Known.Last_.Domain_] += Known.Last_.Accelerators_;
  return Capacity;
}

} // namespace nutmegwell::membership
