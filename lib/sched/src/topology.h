#pragma once

#include "nutmegwell/sched/plan.h"
#include <string_view>
#include <unordered_map>

namespace nutmegwell::sched {

/// The workers of a cell by number. Refers to the names of the view, which must
/// outlive it.
struct Topology {
  std::unordered_map<std::string_view, std::uint32_t> WorkerOf_;
  std::vector<std::uint32_t> RackOf_;
  /// Workers of each rack in the order of the view.
  std::vector<std::vector<std::uint32_t>> Racks_;
  /// The accelerators that each worker has, usable or not.
  std::vector<std::uint64_t> Installed_;
  /// The accelerators of usable workers.
  std::vector<std::uint64_t> Usable_;
  /// The most accelerators of one worker.
  std::uint32_t Largest_ = 0;
};

/// Accelerators of one worker.
struct Slice {
  std::uint32_t Worker_ = 0;
  std::uint64_t Bits_ = 0;
};

/// One slice for each task of a gang.
using Slices = std::vector<Slice>;

Topology makeTopology(const CellView &View);

/// Returns the slices of a placement; tasks on unknown workers are left out.
Slices toSlices(const Topology &Map, const model::Placement &Tasks);

model::Placement toPlacement(const CellView &View, const Slices &Tasks);

inline std::uint32_t countBits(std::uint64_t Bits) {
  return static_cast<std::uint32_t>(__builtin_popcountll(Bits));
}

} // namespace nutmegwell::sched
