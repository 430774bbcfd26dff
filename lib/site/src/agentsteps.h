#pragma once

#include "nutmegwell/site/agent.h"

namespace nutmegwell::site {

/// Adds a call to the worker to \p Out and records it as in flight.
void callWorker(AgentState &State, decltype(WorkerCall::Body_) Body,
                core::Duration Timeout, AgentEffects &Out);

/// Adds a call to the process \p WorkerId at the worker's address; any other
/// process refuses it. Returns the number of the call.
WorkerCallId callProcess(AgentState &State, const std::string &WorkerId,
                         decltype(WorkerCall::Body_) Body,
                         core::Duration Timeout, AgentEffects &Out);

/// Records a process that may be a new incarnation of the worker.
void addCandidate(AgentState &State, const WorkerAnnouncement &Announcement,
                  core::TimePoint Now);

/// Sends the identity calls that are due, and forgets the candidates that could
/// not be verified in time.
void verifyCandidates(AgentState &State, core::TimePoint Now,
                      AgentEffects &Out);

/// Handles the response to an identity call.
void onIdentityResponse(AgentState &State, const WorkerCall &Call,
                        const WorkerResponse &Response, AgentEffects &Out);

/// Logs that an announcement does not change the worker, once for each process.
void rejectAnnouncement(AgentState &State,
                        const WorkerAnnouncement &Announcement,
                        const std::string &Reason, AgentEffects &Out);

/// Makes the verified process of \p Announcement the worker and discards the
/// state of the one before.
void adoptWorker(AgentState &State, const WorkerAnnouncement &Announcement,
                 core::TimePoint ReceivedAt, AgentEffects &Out);

/// Returns whether the announced process may follow the known worker: it is
/// another one, and its end is not known.
bool maySucceedWorker(const AgentState &State, const cell::WorkerInfo &Info);

/// Returns whether the announced process began later than the known worker.
bool beganLater(const AgentState &State, const cell::WorkerInfo &Info);

/// Returns a lower bound of the worker's clock at \p When, if it runs no slower
/// than the host's, or nothing before its first reading.
std::optional<WorkerTime> workerClockAt(const AgentState &State,
                                        core::TimePoint When);

/// Carries out the holder's orders.
void applyOrders(AgentState &State, const cell::HolderOrders &Orders,
                 core::TimePoint Now, AgentEffects &Out);

/// Sends the starts again that got no response.
void repeatStarts(AgentState &State, core::TimePoint Now, AgentEffects &Out);

/// Forgets a worker whose process has ended, so that the next report tells the
/// holder that nothing runs there any more, and which starts a next process may
/// still carry out.
void detectWorkerEnd(AgentState &State, AgentEffects &Out);

/// Forgets the starts without a response that no process carries out any more.
void expireLateStarts(AgentState &State, core::TimePoint Now,
                      AgentEffects &Out);

/// Polls the worker when the next poll is due.
void pollWorker(AgentState &State, core::TimePoint Now, AgentEffects &Out);

/// Sends stops for the pending starts that a new incarnation of the worker may
/// have received.
void fencePending(AgentState &State, core::TimePoint Now, AgentEffects &Out);

} // namespace nutmegwell::site
