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

/// Control of an entry host as a pure function: state and event to effects. The
/// daemon runs it on its control thread, tests and measurements run it alone.
namespace nutmegwell::entry {

struct EntrySettings {
  model::NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  /// UDP addresses of the other entry hosts.
  std::vector<std::string> EntryAddresses_;
  core::Duration CellLease_ = std::chrono::seconds(6);
  core::Duration CellRenewInterval_ = std::chrono::seconds(2);
  /// Time beyond the lease before another host claims a cell.
  core::Duration ClaimMargin_ = std::chrono::seconds(1);
  core::Duration StartPermit_ = std::chrono::seconds(2);
  /// Age of the last read at the log's tail up to which permits are given.
  core::Duration LogFreshness_ = std::chrono::seconds(1);
  /// Time after which an append in doubt that a read to the log's tail did not
  /// find counts as lost.
  core::Duration UncertainAppendTimeout_ = std::chrono::seconds(2);
  core::Duration TaskLease_ = std::chrono::seconds(15);
  /// Time beyond a task lease and the longer of the checkpoint grace and
  /// model::LeaseExpiryGrace after which an agent that is not heard certainly
  /// runs nothing: 2 s for a call to its runtime, 1 s for timers.
  core::Duration StopMargin_ = std::chrono::seconds(3);
  /// Time since its last read at the log's tail for which a holder renews task
  /// leases. Longer than the log's outages, since gangs end with it.
  core::Duration OutageLease_ = std::chrono::minutes(10);
  core::Duration ReservationLease_ = std::chrono::seconds(5);
  /// Time from the commit in which every task of a gang must have started.
  core::Duration StartBound_ = std::chrono::seconds(5);
  core::Duration CheckpointGrace_ = std::chrono::seconds(3);
  core::Duration ResendInterval_ = std::chrono::milliseconds(500);
  /// Wait of hosts that do not hold a job's preferred cell.
  core::Duration OtherCellDelay_ = std::chrono::milliseconds(500);
  /// Time between decisions while jobs wait. A change is looked at before that
  /// when an urgent job waits or the host knows few nodes.
  core::Duration ScheduleInterval_ = std::chrono::milliseconds(500);
  /// Least time between two searches for jobs to move, shorter with few nodes.
  /// A search of four cells with 533 workers each takes 36 ms, so this keeps it
  /// near 0.4% of a core.
  core::Duration MigrationInterval_ = std::chrono::seconds(10);
  core::Duration HeartbeatInterval_ = std::chrono::seconds(1);
  core::Duration PeerTimeout_ = std::chrono::seconds(3);
  /// Time without a tick after which this process counts as paused.
  core::Duration PauseAfter_ = std::chrono::seconds(1);
  membership::MembershipSettings Membership_;
  std::function<sched::Plan(const sched::CellView &)> Decide_ =
      [](const sched::CellView &View) { return sched::planCell(View); };
};

/// A process that held a cell and may still renew task leases in it, because it
/// may not have read the claim that ended its tenure.
struct FormerHolder {
  model::NodeName Node_;
  core::Incarnation Incarnation_ = 0;
  /// First offset behind the claim.
  core::Offset ClaimEndOffset_ = 0;
  /// When this host read the claim.
  core::TimePoint Since_{};
};

/// What this host knows of one cell's tenure.
struct CellTracker {
  std::uint64_t RenewalCount_ = 0;
  /// When this host last read a claim or renewal.
  core::TimePoint RenewalReadAt_{};
  /// End of this host's own lease, counted from before the append.
  core::TimePoint OwnLeaseEnds_{};
  bool Pending_ = false;
  core::TimePoint PendingSince_{};
  /// Tenure as this host read it last.
  core::Term Term_ = 0;
  model::NodeName Holder_;
  core::Incarnation HolderIncarnation_ = 0;
  std::vector<FormerHolder> FormerHolders_;
  /// Latest time at which a former holder may have renewed a task lease.
  core::TimePoint RenewedUntil_{};
};

enum class GangPhase : std::uint8_t {
  Reserving,
  Committing,
  Starting,
  Running,
  Stopping
};

/// One attempt of a job as the cell's holder drives it.
struct Gang {
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  model::DomainName Domain_;
  core::Term Term_ = 0;
  model::JobSpec Spec_;
  model::Placement Placement_;
  GangPhase Phase_ = GangPhase::Reserving;
  /// When the phase began.
  core::TimePoint Since_{};
  core::TimePoint LastSent_{};
  /// Workers of the gang and the process that reported the attempt, or 0.
  std::map<model::NodeName, core::Incarnation> WorkerIncarnations_;
  /// Workers that have answered the step of the phase.
  std::set<model::NodeName> Answered_;
  /// When every task was first seen to run; the epoch before.
  core::TimePoint RunningSince_{};
  /// The waiting job for which this one is stopped, if any.
  core::JobId Preemptor_;
  bool TaskFailed_ = false;
  std::string StopReason_;
  /// True while a record that ends the phase is on its way to the log.
  bool RecordPending_ = false;
};

struct PeerEntry {
  core::Incarnation Incarnation_ = 0;
  core::Offset NextOffset_ = 0;
  core::TimePoint LastHeartbeatAt_{};
  bool Leaving_ = false;
};

/// What a record of this host was appended for.
struct PendingRecord {
  /// Ticket of a caller's command, or 0.
  std::uint64_t CommandId_ = 0;
  model::DomainName Domain_;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  /// When the step asked for the append; set for cell records.
  core::TimePoint AppendedAt_{};
  /// When the append failed in doubt, or zero.
  core::TimePoint UncertainSince_{};
};

struct EntryState {
  EntrySettings Settings_;
  model::ControlState ControlState_;
  membership::MembershipState Membership_;
  std::map<model::NodeName, PeerEntry> Peers_;
  std::map<model::DomainName, CellTracker> CellTrackers_;
  std::map<core::JobId, Gang> Gangs_;
  /// Index of ControlState_: jobs that run or stop in each cell.
  std::map<model::DomainName, std::set<core::JobId>> Attempts_;
  std::map<core::JobId, core::TimePoint> WaitingSince_;
  /// How long each job waited for its earlier attempts. A host that starts
  /// later counts from then on.
  std::map<core::JobId, core::Duration> EarlierWaits_;
  /// The domain from which this host last moved a job for a waiting one.
  std::map<core::JobId, model::DomainName> MigratedFrom_;
  std::map<core::JobId, std::string> WaitReasons_;
  /// Accelerator time that this host saw a job use in earlier attempts. A new
  /// holder starts from zero, which only changes the order of equal jobs.
  std::map<core::JobId, core::Duration> AttainedService_;
  /// Highest attempt number that this host used for a job.
  std::map<core::JobId, std::uint32_t> LastAttempt_;
  std::map<core::RecordId, PendingRecord> PendingRecords_;
  std::uint64_t NextSequence_ = 1;
  core::TimePoint LastTailReadAt_{};
  core::TimePoint UnavailableSince_{};
  core::TimePoint LastHeartbeatSentAt_{};
  core::TimePoint LastScheduledAt_{};
  core::TimePoint LastMigrationSearchAt_{};
  core::TimePoint StartedAt_{};
  core::TimePoint LastTickAt_{};
  bool LogAvailable_ = false;
  bool Stopping_ = false;
  /// True when something changed that may let a job start.
  bool ScheduleNeeded_ = false;
  /// Jobs of which a report or a record changed since the last tick. A gang
  /// that runs undisturbed depends on nothing else, so a tick skips it.
  std::set<core::JobId> ChangedJobs_;
  /// True when the next tick must look at every gang: a node, a domain or the
  /// log's availability changed.
  bool CheckAllGangs_ = false;
  /// True when only the load of an upstream changed. The next tick publishes
  /// it, so that 533 upstreams do not cause 533 routing snapshots a second.
  bool LoadsChanged_ = false;
};

/// A change that a caller or operator asked for.
struct Command {
  std::uint64_t CommandId_ = 0;
  model::RecordBody Body_;
};

struct LogEntry {
  core::Offset At_ = 0;
  model::Batch Records_;
};

/// The reader restarted from a snapshot or from the state of a peer.
struct StateInstalled {
  model::ControlState State_;
};

/// The reader reached the tail with a read that began at ReadAt_.
struct LogTailReached {
  core::TimePoint ReadAt_{};
};

struct LogAvailability {
  bool Available_ = false;
};

struct AppendFailed {
  core::RecordId Id_;
  /// False when the record is certainly not in the log.
  bool OutcomeUnknown_ = false;
};

struct DatagramReceived {
  std::string From_;
  model::Datagram Message_;
};

/// Due every 100 ms.
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

/// A line for the log of the daemon.
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

/// Returns the state of a host that has read nothing yet.
EntryState makeEntryState(const EntrySettings &Settings, core::TimePoint Now);

/// Advances the state by one event.
Effects step(EntryState &State, const Event &What, core::TimePoint Now);

/// Returns what traffic threads route by.
routing::RoutingSnapshot makeRoutingSnapshot(const EntryState &State);

/// Returns true while this host may act as holder of \p Domain.
bool holdsCell(const EntryState &State, const model::DomainName &Domain,
               core::TimePoint Now);

/// Returns true when this host's view of the log is recent enough to let work
/// start.
bool isLogFresh(const EntryState &State, core::TimePoint Now);

/// Says in one sentence why a job is where it is and what would let it start.
std::string explainJob(const EntryState &State, const core::JobId &Job,
                       core::TimePoint Now);

} // namespace nutmegwell::entry
