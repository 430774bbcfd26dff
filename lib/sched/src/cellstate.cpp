#include "cellstate.h"

#include "place.h"
#include <algorithm>

namespace nutmegwell::sched {

namespace {

/// Time that a preempted job loses to stopping and restoring: the default
/// checkpoint grace, and as long again to read the checkpoint.
constexpr std::chrono::seconds RestartTime{60};

/// Time for which a migrated job does not return to the cell that it left, so
/// that the job for which it was migrated starts first: twice the checkpoint
/// grace.
constexpr std::chrono::seconds MigrationCooldown{60};

/// Returns the cost of preempting a job: the accelerator-seconds that it loses
/// for LeastLost, 1 for Fewest, and 0 when it is being stopped already.
double preemptionCost(const RunningJob &Job, VictimSelection Selection) {
  if (Job.Stopping_)
    return 0;
  if (Selection == VictimSelection::Fewest)
    return 1;
  std::chrono::duration<double> Lost = Job.SinceCheckpoint_ + RestartTime;
  return Lost.count() * Job.Spec_.accelerators();
}

/// Adds a running job and the accelerators that it holds to the state.
void addRunning(CellState &State, std::size_t J, VictimSelection Selection) {
  const RunningJob &Job = State.View_.Running_[J];
  State.Running_.Slices_.push_back(toSlices(State.Map_, Job.Placement_));
  State.Running_.Cost_.push_back(preemptionCost(Job, Selection));
  State.Free_.take(State.Running_.Slices_.back());
  for (const Slice &Part : State.Running_.Slices_.back()) {
    std::vector<std::size_t> &Jobs = State.Running_.JobsOn_[Part.Worker_];
    if (Jobs.empty() || Jobs.back() != J)
      Jobs.push_back(J);
  }
  std::size_t Pool = poolOf(State.View_, Job.Spec_);
  if (Pool != NoOwner)
    State.HeldByPool_[Pool] += Job.Spec_.accelerators();
}

} // namespace

CellState::CellState(const CellView &View, const Policy &Options)
    : View_(View), AgingVictimsWaitedLess_(Options.AgingVictimsWaitedLess_),
      Map_(makeTopology(View)), Free_(Map_), HeldByPool_(View.Pools_.size()),
      Reserved_(View.Workers_.size()) {
  Running_.JobsOn_.resize(View.Workers_.size());
  for (std::size_t J = 0; J < View.Running_.size(); ++J)
    addRunning(*this, J, Options.VictimSelection_);
  Guarantees_ = bindGuarantees(View, Map_, Running_.Slices_);
}

bool recentlyMigrated(const CellView &View, const WaitingJob &Job) {
  return Job.MigratedFrom_ == View.Domain_ && Job.Waited_ < MigrationCooldown;
}

bool withinLimit(const CellState &State, const model::JobSpec &Spec,
                 std::size_t Pool) {
  return State.HeldByPool_[Pool] + Spec.accelerators() <=
         State.View_.Pools_[Pool].AcceleratorLimit_;
}

bool withinLimitAfter(const CellState &State, const WaitingJob &Job,
                      std::size_t Pool,
                      const std::vector<std::size_t> &Victims) {
  std::uint32_t Held = State.HeldByPool_[Pool];
  for (std::size_t J = 0; J < State.View_.Running_.size(); ++J) {
    const RunningJob &Running = State.View_.Running_[J];
    bool Released =
        (Running.Stopping_ && Running.Preemptor_ == Job.Id_) ||
        std::find(Victims.begin(), Victims.end(), J) != Victims.end();
    if (Released && poolOf(State.View_, Running.Spec_) == Pool)
      Held -= Running.Spec_.accelerators();
  }
  return Held + Job.Spec_.accelerators() <=
         State.View_.Pools_[Pool].AcceleratorLimit_;
}

std::optional<Claim> findClaimWithinLimit(const CellState &State,
                                          const model::JobSpec &Spec,
                                          std::size_t Pool) {
  if (Pool == NoOwner || !withinLimit(State, Spec, Pool))
    return std::nullopt;
  return findClaim(State.Guarantees_, State.Free_, State.Running_, Spec, Pool);
}

void reservePlace(CellState &State, const Slices &Tasks,
                  const model::JobSpec &Spec, std::size_t Pool) {
  State.Free_.take(Tasks);
  State.HeldByPool_[Pool] += Spec.accelerators();
  for (const Slice &Part : Tasks)
    State.Reserved_[Part.Worker_] |= Part.Bits_;
}

void reserveClaim(CellState &State, const Claim &Found,
                  const model::JobSpec &Spec, std::size_t Pool) {
  bindClaim(State.Guarantees_, Found, Pool);
  for (std::size_t J : Found.Victims_)
    State.Running_.Cost_[J] = 0;
  reservePlace(State, Found.Tasks_, Spec, Pool);
}

std::optional<Slices> findUnguaranteedPlace(const CellState &State,
                                            const model::JobSpec &Spec) {
  std::vector<std::uint64_t> Bits;
  for (std::uint32_t W = 0; W < State.Map_.Usable_.size(); ++W)
    Bits.push_back(State.Free_.freeBits(W));
  for (const Block &Each : State.Guarantees_.Blocks_)
    for (const Slice &Part : Each.Slices_)
      Bits[Part.Worker_] &= ~Part.Bits_;
  FreeIndex Unguaranteed(State.Map_, std::move(Bits));
  return findPlace(Unguaranteed, Spec, PlacementFit::Best);
}

} // namespace nutmegwell::sched
