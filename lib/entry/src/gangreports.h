#pragma once

#include "nutmegwell/entry/control.h"

/// State of a gang's workers according to their heartbeats.
namespace nutmegwell::entry {

/// Returns true for the final states of a task.
bool isFinal(model::TaskState Value);

/// Returns the node, or null when no heartbeat of it is known.
const membership::Node *findNode(const EntryState &State,
                                 const model::NodeName &Name);

/// Returns the report of an attempt in the node's last heartbeat, or null.
const model::TaskReport *findReport(const EntryState &State,
                                    const model::NodeName &Node,
                                    const core::JobId &Job,
                                    std::uint32_t Attempt);

/// Stores, for each worker of the gang, the incarnation of the agent that first
/// reported the attempt. The last heartbeat alone does not show it: it may come
/// from an incarnation that was replaced before the attempt began.
void recordWorkerIncarnations(const EntryState &State, Gang &Target);

/// Returns true when certainly no task of the attempt runs on the worker any
/// more.
bool hasStoppedOn(const EntryState &State, const Gang &Target,
                  const model::NodeName &Worker, core::Incarnation Incarnation,
                  core::TimePoint Now);

/// Returns the checkpoints of all workers joined into one, or an empty string
/// when a worker has none.
std::string joinedCheckpoint(const EntryState &State, const Gang &Target);

/// Summary of the reports of a started gang's workers.
struct GangReport {
  std::size_t StartedWorkers_ = 0;
  std::size_t DoneWorkers_ = 0;
  std::string FailureReason_;
  bool TaskFailed_ = false;
};

GangReport summarizeReports(const EntryState &State, const Gang &Target);

} // namespace nutmegwell::entry
