#include "nutmegwell/sched/firstfit.h"

#include <algorithm>

namespace nutmegwell::sched {

namespace {

/// Takes \p Count clear bits below \p Total from \p Used. Returns the bits, or
/// 0 when too few are clear.
std::uint64_t takeBits(std::uint64_t &Used, std::uint32_t Total,
                       std::uint32_t Count) {
  std::uint64_t Taken = 0;
  for (std::uint32_t Bit = 0; Bit < Total && Count > 0; ++Bit) {
    std::uint64_t Mask = std::uint64_t{1} << Bit;
    if (Used & Mask)
      continue;
    Taken |= Mask;
    --Count;
  }
  if (Count > 0)
    return 0;
  Used |= Taken;
  return Taken;
}

bool sameGroup(const WorkerView &A, const WorkerView &B, model::Level Shape) {
  if (Shape == model::Level::Domain)
    return true;
  if (Shape == model::Level::Rack)
    return A.Rack_ == B.Rack_;
  return A.Name_ == B.Name_;
}

/// Places the tasks on workers of the group of \p First.
std::optional<model::Placement> placeInGroup(const CellView &View,
                                             Occupancy Used,
                                             const model::JobSpec &Spec,
                                             std::size_t First) {
  model::Placement Result;
  for (std::size_t I = First; I < View.Workers_.size(); ++I) {
    const WorkerView &Worker = View.Workers_[I];
    if (!Worker.Usable_ ||
        !sameGroup(View.Workers_[First], Worker, Spec.Level_))
      continue;
    while (Result.size() < Spec.Tasks_) {
      std::uint64_t Bits =
          takeBits(Used[I], Worker.Accelerators_, Spec.AcceleratorsPerTask_);
      if (Bits == 0)
        break;
      Result.push_back({Worker.Name_, Bits});
    }
  }
  if (Result.size() < Spec.Tasks_)
    return std::nullopt;
  return Result;
}

} // namespace

void occupy(const CellView &View, const model::Placement &Tasks,
            Occupancy &Used) {
  for (const model::TaskPlacement &Task : Tasks)
    for (std::size_t I = 0; I < View.Workers_.size(); ++I)
      if (View.Workers_[I].Name_ == Task.Worker_)
        Used[I] |= Task.Accelerators_;
}

Occupancy occupancyOf(const CellView &View) {
  Occupancy Used(View.Workers_.size(), 0);
  for (const RunningJob &Job : View.Running_)
    occupy(View, Job.Placement_, Used);
  return Used;
}

std::optional<model::Placement> placeFirstFit(const CellView &View,
                                              const Occupancy &Used,
                                              const model::JobSpec &Spec) {
  for (std::size_t I = 0; I < View.Workers_.size(); ++I) {
    bool GroupSeen =
        std::any_of(View.Workers_.begin(), View.Workers_.begin() + I,
                    [&](const WorkerView &Earlier) {
                      return sameGroup(Earlier, View.Workers_[I], Spec.Level_);
                    });
    if (GroupSeen)
      continue;
    if (auto Found = placeInGroup(View, Used, Spec, I))
      return Found;
  }
  return std::nullopt;
}

} // namespace nutmegwell::sched
