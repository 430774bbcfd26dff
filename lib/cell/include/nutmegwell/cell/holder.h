#pragma once

#include "nutmegwell/cell/approval.h"
#include "nutmegwell/cell/messages.h"
#include "nutmegwell/cell/pace.h"
#include "nutmegwell/cell/preempt.h"
#include "nutmegwell/cell/workerhealth.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/jobs/tables.h"
#include "nutmegwell/jobs/view.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// What a job can still be worth to its caller.
enum class ObjectiveStatus : std::uint8_t { OnTime, Late, Expired };

/// Times and weights of a cell's holder.
struct HolderPolicy {
  /// Longest lease that a worker accepts.
  core::Duration MaxLease_ = std::chrono::seconds(6);
  /// Time for which a store call confirms that no other host holds the cell.
  /// Longer than the store's usual outages, which last up to 4.5 s in the site
  /// files; in a longer one running work goes on for MaxLease_ more.
  core::Duration TenureValidity_ = std::chrono::seconds(6);
  /// Rate of the slowest worker clock; the platform allows 2%.
  double MinClockRate_ = 0.98;
  /// Added to bounds that compare two hosts' clocks: a round trip and a late
  /// timer.
  core::Duration ClockMargin_ = std::chrono::milliseconds(200);
  /// Time from an order until the worker refuses it as late.
  core::Duration StartPermit_ = std::chrono::milliseconds(1500);
  /// A worker without a report for this long gets no new work. Twice the
  /// interval of reports and a lost one.
  core::Duration SuspectAfter_ = std::chrono::milliseconds(1500);
  /// A worker without a report for this long is closed in the records, so that
  /// a new holder knows what can run there. Twice SuspectAfter_, since to open
  /// it again takes an append.
  core::Duration CloseAfter_ = std::chrono::milliseconds(3000);
  /// A stop is sent again while the run is still listed after this.
  core::Duration StopResendInterval_ = std::chrono::milliseconds(500);
  /// Time without progress after which a run is given up, when its pace is
  /// not known.
  core::Duration StallTimeout_ = std::chrono::milliseconds(3000);
  /// How many times as long as its declared work took a run may go on after it.
  /// Declared times are off by up to 0.9 in the site files, so that the real
  /// one can be several times as long.
  int OverrunFactor_ = 3;
  /// A failed task waits this long before its next attempt, so that the news of
  /// a failing worker can spread.
  core::Duration RetryBackoff_ = std::chrono::milliseconds(100);
  /// How many times as long a task takes away from its data or across racks.
  double RemotePenalty_ = 3;
  /// A job that takes up to this many times its objective is late; after that
  /// it is worth nothing to its caller. The users' pages say three.
  int LateFactor_ = 3;
  /// Work within a guarantee waits this long for a place near its data. Less
  /// than half of the 2.7 s in which the users' pages want it started, so that
  /// stops and a lost order still fit.
  core::Duration GuaranteedLocalityWait_ = std::chrono::milliseconds(1200);
  /// Share of a service's accelerators that has to be free for work to be
  /// placed far from its data when it could wait.
  double RemoteMinFreeShare_ = 0.5;
  /// A due occurrence starts this much after its time, because clocks of hosts
  /// differ.
  core::Duration DueMargin_ = std::chrono::milliseconds(20);
  /// A task of a speculative step that has run this many times its declared
  /// time and is not nearly done gets a copy.
  double CopyAfterFactor_ = 2;
  /// Part of the work, 0 to 100, from which a run counts as nearly done.
  double NearlyDonePercent_ = 75;
  /// Most copies for each hundred runs, so that copies do not crowd out first
  /// attempts.
  std::size_t CopiesPerHundred_ = 5;
  QuarantinePolicy Quarantine_;
  PacePolicy Pace_;
  ApprovalLimits Approval_;
  VictimChoice ChooseVictims_ = chooseVictims;
  /// Worst outlook with which urgent work preempts. Stops delay other callers
  /// and throw work away, which never pays for a job that is lost.
  ObjectiveStatus WorstPreemptingStatus_ = ObjectiveStatus::Late;
};

