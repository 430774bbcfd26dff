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

/// A node turns from Alive to Suspect and Unreachable while its heartbeats are
/// missing. It is Leaving once it has announced that it stops.
enum class NodeState : std::uint8_t { Alive, Suspect, Unreachable, Leaving };

/// Returns "alive", "silent" (Suspect), "lapsed" (Unreachable) or "leaving".
const char *toString(NodeState Value);

struct MembershipSettings {
  /// Times since the last heartbeat after which a node changes its state.
  core::Duration SuspectAfter_ = std::chrono::milliseconds(2500);
  core::Duration UnreachableAfter_ = std::chrono::seconds(6);
  /// A node is removed this long after its last heartbeat.
  core::Duration ForgetAfter_ = std::chrono::minutes(10);
};

/// State of a node, from its heartbeats.
struct Node {
  model::Heartbeat LastHeartbeat_;
  /// "IP:PORT" from which the last heartbeat was received.
  std::string Address_;
  core::TimePoint LastHeartbeatAt_{};
  NodeState State_ = NodeState::Alive;
  /// Earlier incarnations of the node; late heartbeats of these are ignored.
  std::deque<core::Incarnation> ReplacedIncarnations_;
  /// Quarantine reported in the last heartbeat; the agent counts the failures.
  Quarantine Quarantine_;
};

struct MembershipState {
  std::map<model::NodeName, Node> Nodes_;
};

/// A change of a node's state or incarnation, to which the control state must
/// react.
struct NodeChange {
  model::NodeName Node_;
  NodeState From_ = NodeState::Alive;
  NodeState To_ = NodeState::Alive;
  /// True when the node is new or came back as another process.
  bool NewIncarnation_ = false;
};

/// Applies a heartbeat received from \p Address. Ignores one of a replaced
/// incarnation and one that is not newer than the last of its incarnation.
std::vector<NodeChange> applyHeartbeat(MembershipState &State,
                                       const model::Heartbeat &Received,
                                       const std::string &Address,
                                       core::TimePoint Now);

/// Updates the states of nodes whose heartbeats are overdue, and removes nodes
/// after MembershipSettings::ForgetAfter_.
std::vector<NodeChange> updateNodeStates(MembershipState &State,
                                         core::TimePoint Now,
                                         const MembershipSettings &Settings);

/// How much new work may be placed on a node.
enum class Schedulability : std::uint8_t {
  None,
  /// One job only, as a probe after a quarantine, until a task has succeeded or
  /// failed on the node.
  OneJob,
  Any
};

Schedulability schedulabilityOf(const Node &Target, core::TimePoint Now);

/// Returns the accelerators that the known workers of each domain announced.
/// Includes unreachable workers, so that a table stays valid when a host fails.
model::DomainCapacity capacityOf(const MembershipState &State);

} // namespace nutmegwell::membership
