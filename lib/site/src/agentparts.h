#pragma once

#include "nutmegwell/site/agent.h"

namespace nutmegwell::site {

/// Asks the driver for a call to the worker.
void callWorker(AgentState &State, decltype(WorkerCall::Body_) Body,
                core::Duration Timeout, AgentEffects &Out);

/// Returns the least that the worker's clock shows at \p When, or nothing
/// before a reading of it.
std::optional<WorkerTime> workerClockAt(const AgentState &State,
                                        core::TimePoint When);

/// Carries out the holder's orders.
void takeOrders(AgentState &State, const cell::HolderOrders &Orders,
                core::TimePoint Now, AgentEffects &Out);

/// Asks for the next look at the worker when it is due.
void lookAtWorker(AgentState &State, core::TimePoint Now, AgentEffects &Out);

/// Stops the pending starts that a new incarnation of the worker may have got.
void fencePending(AgentState &State, core::TimePoint Now, AgentEffects &Out);

} // namespace nutmegwell::site
