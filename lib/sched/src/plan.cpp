#include "nutmegwell/sched/plan.h"

#include "aging.h"
#include "place.h"
#include "queue.h"
#include "reasons.h"
#include <set>
#include <tuple>

namespace nutmegwell::sched {

namespace {

/// Shapes for which no place or no claim was found. Within a decision,
/// accelerators are only taken and never freed, so that a search that failed
/// once fails again.
using ShapeSet =
    std::set<std::tuple<std::uint32_t, std::uint32_t, model::TopologyLevel>>;

ShapeSet::value_type shapeOf(const model::JobSpec &Spec) {
  return {Spec.TaskCount_, Spec.AcceleratorsPerTask_, Spec.Level_};
}

/// Maximum number of searches for preemption by aging in one decision, which
/// bounds its time: each search looks at every running job.
constexpr std::uint32_t MaxAgingSearches = 4;

/// State of the decision for one cell.
struct PlanState {
  PlanState(const CellView &View, const Policy &Options)
      : Options_(Options), Cell_(View, Options) {}

  const Policy &Options_;
  CellState Cell_;
  ShapeSet ShapesWithoutPlace_;
  /// Shapes for which no claim was found, by pool row.
  std::set<std::pair<std::size_t, ShapeSet::value_type>> ShapesWithoutClaim_;
  std::uint32_t AgingSearches_ = 0;
  Plan Plan_;
};

void addWait(PlanState &State, const WaitingJob &Job, std::string Reason) {
  State.Plan_.Waits_.push_back({Job.Id_, std::move(Reason)});
}

void addPreemptions(PlanState &State, const WaitingJob &Job, const Claim &Found,
                    const std::string &Reason) {
  for (std::size_t J : Found.Victims_) {
    const RunningJob &Victim = State.Cell_.View_.Running_[J];
    bool Migrated =
        Victim.MigratableFor_.valid() && Victim.MigratableFor_ == Job.Id_;
    State.Plan_.Preemptions_.push_back({Victim.Id_, Job.Id_, Reason, Migrated});
  }
}

/// Starts a job on free accelerators of its account's guarantee, or preempts
/// the borrowing jobs there. Returns false when the job does not fit into the
/// unused part of the guarantee, or when another cell preempts for the job.
bool startInGuarantee(PlanState &State, const WaitingJob &Job,
                      std::size_t Pool) {
  const CellView &View = State.Cell_.View_;
  if (State.ShapesWithoutClaim_.count({Pool, shapeOf(Job.Spec_)}) != 0)
    return false;
  auto Found = findClaimWithinLimit(State.Cell_, Job.Spec_, Pool);
  if (!Found) {
    State.ShapesWithoutClaim_.insert({Pool, shapeOf(Job.Spec_)});
    return false;
  }
  if (!Found->FreeNow_ && State.Options_.PreferUnguaranteed_)
    if (auto Place = findUnguaranteedPlace(State.Cell_, Job.Spec_)) {
      reservePlace(State.Cell_, *Place, Job.Spec_, Pool);
      State.Plan_.Starts_.push_back({Job.Id_, toPlacement(View, *Place)});
      return true;
    }
  if (!Job.Preferred_ && !Found->FreeNow_)
    return false;
  reserveClaim(State.Cell_, *Found, Job.Spec_, Pool);
  if (Found->FreeNow_) {
    State.Plan_.Starts_.push_back({Job.Id_, toPlacement(View, Found->Tasks_)});
    return true;
  }
  addPreemptions(State, Job, *Found,
                 "account " + Job.Spec_.Account_ +
                     " reclaims its guarantee in domain " + View.Domain_);
  addWait(State, Job, reclaimReason(View, Job.Spec_, Found->Victims_.size()));
  return true;
}

/// Preempts borrowing jobs that have had their minimum run time for a job that
/// has waited long enough, and reserves their accelerators for it. Returns
/// false when there are none or the job may not preempt by aging.
bool preemptByAging(PlanState &State, const WaitingJob &Job, std::size_t Pool) {
  if (!State.Options_.AgingPreemption_ || !Job.Preferred_ || !isAged(Job) ||
      State.AgingSearches_ >= MaxAgingSearches)
    return false;
  ++State.AgingSearches_;
  auto Found = findPlaceForAgedJob(State.Cell_, Job);
  if (!Found || Found->FreeNow_ ||
      !withinLimitAfter(State.Cell_, Job, Pool, Found->Victims_))
    return false;
  for (std::size_t J : Found->Victims_)
    State.Cell_.Running_.Cost_[J] = 0;
  reservePlace(State.Cell_, Found->Tasks_, Job.Spec_, Pool);
  addPreemptions(State, Job, *Found,
                 "a job of account " + Job.Spec_.Account_ +
                     " that has waited long preempts running jobs in domain " +
                     State.Cell_.View_.Domain_);
  addWait(State, Job,
          agingReason(State.Cell_.View_, Job.Spec_, Found->Victims_.size()));
  return true;
}

/// Starts a job on accelerators that are free now. When it fits nowhere, tries
/// to preempt by aging.
void startOnFreeAccelerators(PlanState &State, const WaitingJob &Job,
                             std::size_t Pool) {
  std::optional<Slices> Found;
  if (State.ShapesWithoutPlace_.count(shapeOf(Job.Spec_)) == 0)
    Found = findPlace(State.Cell_.Free_, Job.Spec_, State.Options_.Fit_);
  if (!Found) {
    State.ShapesWithoutPlace_.insert(shapeOf(Job.Spec_));
    if (preemptByAging(State, Job, Pool))
      return;
    return addWait(State, Job,
                   noPlaceReason(State.Cell_.View_, Job.Spec_,
                                 State.Cell_.Free_.freeInCell()));
  }
  reservePlace(State.Cell_, *Found, Job.Spec_, Pool);
  State.Plan_.Starts_.push_back(
      {Job.Id_, toPlacement(State.Cell_.View_, *Found)});
}

/// Returns the pool under which the job may start at once, or NoOwner after it
/// recorded why the job waits. A job over the limit of its account may still
/// preempt jobs of the account by aging.
std::size_t poolWithinLimit(PlanState &State, const WaitingJob &Job) {
  const CellView &View = State.Cell_.View_;
  std::size_t Pool = poolOf(View, Job.Spec_);
  if (Pool == NoOwner)
    addWait(State, Job, noPoolReason(View, Job.Spec_));
  else if (withinLimit(State.Cell_, Job.Spec_, Pool))
    return Pool;
  else if (State.Options_.AgingWithinAccount_ &&
           preemptByAging(State, Job, Pool))
    return NoOwner;
  else
    addWait(State, Job,
            limitReason(View, Job.Spec_, State.Cell_.HeldByPool_[Pool],
                        View.Pools_[Pool].AcceleratorLimit_));
  return NoOwner;
}

/// Handles the claims on guarantees first and lends the remaining accelerators
/// afterwards, so that a job that waits for its guarantee does not lose it to a
/// borrowing job.
void decideStarts(PlanState &State) {
  const CellView &View = State.Cell_.View_;
  std::vector<const WaitingJob *> Borrowers;
  for (const WaitingJob *Job : claimOrder(View, State.Options_))
    if (recentlyMigrated(View, *Job))
      addWait(State, *Job, migratedReason(View));
    else if (!State.Options_.ReclaimGuarantees_ ||
             !startInGuarantee(State, *Job, poolOf(View, Job->Spec_)))
      Borrowers.push_back(Job);
  sortBorrowers(Borrowers, State.Options_);
  for (const WaitingJob *Job : Borrowers) {
    std::size_t Pool = poolWithinLimit(State, *Job);
    if (Pool != NoOwner)
      startOnFreeAccelerators(State, *Job, Pool);
  }
}

} // namespace

Plan planCell(const CellView &View, const Policy &Options) {
  if (!View.MayStart_) {
    Plan Result;
    for (const WaitingJob &Job : View.Waiting_)
      Result.Waits_.push_back({Job.Id_, notStartingReason(View)});
    return Result;
  }
  PlanState State(View, Options);
  decideStarts(State);
  return std::move(State.Plan_);
}

std::string infeasibleReason(const model::JobSpec &Spec,
                             const model::PoolsTable &Pools,
                             const model::DomainCapacity &Capacity) {
  std::uint32_t Needed = Spec.accelerators();
  bool HasPool = false;
  for (const model::PoolRow &Row : Pools.Rows_) {
    if (Row.Account_ != Spec.Account_ || Row.Service_ != Spec.Service_)
      continue;
    HasPool = true;
    auto Found = Capacity.find(Row.Domain_);
    std::uint32_t Total = Found == Capacity.end() ? 0 : Found->second;
    if (Needed <= Row.AcceleratorLimit_ && Needed <= Total)
      return std::string();
  }
  if (!HasPool)
    return "account " + Spec.Account_ + " has no pool for service " +
           Spec.Service_;
  return "the job needs " + std::to_string(Needed) +
         " accelerators, more than the limit or the capacity of each failure "
         "domain allows for account " +
         Spec.Account_;
}

} // namespace nutmegwell::sched