enum class RunState : std::uint8_t {
  /// The start was sent; the worker has not listed the run.
  Ordered,
  Running,
  /// A stop was sent; the run still takes its room.
  Stopping
};

/// A run that exists or may exist on a worker.
struct TaskRun {
  RunId Id_;
  std::string Host_;
  /// What it takes of the worker; no processors for a filling task.
  jobs::Resources Resources_;
  int Priority_ = 0;
  bool Gang_ = false;
  bool LongRunning_ = false;
  /// The run saves a checkpoint when it is stopped.
  bool Checkpoints_ = false;
  /// The run works with what others leave of the worker's processors.
  bool BestEffort_ = false;
  /// Largest tail latency of a serving run; zero for none.
  core::Duration TargetLatency_{0};
  /// Newest tail latency of a serving run in ms, thousandths of a core of
  /// another.
  double Usage_ = 0;
  /// Share of its speed at which the run was told to work, 0 to 100.
  unsigned Pace_ = 100;
  core::TimePoint PaceSentAt_{};
  RunState State_ = RunState::Ordered;
  /// Number of the orders message that carried the start.
  std::uint64_t OrderSequence_ = 0;
  core::TimePoint OrderedAt_{};
  /// When the percentage changed last.
  core::TimePoint ProgressedAt_{};
  core::TimePoint StopSentAt_{};
  double Percent_ = 0;
  std::string Checkpoint_;
};

/// A worker as its holder sees it.
struct Worker {
  std::string Host_;
  bool Connected_ = false;
  /// The worker obeys this term, so its lists are complete.
  bool Synced_ = false;
  /// The worker answers its agent.
  bool Reachable_ = true;
  /// The record that tasks may start here is durable.
  bool Listed_ = false;
  /// The worker was closed and has not been opened again.
  bool Closed_ = false;
  core::Incarnation AgentIncarnation_ = 0;
  std::optional<WorkerInfo> Info_;
  core::TimePoint LastReportAt_{};
  std::uint64_t LastReportSequence_ = 0;
  /// Nothing that was started here runs after this time unless a lease is
  /// extended again.
  core::TimePoint LeaseEnds_{};
  std::uint64_t NextOrder_ = 1;
  std::uint64_t ProcessedOrders_ = 0;
  std::uint64_t EndsHandled_ = 0;
  std::uint64_t EndsDurable_ = 0;
  /// Unlisted runs may still start until then, since an agent's process that
  /// ended took its pending starts with it.
  core::TimePoint UncertainUntil_{};
  WorkerHealth Health_;
  WorkerPace Pace_;
  /// A run that no job explains is present; nothing is known of its size.
  bool HasOrphanRun_ = false;

  /// Orders that the next message carries.
  std::vector<StartOrder> Starts_;
  std::vector<RunId> Stops_;
  std::vector<PaceOrder> Paces_;
  bool OrdersDue_ = false;
};

/// A job's work as the holder knows it, ahead of the durable records.
struct LiveJob {
  jobs::JobProgress Progress_;
  /// No attempt of a task before this time.
  core::TimePoint NotBefore_{};
  /// When the job was first seen waiting.
  core::TimePoint WaitingSince_{};
};

/// What the records say of a worker from now on.
enum class Listing : std::uint8_t {
  /// Tasks may start there.
  Open,
  /// No task starts there; those that run may go on.
  Closed,
  /// Nothing can run there.
  Gone
};

/// A worker that has not reported to this holder.
struct UnsyncedWorker {
  /// Nothing that an earlier holder started runs there after this time.
  core::TimePoint RunsEndBy_{};
  /// The only tasks that may run there; absent when it can be any.
  std::optional<std::set<TaskId>> Tasks_;
};

/// Attempts by task and run.
using TaskRunMap = std::map<RunId, TaskRun>;

