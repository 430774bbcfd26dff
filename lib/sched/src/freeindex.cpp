#include "freeindex.h"

namespace nutmegwell::sched {

FreeIndex::FreeIndex(const Topology &Map, std::vector<std::uint64_t> Free)
    : Map_(Map), Stride_(Map.MaxPerWorker_ + 1), Free_(std::move(Free)),
      RackFree_(Map.Racks_.size()), Counts_((Map.Racks_.size() + 1) * Stride_) {
  for (std::size_t W = 0; W < Free_.size(); ++W) {
    std::uint32_t Count = countBits(Free_[W]);
    RackFree_[Map.RackOf_[W]] += Count;
    CellFree_ += Count;
    ++Counts_[Map.RackOf_[W] * Stride_ + Count];
    ++Counts_[Map.Racks_.size() * Stride_ + Count];
  }
}

void FreeIndex::setFreeBits(std::uint32_t Worker, std::uint64_t Free) {
  std::uint32_t Before = countBits(Free_[Worker]);
  std::uint32_t After = countBits(Free);
  std::size_t Rack = Map_.RackOf_[Worker];
  for (std::size_t Group : {Rack, Map_.Racks_.size()}) {
    --Counts_[Group * Stride_ + Before];
    ++Counts_[Group * Stride_ + After];
  }
  RackFree_[Rack] += After - Before;
  CellFree_ += After - Before;
  Free_[Worker] = Free;
}

void FreeIndex::take(const Slices &Tasks) {
  for (const Slice &Task : Tasks)
    setFreeBits(Task.Worker_, Free_[Task.Worker_] & ~Task.Bits_);
}

void FreeIndex::release(const Slices &Tasks) {
  for (const Slice &Task : Tasks)
    setFreeBits(Task.Worker_, Free_[Task.Worker_] |
                                  (Task.Bits_ & Map_.Usable_[Task.Worker_]));
}

std::uint32_t FreeIndex::countTasks(std::size_t Group,
                                    std::uint32_t Size) const {
  std::uint32_t Sum = 0;
  for (std::uint32_t Free = Size; Free < Stride_; ++Free)
    Sum += Counts_[Group * Stride_ + Free] * (Free / Size);
  return Sum;
}

std::uint32_t FreeIndex::tasksInRack(std::size_t Rack,
                                     std::uint32_t Size) const {
  return countTasks(Rack, Size);
}

std::uint32_t FreeIndex::tasksInCell(std::uint32_t Size) const {
  return countTasks(Map_.Racks_.size(), Size);
}

std::uint32_t FreeIndex::workersWith(std::uint32_t Free) const {
  return Free < Stride_ ? Counts_[Map_.Racks_.size() * Stride_ + Free] : 0;
}

} // namespace nutmegwell::sched
