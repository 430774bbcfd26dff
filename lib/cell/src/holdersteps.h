#pragma once

#include "nutmegwell/cell/holder.h"
#include "nutmegwell/cell/load.h"
#include "nutmegwell/cell/placement.h"

namespace nutmegwell::cell {

/// Tasks of a step that are scheduled together: a whole gang, one task, or a
/// copy of a run.
struct Unit {
  const jobs::JobEntry *Job_ = nullptr;
  jobs::OccurrenceNumber Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  /// First task and number of tasks. Without a gang, the further tasks of the
  /// step that wait follow the first one.
  std::uint32_t Index_ = 0;
  std::uint32_t Count_ = 1;
  /// Time by which the start can still be delayed without missing the job's
  /// objective; negative when it is missed.
  core::Duration Slack_{0};
  /// Time after the job's arrival within which it should end.
  core::Duration Objective_{0};
  /// When the job arrived, or when the occurrence was due.
  jobs::WallTime Begin_{};
  int Priority_ = 0;
  /// The account's guarantee covers this job.
  bool Guaranteed_ = false;
  /// Rank of the account by recent usage, 0 while it competes with no other.
  int UsageRank_ = 0;
  /// The unit has waited so long that it precedes late ones; never set while
  /// its account competes with no other.
  bool Overdue_ = false;
  /// Host of the run that this unit copies; empty for a first attempt.
  std::string OriginalHost_;

