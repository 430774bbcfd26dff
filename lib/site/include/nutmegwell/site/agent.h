#pragma once

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

/// Times of an agent.
struct AgentPolicy {
  /// Time between two reports without news; a holder takes a worker for silent
  /// after three.
  core::Duration ReportInterval_ = std::chrono::milliseconds(500);
  /// An entry host without a message for this long is left for another.
  core::Duration EntryTimeout_ = std::chrono::milliseconds(1600);
  /// Pause before another entry host is dialled.
  core::Duration DialBackoff_ = std::chrono::milliseconds(150);
  /// A look at the worker waits this long for an end.
  core::Duration PollWait_ = std::chrono::milliseconds(500);
  core::Duration PollTimeout_ = std::chrono::milliseconds(1500);
  /// Pause between looks that do not wait.
  core::Duration PollInterval_ = std::chrono::milliseconds(150);
  /// Longest time for the worker to answer an order. Its answer comes within
  /// milliseconds; later it is taken for lost.
  core::Duration OrderTimeout_ = std::chrono::milliseconds(1000);
  /// Time from an order until the worker refuses it as late.
  core::Duration StartPermit_ = std::chrono::milliseconds(1500);
  /// A lost start is over this long after its deadline on the worker's clock;
  /// covers the slowest clock and a listing on its way.
  core::Duration LateMargin_ = std::chrono::milliseconds(150);
  core::Duration MaxLease_ = std::chrono::seconds(6);
};

struct AgentSettings {
  std::string Host_;
  std::string FailureDomain_;
  core::Incarnation Incarnation_ = 0;
  /// Addresses of some entry hosts, which may be gone.
  std::vector<std::string> Seeds_;
  AgentPolicy Policy_;
};

/// Number of a call to the worker.
using WorkerCallId = std::uint64_t;

/// A look at the worker's runs that may extend the leases.
struct PollCall {
  core::Term Term_ = 0;
  std::uint64_t AcknowledgedUpTo_ = 0;
  /// Time on the worker's clock until which leases last; absent to leave them.
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

/// A call for the driver to make to the worker.
struct WorkerCall {
  WorkerCallId Id_ = 0;
  /// Incarnation that the call is meant for.
  std::string WorkerId_;
  std::variant<PollCall, StartCall, StopCall, PaceCall> Body_;
  core::Duration Timeout_{0};
};

/// A worker's runs at one time of its clock.
struct WorkerRuns {
  std::vector<cell::RunningTask> Running_;
  std::vector<cell::EndedTask> Ended_;
};

/// The answer to a call.
struct WorkerResponse {
  WorkerCallId Id_ = 0;
  /// False when no answer came; the call may have been carried out, or be
  /// carried out later.
  bool Answered_ = false;
  /// Set when the worker certainly did not do it.
  std::optional<cell::RefusalKind> Refusal_;
  std::optional<WorkerTime> WorkerClock_;
  std::int64_t WorkerIncarnation_ = 0;
  /// With the answer to a look.
  std::optional<WorkerRuns> Runs_;
  std::string Error_;
};

/// What a worker announces of itself.
struct WorkerAnnouncement {
  cell::WorkerInfo Info_;
  WorkerTime WorkerClock_{0};
  /// Rises within one incarnation, so that a late announcement is recognized.
  std::uint64_t Sequence_ = 0;
};

/// Control state of an agent, owned by its control thread.
struct AgentState {
  AgentSettings Settings_;

  std::optional<cell::WorkerInfo> Worker_;
  std::uint64_t AnnouncedSequence_ = 0;
  /// A clock reading of the worker and when it arrived.
  std::optional<std::pair<WorkerTime, core::TimePoint>> WorkerClock_;

  /// Newest term heard of, and the one under which the lists were made.
  core::Term Term_ = 0;
  core::Term SyncedTerm_ = 0;
  /// Leases may be extended up to this time.
  core::TimePoint GrantEnds_{};
  bool Granted_ = false;
  std::uint64_t AcknowledgedUpTo_ = 0;
  std::uint64_t ProcessedOrders_ = 0;

  WorkerTime ListedAt_{0};
  std::vector<cell::RunningTask> Running_;
  std::vector<cell::EndedTask> Ended_;
  /// A start without a certain outcome, and its deadline on the worker's clock.
  struct Pending {
    WorkerTime Deadline_{0};
    bool Answered_ = false;
    /// Clock reading after which a list shows the run. One of the same
    /// millisecond may have been made before the start.
    WorkerTime ShownFrom_{0};
    /// Either incarnation of the worker may have it, or get it late. A stop
    /// ends the run and keeps a late start out; Answered_ stands for the stop.
    bool Fencing_ = false;
    core::TimePoint NextFenceAt_{};
  };
  std::map<cell::RunId, Pending> Pending_;
  std::vector<cell::RefusedStart> Refused_;

  std::map<WorkerCallId, WorkerCall> Calls_;
  WorkerCallId NextCall_ = 1;
  /// The look in flight, or 0.
  WorkerCallId PollInFlight_ = 0;
  core::TimePoint NextPollAt_{};
  bool WorkerFailing_ = false;
  /// A newer incarnation has answered that has not announced itself.
  bool Superseded_ = false;

  /// Connection to an entry host.
  std::uint64_t Link_ = 0;
  bool LinkOpen_ = false;
  std::string LinkAddress_;
  core::TimePoint LinkLastReceivedAt_{};
  core::TimePoint NextDialAt_{};
  std::size_t NextCandidate_ = 0;
  std::map<std::string, std::string> Hosts_;
  std::string HolderAddress_;
  /// Address that could not be connected to, and until when it is left alone.
  std::string Unreachable_;
  core::TimePoint UnreachableUntil_{};

  std::uint64_t NextReport_ = 1;
  core::TimePoint NextReportAt_{};
  bool ReportNeeded_ = false;
  /// When reports were sent, for the grants that answer them.
  std::map<std::uint64_t, core::TimePoint> SentAt_;
};

struct AgentEffects {
  std::vector<WorkerCall> Calls_;
  std::vector<cell::PeerMessage> Sends_;
  /// Address to dial; the link before it is closed.
  std::optional<std::string> DialAddress_;
  std::vector<core::LogEvent> LogEvents_;
  core::TimePoint WakeAt_ = core::TimePoint::max();
};

AgentState makeAgentState(AgentSettings Settings, core::TimePoint Now);

/// Takes what the worker says of itself; the answer to it is the driver's.
/// Once a draining worker was acknowledged, no start is sent to it.
void onWorkerAnnounced(AgentState &State, const WorkerAnnouncement &Value,
                       core::TimePoint Now, AgentEffects &Out);
/// The worker says that it ends.
void onWorkerLeft(AgentState &State, const std::string &Worker,
                  AgentEffects &Out);
void onWorkerResponse(AgentState &State, const WorkerResponse &Answer,
                      core::TimePoint Now, AgentEffects &Out);
void onEntryLinkOpened(AgentState &State, std::uint64_t Link,
                       core::TimePoint Now, AgentEffects &Out);
void onEntryLinkClosed(AgentState &State, std::uint64_t Link,
                       core::TimePoint Now, AgentEffects &Out);
void onAgentMessage(AgentState &State, std::uint64_t Link,
                    const cell::PeerMessage &Message, core::TimePoint Now,
                    AgentEffects &Out);

/// Does what is due; called after every event and at the time WakeAt_.
void advanceAgent(AgentState &State, core::TimePoint Now, AgentEffects &Out);

} // namespace nutmegwell::site
