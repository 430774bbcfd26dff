#pragma once

#include "nutmegwell/cell/approval.h"
#include "nutmegwell/cell/departure.h"
#include "nutmegwell/cell/headroom.h"
#include "nutmegwell/cell/messages.h"
#include "nutmegwell/cell/pace.h"
#include "nutmegwell/cell/preempt.h"
#include "nutmegwell/cell/speedrecords.h"
#include "nutmegwell/cell/stall.h"
#include "nutmegwell/cell/workerhealth.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/expect/runtimes.h"
#include "nutmegwell/expect/speeds.h"
#include "nutmegwell/jobs/progressrecords.h"
#include "nutmegwell/jobs/tables.h"
#include "nutmegwell/jobs/view.h"
#include "nutmegwell/share/usage.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// Whether a job can still meet its objective.
enum class ObjectiveStatus : std::uint8_t { OnTime, Late, Expired };

/// Times, limits and weights of a cell's holder.
struct HolderPolicy {
  /// Maximum lease that a worker accepts.
  core::Duration MaxLease_ = std::chrono::seconds(6);
  /// Time for which a store call confirms that no other host holds the cell.
  /// Longer than the store's usual outages, which last up to 4.5 s in the site
  /// files; in a longer outage running work continues for another MaxLease_.
  core::Duration TenureValidity_ = std::chrono::seconds(6);
  /// Lowest rate of a worker's clock; the platform allows a deviation of 2%.
  double MinClockRate_ = 0.98;
  /// Added to bounds that compare the clocks of two hosts: covers a round trip
  /// and a late timer.
  core::Duration ClockMargin_ = std::chrono::milliseconds(200);
  /// Time from a start order until the worker refuses it as late.
  core::Duration StartPermit_ = std::chrono::milliseconds(1500);
  /// Longest time after which a worker still carries out a call that got no
  /// response; the platform's kinds of trouble delay calls by up to 12 s.
  core::Duration MaxCallDelay_ = std::chrono::seconds(12);
  /// A worker that has not reported for this long gets no new work. Two report
  /// intervals, and one more for a lost report.
  core::Duration SuspectAfter_ = std::chrono::milliseconds(1500);
  /// A worker that has not reported for this long is recorded as closed, so
  /// that a new holder knows which tasks may run on it. Twice SuspectAfter_,
  /// because reopening a worker takes an append.
  core::Duration CloseAfter_ = std::chrono::milliseconds(3000);
  /// A stop order is sent again when the run is still listed after this time.
  core::Duration StopResendInterval_ = std::chrono::milliseconds(500);
  /// Delay before the next attempt of a failed task, so that reports of a
  /// failing worker arrive before the next placement.
  core::Duration RetryBackoff_ = std::chrono::milliseconds(100);
  /// Factor by which a task takes longer away from its data or across racks.
  double RemotePenalty_ = 3;
  /// A job that takes up to this many times its objective is late; beyond that
  /// its result is worth nothing to the caller. The user documentation sets the
  /// factor to three.
  int LateFactor_ = 3;
  /// Maximum time that guaranteed work waits for a worker near its data. Less
  /// than half of the 2.7 s within which the user documentation requires a
  /// start, so that stops and the repeat of a lost order still fit.
  core::Duration GuaranteedLocalityWait_ = std::chrono::milliseconds(1200);
  /// Minimum share of a service's accelerators that must be free for work that
  /// could wait to be placed far from its data.
  double RemoteMinFreeShare_ = 0.5;
  /// Delay added to the due time of an occurrence, because the clocks of hosts
  /// differ.
  core::Duration DueMargin_ = std::chrono::milliseconds(20);
  /// A task of a speculative step gets a copy when it has run for this many
  /// times its declared time and is not nearly done.
  double CopyAfterFactor_ = 2;
  /// Progress in percent from which a run counts as nearly done.
  double NearlyDonePercent_ = 75;
  /// Maximum number of copies per hundred runs, so that copies do not crowd out
  /// first attempts.
  std::size_t CopiesPerHundred_ = 5;
  StallPolicy Stall_;
  QuarantinePolicy Quarantine_;
  PacePolicy Pace_;
  ApprovalLimits Approval_;
  VictimChoice ChooseVictims_ = chooseVictims;
  PreemptionLimits Preemption_;
  HeadroomPolicy Headroom_;
  DeparturePolicy Departure_;
  /// Speeds of workers and run times of tasks are learned and used.
  bool LearnRunTimes_ = false;
  /// A speed counts as known when the standard error of its logarithm is at
  /// most this. Half of the deviation between workers, so that speeds of 0.6,
  /// 1.0 and 1.6 differ by more than their errors.
  double KnownSpeedError_ = 0.2;
  SpeedRecordPolicy SpeedRecords_;
  /// Accounts that have used less lately go first.
  bool FairShares_ = false;
  /// Under FairShares_, the number of units of an account that one decision
  /// tries in vain. Each costs a search of all racks; alike units of a step
  /// count once.
  unsigned MaxTriesOfAccount_ = 64;
  /// The first gang that does not fit keeps a place.
  bool ReserveForGangs_ = false;
  /// Worst status with which urgent work preempts. Preemption delays other
  /// callers and discards work, which never pays off for a job whose result has
  /// become worthless.
  ObjectiveStatus WorstPreemptingStatus_ = ObjectiveStatus::Late;
};

