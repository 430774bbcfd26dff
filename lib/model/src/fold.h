#pragma once

#include "nutmegwell/model/controlstate.h"

namespace nutmegwell::model {

/// Outcome of applying one record body. An empty Code_ accepts the record; any
/// other rejects it and leaves the state unchanged.
struct FoldOutcome {
  std::string Code_;
  std::string Reason_;
};

/// Each overload checks the conditions of a record body and applies it to the
/// state when they hold.
FoldOutcome fold(ControlState &State, const RoutesPublished &Change);
FoldOutcome fold(ControlState &State, const PoolsPublished &Change);
FoldOutcome fold(ControlState &State, const DomainChanged &Change);
FoldOutcome fold(ControlState &State, const CellClaimed &Change);
FoldOutcome fold(ControlState &State, const CellRenewed &Change);
FoldOutcome fold(ControlState &State, const CellReleased &Change);
FoldOutcome fold(ControlState &State, const JobSubmitted &Change);
FoldOutcome fold(ControlState &State, const JobCancelled &Change);
FoldOutcome fold(ControlState &State, const JobCommitted &Change);
FoldOutcome fold(ControlState &State, const JobStopping &Change);
FoldOutcome fold(ControlState &State, const JobRequeued &Change);
FoldOutcome fold(ControlState &State, const JobFinished &Change);
FoldOutcome fold(ControlState &State, const IntentRecorded &Change);
FoldOutcome fold(ControlState &State, const IntentReleased &Change);
FoldOutcome fold(ControlState &State, const IntentSettled &Change);
FoldOutcome fold(ControlState &State, const SnapshotTaken &Change);

/// Returns a rejection when \p Term is not the current term of the cell of
/// \p Domain, or when the cell has no holder.
FoldOutcome checkTerm(const ControlState &State, const DomainName &Domain,
                      core::Term Term);

} // namespace nutmegwell::model
