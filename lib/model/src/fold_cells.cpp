#include "fold.h"

namespace nutmegwell::model {

Verdict checkTerm(const ControlState &State, const DomainName &Domain,
                  core::Term Term) {
  auto Known = State.Cells_.find(Domain);
  core::Term InForce = Known == State.Cells_.end() ? 0 : Known->second.Term_;
  if (Term != InForce)
    return {"stale_term", "cell " + Domain + " is at term " +
                              std::to_string(InForce) + ", the record has " +
                              std::to_string(Term)};
  if (Known == State.Cells_.end() || Known->second.Holder_.empty())
    return {"stale_term", "cell " + Domain + " has no holder"};
  return {};
}

Verdict fold(ControlState &State, const CellClaimed &Change) {
  auto Known = State.Cells_.find(Change.Domain_);
  core::Term InForce = Known == State.Cells_.end() ? 0 : Known->second.Term_;
  if (Change.Term_ != InForce + 1)
    return {"stale_term", "cell " + Change.Domain_ + " is at term " +
                              std::to_string(InForce)};
  Cell &Tenure = State.Cells_[Change.Domain_];
  Tenure.Term_ = Change.Term_;
  Tenure.Holder_ = Change.Holder_;
  Tenure.HolderIncarnation_ = Change.HolderIncarnation_;
  ++Tenure.RenewalCount_;
  return {};
}

Verdict fold(ControlState &State, const CellRenewed &Change) {
  Verdict Outcome = checkTerm(State, Change.Domain_, Change.Term_);
  if (Outcome.Code_.empty())
    ++State.Cells_[Change.Domain_].RenewalCount_;
  return Outcome;
}

Verdict fold(ControlState &State, const CellReleased &Change) {
  Verdict Outcome = checkTerm(State, Change.Domain_, Change.Term_);
  if (Outcome.Code_.empty())
    State.Cells_[Change.Domain_].Holder_.clear();
  return Outcome;
}

} // namespace nutmegwell::model
