#pragma once

#include "nutmegwell/cell/holder.h"
#include "nutmegwell/cell/placement.h"

namespace nutmegwell::cell {

/// One run of a step that is looked at together: a whole gang, or one task.
struct Unit {
  const jobs::JobEntry *Job_ = nullptr;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  /// First task and number of tasks.
  std::uint32_t Index_ = 0;
  std::uint32_t Count_ = 1;
  /// Time left until the job's objective is missed; negative when it is.
  core::Duration Slack_{0};
  /// Time from the job's arrival in which it should end.
  core::Duration Objective_{0};
  int Priority_ = 0;
  /// The account's guarantee covers this job.
  bool Guaranteed_ = false;
  /// Worker of the run that this is a copy of; empty for a first attempt.
  std::string CopyOf_;

  const jobs::StepSpec &spec() const {
    return Job_->Accepted_.Spec_.Steps_[Step_];
  }
};

/// Returns the outlook of \p Work if it starts now near its data.
ObjectiveStatus outlookOf(const HolderPolicy &Policy, const Unit &Work);

/// Returns true when \p Work should start on a place that slows it down. Such a
/// place costs several times the room. Work takes it once it has waited as long
/// as the place would cost it, and at once while \p FreeShare of the
/// accelerators is large and waiting would not keep it on time.
bool acceptsSlowPlace(const HolderPolicy &Policy, const Unit &Work,
                      double FreeShare, core::Duration Waited);

/// Returns the first attempt of \p Task, or the map's end.
TaskRunMap::iterator findAttempt(TaskRunMap &Attempts, const TaskId &Task);

/// Sets what a run takes and does by its step.
void describeRun(TaskRun &Run, const jobs::StepSpec &Step);

/// Returns the live work of a job, copied from the durable records when it is
/// new.
LiveJob &liveJob(Holder &State, const jobs::JobEntry &Job, core::TimePoint Now);

/// Takes the ends that a report lists and the holder has not handled.
void handleEnds(Holder &State, Worker &Host, const AgentReport &Report,
                const HolderContext &Around, Effects &Out);

/// Gives up a run that did not start or whose worker is gone; the task can be
/// started again.
void dropAttempt(Holder &State, TaskRunMap::iterator It,
                 const std::string &Reason, Effects &Out);

/// Orders a stop of a run; repeated by repeatStops.
void stopAttempt(Holder &State, TaskRun &Run, const std::string &Reason,
                 core::TimePoint Now, Effects &Out);

/// Stops every run of \p Job, or of one step of it.
void stopJob(Holder &State, const std::string &Job, const std::string &Reason,
             core::TimePoint Now, Effects &Out);

/// Stops the other members of a gang that has lost one.
void stopGang(Holder &State, const RunId &Member, const std::string &Reason,
              core::TimePoint Now, Effects &Out);

/// Sends stops again for runs that are still listed.
void repeatStops(Holder &State, core::TimePoint Now);

/// Forgets the runs of workers whose leases have ended.
void expireLeases(Holder &State, const HolderContext &Around, Effects &Out);

/// Gives up runs that make no progress.
void stopStalled(Holder &State, const HolderContext &Around, Effects &Out);

/// Slows filling runs down where they disturb serving ones.
void adjustPaces(Holder &State, const HolderContext &Around, Effects &Out);

/// Returns what the approval service said of a worker for \p Work, or nullptr
/// when it has to be asked. An empty ticket is a denial.
const Approval *approvalFor(const Holder &State, const Unit &Work,
                            const Worker &Host, core::TimePoint Now);

/// Asks the approval service about workers of \p Rooms that are not known for
/// \p Work, unless a question is open.
void askForApproval(Holder &State, const Unit &Work,
                    const std::vector<PlacementTarget> &Rooms,
                    const HolderContext &Around, Effects &Out);

/// Forgets a ticket that the worker did not take.
void forgetApproval(Holder &State, const RunId &Id, const std::string &Host);

/// Ends the work of cancelled jobs.
void applyCancels(Holder &State, const HolderContext &Around, Effects &Out);

/// Returns what may start now, the first to be placed first.
std::vector<Unit> readyUnits(Holder &State, const HolderContext &Around,
                             core::TimePoint &Wake);

/// Places ready work and orders its starts.
void schedule(Holder &State, const HolderContext &Around, Effects &Out);

/// Collects messages to agents.
void collectOrders(Holder &State, core::TimePoint Now, Effects &Out);

/// Collects the records of one append, unless one is in flight.
void collectRecords(Holder &State, const HolderContext &Around, Effects &Out);

/// Returns until when a worker can run what a grant given at \p Now allows.
core::TimePoint leaseBound(const HolderPolicy &Policy, core::TimePoint Now);

} // namespace nutmegwell::cell
