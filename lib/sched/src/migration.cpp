#include "nutmegwell/sched/migration.h"

#include "aging.h"
#include "cellstate.h"
#include "place.h"
#include <algorithm>
#include <memory>

namespace nutmegwell::sched {

namespace {

using States = std::vector<std::unique_ptr<CellState>>;

/// Only for jobs that have waited this long are others moved.
constexpr std::chrono::minutes LongWait{30};
/// A job is not moved before it has run this long.
constexpr std::chrono::minutes ShortestStay{5};

/// Jobs for which a place is sought in one call, which bounds its time.
constexpr std::size_t MostSought = 3;

States makeStates(const std::vector<CellView> &Cells, const Policy &Choices) {
  States Result;
  for (const CellView &View : Cells)
    Result.push_back(std::make_unique<CellState>(View, Choices));
  return Result;
}

/// Returns the few waiting jobs that have waited longest in all their attempts.
std::vector<const WaitingJob *> longestWaiting(const CellView &View) {
  auto Wait = [](const WaitingJob *Job) {
    return Job->Waited_ + Job->EarlierWait_;
  };
  auto Weighted = [&](const WaitingJob *Job) {
    return Wait(Job) * Job->Spec_.accelerators();
  };
  std::vector<const WaitingJob *> Result;
  for (const WaitingJob &Job : View.Waiting_)
    if (Wait(&Job) >= LongWait)
      Result.push_back(&Job);
  std::stable_sort(Result.begin(), Result.end(),
                   [&](const WaitingJob *A, const WaitingJob *B) {
                     return Weighted(A) > Weighted(B);
                   });
  if (Result.size() > MostSought)
    Result.resize(MostSought);
  return Result;
}

bool beingServed(const std::vector<CellView> &Cells, const core::JobId &Job) {
  for (const CellView &View : Cells)
    for (const RunningJob &Running : View.Running_)
      if (Running.Stopping_ && Running.Preemptor_ == Job)
        return true;
  return false;
}

bool fitsNow(const States &All, const WaitingJob &Job) {
  return std::any_of(All.begin(), All.end(), [&](const auto &State) {
    return State->View_.MayStart_ &&
           poolOf(State->View_, Job.Spec_) != NoOwner &&
           withinLimit(*State, Job.Spec_, poolOf(State->View_, Job.Spec_)) &&
           findPlace(State->Free_, Job.Spec_, PlacementFit::Best);
  });
}

/// Keeps a place within the guarantee of the job's account in a cell other than
/// \p From. Returns false when there is none.
bool rehouse(States &All, std::size_t From, const RunningJob &Job) {
  for (std::size_t C = 0; C < All.size(); ++C) {
    if (C == From || !All[C]->View_.MayStart_)
      continue;
    std::size_t Pool = poolOf(All[C]->View_, Job.Spec_);
    if (auto Found = claimFor(*All[C], Job.Spec_, Pool)) {
      keepClaim(*All[C], *Found, Job.Spec_, Pool);
      return true;
    }
  }
  return false;
}

/// Keeps the claims of waiting jobs in their preferred cells, so that a job is
/// not moved to where another is about to start.
void keepWaitingClaims(States &All) {
  for (const auto &State : All)
    for (const WaitingJob &Job : State->View_.Waiting_) {
      std::size_t Pool = poolOf(State->View_, Job.Spec_);
      if (!Job.Preferred_ || !State->View_.MayStart_ || Pool == NoOwner)
        continue;
      if (auto Found = claimFor(*State, Job.Spec_, Pool))
        keepClaim(*State, *Found, Job.Spec_, Pool);
    }
}

/// Returns the jobs to move out of a cell so that \p Gang has a place there, or
/// nothing when no set of jobs with places elsewhere was found.
std::optional<std::pair<double, std::vector<std::size_t>>>
movesIn(const std::vector<CellView> &Cells, std::size_t C,
        const WaitingJob &Gang, const Policy &Choices) {
  CellView View = Cells[C];
  std::size_t Pool = poolOf(View, Gang.Spec_);
  if (Pool == NoOwner)
    return std::nullopt;
  States Probe = makeStates(Cells, Choices);
  keepWaitingClaims(Probe);
  for (std::size_t J = 0; J < View.Running_.size(); ++J)
    if (Probe[C]->Guarantees_.Within_[J] &&
        View.Running_[J].RunTime_ >= ShortestStay &&
        rehouse(Probe, C, View.Running_[J]))
      View.Running_[J].MigratableFor_ = Gang.Id_;
  CellState State(View, Choices);
  auto Found = agedPlace(State, Gang);
  if (!Found || !withinLimitAfter(State, Gang, Pool, Found->Victims_))
    return std::nullopt;
  double Cost = 0;
  std::vector<std::size_t> Result;
  for (std::size_t J : Found->Victims_) {
    Cost += State.Running_.Cost_[J];
    if (State.Guarantees_.Within_[J])
      Result.push_back(J);
  }
  return std::make_pair(Cost, Result);
}

} // namespace

void planMigrations(std::vector<CellView> &Cells, const Policy &Choices) {
  if (!Choices.Migrations_ || Cells.size() < 2)
    return;
  States All = makeStates(Cells, Choices);
  for (CellView &View : Cells)
    for (RunningJob &Job : View.Running_)
      Job.MigratableFor_ = core::JobId();
  for (const WaitingJob *Gang : longestWaiting(Cells[0])) {
    if (beingServed(Cells, Gang->Id_))
      return;
    if (fitsNow(All, *Gang))
      continue;
    std::optional<std::size_t> Best;
    double BestCost = 0;
    std::vector<std::size_t> Moved;
    for (std::size_t C = 0; C < Cells.size(); ++C) {
      if (!Cells[C].MayStart_)
        continue;
      auto Found = movesIn(Cells, C, *Gang, Choices);
      if (Found && (!Best || Found->first < BestCost)) {
        Best = C;
        BestCost = Found->first;
        Moved = Found->second;
      }
    }
    if (!Best)
      continue;
    std::size_t Index =
        static_cast<std::size_t>(Gang - Cells[0].Waiting_.data());
    for (std::size_t C = 0; C < Cells.size(); ++C)
      Cells[C].Waiting_[Index].Preferred_ = C == *Best;
    for (std::size_t J : Moved)
      Cells[*Best].Running_[J].MigratableFor_ = Gang->Id_;
    return;
  }
}

} // namespace nutmegwell::sched
