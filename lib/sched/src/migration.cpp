#include "nutmegwell/sched/migration.h"

#include "aging.h"
#include "cellstate.h"
#include "place.h"
#include <algorithm>
#include <memory>

namespace nutmegwell::sched {

namespace {

using States = std::vector<std::unique_ptr<CellState>>;

/// Minimum wait of a job before other jobs are migrated for it.
constexpr std::chrono::minutes MinWait{30};
/// Minimum run time of a job before it is migrated.
constexpr std::chrono::minutes MinRunTime{5};

/// Maximum number of waiting jobs that one call tries to place, which bounds
/// its time.
constexpr std::size_t MaxSearches = 3;

States makeStates(const std::vector<CellView> &Cells, const Policy &Options) {
  States Result;
  for (const CellView &View : Cells)
    Result.push_back(std::make_unique<CellState>(View, Options));
  return Result;
}

/// Returns up to MaxSearches waiting jobs with the largest products of wait and
/// accelerators, among those whose wait over all attempts has reached MinWait.
std::vector<const WaitingJob *> longestWaiting(const CellView &View) {
  auto Wait = [](const WaitingJob *Job) {
    return Job->Waited_ + Job->EarlierWait_;
  };
  auto Weighted = [&](const WaitingJob *Job) {
    return Wait(Job) * Job->Spec_.accelerators();
  };
  std::vector<const WaitingJob *> Result;
  for (const WaitingJob &Job : View.Waiting_)
    if (Wait(&Job) >= MinWait)
      Result.push_back(&Job);
  std::stable_sort(Result.begin(), Result.end(),
                   [&](const WaitingJob *A, const WaitingJob *B) {
                     return Weighted(A) > Weighted(B);
                   });
  if (Result.size() > MaxSearches)
    Result.resize(MaxSearches);
  return Result;
}

bool hasPendingPreemption(const std::vector<CellView> &Cells,
                          const core::JobId &Job) {
  for (const CellView &View : Cells)
    for (const RunningJob &Running : View.Running_)
      if (Running.Stopping_ && Running.Preemptor_ == Job)
        return true;
  return false;
}

bool fitsNow(const States &CellStates, const WaitingJob &Job) {
  return std::any_of(
      CellStates.begin(), CellStates.end(), [&](const auto &State) {
        return State->View_.MayStart_ &&
               poolOf(State->View_, Job.Spec_) != NoOwner &&
               withinLimit(*State, Job.Spec_,
                           poolOf(State->View_, Job.Spec_)) &&
               findPlace(State->Free_, Job.Spec_, PlacementFit::Best);
      });
}

/// Reserves a place within the guarantee of the job's account in a cell other
/// than \p From. Returns false when there is none.
bool reserveElsewhere(States &CellStates, std::size_t From,
                      const RunningJob &Job) {
  for (std::size_t C = 0; C < CellStates.size(); ++C) {
    if (C == From || !CellStates[C]->View_.MayStart_)
      continue;
    std::size_t Pool = poolOf(CellStates[C]->View_, Job.Spec_);
    if (auto Found = findClaimWithinLimit(*CellStates[C], Job.Spec_, Pool)) {
      reserveClaim(*CellStates[C], *Found, Job.Spec_, Pool);
      return true;
    }
  }
  return false;
}

/// Reserves the claims of waiting jobs in their preferred cells, so that no job
/// is migrated to a place where another is about to start.
void reserveWaitingClaims(States &CellStates) {
  for (const auto &State : CellStates)
    for (const WaitingJob &Job : State->View_.Waiting_) {
      std::size_t Pool = poolOf(State->View_, Job.Spec_);
      if (!Job.Preferred_ || !State->View_.MayStart_ || Pool == NoOwner)
        continue;
      if (auto Found = findClaimWithinLimit(*State, Job.Spec_, Pool))
        reserveClaim(*State, *Found, Job.Spec_, Pool);
    }
}

/// Returns the jobs to migrate out of cell \p C so that \p Gang has a place
/// there, with the cost of all preemptions, or std::nullopt when no set of jobs
/// with places in other cells was found.
std::optional<std::pair<double, std::vector<std::size_t>>>
findMigrations(const std::vector<CellView> &Cells, std::size_t C,
               const WaitingJob &Gang, const Policy &Options) {
  CellView View = Cells[C];
  std::size_t Pool = poolOf(View, Gang.Spec_);
  if (Pool == NoOwner)
    return std::nullopt;
  States Probe = makeStates(Cells, Options);
  reserveWaitingClaims(Probe);
  for (std::size_t J = 0; J < View.Running_.size(); ++J)
    if (Probe[C]->Guarantees_.WithinGuarantee_[J] &&
        View.Running_[J].RunTime_ >= MinRunTime &&
        reserveElsewhere(Probe, C, View.Running_[J]))
      View.Running_[J].MigratableFor_ = Gang.Id_;
  CellState State(View, Options);
  auto Found = findPlaceForAgedJob(State, Gang);
  if (!Found || !withinLimitAfter(State, Gang, Pool, Found->Victims_))
    return std::nullopt;
  double Cost = 0;
  std::vector<std::size_t> Result;
  for (std::size_t J : Found->Victims_) {
    Cost += State.Running_.Cost_[J];
    if (State.Guarantees_.WithinGuarantee_[J])
      Result.push_back(J);
  }
  return std::make_pair(Cost, Result);
}

} // namespace

void planMigrations(std::vector<CellView> &Cells, const Policy &Options) {
  if (!Options.Migrations_ || Cells.size() < 2)
    return;
  States CellStates = makeStates(Cells, Options);
  for (CellView &View : Cells)
    for (RunningJob &Job : View.Running_)
      Job.MigratableFor_ = core::JobId();
  for (const WaitingJob *Gang : longestWaiting(Cells[0])) {
    if (hasPendingPreemption(Cells, Gang->Id_))
      return;
    if (fitsNow(CellStates, *Gang))
      continue;
    std::optional<std::size_t> Best;
    double BestCost = 0;
    std::vector<std::size_t> ToMigrate;
    for (std::size_t C = 0; C < Cells.size(); ++C) {
      if (!Cells[C].MayStart_)
        continue;
      auto Found = findMigrations(Cells, C, *Gang, Options);
      if (Found && (!Best || Found->first < BestCost)) {
        Best = C;
        BestCost = Found->first;
        ToMigrate = Found->second;
      }
    }
    if (!Best)
      continue;
    std::size_t Index =
        static_cast<std::size_t>(Gang - Cells[0].Waiting_.data());
    for (std::size_t C = 0; C < Cells.size(); ++C)
      Cells[C].Waiting_[Index].Preferred_ = C == *Best;
    for (std::size_t J : ToMigrate)
      Cells[*Best].Running_[J].MigratableFor_ = Gang->Id_;
    return;
  }
}

} // namespace nutmegwell::sched
