#pragma once

#include "nutmegwell/agent/control.h"
#include "nutmegwell/entry/control.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/messages.h"
#include <cstdint>
#include <string>

/// Synthetic states of the sizes that the capacity page works with.
namespace nutmegwell::bench {

constexpr std::uint64_t CapacitySeed = 7;
/// Run of the entry host that holds the cell. The fold takes the records of a
/// cell from its holder alone.
constexpr core::Incarnation EntryRun = 0xE17A57ULL;
/// Tasks of a job: 300,000 running tasks in 8,100 jobs.
constexpr std::uint32_t TasksOfJob = 37;
/// Task reports of a worker: 10,000 tasks of a cell on 533 workers.
constexpr std::uint32_t ReportsOfWorker = 19;

/// Returns a name of \p Length characters that ends in \p Number.
std::string nameOf(const std::string &Prefix, std::size_t Number,
                   std::size_t Length = 12);

core::JobId jobIdOf(std::size_t Number);
model::JobSpec jobSpecOf(std::size_t Number, std::uint32_t Tasks);
model::PoolRow poolRowOf(std::size_t Number);
model::RouteRow routeRowOf(std::size_t Number);
model::Intent intentOf(std::size_t Number);
/// Returns the placement of \p Tasks tasks, one for each of the following
/// workers of \p Workers.
model::Placement placementOf(std::size_t Job, std::uint32_t Tasks,
                             std::size_t Workers);
model::TaskReport reportOf(std::size_t Job, std::uint32_t Bit);
/// Returns the heartbeat of worker \p Number with as many task reports.
model::Heartbeat heartbeatOf(std::size_t Number, std::uint32_t Reports);
model::PoolsTable poolsTableOf(std::size_t Rows);

/// Returns a control state with this many running jobs of TasksOfJob tasks.
model::ControlState stateOfJobs(std::size_t Jobs);

/// An entry host that holds a cell with running gangs.
struct HeldCell {
  entry::EntryState State_;
  core::TimePoint Now_{};
  core::Term Term_ = 0;
};

/// Returns the holder of a cell of \p Workers, each of which runs
/// ReportsOfWorker tasks when \p Loaded, and \p Waiting jobs that find no room.
HeldCell heldCell(std::size_t Workers, bool Loaded, std::size_t Waiting);

/// Returns a worker's agent with as many running shares.
agent::AgentState agentOf(std::size_t Shares, core::TimePoint Now);

} // namespace nutmegwell::bench
