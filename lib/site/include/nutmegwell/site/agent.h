#pragma once

#include "nutmegwell/cell/departure.h"
#include "nutmegwell/cell/messages.h"
#include "nutmegwell/cell/peers.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/core/status.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegwell::site {

/// Time on a worker's own clock.
using WorkerTime = std::chrono::duration<std::int64_t, std::milli>;

/// Intervals and timeouts of an agent.
struct AgentPolicy {
  /// Time between two reports while nothing changes. A holder suspects a worker
  /// after three missed ones.
  core::Duration ReportInterval_ = std::chrono::milliseconds(500);
  /// The agent connects to another entry host when the current one has sent
  /// nothing for this long.
  core::Duration EntryTimeout_ = std::chrono::milliseconds(1600);
  /// Time for a connection to open before the next host is dialled. A host
  /// without power does not respond at all; others respond within milliseconds.
  core::Duration DialTimeout_ = std::chrono::milliseconds(500);
  /// Pause between a closed connection and the next connection attempt.
  core::Duration DialBackoff_ = std::chrono::milliseconds(150);
  /// Longest time that the worker delays its response to a poll until a run
  /// ends.
  core::Duration PollWait_ = std::chrono::milliseconds(500);
  /// Time after the wait of a poll until its response counts as lost. Workers
  /// respond within milliseconds.
  core::Duration PollGrace_ = std::chrono::milliseconds(400);
  /// A worker counts as unreachable when it has responded to no call for this
  /// long. Covers a lost response to a poll and the time of the next poll.
  core::Duration WorkerTimeout_ = std::chrono::milliseconds(1200);
  /// Pause between polls that the worker answers at once.
  core::Duration PollInterval_ = std::chrono::milliseconds(150);
  /// Time after which the response to an order counts as lost. An unanswered
  /// start is sent again under the same run, which the worker starts once.
  core::Duration OrderTimeout_ = std::chrono::milliseconds(300);
  /// Time from a start order until the worker refuses it as late.
  core::Duration StartPermit_ = std::chrono::milliseconds(1500);
  /// A start without a response can no longer take effect this long after its
  /// deadline on the worker's clock. Covers the slowest clock and a listing in
  /// transit.
  core::Duration LateMargin_ = std::chrono::milliseconds(150);
  /// Longest time after which a worker still carries out a call that got no
  /// response; the platform's kinds of trouble delay calls by up to 12 s.
  core::Duration MaxCallDelay_ = std::chrono::seconds(12);
  /// Longest lease that a worker accepts.
  core::Duration MaxLease_ = std::chrono::seconds(6);
  /// A process that has announced itself and could not be verified for this
  /// long is forgotten. Workers announce themselves every 1.5 s.
  core::Duration CandidateLifetime_ = std::chrono::seconds(2);
  /// Maximum number of announced processes that are verified at a time.
  std::size_t MaxCandidates_ = 4;
};

struct AgentSettings {
  std::string Host_;
  std::string FailureDomain_;
  core::Incarnation Incarnation_ = 0;
  /// Addresses of entry hosts to contact first; some may no longer exist.
  std::vector<std::string> Seeds_;
  AgentPolicy Policy_;
};

/// Number of a call to the worker.
using WorkerCallId = std::uint64_t;

/// Lists the worker's runs, acknowledges ended ones and may extend the leases.
struct PollCall {
  core::Term Term_ = 0;
  std::uint64_t AcknowledgedUpTo_ = 0;
  /// End of the leases on the worker's clock; absent to leave them unchanged.
  std::optional<WorkerTime> LeaseUntil_;
  core::Duration Wait_{0};
};

struct StartCall {
  cell::StartOrder Order_;
  WorkerTime Deadline_{0};
  core::Term Term_ = 0;
};

struct StopCall {
  cell::RunId Id_;
  core::Term Term_ = 0;
};

struct PaceCall {
  cell::PaceOrder Order_;
  core::Term Term_ = 0;
};

