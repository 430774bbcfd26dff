#include "nutmegwell/sched/plan.h"

#include "aging.h"
#include "place.h"
#include "queue.h"
#include "reasons.h"
#include <set>
#include <tuple>

namespace nutmegwell::sched {

namespace {

/// Shapes that found no place or no claim. Starts and claims only take
/// accelerators, so that a shape that once found none finds none for the rest
/// of the decision.
using ShapeSet =
    std::set<std::tuple<std::uint32_t, std::uint32_t, model::TopologyLevel>>;

ShapeSet::value_type shapeOf(const model::JobSpec &Spec) {
  return {Spec.TaskCount_, Spec.AcceleratorsPerTask_, Spec.Level_};
}

/// Bounds the time of a decision: the search for a turn looks at every running
/// job.
constexpr std::uint32_t MostTurnsSought = 4;

/// A decision while it is made.
struct Decision {
  Decision(const CellView &View, const Policy &Choices)
      : Choices_(Choices), Cell_(View, Choices) {}

  const Policy &Choices_;
  CellState Cell_;
  ShapeSet NoPlace_;
  /// Shapes that found no claim, by pool row.
  std::set<std::pair<std::size_t, ShapeSet::value_type>> NoClaim_;
  std::uint32_t TurnsSought_ = 0;
  Plan Plan_;
};

void wait(Decision &State, const WaitingJob &Job, std::string Reason) {
  State.Plan_.Waits_.push_back({Job.Id_, std::move(Reason)});
}

void preemptFor(Decision &State, const WaitingJob &Job, const Claim &Found,
                const std::string &Reason) {
  for (std::size_t J : Found.Victims_) {
    const RunningJob &Victim = State.Cell_.View_.Running_[J];
    bool Move =
        Victim.MigratableFor_.valid() && Victim.MigratableFor_ == Job.Id_;
    State.Plan_.Preemptions_.push_back({Victim.Id_, Job.Id_, Reason, Move});
  }
}

/// Starts a job within the free guarantee of its account, or preempts the
/// borrowers that stand in its place. Returns false when the guarantee has no
/// free part of the job's shape, or when another cell preempts for the job.
bool useGuarantee(Decision &State, const WaitingJob &Job, std::size_t Pool) {
  const CellView &View = State.Cell_.View_;
  if (State.NoClaim_.count({Pool, shapeOf(Job.Spec_)}) != 0)
    return false;
  auto Found = claimFor(State.Cell_, Job.Spec_, Pool);
  if (!Found) {
    State.NoClaim_.insert({Pool, shapeOf(Job.Spec_)});
    return false;
  }
  if (!Found->Free_ && State.Choices_.PreferUnguaranteed_)
    if (auto Spare = unownedPlace(State.Cell_, Job.Spec_)) {
      keepPlace(State.Cell_, *Spare, Job.Spec_, Pool);
      State.Plan_.Starts_.push_back({Job.Id_, toPlacement(View, *Spare)});
      return true;
    }
  if (!Job.Preferred_ && !Found->Free_)
    return false;
  keepClaim(State.Cell_, *Found, Job.Spec_, Pool);
  if (Found->Free_) {
    State.Plan_.Starts_.push_back({Job.Id_, toPlacement(View, Found->Tasks_)});
    return true;
  }
  preemptFor(State, Job, *Found,
             "account " + Job.Spec_.Account_ +
                 " reclaims its guarantee in domain " + View.Domain_);
  wait(State, Job, reclaimReason(View, Job.Spec_, Found->Victims_.size()));
  return true;
}

/// Preempts borrowers that have had their turn for a job that has waited long
/// enough, and keeps their place for it. Returns false when there are none or
/// it is not this job's turn.
bool takeTurn(Decision &State, const WaitingJob &Job, std::size_t Pool) {
  if (!State.Choices_.AgingPreemption_ || !Job.Preferred_ || !isAged(Job) ||
      State.TurnsSought_ >= MostTurnsSought)
    return false;
  ++State.TurnsSought_;
  auto Found = agedPlace(State.Cell_, Job);
  if (!Found || Found->Free_ ||
      !withinLimitAfter(State.Cell_, Job, Pool, Found->Victims_))
    return false;
  for (std::size_t J : Found->Victims_)
    State.Cell_.Running_.Cost_[J] = 0;
  keepPlace(State.Cell_, Found->Tasks_, Job.Spec_, Pool);
  preemptFor(State, Job, *Found,
             "a job of account " + Job.Spec_.Account_ +
                 " that has waited its time takes a turn in domain " +
                 State.Cell_.View_.Domain_);
  wait(State, Job,
       turnReason(State.Cell_.View_, Job.Spec_, Found->Victims_.size()));
  return true;
}

/// Starts a job on accelerators that nobody uses at present.
void borrow(Decision &State, const WaitingJob &Job, std::size_t Pool) {
  std::optional<Slices> Found;
  if (State.NoPlace_.count(shapeOf(Job.Spec_)) == 0)
    Found = findPlace(State.Cell_.Free_, Job.Spec_, State.Choices_.Fit_);
  if (!Found) {
    State.NoPlace_.insert(shapeOf(Job.Spec_));
    if (takeTurn(State, Job, Pool))
      return;
    return wait(State, Job,
                noPlaceReason(State.Cell_.View_, Job.Spec_,
                              State.Cell_.Free_.freeInCell()));
  }
  keepPlace(State.Cell_, *Found, Job.Spec_, Pool);
  State.Plan_.Starts_.push_back(
      {Job.Id_, toPlacement(State.Cell_.View_, *Found)});
}

/// Returns the pool under which the job may start at once, or NoOwner after it
/// noted why the job waits. A job over the limit of its account may still take
/// its turn from jobs of the account.
std::size_t poolWithRoom(Decision &State, const WaitingJob &Job) {
  const CellView &View = State.Cell_.View_;
  std::size_t Pool = poolOf(View, Job.Spec_);
  if (Pool == NoOwner)
    wait(State, Job, noPoolReason(View, Job.Spec_));
  else if (withinLimit(State.Cell_, Job.Spec_, Pool))
    return Pool;
  else if (State.Choices_.AgingWithinAccount_ && takeTurn(State, Job, Pool))
    return NoOwner;
  else
    wait(State, Job,
         limitReason(View, Job.Spec_, State.Cell_.Held_[Pool],
                     View.Pools_[Pool].AcceleratorLimit_));
  return NoOwner;
}

/// Makes the claims on guarantees, then lends what is left. Claims come first,
/// so that a job that waits for its guarantee does not lose it to a borrower.
void decideStarts(Decision &State) {
  const CellView &View = State.Cell_.View_;
  std::vector<const WaitingJob *> Borrowers;
  for (const WaitingJob *Job : claimOrder(View, State.Choices_))
    if (justMovedOut(View, *Job))
      wait(State, *Job, movedReason(View));
    else if (!State.Choices_.ReclaimGuarantees_ ||
             !useGuarantee(State, *Job, poolOf(View, Job->Spec_)))
      Borrowers.push_back(Job);
  sortBorrowers(Borrowers, State.Choices_);
  for (const WaitingJob *Job : Borrowers) {
    std::size_t Pool = poolWithRoom(State, *Job);
    if (Pool != NoOwner)
      borrow(State, *Job, Pool);
  }
}

} // namespace

Plan planCell(const CellView &View, const Policy &Choices) {
  if (!View.MayStart_) {
    Plan Result;
    for (const WaitingJob &Job : View.Waiting_)
      Result.Waits_.push_back({Job.Id_, notStartingReason(View)});
    return Result;
  }
  Decision State(View, Choices);
  decideStarts(State);
  return std::move(State.Plan_);
}

std::string infeasibleReason(const model::JobSpec &Spec,
                             const model::PoolsTable &Pools,
                             const model::DomainCapacity &Capacity) {
  std::uint32_t Wanted = Spec.accelerators();
  bool HasPool = false;
  for (const model::PoolRow &Row : Pools.Rows_) {
    if (Row.Account_ != Spec.Account_ || Row.Service_ != Spec.Service_)
      continue;
    HasPool = true;
    auto Known = Capacity.find(Row.Domain_);
    std::uint32_t Total = Known == Capacity.end() ? 0 : Known->second;
    if (Wanted <= Row.AcceleratorLimit_ && Wanted <= Total)
      return std::string();
  }
  if (!HasPool)
    return "account " + Spec.Account_ + " has no pool for service " +
           Spec.Service_;
  return "the job needs " + std::to_string(Wanted) +
         " accelerators, more than any failure domain may give account " +
         Spec.Account_;
}

} // namespace nutmegwell::sched