  const jobs::StepSpec &spec() const {
    return Job_->Accepted_.Spec_.Steps_[Step_];
  }
};

/// Returns the status of \p Work against its objective if it starts now near
/// its data.
ObjectiveStatus objectiveStatusOf(const HolderPolicy &Policy, const Unit &Work);

/// Returns true when \p Work should start on a place that slows it down, at the
/// cost of several times the resources. It should once it has waited as long as
/// the slowdown takes, or at once when \p FreeShare of the accelerators is
/// large and the work is late already or stays on time despite the slowdown.
bool acceptsRemotePlacement(const HolderPolicy &Policy, const Unit &Work,
                            double FreeShare, core::Duration Waited);

/// Due occurrences of a step by the status that they have against their
/// objective when the step starts now.
struct DueOccurrences {
  jobs::NumberRange OnTime_;
  jobs::NumberRange Late_;
  jobs::NumberRange Expired_;
};

/// Returns the due occurrences of a step whose longest chain of work to the end
/// of the job is \p Chain.
DueOccurrences dueOccurrences(const HolderPolicy &Policy,
                              const jobs::JobAccepted &Job,
                              core::Duration Objective, core::Duration Chain,
                              jobs::WallTime Now);

/// Returns the first task of the step of \p Work from \p From on that is not
/// done, has no run and cannot be running on a worker that has yet to report.
/// Takes time logarithmic in the runs for each run that is passed.
std::optional<std::uint32_t>
nextWaitingTask(const Holder &State, const Unit &Work, std::uint32_t From);

/// Units that may start now.
struct ReadyUnits {
  /// In the order of placement.
  std::vector<Unit> Units_;
  /// False when a job has more occurrences that may start than one decision
  /// considers.
  bool Complete_ = true;
};

/// Returns the first attempt of \p Task, or the end of the map.
TaskRunMap::iterator findRun(TaskRunMap &Runs, const TaskId &Task);

/// Copies the properties that a run has from its step.
void copyStepProperties(TaskRun &Run, const jobs::StepSpec &Step);

/// Returns the live progress of a job, which starts as a copy of the durable
/// records.
LiveJob &liveJob(Holder &State, const jobs::JobEntry &Job, core::TimePoint Now);

/// Records that a task of a job has started, after which the job no longer
/// waits. An ordered start does not show that, since the worker may refuse it.
void noteTaskStarted(Holder &State, const std::string &Job, LiveJob &Live);

/// Notes that the progress of a task, or that of its gang, has to be recorded.
void noteTaskChanged(LiveJob &Live, const TaskId &Task, bool Gang);

/// Adds the records of a job's progress that have changed to \p Records.
void addProgress(const jobs::JobAccepted &Job, LiveJob &Live,
                 std::vector<jobs::Record> &Records);

/// Keeps the newest checkpoint of a task, or that of a gang, unless it is done.
void saveCheckpoint(LiveJob &Live, const TaskId &Task, bool Gang,
                    const std::string &Checkpoint);

/// Processes the ends that a report lists and the holder has not handled yet.
void handleEnds(Holder &State, Worker &Host, const AgentReport &Report,
                const HolderContext &Context, Effects &Out);

/// Returns the runs that a report accounts for: running, ended or pending.
std::set<RunId> reportedRuns(const AgentReport &Report);

/// Ends the runs of a worker whose process has ended, and stops the gangs that
/// have lost a member. Keeps the runs whose starts the worker's next process
/// may still carry out, as the report tells, so that their tasks are not
/// started elsewhere meanwhile.
void handleWorkerEnd(Holder &State, Worker &Host, const AgentReport &Report,
                     core::TimePoint Now, Effects &Out);

/// Handles a report that no process of a worker runs on a host, and that none
/// can carry out a start of an earlier one.
void handleEmptyHost(Holder &State, Worker &Host, Effects &Out);

/// Resets the state that ended with an earlier incarnation of the worker or of
/// its agent when the report comes from a new one.
void handleNewIncarnations(Holder &State, Worker &Host,
                           const AgentReport &Report, core::TimePoint Now,
                           Effects &Out);

/// Learns from the progress of a run that has changed.
void observeProgress(Holder &State, const TaskRun &Run,
                     const HolderContext &Context);

/// Learns from the end of a run.
void observeEnd(Holder &State, const TaskRun &Run, EndKind Kind,
                const HolderContext &Context);

/// Records the work of a run that has completed its task, or the gang of which
/// it is a member, for expectedRunTime. Addresses queues whose declared times
/// are off. Runs whose time does not show the work of a task are ignored.
void recordFinishedWork(Holder &State, const TaskRun &Run,
                        const HolderContext &Context);

/// Returns how long a task of \p Step is expected to take on a worker of
/// ordinary speed near its data: the declared time, unless run times are
/// learned and the declared times of the queue have proved wrong.
core::Duration expectedRunTime(const Holder &State,
                               const jobs::JobAccepted &Job,
                               const jobs::StepSpec &Step);

/// Returns, for each step, the longest chain of expected run times from its
/// start to the end of the job.
std::vector<core::Duration> expectedChains(const Holder &State,
                                           const jobs::JobAccepted &Job);

/// Returns whether the speed of a worker is known well enough to decide by it.
bool isSpeedKnown(const HolderPolicy &Policy, const expect::WorkerSpeed &Speed);

/// Returns whether a process of the worker has reported that may still run, so
/// that its speed matters. False for a worker that was removed: its agent is
/// gone and its leases have expired.
bool isPresent(const Worker &Host);

/// Discards the speed of a worker whose process has ended.
void forgetSpeed(Holder &State, const std::string &Host);

/// Starts with what the records tell of a new incarnation of a worker, or with
/// nothing.
void resetSpeed(Holder &State, const Worker &Host);

/// Logs speeds that are first known or have changed by a quarter, and adds the
/// figures for metrics. Addresses cells of many workers whose speeds become
/// known at about the same time: the number of lines in a second is bounded.
void reportSpeeds(Holder &State, core::TimePoint Now, Effects &Out);

/// Adds the speeds that have changed most to an append that is made anyway.
/// Addresses holders with much to append: it adds at most one record in 2 s.
void collectSpeeds(Holder &State, core::TimePoint Now, Effects &Out);

/// Returns whether \p Host has runs.
bool hasRuns(const Holder &State, const std::string &Host);

/// Drops all runs of a worker, on which no task can be running any more, and
/// records that.
void dropRunsOf(Holder &State, Worker &Host, const std::string &Reason,
                Effects &Out);

/// Stops waiting for the runs of earlier holders on a worker, none of which is
/// left.
void endEarlierRuns(Holder &State, const std::string &Host,
                    const std::string &Reason, Effects &Out);

/// Drops a run that did not start or whose worker is gone, so that the task can
/// be started again.
void dropRun(Holder &State, TaskRunMap::iterator It, const std::string &Reason,
             Effects &Out);

/// Orders the stop of a run; repeatStops sends the order again.
void stopRun(Holder &State, TaskRun &Run, const std::string &Reason,
             core::TimePoint Now, Effects &Out);

/// Stops every run of \p Job.
void stopJob(Holder &State, const std::string &Job, const std::string &Reason,
             core::TimePoint Now, Effects &Out);

/// Stops the other members of the gang that has lost \p Member.
void stopGang(Holder &State, const RunId &Member, const std::string &Reason,
              core::TimePoint Now, Effects &Out);

/// Sends stop orders again for runs that are still listed.
void repeatStops(Holder &State, core::TimePoint Now);

/// Returns whether the state of the worker's runs is up to date.
bool isReporting(const Holder &State, const Worker &Host, core::TimePoint Now);

/// Returns whether tasks may be placed on \p Host.
bool isUsable(const HolderPolicy &Policy, const Worker &Host,
              const HolderContext &Context);

/// Drops the runs of workers whose leases have expired.
void expireLeases(Holder &State, const HolderContext &Context, Effects &Out);

/// Stops runs that make no progress.
void stopStalled(Holder &State, const HolderContext &Context, Effects &Out);

/// Stops the runs that draining workers would take with them.
void vacateWorkers(Holder &State, const HolderContext &Context, Effects &Out);

/// Records a run that failed or made no progress for its worker and its step.
void noteFailure(Holder &State, Worker &Host, const TaskId &Task,
                 core::TimePoint OrderedAt, core::TimePoint Now);

/// Records a run that succeeded for its worker and its step.
void noteSuccess(Holder &State, Worker &Host, const TaskId &Task);

/// Attributes the failures of each step to its job or to the workers, and
/// updates the quarantines of the workers.
void updateQuarantines(Holder &State, core::TimePoint Now, Effects &Out);

/// Ends the probation of workers on which a probe has run for long.
void endProbations(Holder &State, core::TimePoint Now, Effects &Out);

/// Slows best-effort runs down where they disturb serving runs.
void adjustPaces(Holder &State, const HolderContext &Context, Effects &Out);

/// Returns the approval service's answer about \p Host for \p Work, or nullptr
/// when it has to be asked. An empty ticket is a denial.
const Approval *approvalFor(const Holder &State, const Unit &Work,
                            const Worker &Host, core::TimePoint Now);

/// Asks the approval service about the workers of \p Targets that have no
/// answer for \p Work yet, unless a request is in flight.
void requestApproval(Holder &State, const Unit &Work,
                     const std::vector<PlacementTarget> &Targets,
                     const HolderContext &Context, Effects &Out);

/// Removes the approval whose ticket the worker did not accept.
void removeApproval(Holder &State, const RunId &Id, const std::string &Host);

/// Cancels the jobs whose cancellation was requested.
void applyCancels(Holder &State, const HolderContext &Context, Effects &Out);

/// Returns the accounts whose unfinished jobs of priority 0 need no more
/// accelerators than the account is guaranteed.
std::set<std::string> accountsWithinGuarantee(const Holder &State,
                                              const HolderContext &Context);

/// Returns the units that may start now.
ReadyUnits readyUnits(Holder &State, const HolderContext &Context,
                      core::TimePoint &Wake);

/// Places ready units and orders their starts.
void schedule(Holder &State, const HolderContext &Context, Effects &Out);

/// Returns for how long after its order a start may be carried out when a call
/// for it got no response.
core::Duration lateStartBound(const HolderPolicy &Policy);

/// Forgets the starts that cannot be carried out any more.
void forgetOldStarts(Holder &State, core::TimePoint Now);

/// Collects the messages to agents that are due.
void collectOrders(Holder &State, core::TimePoint Now, Effects &Out);

/// Collects the records of one append, unless one is in flight.
void collectRecords(Holder &State, const HolderContext &Context, Effects &Out);

/// Returns the latest time at which a worker can run tasks under a lease
/// granted at \p Now.
core::TimePoint leaseBound(const HolderPolicy &Policy, core::TimePoint Now);

} // namespace nutmegwell::cell
