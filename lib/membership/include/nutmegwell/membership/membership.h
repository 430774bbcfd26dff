#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/membership/quarantine.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/model/tables.h"
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace nutmegwell::membership {

enum class NodeState : std::uint8_t { Alive, Suspect, Unreachable, Leaving };

const char *toString(NodeState Value);

struct MembershipSettings {
  core::Duration SuspectAfter_ = std::chrono::milliseconds(2500);
  core::Duration UnreachableAfter_ = std::chrono::seconds(6);
  /// A lapsed node is forgotten after this time.
  core::Duration ForgetAfter_ = std::chrono::minutes(10);
};

/// A node as its heartbeats describe it.
struct Node {
  model::Heartbeat LastHeartbeat_;
  /// "IP:PORT" from which the last heartbeat came.
  std::string Address_;
  core::TimePoint LastHeartbeatAt_{};
  NodeState State_ = NodeState::Alive;
  /// Incarnations that were replaced; a late heartbeat of one is ignored.
  std::deque<core::Incarnation> ReplacedIncarnations_;
  /// As the last heartbeat tells; the agent counts the failures.
  Quarantine Quarantine_;
};

struct MembershipState {
  std::map<model::NodeName, Node> Nodes_;
};

/// A change that the control state must react to.
struct NodeChange {
  model::NodeName Node_;
  NodeState From_ = NodeState::Alive;
  NodeState To_ = NodeState::Alive;
  /// True when the node is new or came back as another process.
  bool NewIncarnation_ = false;
};

/// Notes a heartbeat. Ignores one that is older than the last of its node.
std::vector<NodeChange> applyHeartbeat(MembershipState &State,
                                       const model::Heartbeat &Beat,
                                       const std::string &From,
                                       core::TimePoint Now);

/// Moves nodes whose heartbeats are overdue.
std::vector<NodeChange> updateNodeStates(MembershipState &State,
                                         core::TimePoint Now,
                                         const MembershipSettings &Settings);

/// How much new work a node may get.
enum class Schedulability : std::uint8_t {
  None,
  /// One job alone: the node is on trial after a quarantine, until a task has
  /// run with success or failed there.
  OneJob,
  Any
};

Schedulability schedulabilityOf(const Node &Target, core::TimePoint Now);

/// Returns the accelerators that the known workers of each domain announced,
/// lapsed ones included: a failed host does not make a table wrong.
model::DomainCapacity capacityOf(const MembershipState &State);

} // namespace nutmegwell::membership