/// Control state of a cell's holder. Exists only while the host holds the cell.
struct Holder {
  HolderPolicy Policy_;
  core::Term Term_ = 0;
  core::Offset ClaimedAt_ = 0;
  core::TimePoint BegunAt_{};
  core::TimePoint TenureConfirmedAt_{};
  /// The record that no earlier grant is left was collected.
  bool SettledRecordQueued_ = false;
  std::uint64_t RunCounter_ = 0;

  TaskRunMap Runs_;
  std::map<std::string, Worker> Workers_;
  std::map<std::string, LiveJob> Jobs_;
  /// Workers that may run tasks of an earlier holder.
  std::map<std::string, UnsyncedWorker> UnsyncedWorkers_;

  /// Answers of the approval service, by step.
  std::map<StepId, StepApprovals> Approvals_;
  bool ApprovalInFlight_ = false;
  /// No question is asked before this time, after one without an answer.
  core::TimePoint NextApprovalRequestAt_{};

  /// Jobs whose progress has to be recorded.
  std::set<std::string> JobsToRecord_;
  /// Listings that have to be recorded.
  std::map<std::string, Listing> ListingsToRecord_;
  bool AppendInFlight_ = false;
  /// Ends that the append in flight makes durable, by host.
  std::map<std::string, std::uint64_t> EndsInFlight_;
  std::map<std::string, Listing> ListingsInFlight_;
  /// Listings of this tenure that are durable. The view shows them later.
  std::map<std::string, Listing> RecordedListings_;
};

/// What the control thread may see besides the holder's own state.
struct HolderContext {
  const jobs::View &View_;
  const jobs::ServiceTables &Tables_;
  const std::set<std::string> &OutOfServiceDomains_;
  core::TimePoint Now_;
  jobs::WallTime Wall_;
};

/// What a step asks its driver to do.
struct Effects {
  std::vector<std::pair<std::string, HolderOrders>> Orders_;
  /// Records for one append under the holder's term; empty for none.
  std::vector<jobs::Record> Append_;
  /// Question for the approval service, which answers one at a time.
  std::optional<ApprovalRequest> ApprovalRequest_;
  std::vector<core::LogEvent> LogEvents_;
  /// Time at which to call tick again.
  core::TimePoint WakeAt_ = core::TimePoint::max();
};

/// Starts a tenure with the claim at \p ClaimedAt. Earlier holders give no
/// grants after \p GrantsEnd; nothing without an earlier holder. On the workers
/// \p VoidWorkers nothing of theirs can run.
Holder beginTenure(const HolderPolicy &Policy, core::Offset ClaimedAt,
                   std::optional<core::TimePoint> GrantsEnd,
                   const std::set<std::string> &VoidWorkers,
                   const HolderContext &Around);

/// Notes that earlier holders give no grants after \p GrantsEnd.
void limitEarlierGrants(Holder &State, core::TimePoint GrantsEnd);

/// Returns the listed workers on which certainly nothing runs, although that
/// is not durable yet.
std::vector<std::string> emptyWorkers(const Holder &State);

/// Takes a report of an agent.
void onReport(Holder &State, const AgentReport &Report,
              const HolderContext &Around, Effects &Out);

/// Notes that the connection to an agent has ended.
void onAgentDisconnected(Holder &State, const std::string &Host);

/// Notes that a store call sent at \p SentAt succeeded and showed no higher
/// claim.
void onTenureConfirmed(Holder &State, core::TimePoint SentAt);

/// Takes the answer to \p Question, or the error when there is none.
void onApprovalResponse(Holder &State, const ApprovalRequest &Question,
                        const absl::StatusOr<ApprovalResponse> &Answer,
                        const HolderContext &Around, Effects &Out);

/// Notes that the append in flight is durable.
void onAppended(Holder &State);

/// Applies what time and records have changed, places work, and collects the
/// orders and records that are due.
void advanceHolder(Holder &State, const HolderContext &Around, Effects &Out);

} // namespace nutmegwell::cell
