#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/membership/membership.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/routing/snapshot.h"
#include "nutmegwell/sched/plan.h"
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Control logic of an entry host as a deterministic state machine: an event
/// changes the state and yields effects. The daemon runs it on its control
/// thread; tests and benchmarks call it directly.
namespace nutmegwell::entry {

struct EntrySettings {
  model::NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  /// UDP addresses of the other entry hosts.
  std::vector<std::string> EntryAddresses_;
  core::Duration CellLease_ = std::chrono::seconds(6);
  core::Duration CellRenewInterval_ = std::chrono::seconds(2);
  /// Time that another host waits after the end of a cell lease before it
  /// claims the cell.
  core::Duration ClaimMargin_ = std::chrono::seconds(1);
  core::Duration StartPermit_ = std::chrono::seconds(2);
  /// Start permits are granted only while the last read that reached the log's
  /// tail began at most this long ago.
  core::Duration MaxLogReadAge_ = std::chrono::seconds(1);
  /// An append with an unknown result counts as lost when a read that began
  /// this long after the failure reaches the log's tail without finding the
  /// record.
  core::Duration UncertainAppendTimeout_ = std::chrono::seconds(2);
  core::Duration TaskLease_ = std::chrono::seconds(15);
  /// An agent without heartbeats certainly runs nothing after the task lease,
  /// the longer of the checkpoint grace and model::LeaseExpiryGrace, and this
  /// margin: 2 s for a call to its runtime and 1 s for timers.
  core::Duration StopMargin_ = std::chrono::seconds(3);
  /// A holder goes on renewing task leases for this long after its last read
  /// that reached the log's tail. Longer than the expected outages of the log,
  /// because gangs are stopped when it runs out.
  core::Duration OutageRenewalLimit_ = std::chrono::minutes(10);
  core::Duration ReservationLease_ = std::chrono::seconds(5);
  /// Time after the commit within which every task of a gang must have started.
  core::Duration StartTimeout_ = std::chrono::seconds(5);
  core::Duration CheckpointGrace_ = std::chrono::seconds(3);
  core::Duration ResendInterval_ = std::chrono::milliseconds(500);
  /// Time that a job must have waited before a cell other than its preferred
  /// one may start it.
  core::Duration NonPreferredCellDelay_ = std::chrono::milliseconds(500);
  /// Longest time between scheduling rounds while jobs wait. A change triggers
  /// a round earlier when an urgent job waits or the host knows few nodes.
  core::Duration ScheduleInterval_ = std::chrono::milliseconds(500);
  /// Minimum time between two searches for jobs to migrate; shorter when the
  /// host knows few nodes. A search of four cells with 533 workers each takes
  /// 36 ms, so this keeps it near 0.4% of a core.
  core::Duration MigrationInterval_ = std::chrono::seconds(10);
  core::Duration HeartbeatInterval_ = std::chrono::seconds(1);
  core::Duration PeerTimeout_ = std::chrono::seconds(3);
  /// A gap of at least this long between two ticks means that this process was
  /// paused.
  core::Duration PauseThreshold_ = std::chrono::seconds(1);
  membership::MembershipSettings Membership_;
  std::function<sched::Plan(const sched::CellView &)> Decide_ =
      [](const sched::CellView &View) { return sched::planCell(View); };
};

/// An earlier holder of a cell that may still renew task leases there, because
/// it may not have read the claim that ended its tenure.
struct FormerHolder {
  model::NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  /// Offset after that claim; a peer that has read the log up to here knows
  /// that its tenure ended.
  core::Offset ClaimEndOffset_ = 0;
  /// When this host read that claim from the log.
  core::TimePoint ClaimReadAt_{};
};

/// What this host knows about the lease of one cell and its holder.
struct CellTracker {
  std::uint64_t RenewalCount_ = 0;
  /// When this host last read a claim or renewal of the cell from the log.
  core::TimePoint RenewalReadAt_{};
  /// End of this host's own lease. The lease counts from before the append of
  /// the claim or renewal, so that it ends here before any other host considers
  /// it expired.
  core::TimePoint OwnLeaseEnds_{};
  bool AppendPending_ = false;
  core::TimePoint LastAppendAt_{};
  /// Term and holder as last read from the log.
  core::Term Term_ = 0;
  model::NodeName Holder_;
  core::Incarnation HolderIncarnation_ = 0;
  std::vector<FormerHolder> FormerHolders_;
  /// Latest time at which a former holder that is no longer listed may have
  /// renewed a task lease.
  core::TimePoint FormerRenewedUntil_{};
};

enum class GangPhase : std::uint8_t {
  /// Waits until every worker has reserved its accelerators.
  Reserving,
  /// Waits for the result of the JobCommitted record.
  Committing,
  /// Waits until every task runs.
  Starting,
  Running,
  /// Waits until no task runs any more, then appends JobRequeued.
  Stopping
};

/// One attempt of a job, driven by the holder of its cell.
struct Gang {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  model::DomainName Domain_;
  core::Term Term_ = 0;
  model::JobSpec Spec_;
  model::Placement Placement_;
  GangPhase Phase_ = GangPhase::Reserving;
  /// When the current phase began.
  core::TimePoint PhaseSince_{};
  core::TimePoint LastSent_{};
  /// The gang's workers, each with the incarnation of the agent that reported
  /// the attempt, or 0 before the first report.
  std::map<model::NodeName, core::Incarnation> WorkerIncarnations_;
  /// Workers that have completed the current phase.
  std::set<model::NodeName> AnsweredWorkers_;
  /// When all tasks were first reported running; the epoch until then.
  core::TimePoint RunningSince_{};
  /// The waiting job for which this one is preempted, if any.
  core::JobId Preemptor_;
  bool TaskFailed_ = false;
  std::string StopReason_;
  /// True while a record that ends the phase is being appended to the log.
  bool RecordPending_ = false;
};

struct PeerEntryHost {
  core::Incarnation Incarnation_ = 0;
  core::Offset NextOffset_ = 0;
  core::TimePoint LastHeartbeatAt_{};
  bool Leaving_ = false;
};

/// What to do with the result of a record that this host appended.
struct PendingRecord {
  /// Id of the command that the record carries out, or 0.
  std::uint64_t CommandId_ = 0;
  model::DomainName Domain_;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  /// When the record was handed to the appender; set for claims and renewals of
  /// cells.
  core::TimePoint AppendedAt_{};
  /// When the append failed with an unknown result; the epoch otherwise.
  core::TimePoint UncertainSince_{};
};

struct EntryState {
  EntrySettings Settings_;
  model::ControlState ControlState_;
  membership::MembershipState Membership_;
  std::map<model::NodeName, PeerEntryHost> Peers_;
  std::map<model::DomainName, CellTracker> CellTrackers_;
  std::map<core::JobId, Gang> Gangs_;
  /// Index of the control state: jobs of each cell with a running or stopping
  /// attempt.
  std::map<model::DomainName, std::set<core::JobId>> ActiveJobs_;
  std::map<core::JobId, core::TimePoint> WaitingSince_;
  /// How long each job waited for its earlier attempts. Not replicated: a host
  /// counts only the waits since its own start.
  std::map<core::JobId, core::Duration> EarlierWaits_;
  /// The domain from which this host last migrated a job to make way for a
  /// waiting one.
  std::map<core::JobId, model::DomainName> MigratedFrom_;
  std::map<core::JobId, std::string> WaitReasons_;
  /// Accelerator time that each job used in earlier attempts that this host
  /// drove. Not replicated: a new holder starts from zero, which only changes
  /// the order of otherwise equal jobs.
  std::map<core::JobId, core::Duration> AttainedService_;
  /// Highest attempt number that this host has used for each job.
  std::map<core::JobId, std::uint32_t> LastAttempt_;
  std::map<core::RecordId, PendingRecord> PendingRecords_;
  std::uint64_t NextSequence_ = 1;
  core::TimePoint LastTailReadAt_{};
  core::TimePoint LastLogFailureAt_{};
  core::TimePoint LastHeartbeatSentAt_{};
  core::TimePoint LastScheduledAt_{};
  core::TimePoint LastMigrationSearchAt_{};
  core::TimePoint StartedAt_{};
  core::TimePoint LastTickAt_{};
  bool LogAvailable_ = false;
  bool Stopping_ = false;
  /// True when something changed since the last scheduling round that may let a
  /// job start.
  bool ScheduleNeeded_ = false;
  /// Jobs with a changed task report or a new record since the last tick. A
  /// running gang depends on nothing else, so a tick skips the others.
  std::set<core::JobId> ChangedJobs_;
  /// True when the next tick must check every gang, because a node, a domain or
  /// the log's availability changed.
  bool CheckAllGangs_ = false;
  /// True when the load of an upstream changed. The next tick publishes a
  /// routing snapshot for it, so that the heartbeats of 533 upstreams do not
  /// cause 533 snapshots a second.
  bool UpstreamLoadChanged_ = false;
};

/// A change of the control state that a caller or operator requests.
struct Command {
  std::uint64_t CommandId_ = 0;
  model::RecordBody Body_;
};

struct LogEntry {
  core::Offset Offset_ = 0;
  model::Batch Records_;
};

/// The log reader restarted from a snapshot in the log or from the state of a
/// peer.
struct StateInstalled {
  model::ControlState State_;
};

/// The log reader reached the log's tail with a read that began at
/// ReadStartedAt_.
struct LogTailReached {
  core::TimePoint ReadStartedAt_{};
};

struct LogAvailability {
  bool Available_ = false;
};

struct AppendFailed {
  core::RecordId Id_;
  /// False when the record is certainly not in the log; true when it may be.
  bool OutcomeUnknown_ = false;
};

struct DatagramReceived {
  std::string From_;
  model::Datagram Message_;
};

/// Periodic event, due every 100 ms.
struct Tick {};

struct StopRequested {};

using Event = std::variant<Command, LogEntry, StateInstalled, LogTailReached,
                           LogAvailability, AppendFailed, DatagramReceived,
                           Tick, StopRequested>;

struct OutgoingDatagram {
  std::string To_;
  model::Datagram Message_;
};

enum class CommandOutcome : std::uint8_t { Applied, Refused, Unknown };

struct CommandReply {
  std::uint64_t CommandId_ = 0;
  CommandOutcome Outcome_ = CommandOutcome::Refused;
  std::string Code_;
  std::string Reason_;
  std::vector<model::ValidationError> ValidationErrors_;
};

/// A structured line for the daemon's log.
struct LogEvent {
  std::string Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
};

struct Effects {
  std::vector<OutgoingDatagram> Sends_;
  std::vector<model::Record> Appends_;
  std::vector<CommandReply> Replies_;
  std::vector<LogEvent> LogEvents_;
  /// True when traffic threads need a new routing snapshot.
  bool RoutingChanged_ = false;
};

/// Returns the initial state of a host that has not read the log yet.
EntryState makeEntryState(const EntrySettings &Settings, core::TimePoint Now);

/// Advances the state by one event.
Effects step(EntryState &State, const Event &Input, core::TimePoint Now);

/// Returns the snapshot by which traffic threads route requests.
routing::RoutingSnapshot makeRoutingSnapshot(const EntryState &State);

/// Returns true while this host holds the lease of the cell of \p Domain.
bool holdsCell(const EntryState &State, const model::DomainName &Domain,
               core::TimePoint Now);

/// Returns true when this host has read up to the log's tail recently enough to
/// let work start.
bool isLogFresh(const EntryState &State, core::TimePoint Now);

/// Returns one sentence that says why a job is in its state and, when it waits,
/// what would let it start.
std::string explainJob(const EntryState &State, const core::JobId &Job,
                       core::TimePoint Now);

} // namespace nutmegwell::entry
