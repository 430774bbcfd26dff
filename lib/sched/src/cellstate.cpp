#include "cellstate.h"

#include "place.h"
#include "queue.h"
#include "region.h"
#include <algorithm>

namespace nutmegwell::sched {

namespace {

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

/// Fills in what one running job holds.
void addRunning(CellState &State, std::size_t J, Victims Order) {
  const RunningJob &Job = State.View_.Running_[J];
  State.Running_.Slices_.push_back(toSlices(State.Map_, Job.Placement_));
  State.Running_.Cost_.push_back(costOf(Job, Order));
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

/// A job that has waited this long in all is served before others.
constexpr std::chrono::minutes LongestWait{30};

/// Returns the accelerators that are free or being freed for the job.
Region roomFor(const CellState &State, const core::JobId &Job) {
  Region Result;
  for (std::uint32_t W = 0; W < State.Map_.Usable_.size(); ++W)
    if (State.Free_.freeBits(W) != 0)
      Result[W] = State.Free_.freeBits(W);
  for (std::size_t J = 0; J < State.View_.Running_.size(); ++J)
    if (State.View_.Running_[J].Stopping_ &&
        State.View_.Running_[J].StoppingFor_ == Job)
      for (const Slice &Part : State.Running_.Slices_[J]) {
        std::uint64_t Bits = Part.Bits_ & State.Map_.Usable_[Part.Worker_];
        if (Bits != 0)
          Result[Part.Worker_] |= Bits;
      }
  return Result;
}

bool beingServed(const CellView &View, const core::JobId &Job) {
  for (const RunningJob &Running : View.Running_)
    if (Running.Stopping_ && Running.StoppingFor_ == Job)
      return true;
  return false;
}

} // namespace

/// Jobs that are served before others at one time.
constexpr std::size_t MostServed = 3;

/// Returns true when the job keeps its limit and has no claim.
static bool borrows(const CellState &State, const WaitingJob &Job) {
  std::size_t Pool = poolOf(State.View_, Job.Spec_);
  return Pool != NoOwner && withinLimitAfter(State, Job, Pool, {}) &&
         !claimFor(State, Job.Spec_, Pool);
}

std::vector<const WaitingJob *> longestWaiting(const CellView &View) {
  auto Wait = [](const WaitingJob *Job) {
    return Job->Waited_ + Job->WaitedBefore_;
  };
  std::vector<const WaitingJob *> Result;
  for (const WaitingJob &Job : View.Waiting_)
    if (Wait(&Job) >= LongestWait)
      Result.push_back(&Job);
  auto Key = [&](const WaitingJob *Job) {
    return std::make_pair(
        runLevel(Job->Attained_, Job->Spec_.accelerators()), -Wait(Job).count());
  };
  std::stable_sort(Result.begin(), Result.end(),
                   [&](const WaitingJob *A, const WaitingJob *B) {
                     return Key(A) < Key(B);
                   });
  if (Result.size() > MostServed)
    Result.resize(MostServed);
  return Result;
}

void addHold(CellState &State, const WaitingJob &Job, Slices Tasks) {
  Hold Next;
  Next.Job_ = Job.Id_;
  for (const Slice &Part : Tasks)
    Next.Free_.push_back(
        {Part.Worker_, Part.Bits_ & State.Free_.freeBits(Part.Worker_)});
  State.Free_.take(Tasks);
  for (const Slice &Part : Tasks) {
    std::vector<std::size_t> &Jobs = State.Running_.JobsOn_[Part.Worker_];
    if (Jobs.empty() || Jobs.back() != State.Running_.Slices_.size())
      Jobs.push_back(State.Running_.Slices_.size());
  }
  State.Running_.Slices_.push_back(Tasks);
  State.Running_.Cost_.push_back(
      std::chrono::duration<double>(RestartTime).count() *
      Job.Spec_.accelerators());
  Next.Tasks_ = std::move(Tasks);
  State.Holds_.push_back(std::move(Next));
}

void holdServed(CellState &State) {
  for (const WaitingJob &Job : State.View_.Waiting_)
    if (beingServed(State.View_, Job.Id_) && borrows(State, Job))
      if (auto Place =
              fitInto(roomFor(State, Job.Id_), State.Free_, Job.Spec_))
        addHold(State, Job, std::move(*Place));
}

void holdLongest(CellState &State) {
  for (const WaitingJob *Job : longestWaiting(State.View_)) {
    if (!Job->Preferred_ || holdOf(State, Job->Id_) || !borrows(State, *Job))
      continue;
    if (auto Place = findPlace(State.Free_, Job->Spec_, Fit::Best))
      addHold(State, *Job, std::move(*Place));
  }
}

const Hold *holdOf(const CellState &State, const core::JobId &Job) {
  for (const Hold &One : State.Holds_)
    if (One.Job_ == Job && !One.Lost_)
      return &One;
  return nullptr;
}

CellState::CellState(const CellView &View, const Policy &Choices)
    : View_(View), TurnsByWait_(Choices.TurnsByWait_), Map_(makeTopology(View)), Free_(Map_),
      Held_(View.Pools_.size()), Claimed_(View.Workers_.size()) {
  Running_.JobsOn_.resize(View.Workers_.size());
  for (std::size_t J = 0; J < View.Running_.size(); ++J)
    addRunning(*this, J, Choices.Victims_);
  Guarantees_ = bindGuarantees(View, Map_, Running_.Slices_);
}

bool withinLimit(const CellState &State, const model::JobSpec &Spec,
                 std::size_t Pool) {
  return State.Held_[Pool] + Spec.accelerators() <=
         State.View_.Pools_[Pool].Limit_;
}

bool withinLimitAfter(const CellState &State, const WaitingJob &Job,
                      std::size_t Pool,
                      const std::vector<std::size_t> &Victims) {
  std::uint32_t Held = State.Held_[Pool];
  for (std::size_t J = 0; J < State.View_.Running_.size(); ++J) {
    const RunningJob &Running = State.View_.Running_[J];
    bool Leaves =
        (Running.Stopping_ && Running.StoppingFor_ == Job.Id_) ||
        std::find(Victims.begin(), Victims.end(), J) != Victims.end();
    if (Leaves && poolOf(State.View_, Running.Spec_) == Pool)
      Held -= Running.Spec_.accelerators();
  }
  return Held + Job.Spec_.accelerators() <= State.View_.Pools_[Pool].Limit_;
}

std::optional<Claim> claimFor(const CellState &State,
                              const model::JobSpec &Spec, std::size_t Pool) {
  if (Pool == NoOwner || !withinLimit(State, Spec, Pool))
    return std::nullopt;
  return findClaim(State.Guarantees_, State.Free_, State.Running_, Spec, Pool);
}

void keepPlace(CellState &State, const Slices &Tasks,
               const model::JobSpec &Spec, std::size_t Pool) {
  State.Free_.take(Tasks);
  State.Held_[Pool] += Spec.accelerators();
  for (const Slice &Part : Tasks)
    State.Claimed_[Part.Worker_] |= Part.Bits_;
}

void keepClaim(CellState &State, const Claim &Found, const model::JobSpec &Spec,
               std::size_t Pool) {
  bindClaim(State.Guarantees_, Found, Pool);
  for (std::size_t J : Found.Victims_) {
    State.Running_.Cost_[J] = 0;
    if (J < State.View_.Running_.size())
      continue;
    Hold &Taken = State.Holds_[J - State.View_.Running_.size()];
    Taken.Lost_ = true;
    State.Free_.give(Taken.Free_);
  }
  keepPlace(State, Found.Tasks_, Spec, Pool);
}

std::optional<Slices> unownedPlace(const CellState &State,
                                   const model::JobSpec &Spec) {
  std::vector<std::uint64_t> Bits;
  for (std::uint32_t W = 0; W < State.Map_.Usable_.size(); ++W)
    Bits.push_back(State.Free_.freeBits(W));
  for (const Block &One : State.Guarantees_.Blocks_)
    for (const Slice &Part : One.Slices_)
      Bits[Part.Worker_] &= ~Part.Bits_;
  FreeIndex Unowned(State.Map_, std::move(Bits));
  return findPlace(Unowned, Spec, Fit::Best);
}

} // namespace nutmegwell::sched
