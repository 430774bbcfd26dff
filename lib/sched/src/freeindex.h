#pragma once

#include "topology.h"
#include <optional>

namespace nutmegwell::sched {

/// Index of the free accelerators of a cell. Counts, for each rack and for the
/// whole cell, the workers by their number of free accelerators, so that a
/// search can skip racks without looking at their workers.
class FreeIndex {
public:
  /// Marks all accelerators of usable workers as free.
  explicit FreeIndex(const Topology &Map) : FreeIndex(Map, Map.Usable_) {}
  FreeIndex(const Topology &Map, std::vector<std::uint64_t> Free);

  void take(const Slices &Tasks);
  /// Marks accelerators as free, except those of unusable workers.
  void release(const Slices &Tasks);

  std::uint64_t freeBits(std::uint32_t Worker) const { return Free_[Worker]; }
  std::uint32_t freeInRack(std::size_t Rack) const { return RackFree_[Rack]; }
  std::uint32_t freeInCell() const { return CellFree_; }
  /// Returns how many tasks of \p Size accelerators fit.
  std::uint32_t tasksInRack(std::size_t Rack, std::uint32_t Size) const;
  std::uint32_t tasksInCell(std::uint32_t Size) const;
  /// Returns the number of workers with exactly \p Free accelerators free.
  std::uint32_t workersWith(std::uint32_t Free) const;
  std::uint32_t workersInRackWith(std::size_t Rack, std::uint32_t Free) const {
    return Counts_[Rack * Stride_ + Free];
  }
  const Topology &map() const { return Map_; }

private:
  void setFreeBits(std::uint32_t Worker, std::uint64_t Free);
  std::uint32_t countTasks(std::size_t Group, std::uint32_t Size) const;

  const Topology &Map_;
  std::size_t Stride_;
  std::vector<std::uint64_t> Free_;
  std::vector<std::uint32_t> RackFree_;
  std::uint32_t CellFree_ = 0;
  /// Number of workers by free accelerators: one row for each rack, then one
  /// for the cell.
  std::vector<std::uint32_t> Counts_;
};

} // namespace nutmegwell::sched
