#pragma once

#include "nutmegwell/entry/control.h"

/// What heartbeats tell of the members of a gang.
namespace nutmegwell::entry {

/// Returns true for a task that runs no more.
bool ended(model::TaskState Value);

/// Returns the node, or null when it was never heard.
const membership::Node *findNode(const EntryState &State,
                                 const model::NodeName &Name);

/// Returns the node's report of an attempt, or null.
const model::TaskReport *findReport(const EntryState &State,
                                    const model::NodeName &Node,
                                    const core::JobId &Job,
                                    std::uint32_t Attempt);

/// Notes which process of each member runs the attempt, from its first report.
/// The process that was heard last may be one that was replaced before.
void noteMembers(const EntryState &State, Gang &Target);

/// Returns true when no task of the attempt runs on the worker any more.
bool stoppedOn(const EntryState &State, const Gang &Target,
               const model::NodeName &Worker, core::Incarnation Process,
               core::TimePoint Now);

/// Returns the joined checkpoint of all members, or nothing when one has none.
std::string joinedCheckpoint(const EntryState &State, const Gang &Target);

/// What the members of a started gang report.
struct GangReport {
  std::size_t Started_ = 0;
  std::size_t Done_ = 0;
  std::string Fault_;
  bool TaskFailed_ = false;
};

GangReport inspect(const EntryState &State, const Gang &Target);

} // namespace nutmegwell::entry
