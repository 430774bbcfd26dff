#include "nutmegwell/membership/membership.h"

#include <algorithm>

namespace nutmegwell::membership {

namespace {

constexpr std::size_t MaxReplacedIncarnations = 8;
constexpr core::Duration MaxReportedTime = std::chrono::hours(24);

constexpr const char *StateNames[] = {"alive", "silent", "lapsed", "leaving"};

bool wasReplaced(const Node &Entry, core::Incarnation Value) {
  return std::find(Entry.ReplacedIncarnations_.begin(),
                   Entry.ReplacedIncarnations_.end(),
                   Value) != Entry.ReplacedIncarnations_.end();
}

void replaceIncarnation(Node &Entry) {
  Entry.ReplacedIncarnations_.push_back(Entry.LastHeartbeat_.Incarnation_);
  if (Entry.ReplacedIncarnations_.size() > MaxReplacedIncarnations)
    Entry.ReplacedIncarnations_.pop_front();
}

NodeState overdueState(const Node &Entry, core::TimePoint Now,
                       const MembershipSettings &Settings) {
  core::Duration SinceHeartbeat = Now - Entry.LastHeartbeatAt_;
  if (SinceHeartbeat >= Settings.UnreachableAfter_)
    return NodeState::Unreachable;
  if (Entry.State_ == NodeState::Leaving)
    return NodeState::Leaving;
  if (SinceHeartbeat >= Settings.SuspectAfter_)
    return NodeState::Suspect;
  return Entry.State_;
}

/// Returns the quarantine that a heartbeat reports. Clamps its times, since a
/// datagram from outside may hold any value and sums of times must not
/// overflow.
Quarantine reportedQuarantine(const model::Heartbeat &Received,
                              core::TimePoint Now) {
  const core::Duration None{0};
  Quarantine Result;
  Result.Length_ = std::clamp(Received.Quarantine_, None, MaxReportedTime);
  Result.Since_ =
      Now - std::clamp(Received.QuarantinedFor_, None, MaxReportedTime);
  return Result;
}

} // namespace

const char *toString(NodeState Value) {
  return StateNames[static_cast<int>(Value)];
}

std::vector<NodeChange> applyHeartbeat(MembershipState &State,
                                       const model::Heartbeat &Received,
                                       const std::string &Address,
                                       core::TimePoint Now) {
  auto [It, Inserted] = State.Nodes_.emplace(Received.Node_, Node());
  Node &Entry = It->second;
  const NodeState Before = Inserted ? NodeState::Unreachable : Entry.State_;
  bool NewIncarnation = Inserted;
  if (!Inserted) {
    if (wasReplaced(Entry, Received.Incarnation_))
      return {};
    if (Entry.LastHeartbeat_.Incarnation_ != Received.Incarnation_) {
      replaceIncarnation(Entry);
      NewIncarnation = true;
    } else if (Received.Sequence_ <= Entry.LastHeartbeat_.Sequence_) {
      return {};
    }
  }
  Entry.LastHeartbeat_ = Received;
  Entry.Address_ = Address;
  Entry.LastHeartbeatAt_ = Now;
  Entry.Quarantine_ = reportedQuarantine(Received, Now);
  Entry.State_ = Received.Leaving_ ? NodeState::Leaving : NodeState::Alive;
  if (Entry.State_ == Before && !NewIncarnation)
    return {};
  return {{Received.Node_, Before, Entry.State_, NewIncarnation}};
}

std::vector<NodeChange> updateNodeStates(MembershipState &State,
                                         core::TimePoint Now,
                                         const MembershipSettings &Settings) {
  std::vector<NodeChange> Changes;
  for (auto It = State.Nodes_.begin(); It != State.Nodes_.end();) {
    Node &Entry = It->second;
    NodeState Next = overdueState(Entry, Now, Settings);
    if (Next != Entry.State_) {
      Changes.push_back({It->first, Entry.State_, Next, false});
      Entry.State_ = Next;
    }
    bool Forget = Now - Entry.LastHeartbeatAt_ >= Settings.ForgetAfter_;
    It = Forget ? State.Nodes_.erase(It) : std::next(It);
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
  for (const auto &[Name, Entry] : State.Nodes_)
    Capacity[Entry.LastHeartbeat_.Domain_] +=
        Entry.LastHeartbeat_.Accelerators_;
  return Capacity;
}

} // namespace nutmegwell::membership
