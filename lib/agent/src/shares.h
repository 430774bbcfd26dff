#pragma once

#include "nutmegwell/agent/control.h"

namespace nutmegwell::agent {

/// Returns true for states that a share never leaves.
bool ended(model::TaskState Value);

model::ReserveAnswer reserve(AgentState &State, const model::Reserve &Wanted,
                             core::TimePoint Now);
/// Starts a reserved share when the permit allows. Returns true for a change.
bool start(AgentState &State, const model::Start &Wanted, core::TimePoint Now,
           Effects &Out);
/// Stops a share or drops its reservation. Returns true for a change.
bool stop(AgentState &State, const ShareKey &Key, core::Duration Grace,
          core::TimePoint Now, Effects &Out);
/// Takes over what the runtime tells. Returns true for a change.
bool noteListing(AgentState &State, const RuntimeListing &What,
                 core::TimePoint Now);
bool noteStartFailure(AgentState &State, const std::string &Id,
                      core::TimePoint Now);
/// Ends lapsed reservations and forgets old final shares. Returns true for a
/// change.
bool expireShares(AgentState &State, core::TimePoint Now);

std::vector<model::TaskReport> makeReports(const AgentState &State);

} // namespace nutmegwell::agent
