#include "controlsteps.h"
#include "nutmegwell/sched/plan.h"

namespace nutmegwell::entry {

namespace {

/// Submissions are refused beyond this number of waiting jobs.
constexpr std::size_t MaxWaitingJobs = 100000;

void refuse(const Command &What, std::string Code, std::string Reason,
            Effects &Out, std::vector<model::ValidationError> Errors = {}) {
  Out.Replies_.push_back({What.CommandId_, CommandOutcome::Refused,
                          std::move(Code), std::move(Reason),
                          std::move(Errors)});
}

/// Returns true for records of requests in flight, which a stopping host still
/// appends.
bool isIntent(const model::RecordBody &Body) {
  return std::holds_alternative<model::IntentRecorded>(Body) ||
         std::holds_alternative<model::IntentReleased>(Body) ||
         std::holds_alternative<model::IntentSettled>(Body);
}

void refuseNotReady(const Command &What, Effects &Out) {
  refuse(What, "not_ready",
         "the entry host has just started and may not know every worker yet",
         Out);
}

/// Returns true when some pool would admit the job but no worker of the pool's
/// domain is known.
bool lacksDomain(const EntryState &State, const model::JobSpec &Spec) {
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
bool knowsWorkers(const EntryState &State, core::TimePoint Now) {
  return State.LastTailReadAt_ != core::TimePoint{} &&
         Now - State.StartedAt_ >=
             State.Settings_.Membership_.UnreachableAfter_;
}

/// Refuses a command that must not be appended to the log. Returns true when it
/// was refused.
bool refusedEarly(const EntryState &State, const Command &What,
                  core::TimePoint Now, Effects &Out) {
  if (State.Stopping_ && !isIntent(What.Body_)) {
    refuse(What, "stopping", "the entry host is stopping", Out);
    return true;
  }
  if (!State.LogAvailable_) {
    refuse(What, "log_unavailable", "the log does not accept appends", Out);
    return true;
  }
  std::vector<model::ValidationError> Errors;
  if (auto *Routes = std::get_if<model::RoutesPublished>(&What.Body_))
    Errors = model::validateRoutes(Routes->Table_, State.ControlState_.Pools_);
  if (auto *Pools = std::get_if<model::PoolsPublished>(&What.Body_))
    Errors = model::validatePools(Pools->Table_, State.ControlState_.Routes_,
                                  membership::capacityOf(State.Membership_));
  if (!Errors.empty() && !knowsWorkers(State, Now)) {
    refuseNotReady(What, Out);
    return true;
  }
  if (!Errors.empty()) {
    refuse(What, "invalid_table", "the table is invalid", Out, Errors);
    return true;
  }
  if (auto *Submitted = std::get_if<model::JobSubmitted>(&What.Body_)) {
    std::string Reason =
        sched::infeasibleReason(Submitted->Spec_, State.ControlState_.Pools_,
                                membership::capacityOf(State.Membership_));
    if (!Reason.empty() &&
        (!knowsWorkers(State, Now) || lacksDomain(State, Submitted->Spec_))) {
      refuseNotReady(What, Out);
      return true;
    }
    if (!Reason.empty()) {
      refuse(What, "impossible_job", Reason, Out);
      return true;
    }
    if (State.WaitingSince_.size() >= MaxWaitingJobs) {
      refuse(What, "overloaded", "too many jobs are waiting", Out);
      return true;
    }
  }
  return false;
}

} // namespace

void onCommand(EntryState &State, const Command &What, core::TimePoint Now,
               Effects &Out) {
  if (refusedEarly(State, What, Now, Out))
    return;
  append(State, Out, What.Body_,
         PendingRecord{What.CommandId_, {}, {}, 0, {}, {}});
}

} // namespace nutmegwell::entry
