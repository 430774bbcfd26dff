#include "nutmegwell/sched/plan.h"

#include "claim.h"
#include "place.h"
#include "reasons.h"
#include <set>
#include <tuple>

namespace nutmegwell::sched {

namespace {

/// Shapes that found no place. Starts only take accelerators, so that a shape
/// that once found none finds none for the rest of the decision.
using ShapeSet =
    std::set<std::tuple<std::uint32_t, std::uint32_t, model::Level>>;

ShapeSet::value_type shapeOf(const model::JobSpec &Spec) {
  return {Spec.Tasks_, Spec.AcceleratorsPerTask_, Spec.Level_};
}

/// A decision while it is made.
struct Decision {
  Decision(const CellView &View, const Policy &Choices)
      : View_(View), Choices_(Choices), Map_(makeTopology(View)), Free_(Map_),
        Held_(View.Pools_.size()) {}

  const CellView &View_;
  const Policy &Choices_;
  Topology Map_;
  /// Accelerators that are free and not kept for a claim.
  FreeIndex Free_;
  /// Accelerators held or claimed, by pool row.
  std::vector<std::uint32_t> Held_;
  Occupants Running_;
  Guarantees Guarantees_;
  ShapeSet NoPlace_;
  Plan Plan_;
};

void wait(Decision &State, const WaitingJob &Job, std::string Reason) {
  State.Plan_.Waits_.push_back({Job.Id_, std::move(Reason)});
}

void start(Decision &State, const WaitingJob &Job, std::size_t Pool,
           const Slices &Tasks) {
  State.Free_.take(Tasks);
  State.Held_[Pool] += Job.Spec_.accelerators();
  State.Plan_.Starts_.push_back({Job.Id_, toPlacement(State.View_, Tasks)});
}

/// Time of a preempted job that goes into stopping and restoring: the usual
/// checkpoint grace and as much to read the checkpoint.
constexpr std::chrono::seconds RestartTime{60};

/// Returns what preempting a job costs, in accelerator-seconds for least lost.
double costOf(const RunningJob &Job, Victims Order) {
  if (Job.Stopping_)
    return 0;
  if (Order == Victims::Fewest)
    return 1;
  std::chrono::duration<double> Lost = Job.SinceCheckpoint_ + RestartTime;
  return Lost.count() * Job.Spec_.accelerators();
}

/// Fills in what the running jobs hold.
void addRunning(Decision &State) {
  State.Running_.JobsOn_.resize(State.View_.Workers_.size());
  for (std::size_t J = 0; J < State.View_.Running_.size(); ++J) {
    const RunningJob &Job = State.View_.Running_[J];
    State.Running_.Slices_.push_back(toSlices(State.Map_, Job.Placement_));
    State.Running_.Cost_.push_back(costOf(Job, State.Choices_.Victims_));
    State.Free_.take(State.Running_.Slices_.back());
    for (const Slice &Part : State.Running_.Slices_.back()) {
      std::vector<std::size_t> &Jobs = State.Running_.JobsOn_[Part.Worker_];
      if (Jobs.empty() || Jobs.back() != J)
        Jobs.push_back(J);
    }
    std::size_t Pool = poolOf(State.View_, Job.Spec_);
    if (Pool != NoOwner)
      State.Held_[Pool] += Job.Spec_.accelerators();
  }
}

/// Starts a job within the free guarantee of its account, or preempts the
/// borrowers that stand in its place. Returns false when the guarantee has no
/// free part of the job's shape.
bool useGuarantee(Decision &State, const WaitingJob &Job, std::size_t Pool) {
  auto Found = findClaim(State.Guarantees_, State.Free_, State.Running_,
                         Job.Spec_, Pool);
  if (!Found || (State.Choices_.OneCellReclaims_ && !Job.Preferred_ &&
                 !Found->Victims_.empty()))
    return false;
  bindClaim(State.Guarantees_, *Found, Pool);
  if (Found->Free_) {
    start(State, Job, Pool, Found->Tasks_);
    return true;
  }
  for (std::size_t J : Found->Victims_) {
    State.Running_.Cost_[J] = 0;
    State.Plan_.Preemptions_.push_back(
        {State.View_.Running_[J].Id_, "account " + Job.Spec_.Account_ +
                                          " reclaims its guarantee in domain " +
                                          State.View_.Domain_});
  }
  State.Free_.take(Found->Tasks_);
  State.Held_[Pool] += Job.Spec_.accelerators();
  wait(State, Job,
       reclaimReason(State.View_, Job.Spec_, Found->Victims_.size()));
  return true;
}

/// Starts a job on accelerators that nobody uses at present.
void borrow(Decision &State, const WaitingJob &Job, std::size_t Pool) {
  std::optional<Slices> Found;
  if (State.NoPlace_.count(shapeOf(Job.Spec_)) == 0)
    Found = findPlace(State.Free_, Job.Spec_, State.Choices_.Fit_);
  if (Found)
    return start(State, Job, Pool, *Found);
  State.NoPlace_.insert(shapeOf(Job.Spec_));
  wait(State, Job,
       noPlaceReason(State.View_, Job.Spec_, State.Free_.freeInCell()));
}

/// Returns the pool under which the job may start, or NoOwner after it noted
/// why the job waits.
std::size_t poolWithRoom(Decision &State, const WaitingJob &Job) {
  std::size_t Pool = poolOf(State.View_, Job.Spec_);
  if (Pool == NoOwner) {
    wait(State, Job, noPoolReason(State.View_, Job.Spec_));
    return NoOwner;
  }
  std::uint32_t Limit = State.View_.Pools_[Pool].Limit_;
  if (State.Held_[Pool] + Job.Spec_.accelerators() <= Limit)
    return Pool;
  wait(State, Job,
       limitReason(State.View_, Job.Spec_, State.Held_[Pool], Limit));
  return NoOwner;
}

/// Makes the claims on guarantees, then lends what is left. Claims come first,
/// so that a job that waits for its guarantee does not lose it to a borrower.
void decideStarts(Decision &State) {
  std::vector<const WaitingJob *> Borrowers;
  for (const WaitingJob &Job : State.View_.Waiting_) {
    std::size_t Pool = poolOf(State.View_, Job.Spec_);
    bool MayClaim = State.Choices_.Guarantees_ && Pool != NoOwner &&
                    State.Held_[Pool] + Job.Spec_.accelerators() <=
                        State.View_.Pools_[Pool].Limit_;
    if (!MayClaim || !useGuarantee(State, Job, Pool))
      Borrowers.push_back(&Job);
  }
  for (const WaitingJob *Job : Borrowers) {
    std::size_t Pool = poolWithRoom(State, *Job);
    if (Pool != NoOwner)
      borrow(State, *Job, Pool);
  }
}

} // namespace

Plan decide(const CellView &View, const Policy &Choices) {
  Decision State(View, Choices);
  if (!View.MayStart_) {
    for (const WaitingJob &Job : View.Waiting_)
      wait(State, Job, notStartingReason(View));
    return std::move(State.Plan_);
  }
  addRunning(State);
  if (Choices.Guarantees_)
    State.Guarantees_ =
        bindGuarantees(View, State.Map_, State.Running_.Slices_);
  decideStarts(State);
  return std::move(State.Plan_);
}

std::string impossibleReason(const model::JobSpec &Spec,
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
    if (Wanted <= Row.Limit_ && Wanted <= Total)
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
