#include "controlsteps.h"
#include "nutmegwell/sched/plan.h"

namespace nutmegwell::entry {

namespace {

/// Submissions are refused beyond this number of waiting jobs.
constexpr std::size_t MaxWaitingJobs = 100000;

void refuse(const Command &Cmd, std::string Code, std::string Reason,
            Effects &Out, std::vector<model::ValidationError> Errors = {}) {
  Out.Replies_.push_back({Cmd.CommandId_, CommandOutcome::Refused,
                          std::move(Code), std::move(Reason),
                          std::move(Errors)});
}

/// Returns true for records of requests in flight, which a stopping host still
/// appends.
bool isIntentRecord(const model::RecordBody &Body) {
  return std::holds_alternative<model::IntentRecorded>(Body) ||
         std::holds_alternative<model::IntentReleased>(Body) ||
         std::holds_alternative<model::IntentSettled>(Body);
}

void refuseNotReady(const Command &Cmd, Effects &Out) {
  refuse(Cmd, "not_ready",
         "the entry host has just started and may not know every worker yet",
         Out);
}

/// Returns true when some pool would admit the job but no worker of the pool's
/// domain is known.
bool isPoolDomainUnknown(const EntryState &State, const model::JobSpec &Spec) {
  const model::DomainCapacity Capacity =
      membership::capacityOf(State.Membership_);
  for (const model::PoolRow &Row : State.ControlState_.Pools_.Rows_)
    if (Row.Account_ == Spec.Account_ && Row.Service_ == Spec.Service_ &&
        Spec.accelerators() <= Row.AcceleratorLimit_ &&
        !Capacity.count(Row.Domain_))
      return true;
  return false;
}

/// Returns true when this host has read the log and has run long enough to
/// receive a heartbeat from every worker. Only then can it tell that a job is
/// infeasible or a table invalid.
bool knowsAllWorkers(const EntryState &State, core::TimePoint Now) {
  return State.LastTailReadAt_ != core::TimePoint{} &&
         Now - State.StartedAt_ >=
             State.Settings_.Membership_.UnreachableAfter_;
}

/// Refuses a command that must not be appended to the log. Returns true when it
/// was refused.
bool refuseBeforeAppend(const EntryState &State, const Command &Cmd,
                        core::TimePoint Now, Effects &Out) {
  if (State.Stopping_ && !isIntentRecord(Cmd.Body_)) {
    refuse(Cmd, "stopping", "the entry host is stopping", Out);
    return true;
  }
  if (!State.LogAvailable_) {
    refuse(Cmd, "log_unavailable", "the log does not accept appends", Out);
    return true;
  }
  std::vector<model::ValidationError> Errors;
  if (auto *Routes = std::get_if<model::RoutesPublished>(&Cmd.Body_))
    Errors = model::validateRoutes(Routes->Table_, State.ControlState_.Pools_);
  if (auto *Pools = std::get_if<model::PoolsPublished>(&Cmd.Body_))
    Errors = model::validatePools(Pools->Table_, State.ControlState_.Routes_,
                                  membership::capacityOf(State.Membership_));
  if (!Errors.empty() && !knowsAllWorkers(State, Now)) {
    refuseNotReady(Cmd, Out);
    return true;
  }
  if (!Errors.empty()) {
    refuse(Cmd, "invalid_table", "the table is invalid", Out, Errors);
    return true;
  }
  if (auto *Submission = std::get_if<model::JobSubmitted>(&Cmd.Body_)) {
    std::string Reason =
        sched::infeasibleReason(Submission->Spec_, State.ControlState_.Pools_,
                                membership::capacityOf(State.Membership_));
    if (!Reason.empty() && (!knowsAllWorkers(State, Now) ||
                            isPoolDomainUnknown(State, Submission->Spec_))) {
      refuseNotReady(Cmd, Out);
      return true;
    }
    if (!Reason.empty()) {
      refuse(Cmd, "impossible_job", Reason, Out);
      return true;
    }
    if (State.WaitingSince_.size() >= MaxWaitingJobs) {
      refuse(Cmd, "overloaded", "too many jobs are waiting", Out);
      return true;
    }
  }
  return false;
}

} // namespace

void onCommand(EntryState &State, const Command &Cmd, core::TimePoint Now,
               Effects &Out) {
  if (refuseBeforeAppend(State, Cmd, Now, Out))
    return;
  append(State, Out, Cmd.Body_,
         PendingRecord{Cmd.CommandId_, {}, {}, 0, {}, {}});
}

} // namespace nutmegwell::entry
