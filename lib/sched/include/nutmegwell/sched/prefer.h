#pragma once

#include "nutmegwell/sched/plan.h"
#include <map>

namespace nutmegwell::sched {

/// What the choice between cells needs to know of each.
struct CellSummary {
  bool MayStart_ = true;
  /// Free accelerators of usable workers.
  std::uint32_t Free_ = 0;
  /// For each account and service with a pool, the part of its guarantee that
  /// its jobs do not hold, in accelerators.
  std::map<std::pair<model::AccountName, model::ServiceName>, std::uint32_t>
      GuaranteeLeft_;
};

CellSummary summarize(const CellView &View);

/// Returns the index of the cell that is to take the job: one in service where
/// the job has a guarantee and free accelerators, else one with a guarantee,
/// else one with free accelerators. The job's id chooses among equals, so that
/// all holders agree. Returns 0 when there is no such cell.
std::size_t preferredCell(const core::JobId &Id, const model::JobSpec &Spec,
                          const std::vector<CellSummary> &Cells);

} // namespace nutmegwell::sched
