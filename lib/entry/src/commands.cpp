#include "nutmegwell/sched/plan.h"
#include "parts.h"

namespace nutmegwell::entry {

namespace {

/// Jobs that may wait; beyond it submissions are refused.
constexpr std::size_t MaxWaitingJobs = 100000;

void refuse(const Command &What, std::string Code, std::string Reason,
            Effects &Out, std::vector<model::Finding> Findings = {}) {
  Out.Replies_.push_back({What.Ticket_, CommandOutcome::Refused,
                          std::move(Code), std::move(Reason),
                          std::move(Findings)});
}

/// Returns true for the records of a request that is in flight; a stopping host
/// still appends them.
bool isIntent(const model::RecordBody &Body) {
  return std::holds_alternative<model::IntentRecorded>(Body) ||
         std::holds_alternative<model::IntentReleased>(Body) ||
         std::holds_alternative<model::IntentSettled>(Body);
}

/// Refuses commands that must not reach the log. Returns true for a refusal.
bool refusedEarly(const EntryState &State, const Command &What, Effects &Out) {
  if (State.Stopping_ && !isIntent(What.Body_)) {
    refuse(What, "stopping", "the entry host is stopping", Out);
    return true;
  }
  if (!State.LogAvailable_) {
    refuse(What, "log_unavailable", "the log takes no appends", Out);
    return true;
  }
  std::vector<model::Finding> Findings;
  if (auto *Routes = std::get_if<model::RoutesPublished>(&What.Body_))
    Findings = model::validateRoutes(Routes->Table_, State.Fold_.Pools_);
  if (auto *Pools = std::get_if<model::PoolsPublished>(&What.Body_))
    Findings = model::validatePools(Pools->Table_, State.Fold_.Routes_,
                                    membership::capacityOf(State.Nodes_));
  if (!Findings.empty()) {
    refuse(What, "invalid_table", "the table has findings", Out, Findings);
    return true;
  }
  if (auto *Submitted = std::get_if<model::JobSubmitted>(&What.Body_)) {
    std::string Reason =
        sched::impossibleReason(Submitted->Spec_, State.Fold_.Pools_,
                                membership::capacityOf(State.Nodes_));
    if (!Reason.empty()) {
      refuse(What, "impossible_job", Reason, Out);
      return true;
    }
    if (State.WaitingSince_.size() >= MaxWaitingJobs) {
      refuse(What, "overloaded", "too many jobs wait", Out);
      return true;
    }
  }
  return false;
}

} // namespace

void onCommand(EntryState &State, const Command &What, Effects &Out) {
  if (refusedEarly(State, What, Out))
    return;
  append(State, Out, What.Body_, PendingRecord{What.Ticket_, {}, {}});
}

} // namespace nutmegwell::entry
