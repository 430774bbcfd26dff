#pragma once

#include "nutmegwell/model/controlstate.h"

namespace nutmegwell::model {

/// Verdict of one record body; empty Code_ accepts it.
struct Verdict {
  std::string Code_;
  std::string Reason_;
};

Verdict fold(ControlState &State, const RoutesPublished &Change);
Verdict fold(ControlState &State, const PoolsPublished &Change);
Verdict fold(ControlState &State, const DomainChanged &Change);
Verdict fold(ControlState &State, const CellClaimed &Change);
Verdict fold(ControlState &State, const CellRenewed &Change);
Verdict fold(ControlState &State, const CellReleased &Change);
Verdict fold(ControlState &State, const JobSubmitted &Change);
Verdict fold(ControlState &State, const JobCancelled &Change);
Verdict fold(ControlState &State, const JobCommitted &Change);
Verdict fold(ControlState &State, const JobStopping &Change);
Verdict fold(ControlState &State, const JobRequeued &Change);
Verdict fold(ControlState &State, const JobFinished &Change);
Verdict fold(ControlState &State, const IntentRecorded &Change);
Verdict fold(ControlState &State, const IntentReleased &Change);
Verdict fold(ControlState &State, const IntentSettled &Change);
Verdict fold(ControlState &State, const SnapshotTaken &Change);

/// Returns a rejection when \p Term is not the term in force of \p Domain.
Verdict checkTerm(const ControlState &State, const DomainName &Domain,
                  core::Term Term);

} // namespace nutmegwell::model
