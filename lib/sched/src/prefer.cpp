#include "nutmegwell/sched/prefer.h"

#include "topology.h"
#include <algorithm>

namespace nutmegwell::sched {

CellSummary summarize(const CellView &View) {
  CellSummary Result;
  Result.MayStart_ = View.MayStart_;
  std::uint32_t Held = 0;
  std::map<std::pair<model::AccountName, model::ServiceName>, std::uint32_t>
      HeldBy;
  for (const RunningJob &Job : View.Running_) {
    HeldBy[{Job.Spec_.Account_, Job.Spec_.Service_}] +=
        Job.Spec_.accelerators();
    Held += Job.Spec_.accelerators();
  }
  std::uint32_t Total = 0;
  for (const WorkerView &Worker : View.Workers_)
    if (Worker.Usable_)
      Total += Worker.Accelerators_;
  Result.Free_ = Total - std::min(Total, Held);
  for (const model::PoolRow &Row : View.Pools_) {
    std::uint32_t Used = HeldBy[{Row.Account_, Row.Service_}];
    Result.GuaranteeLeft_[{Row.Account_, Row.Service_}] =
        Row.Guaranteed_ - std::min(Row.Guaranteed_, Used);
  }
  return Result;
}

std::size_t preferredCell(const core::JobId &Id, const model::JobSpec &Spec,
                          const std::vector<CellSummary> &Cells) {
  std::uint32_t Wanted = Spec.accelerators();
  std::vector<std::size_t> Best;
  int BestRank = 0;
  for (std::size_t C = 0; C < Cells.size(); ++C) {
    auto Left = Cells[C].GuaranteeLeft_.find({Spec.Account_, Spec.Service_});
    if (!Cells[C].MayStart_ || Left == Cells[C].GuaranteeLeft_.end())
      continue;
    int Rank =
        (Left->second >= Wanted ? 2 : 0) + (Cells[C].Free_ >= Wanted ? 1 : 0);
    if (Rank > BestRank)
      Best.clear();
    BestRank = std::max(BestRank, Rank);
    if (Rank == BestRank)
      Best.push_back(C);
  }
  if (Best.empty())
    return 0;
  return Best[std::hash<core::JobId>()(Id) % Best.size()];
}

} // namespace nutmegwell::sched