enum class RunState : std::uint8_t {
  /// The start order was sent; the worker has not listed the run yet.
  Ordered,
  Running,
  /// A stop order was sent; the run still holds its resources.
  Stopping,
  /// The worker does not run it any more and has yet to list how it ended. The
  /// run holds no resources, and its task does not start again.
  EndUnlisted
};

/// A run that exists or may exist on a worker.
struct TaskRun {
  RunId Id_;
  std::string Host_;
  /// Resources that the run takes of its worker; no processors for a
  /// best-effort task.
  jobs::Resources Resources_;
  int Priority_ = 0;
  bool Gang_ = false;
  bool LongRunning_ = false;
  /// The run saves a checkpoint when it is stopped.
  bool Checkpoints_ = false;
  /// The run uses only processors that other runs leave idle.
  bool BestEffort_ = false;
  /// Target tail latency of a serving run; zero for none.
  core::Duration TargetLatency_{0};
  /// Latest reported usage: tail latency in ms for a serving run, thousandths
  /// of a core for any other run.
  double Usage_ = 0;
  /// Ordered speed in percent of the full speed.
  unsigned Pace_ = 100;
  core::TimePoint PaceSentAt_{};
  RunState State_ = RunState::Ordered;
  /// Sequence number of the orders message that carried the start.
  std::uint64_t OrderSequence_ = 0;
  core::TimePoint OrderedAt_{};
  /// When the reported percentage last changed.
  core::TimePoint ProgressedAt_{};
  core::TimePoint StopSentAt_{};
  double Percent_ = 0;
  /// When the run was first listed.
  core::TimePoint ListedAt_{};
  /// Percentage with which the run was first listed: not 0 when it resumed, or
  /// was adopted.
  double ListedPercent_ = 0;
  /// When the percentage changed first, and to what.
  std::optional<core::TimePoint> FirstChangeAt_;
  double FirstChangePercent_ = 0;
  /// Longest time between two changes of the percentage.
  core::Duration LongestGap_{0};
  /// This holder has ordered the run without a checkpoint, so that the time
  /// from the order to the end is that of the whole task.
  bool FromStart_ = false;
  std::string Checkpoint_;
};

/// State of a worker as its holder knows it.
struct Worker {
  std::string Host_;
  bool Connected_ = false;
  core::TimePoint ConnectedAt_{};
  /// The worker has adopted this term, so that its lists show all that runs.
  bool Synced_ = false;
  /// The worker responds to its agent.
  bool Reachable_ = true;
  /// A durable record allows tasks to start on the worker.
  bool Listed_ = false;
  /// The worker was closed and has not been reopened.
  bool Closed_ = false;
  core::Incarnation AgentIncarnation_ = 0;
  std::optional<WorkerInfo> Info_;
  /// Incarnation of the agent that has reported Info_.
  core::Incarnation InfoFrom_ = 0;
  core::TimePoint LastReportAt_{};
  std::uint64_t LastReportSequence_ = 0;
  /// Nothing that was started on the worker runs after this time unless its
  /// lease is extended again.
  core::TimePoint LeaseEnds_{};
  /// Until this time, starts with a deadline on the clock of the worker's
  /// earlier incarnation may still be carried out. Such a deadline lies far
  /// ahead on the new clock, so that each extends the leases by the longest
  /// lease.
  core::TimePoint LateStartsUntil_{};
  /// Starts that were ordered so recently that a call without a response may
  /// still be carried out, in the order of their times. The worker's agent
  /// knows the calls, but loses them when it restarts.
  std::deque<std::pair<core::TimePoint, RunId>> RecentStarts_;
  /// When the agent's newest process replaced another one.
  std::optional<core::TimePoint> AgentReplacedAt_;
  std::uint64_t NextOrder_ = 1;
  std::uint64_t ProcessedOrders_ = 0;
  std::uint64_t EndsHandled_ = 0;
  std::uint64_t EndsDurable_ = 0;
  /// Until this time, ordered starts that no report lists may still take
  /// effect: the agent has restarted and lost its list of pending starts.
  core::TimePoint UncertainUntil_{};
  WorkerHealth Health_;
  WorkerPace Pace_;
  /// Set while the worker drains.
  std::optional<DepartureNotice> Departure_;
  /// The worker has a run of no known job, whose use of resources is unknown.
  bool HasOrphanRun_ = false;

