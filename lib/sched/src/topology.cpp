#include "topology.h"

#include <algorithm>

namespace nutmegwell::sched {

namespace {

/// A placement stores the accelerators of a worker as bits of a 64-bit word.
constexpr std::uint32_t MaxAccelerators = 64;

std::uint64_t lowBits(std::uint32_t Count) {
  return Count >= MaxAccelerators ? ~std::uint64_t{0}
                                  : (std::uint64_t{1} << Count) - 1;
}

} // namespace

Topology makeTopology(const CellView &View) {
  Topology Result;
  std::size_t Count = View.Workers_.size();
  Result.WorkerIndex_.reserve(Count);
  Result.RackOf_.reserve(Count);
  std::unordered_map<std::string_view, std::uint32_t> RackOf;
  for (std::uint32_t I = 0; I < Count; ++I) {
    const WorkerView &Worker = View.Workers_[I];
    Result.WorkerIndex_.emplace(Worker.Name_, I);
    auto [Rack, Added] = RackOf.emplace(
        Worker.Rack_, static_cast<std::uint32_t>(Result.Racks_.size()));
    if (Added)
      Result.Racks_.emplace_back();
    Result.Racks_[Rack->second].push_back(I);
    Result.RackOf_.push_back(Rack->second);
    Result.Installed_.push_back(lowBits(Worker.Accelerators_));
    Result.Usable_.push_back(Worker.Usable_ ? Result.Installed_.back() : 0);
    Result.MaxPerWorker_ =
        std::max(Result.MaxPerWorker_, countBits(Result.Installed_.back()));
  }
  return Result;
}

Slices toSlices(const Topology &Map, const model::Placement &Tasks) {
  Slices Result;
  Result.reserve(Tasks.size());
  for (const model::TaskPlacement &Task : Tasks) {
    auto Found = Map.WorkerIndex_.find(Task.Worker_);
    if (Found != Map.WorkerIndex_.end())
      Result.push_back({Found->second, Task.Accelerators_});
  }
  return Result;
}

model::Placement toPlacement(const CellView &View, const Slices &Tasks) {
  model::Placement Result;
  Result.reserve(Tasks.size());
  for (const Slice &Task : Tasks)
    Result.push_back({View.Workers_[Task.Worker_].Name_, Task.Bits_});
  return Result;
}

} // namespace nutmegwell::sched