/// Asks the process at the worker's address whether it is the incarnation that
/// the call is meant for. Changes nothing there but the highest term.
struct IdentityCall {
  core::Term Term_ = 0;
};

/// A call for the driver to make to the worker.
struct WorkerCall {
  WorkerCallId Id_ = 0;
  /// Worker incarnation that the call is meant for; others refuse it.
  std::string WorkerId_;
  std::variant<PollCall, StartCall, StopCall, PaceCall, IdentityCall> Body_;
  core::Duration Timeout_{0};
};

/// The runs that a worker lists at one time of its clock.
struct WorkerRuns {
  std::vector<cell::RunningTask> Running_;
  /// Oldest ends that have not been acknowledged.
  std::vector<cell::EndedTask> Ended_;
  /// False when the worker may have ended runs that are not in Ended_.
  bool EndsComplete_ = true;
};

/// The response to a call, or the lack of one.
struct WorkerResponse {
  WorkerCallId Id_ = 0;
  /// False without a response; the worker may have carried out the call, or may
  /// still do so.
  bool Answered_ = false;
  /// The worker's host refused the connection: its process has ended.
  bool ConnectionRefused_ = false;
  /// Set when the worker certainly did not carry out the call.
  std::optional<cell::RefusalKind> Refusal_;
  std::optional<WorkerTime> WorkerClock_;
  std::int64_t WorkerIncarnation_ = 0;
  /// Present in the response to a poll.
  std::optional<WorkerRuns> Runs_;
  std::string Error_;
};

/// A worker's announcement of its state and capacity.
struct WorkerAnnouncement {
  cell::WorkerInfo Info_;
  WorkerTime WorkerClock_{0};
  /// Increases within one incarnation, so that an outdated announcement is
  /// recognized.
  std::uint64_t Sequence_ = 0;
};

/// Control state of an agent, owned by its control thread.
struct AgentState {
  AgentSettings Settings_;

  std::optional<cell::WorkerInfo> Worker_;
  std::uint64_t AnnouncedSequence_ = 0;
  /// Set while the worker drains.
  std::optional<cell::DepartureNotice> Departure_;
  /// Latest reading of the worker's clock, and when it arrived.
  std::optional<std::pair<WorkerTime, core::TimePoint>> WorkerClock_;

  /// Highest term received, and the one under which the runs were listed.
  core::Term Term_ = 0;
  core::Term SyncedTerm_ = 0;
  /// Leases may be extended up to this time.
  core::TimePoint GrantEnds_{};
  bool Granted_ = false;
  std::uint64_t AcknowledgedUpTo_ = 0;
  std::uint64_t ProcessedOrders_ = 0;

  WorkerTime RunsListedAt_{0};
  std::vector<cell::RunningTask> Running_;
  std::vector<cell::EndedTask> Ended_;
  bool EndsComplete_ = true;
  /// A start of unknown outcome, and its deadline on the worker's clock.
  struct Pending {
    WorkerTime Deadline_{0};
    bool Answered_ = false;
    /// The holder has ordered a stop; the start is not sent again.
    bool StopOrdered_ = false;
    /// The start was sent again, so that a refusal does not tell whether an
    /// earlier call has started the run.
    bool Repeated_ = false;
    /// Latest call, and the call to send again after a pause.
    core::TimePoint SentAt_{};
    std::optional<StartCall> Repeat_;
    /// Worker clock after which a listing must contain the run. A listing of
    /// the same millisecond may precede the start.
    WorkerTime ListedAfter_{0};
    /// The worker has a new incarnation, and either one may have received the
    /// start or may still receive it. A stop ends the run and fences a late
    /// start; Answered_ then refers to the stop.
    bool Fencing_ = false;
    core::TimePoint NextFenceAt_{};
  };
  std::map<cell::RunId, Pending> Pending_;
  std::vector<cell::RefusedStart> Refused_;