  /// Orders for the next message.
  std::vector<StartOrder> Starts_;
  std::vector<RunId> Stops_;
  std::vector<PaceOrder> Paces_;
  bool OrdersDue_ = false;
};

/// Progress of a job as the holder knows it, ahead of the durable records.
struct LiveJob {
  jobs::JobProgress Progress_;
  /// Failures that Progress_ counts and does not name, by step.
  std::map<jobs::StepPosition, jobs::EarlierFailures> EarlierFailures_;
  /// Steps whose earlier failures have yet to be recorded.
  std::set<jobs::StepPosition> FailuresToRecord_;
  /// Parts of steps whose progress has changed since their record, while the
  /// progress is recorded in parts.
  std::set<jobs::StepPart> PartsToRecord_;
  /// Earliest time of the job's next attempt at any task.
  core::TimePoint NotBefore_{};
  /// When this holder first considered the job.
  core::TimePoint WaitingSince_{};
};

/// What the records are to say about a worker.
enum class Listing : std::uint8_t {
  /// Tasks may start on the worker.
  Open,
  /// No task starts on the worker; running tasks may continue.
  Closed,
  /// No task can be running on the worker.
  Gone
};

/// A listed worker that has not yet reported all of its runs and ends under
/// this holder's term.
struct UnsyncedWorker {
  /// No task that an earlier holder started runs on the worker after this time.
  core::TimePoint RunsEndBy_{};
  /// The only tasks that may be running on the worker; absent when any task may
  /// be.
  std::optional<std::set<TaskId>> Tasks_;
};

/// Use of a service by client accounts.
struct ServiceAccounts {
  share::UsageLedger Ledger_;
  /// Accounts with units that could not be placed at the last decision.
  std::set<std::string> Waiting_;
};

/// What the log has shown of reservations for gangs; no decision uses it.
struct ReservationLog {
  /// Gang for which the last decision made a reservation, by service.
  std::map<std::string, TaskId> Newest_;
  /// Waiting gangs whose first reservation was logged.
  std::set<TaskId> Logged_;
};

/// Attempts, ordered by task and run.
using TaskRunMap = std::map<RunId, TaskRun>;

/// Known speeds of workers, for metrics.
struct SpeedFigures {
  std::size_t Known_ = 0;
  /// Lowest and highest known speed; 0 when none is known.
  double Min_ = 0;
  double Max_ = 0;
};

/// Speeds of workers that have been logged.
struct SpeedLog {
  struct Line {
    std::int64_t WorkerIncarnation_ = 0;
    double Speed_ = 1;
  };
  /// By host.
  std::map<std::string, Line> Lines_;
  core::TimePoint NextAt_{};
};

/// Control state of a cell's holder; exists only while the host holds the cell.
struct Holder {
  HolderPolicy Policy_;
  core::Term Term_ = 0;
  core::Offset ClaimedAt_ = 0;
  core::TimePoint BegunAt_{};
  /// When the newest store call that showed no higher claim was sent.
  core::TimePoint TenureConfirmedAt_{};
  /// The record that earlier holders grant no more leases was collected for an
  /// append.
  bool SettledRecordQueued_ = false;
  std::uint64_t RunCounter_ = 0;

  TaskRunMap Runs_;
  std::map<std::string, Worker> Workers_;
  std::map<std::string, LiveJob> Jobs_;
  /// Listed workers that may still run tasks of an earlier holder, or may have
  /// ended some without having listed it, by host.
  std::map<std::string, UnsyncedWorker> UnsyncedWorkers_;

  /// Use by accounts, by service; empty unless the policy has FairShares_. A
  /// new holder starts without it.
  std::map<std::string, ServiceAccounts> Accounts_;
  /// When the usages were last handed to the metrics.
  core::TimePoint UsagesShownAt_{};

  ReservationLog Reservations_;

