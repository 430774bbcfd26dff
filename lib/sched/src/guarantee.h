#pragma once

#include "freeindex.h"
#include <map>
#include <optional>

namespace nutmegwell::sched {

/// Level and size of a block.
using BlockKind = std::pair<model::TopologyLevel, std::uint32_t>;

/// Index that stands for no pool row.
constexpr std::size_t NoOwner = static_cast<std::size_t>(-1);

/// A subtree of the topology that holds one guaranteed block. Blocks of one
/// kind (level and size) are interchangeable: each decision determines anew
/// which account owns which block.
struct Block {
  BlockKind Kind_;
  /// Accelerators by worker. Some may be on unusable workers when there was no
  /// other place for the block.
  Slices Slices_;
  /// Index of the pool row that owns the block, or NoOwner.
  std::size_t Owner_ = NoOwner;
};

/// The guaranteed blocks of a cell and their owners, following the binding of
/// cells in HiveD (Zhao et al., OSDI 2020). A job is within its account's
/// guarantee when it runs on blocks that are bound to the account; every other
/// job borrows and may be preempted.
struct Guarantees {
  std::vector<Block> Blocks_;
  /// For each worker, the blocks on it.
  std::vector<std::vector<std::size_t>> BlocksOn_;
  /// For each pool row, how many of its blocks of each kind are not bound.
  std::vector<std::map<BlockKind, std::uint32_t>> Unbound_;
  /// For each running job of the view, whether it is within its guarantee.
  std::vector<bool> WithinGuarantee_;
  /// For each worker, the accelerators of jobs within a guarantee.
  std::vector<std::uint64_t> Secured_;
};

/// Divides the cell into the guaranteed blocks of \p View and binds those that
/// running jobs hold. The division depends only on workers and pools, so that
/// it stays the same from one decision to the next.
Guarantees bindGuarantees(const CellView &View, const Topology &Map,
                          const std::vector<Slices> &Running);

/// Returns the pool row of the job's account and service, or NoOwner.
std::size_t poolOf(const CellView &View, const model::JobSpec &Spec);

} // namespace nutmegwell::sched