  std::map<WorkerCallId, WorkerCall> Calls_;
  WorkerCallId NextCallId_ = 1;
  /// The poll in flight, or 0.
  WorkerCallId PollInFlight_ = 0;
  core::TimePoint NextPollAt_{};
  /// Consecutive polls without a response, and when the worker last responded
  /// to any call.
  unsigned UnansweredPolls_ = 0;
  core::TimePoint LastResponseAt_{};
  /// Consecutive polls whose connection was refused.
  unsigned RefusedPolls_ = 0;
  /// Incarnation of the worker whose process was the last to end, or 0. Its
  /// late announcements are ignored.
  std::int64_t EndedIncarnation_ = 0;
  /// Starts that got no response, and until when each may still be carried out,
  /// by the worker or by a process that follows it under the same id.
  std::map<cell::RunId, core::TimePoint> LateStarts_;
  bool WorkerUnreachable_ = false;
  /// Another incarnation has responded to a call but not announced itself yet.
  bool Superseded_ = false;

  /// A process that has announced itself and is not known to be the worker.
  struct Candidate {
    WorkerAnnouncement Announcement_;
    core::TimePoint ReceivedAt_{};
    /// Newest identity call, or 0 before the first.
    WorkerCallId Call_ = 0;
    core::TimePoint NextCallAt_{};
  };
  std::vector<Candidate> Candidates_;
  /// Id and incarnation of the newest rejected candidate, whose repeated
  /// announcements are not logged.
  std::pair<std::string, std::int64_t> Rejected_;

  /// Connection to an entry host.
  std::uint64_t Link_ = 0;
  bool LinkOpen_ = false;
  std::string LinkAddress_;
  core::TimePoint LinkLastReceivedAt_{};
  core::TimePoint NextDialAt_{};
  std::size_t NextCandidate_ = 0;
  std::map<std::string, std::string> Hosts_;
  std::string HolderAddress_;
  /// Address that could not be connected to, and until when it is not dialled
  /// when it is named as the holder's.
  std::string UnreachableAddress_;
  core::TimePoint UnreachableUntil_{};

  std::uint64_t NextReportSequence_ = 1;
  core::TimePoint NextReportAt_{};
  bool ReportNeeded_ = false;
  /// Send times of reports; a lease grant counts from the report it answers.
  std::map<std::uint64_t, core::TimePoint> ReportSentAt_;
};

struct AgentEffects {
  std::vector<WorkerCall> Calls_;
  std::vector<cell::PeerMessage> Sends_;
  /// Address to connect to; the driver closes the previous connection.
  std::optional<std::string> DialAddress_;
  std::vector<core::LogEvent> LogEvents_;
  core::TimePoint WakeAt_ = core::TimePoint::max();
};

AgentState makeAgentState(AgentSettings Settings, core::TimePoint Now);

/// Applies a worker's announcement, which the driver acknowledges afterwards.
/// Once a draining worker has the acknowledgement, no start is sent to it.
/// An announcement can come from another writer, so a new process becomes the
/// worker only when the process at the worker's address confirms that it is the
/// announced one.
void onWorkerAnnounced(AgentState &State,
                       const WorkerAnnouncement &Announcement,
                       core::TimePoint Now, AgentEffects &Out);
/// Handles a worker's notice that it shuts down.
void onWorkerLeft(AgentState &State, const std::string &Worker,
                  AgentEffects &Out);
void onWorkerResponse(AgentState &State, const WorkerResponse &Response,
                      core::TimePoint Now, AgentEffects &Out);
void onEntryLinkOpened(AgentState &State, std::uint64_t Link,
                       core::TimePoint Now, AgentEffects &Out);
void onEntryLinkClosed(AgentState &State, std::uint64_t Link,
                       core::TimePoint Now, AgentEffects &Out);
void onAgentMessage(AgentState &State, std::uint64_t Link,
                    const cell::PeerMessage &Message, core::TimePoint Now,
                    AgentEffects &Out);

/// Performs all work that is due; called after every event and at the time
/// WakeAt_.
void advanceAgent(AgentState &State, core::TimePoint Now, AgentEffects &Out);

} // namespace nutmegwell::site