  /// Answers of the approval service, by step.
  std::map<StepId, StepApprovals> Approvals_;
  bool ApprovalInFlight_ = false;
  /// Earliest time of the next request, after one that got no answer.
  core::TimePoint NextApprovalRequestAt_{};

  /// Latest decisions on the units of draining workers, by their first run.
  std::map<RunId, DepartureChoice> DepartureChoices_;

  /// Outcomes of the steps of unfinished jobs.
  std::map<JobStep, StepOutcomes> StepOutcomes_;

  expect::SpeedModel Speeds_;
  SpeedRecords SpeedRecords_;
  SpeedLog SpeedLog_;
  /// Work of tasks, learned while HolderPolicy::LearnRunTimes_ is set.
  expect::RunTimeModel RunTimes_;

  /// Jobs whose progress has yet to be recorded.
  std::set<std::string> JobsToRecord_;
  /// Listing changes that have yet to be recorded, by host.
  std::map<std::string, Listing> ListingsToRecord_;
  bool AppendInFlight_ = false;
  /// Number of the newest end that the append in flight makes durable, by host.
  std::map<std::string, std::uint64_t> EndsInFlight_;
  std::map<std::string, Listing> ListingsInFlight_;
  /// Listing changes of this tenure that are durable; the view shows them
  /// later.
  std::map<std::string, Listing> RecordedListings_;
};

/// Read-only inputs of a control step besides the holder's own state.
struct HolderContext {
  const jobs::View &View_;
  const jobs::ServiceTables &Tables_;
  const std::set<std::string> &OutOfServiceDomains_;
  core::TimePoint Now_;
  jobs::WallTime Wall_;
};

/// Recent usage of a service by an account.
struct AccountUsage {
  std::string Service_;
  std::string Account_;
  /// Dominant share of the service, from 0 to 1.
  double Usage_ = 0;
};

/// Actions that a control step requests from its driver.
struct Effects {
  std::vector<std::pair<std::string, HolderOrders>> Orders_;
  /// Records for one append under the holder's term; empty for no append.
  std::vector<jobs::Record> Append_;
  /// Request to the approval service, which handles one at a time.
  std::optional<ApprovalRequest> ApprovalRequest_;
  std::vector<core::LogEvent> LogEvents_;
  /// Set about once in a second while speeds are learned.
  std::optional<SpeedFigures> SpeedFigures_;
  /// New or changed decisions on units of draining workers, for the metrics.
  std::vector<DepartureChoice> Departures_;
  /// Usages of all accounts for the metrics, when they are due.
  std::optional<std::vector<AccountUsage>> AccountUsages_;
  /// Time at which advanceHolder is to be called next.
  core::TimePoint WakeAt_ = core::TimePoint::max();
};

/// Begins the tenure of the claim at offset \p ClaimedAt. A store call sent at
/// \p ConfirmedAt showed no higher claim. Earlier holders grant no leases after
/// \p GrantsEnd, which is absent when there was no earlier holder. On the
/// workers \p EmptyWorkers none of their tasks can be running.
Holder beginTenure(const HolderPolicy &Policy, core::Offset ClaimedAt,
                   core::TimePoint ConfirmedAt,
                   std::optional<core::TimePoint> GrantsEnd,
                   const std::set<std::string> &EmptyWorkers,
                   const HolderContext &Context);

/// Tightens the bound on earlier holders, which grant no leases after
/// \p GrantsEnd.
void limitEarlierGrants(Holder &State, core::TimePoint GrantsEnd);

/// Returns the listed workers on which no task can be running, although the
/// record of that is not durable yet.
std::vector<std::string> emptyWorkers(const Holder &State);

/// Processes a report of an agent.
void onReport(Holder &State, const AgentReport &Report,
              const HolderContext &Context, Effects &Out);

/// Handles the end of the connection to an agent.
void onAgentDisconnected(Holder &State, const std::string &Host);

/// Confirms the tenure: a store call sent at \p SentAt succeeded and showed no
/// higher claim.
void onTenureConfirmed(Holder &State, core::TimePoint SentAt);

/// Processes the response to \p Request, or the error when there is none.
void onApprovalResponse(Holder &State, const ApprovalRequest &Request,
                        const absl::StatusOr<ApprovalResponse> &Response,
                        const HolderContext &Context, Effects &Out);

/// Handles the completion of the append in flight, whose records are now
/// durable.
void onAppended(Holder &State);

/// Applies the effects of elapsed time and new records, places waiting work,
/// and collects the orders and records that are due.
void advanceHolder(Holder &State, const HolderContext &Context, Effects &Out);

} // namespace nutmegwell::cell
