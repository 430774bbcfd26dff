#include "nutmegwell/sched/prefer.h"

#include "cellstate.h"
#include <memory>

namespace nutmegwell::sched {

namespace {

/// A cell that could run a job, with the job's claim there and its cost.
struct CellCandidate {
  std::size_t Cell_ = 0;
  std::optional<Claim> Claim_;
  double Cost_ = 0;
};

/// Returns the cost of the preemptions of a claim.
double claimCost(const CellState &State, const Claim &Found) {
  double Sum = 0;
  for (std::size_t J : Found.Victims_)
    Sum += State.Running_.Cost_[J];
  return Sum;
}

/// Returns true when A is better than B: with a claim before without one, then
/// claims that are free at once, then the lowest cost, then the cell with more
/// free accelerators.
bool isBetterCandidate(const std::vector<std::unique_ptr<CellState>> &States,
                       const CellCandidate &A, const CellCandidate &B) {
  auto Key = [&](const CellCandidate &Each) {
    return std::make_tuple(
        !Each.Claim_, Each.Claim_ && !Each.Claim_->FreeNow_, Each.Cost_,
        -static_cast<std::int64_t>(States[Each.Cell_]->Free_.freeInCell()));
  };
  return Key(A) < Key(B);
}

std::size_t chooseCell(std::vector<std::unique_ptr<CellState>> &States,
                       const WaitingJob &Job) {
  std::optional<CellCandidate> Best;
  // Starting at an index derived from the job id spreads jobs over equally good
  // cells.
  std::size_t First = std::hash<core::JobId>()(Job.Id_) % States.size();
  for (std::size_t I = 0; I < States.size(); ++I) {
    CellCandidate Candidate;
    Candidate.Cell_ = (First + I) % States.size();
    const CellState &State = *States[Candidate.Cell_];
    std::size_t Pool = poolOf(State.View_, Job.Spec_);
    if (!State.View_.MayStart_ || Pool == NoOwner ||
        recentlyMigrated(State.View_, Job) ||
        !withinLimit(State, Job.Spec_, Pool))
      continue;
    Candidate.Claim_ = findClaimWithinLimit(State, Job.Spec_, Pool);
    if (Candidate.Claim_)
      Candidate.Cost_ = claimCost(State, *Candidate.Claim_);
    if (!Best || isBetterCandidate(States, Candidate, *Best))
      Best = std::move(Candidate);
  }
  if (!Best)
    return First;
  CellState &State = *States[Best->Cell_];
  if (Best->Claim_)
    reserveClaim(State, *Best->Claim_, Job.Spec_,
                 poolOf(State.View_, Job.Spec_));
  return Best->Cell_;
}

} // namespace

std::vector<std::size_t> preferredCells(const std::vector<CellView> &Cells,
                                        const Policy &Options) {
  std::vector<std::size_t> Result;
  if (Cells.empty())
    return Result;
  if (Cells.size() == 1)
    return std::vector<std::size_t>(Cells[0].Waiting_.size(), 0);
  std::vector<std::unique_ptr<CellState>> States;
  for (const CellView &View : Cells)
    States.push_back(std::make_unique<CellState>(View, Options));
  const std::vector<WaitingJob> &Waiting = Cells[0].Waiting_;
  Result.resize(Waiting.size());
  // Migrated jobs go first: each gave up a place within its guarantee.
  for (bool Migrated : {true, false})
    for (std::size_t J = 0; J < Waiting.size(); ++J)
      if (Waiting[J].MigratedFrom_.empty() != Migrated)
        Result[J] = chooseCell(States, Waiting[J]);
  return Result;
}

} // namespace nutmegwell::sched
