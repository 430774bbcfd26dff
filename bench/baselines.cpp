#include "baselines.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

namespace nutmegwell::bench {

namespace {

/// The bits in use of each worker, with workers grouped by rack.
struct Cell {
  std::unordered_map<std::string, std::size_t> IndexOf_;
  std::vector<std::uint64_t> Used_;
  std::map<std::string, std::vector<std::size_t>> Racks_;
  std::vector<std::size_t> All_;
  std::map<std::string, std::uint32_t> Held_;
};

std::uint32_t countBits(std::uint64_t Bits) {
  return static_cast<std::uint32_t>(__builtin_popcountll(Bits));
}

Cell makeCell(const sched::CellView &View) {
  Cell Result;
  Result.Used_.resize(View.Workers_.size());
  for (std::size_t I = 0; I < View.Workers_.size(); ++I) {
    const sched::WorkerView &Worker = View.Workers_[I];
    Result.IndexOf_[Worker.Name_] = I;
    Result.Racks_[Worker.Rack_].push_back(I);
    Result.All_.push_back(I);
    if (!Worker.Usable_)
      Result.Used_[I] = ~std::uint64_t{0};
  }
  for (const sched::RunningJob &Job : View.Running_) {
    Result.Held_[Job.Spec_.Account_] += Job.Spec_.accelerators();
    for (const model::TaskPlacement &Task : Job.Placement_)
      Result.Used_[Result.IndexOf_[Task.Worker_]] |= Task.Accelerators_;
  }
  return Result;
}

std::uint32_t freeIn(const sched::CellView &View, const Cell &State) {
  std::uint32_t Sum = 0;
  for (std::size_t I = 0; I < View.Workers_.size(); ++I)
    if (View.Workers_[I].Usable_)
      Sum += View.Workers_[I].Accelerators_ - countBits(State.Used_[I]);
  return Sum;
}

std::optional<model::Placement> placeIn(const sched::CellView &View,
                                        const Cell &State,
                                        const std::vector<std::size_t> &Group,
                                        const model::JobSpec &Spec) {
  model::Placement Result;
  for (std::size_t I : Group) {
    std::uint64_t Used = State.Used_[I];
    std::uint32_t Free = 0;
    if (View.Workers_[I].Usable_)
      Free = View.Workers_[I].Accelerators_ - countBits(Used);
    for (; Free >= Spec.AcceleratorsPerTask_ && Result.size() < Spec.TaskCount_;
         Free -= Spec.AcceleratorsPerTask_) {
      std::uint64_t Bits = 0;
      for (std::uint32_t N = 0; N < Spec.AcceleratorsPerTask_; ++N) {
        std::uint64_t Lowest = ~Used & (Used + 1);
        Bits |= Lowest;
        Used |= Lowest;
      }
      Result.push_back({View.Workers_[I].Name_, Bits});
    }
    if (Result.size() == Spec.TaskCount_)
      return Result;
  }
  return std::nullopt;
}

std::optional<model::Placement> place(const sched::CellView &View,
                                      const Cell &State,
                                      const model::JobSpec &Spec) {
  if (Spec.Level_ == model::TopologyLevel::Domain)
    return placeIn(View, State, State.All_, Spec);
  if (Spec.Level_ == model::TopologyLevel::Rack) {
    for (const auto &[Name, Group] : State.Racks_)
      if (auto Found = placeIn(View, State, Group, Spec))
        return Found;
    return std::nullopt;
  }
  for (std::size_t I : State.All_)
    if (auto Found = placeIn(View, State, {I}, Spec))
      return Found;
  return std::nullopt;
}

bool withinLimit(const sched::CellView &View, const Cell &State,
                 const model::JobSpec &Spec) {
  for (const model::PoolRow &Row : View.Pools_)
    if (Row.Account_ == Spec.Account_ && Row.Service_ == Spec.Service_) {
      auto Held = State.Held_.find(Spec.Account_);
      std::uint32_t Now = Held == State.Held_.end() ? 0 : Held->second;
      return Now + Spec.accelerators() <= Row.AcceleratorLimit_;
    }
  return false;
}

/// A job that could never start here must not hold back the others.
bool everFits(const sched::CellView &View, const model::JobSpec &Spec) {
  sched::CellView Empty = View;
  Empty.Running_.clear();
  return place(Empty, makeCell(Empty), Spec).has_value();
}

/// When the head job may start by declared times, and how many accelerators it
/// leaves free then.
struct Shadow {
  core::Duration Time_ = core::Duration::max();
  std::uint32_t Spare_ = 0;
};

Shadow shadowOf(const sched::CellView &View, std::uint32_t Free,
                std::uint32_t Wanted) {
  std::vector<std::pair<core::Duration, std::uint32_t>> Ends;
  for (const sched::RunningJob &Job : View.Running_) {
    std::uint32_t Size = Job.Spec_.accelerators();
    Ends.push_back(
        {Job.Spec_.DeclaredRunTime_ - Job.AttainedService_ / Size, Size});
  }
  std::sort(Ends.begin(), Ends.end());
  Shadow Result;
  if (Free >= Wanted)
    return {core::Duration(0), Free - Wanted};
  for (const auto &[End, Size] : Ends) {
    Free += Size;
    if (Free >= Wanted)
      return {std::max(End, core::Duration(0)), Free - Wanted};
  }
  return Result;
}

sched::Plan decideInOrder(const sched::CellView &View, bool Backfill) {
  sched::Plan Result;
  if (!View.MayStart_)
    return Result;
  Cell State = makeCell(View);
  std::optional<Shadow> Head;
  for (const sched::WaitingJob &Job : View.Waiting_) {
    std::uint32_t Wanted = Job.Spec_.accelerators();
    if (!withinLimit(View, State, Job.Spec_))
      continue;
    if (Head && Job.Spec_.DeclaredRunTime_ > Head->Time_ &&
        Wanted > Head->Spare_)
      continue;
    auto Found = place(View, State, Job.Spec_);
    if (Found) {
      for (const model::TaskPlacement &Task : *Found)
        State.Used_[State.IndexOf_[Task.Worker_]] |= Task.Accelerators_;
      State.Held_[Job.Spec_.Account_] += Wanted;
      if (Head && Job.Spec_.DeclaredRunTime_ > Head->Time_)
        Head->Spare_ -= Wanted;
      Result.Starts_.push_back({Job.Id_, std::move(*Found)});
    } else if (!Head && everFits(View, Job.Spec_)) {
      if (!Backfill)
        break;
      Head = shadowOf(View, freeIn(View, State), Wanted);
    }
  }
  return Result;
}

} // namespace

sched::Plan decideFirstCome(const sched::CellView &View) {
  return decideInOrder(View, false);
}

sched::Plan decideBackfill(const sched::CellView &View) {
  return decideInOrder(View, true);
}

} // namespace nutmegwell::bench
