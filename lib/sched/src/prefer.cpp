#include "nutmegwell/sched/prefer.h"

#include "cellstate.h"
#include <memory>

namespace nutmegwell::sched {

namespace {

/// A cell that could take a job, and how well it would.
struct Offer {
  std::size_t Cell_ = 0;
  std::optional<Claim> Claim_;
  double Cost_ = 0;
};

/// Returns what the preemptions of a claim cost.
double costOf(const CellState &State, const Claim &Found) {
  double Sum = 0;
  for (std::size_t J : Found.Victims_)
    Sum += State.Running_.Cost_[J];
  return Sum;
}

/// Returns true when A is better than B: a claim before none, then what is free
/// at once, then what costs least, then the cell with more free accelerators.
bool betterOffer(const std::vector<std::unique_ptr<CellState>> &States,
                 const Offer &A, const Offer &B) {
  auto Key = [&](const Offer &One) {
    return std::make_tuple(
        !One.Claim_, One.Claim_ && !One.Claim_->Free_, One.Cost_,
        -static_cast<std::int64_t>(States[One.Cell_]->Free_.freeInCell()));
  };
  return Key(A) < Key(B);
}

std::size_t chooseCell(std::vector<std::unique_ptr<CellState>> &States,
                       const WaitingJob &Job) {
  std::optional<Offer> Best;
  // Starting at a place given by the id spreads equal offers over the cells.
  std::size_t First = std::hash<core::JobId>()(Job.Id_) % States.size();
  for (std::size_t I = 0; I < States.size(); ++I) {
    Offer Next;
    Next.Cell_ = (First + I) % States.size();
    const CellState &State = *States[Next.Cell_];
    std::size_t Pool = poolOf(State.View_, Job.Spec_);
    if (!State.View_.MayStart_ || Pool == NoOwner ||
        justMovedOut(State.View_, Job) || !withinLimit(State, Job.Spec_, Pool))
      continue;
    Next.Claim_ = claimFor(State, Job.Spec_, Pool);
    if (Next.Claim_)
      Next.Cost_ = costOf(State, *Next.Claim_);
    if (!Best || betterOffer(States, Next, *Best))
      Best = std::move(Next);
  }
  if (!Best)
    return First;
  CellState &State = *States[Best->Cell_];
  if (Best->Claim_)
    keepClaim(State, *Best->Claim_, Job.Spec_, poolOf(State.View_, Job.Spec_));
  return Best->Cell_;
}

} // namespace

std::vector<std::size_t> preferredCells(const std::vector<CellView> &Cells,
                                        const Policy &Choices) {
  std::vector<std::size_t> Result;
  if (Cells.empty())
    return Result;
  if (Cells.size() == 1)
    return std::vector<std::size_t>(Cells[0].Waiting_.size(), 0);
  std::vector<std::unique_ptr<CellState>> States;
  for (const CellView &View : Cells)
    States.push_back(std::make_unique<CellState>(View, Choices));
  const std::vector<WaitingJob> &Waiting = Cells[0].Waiting_;
  Result.resize(Waiting.size());
  // A moved job goes first: it gave up a place within its guarantee.
  for (bool Moved : {true, false})
    for (std::size_t J = 0; J < Waiting.size(); ++J)
      if (Waiting[J].MigratedFrom_.empty() != Moved)
        Result[J] = chooseCell(States, Waiting[J]);
  return Result;
}

} // namespace nutmegwell::sched
