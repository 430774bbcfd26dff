#pragma once

#include "guarantee.h"

namespace nutmegwell::sched {

/// Divides the cell into the guaranteed blocks of its pools, largest subtrees
/// first and each in the smallest subtree that holds it, as in buddy memory
/// allocation. A block with an unusable worker moves to accelerators outside
/// all blocks if it fits there; the other blocks keep their places.
std::vector<Block> divideIntoBlocks(const CellView &View, const Topology &Map);

/// Returns how many blocks of each kind a pool guarantees.
std::map<BlockKind, std::uint32_t> blocksOf(const model::PoolRow &Row);

} // namespace nutmegwell::sched
