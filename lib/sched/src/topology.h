#pragma once

#include "nutmegwell/sched/plan.h"
#include <string_view>
#include <unordered_map>

namespace nutmegwell::sched {

/// The workers and racks of a cell by index. Refers to the names in the view,
/// which must outlive it.
struct Topology {
  std::unordered_map<std::string_view, std::uint32_t> WorkerIndex_;
  /// Rack index of each worker.
  std::vector<std::uint32_t> RackOf_;
  /// Workers of each rack in the order of the view.
  std::vector<std::vector<std::uint32_t>> Racks_;
  /// Bits of the accelerators of each worker, usable or not.
  std::vector<std::uint64_t> Installed_;
  /// Bits of the accelerators of each usable worker; 0 for an unusable one.
  std::vector<std::uint64_t> Usable_;
  /// Largest number of accelerators of one worker.
  std::uint32_t MaxPerWorker_ = 0;
};

/// Accelerators of one worker, as bits.
struct Slice {
  std::uint32_t Worker_ = 0;
  std::uint64_t Bits_ = 0;
};

/// One slice for each task of a gang.
using Slices = std::vector<Slice>;

/// Numbers workers and racks in the order of the view.
Topology makeTopology(const CellView &View);

/// Returns the slices of a placement; tasks on unknown workers are left out.
Slices toSlices(const Topology &Map, const model::Placement &Tasks);

model::Placement toPlacement(const CellView &View, const Slices &Tasks);

inline std::uint32_t countBits(std::uint64_t Bits) {
  return static_cast<std::uint32_t>(__builtin_popcountll(Bits));
}

} // namespace nutmegwell::sched
