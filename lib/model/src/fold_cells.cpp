#include "fold.h"

namespace nutmegwell::model {

FoldOutcome checkTerm(const ControlState &State, const DomainName &Domain,
                      core::Term Term) {
  auto It = State.Cells_.find(Domain);
  core::Term CurrentTerm = It == State.Cells_.end() ? 0 : It->second.Term_;
  if (Term != CurrentTerm)
    return {"stale_term", "cell " + Domain + " is at term " +
                              std::to_string(CurrentTerm) +
                              ", the record has " + std::to_string(Term)};
  if (It == State.Cells_.end() || It->second.Holder_.empty())
    return {"stale_term", "cell " + Domain + " has no holder"};
  return {};
}

FoldOutcome fold(ControlState &State, const CellClaimed &Change) {
  auto It = State.Cells_.find(Change.Domain_);
  core::Term CurrentTerm = It == State.Cells_.end() ? 0 : It->second.Term_;
  if (Change.Term_ != CurrentTerm + 1)
    return {"stale_term", "cell " + Change.Domain_ + " is at term " +
                              std::to_string(CurrentTerm)};
  Cell &Target = State.Cells_[Change.Domain_];
  Target.Term_ = Change.Term_;
  Target.Holder_ = Change.Holder_;
  Target.HolderIncarnation_ = Change.HolderIncarnation_;
  ++Target.RenewalCount_;
  return {};
}

FoldOutcome fold(ControlState &State, const CellRenewed &Change) {
  FoldOutcome Outcome = checkTerm(State, Change.Domain_, Change.Term_);
  if (Outcome.Code_.empty())
    ++State.Cells_[Change.Domain_].RenewalCount_;
  return Outcome;
}

FoldOutcome fold(ControlState &State, const CellReleased &Change) {
  FoldOutcome Outcome = checkTerm(State, Change.Domain_, Change.Term_);
  if (Outcome.Code_.empty())
    State.Cells_[Change.Domain_].Holder_.clear();
  return Outcome;
}

} // namespace nutmegwell::model
