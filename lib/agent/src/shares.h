#pragma once

#include "nutmegwell/agent/control.h"

namespace nutmegwell::agent {

/// Returns true for states that a task or a share never leaves.
bool isFinal(model::TaskState Value);

/// Reserves accelerators for a share, or extends a reservation that exists.
model::ReserveAnswer reserveShare(AgentState &State,
                                  const model::Reserve &Request,
                                  core::TimePoint Now);

/// Starts a reserved share when the start permit is valid. Returns true when
/// the share was started.
bool startShare(AgentState &State, const model::Start &Request,
                core::TimePoint Now, Effects &Out);

/// Stops a share or cancels its reservation. Returns true when the state must
/// be reported.
bool stopShare(AgentState &State, const ShareKey &Key, core::Duration Grace,
               core::TimePoint Now, Effects &Out);

/// Reconciles the shares with the tasks that the runtime lists. Returns true
/// when a share has changed.
bool reconcileShares(AgentState &State, const RuntimeListing &Listing,
                     core::TimePoint Now);

/// Ends a task that could not be started. Returns true when the task was found
/// among those that are starting.
bool applyStartFailure(AgentState &State, const std::string &Id,
                       core::TimePoint Now);

/// Ends expired reservations and removes shares whose end was reported for
/// AgentSettings::EndedShareRetention_. Returns true when a reservation
/// expired.
bool expireShares(AgentState &State, core::TimePoint Now);

/// Returns at most MaxTaskReports reports: first the shares that have not
/// ended, then the latest ended ones.
std::vector<model::TaskReport> makeTaskReports(const AgentState &State);

} // namespace nutmegwell::agent
