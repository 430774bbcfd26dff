#include "blocks.h"

#include "place.h"
#include <algorithm>

namespace nutmegwell::sched {

namespace {

/// Merges the slices of each worker into one.
Slices mergeByWorker(Slices Tasks) {
  std::sort(Tasks.begin(), Tasks.end(), [](const Slice &A, const Slice &B) {
    return A.Worker_ < B.Worker_;
  });
  Slices Result;
  for (const Slice &Task : Tasks) {
    if (Result.empty() || Result.back().Worker_ != Task.Worker_)
      Result.push_back(Task);
    else
      Result.back().Bits_ |= Task.Bits_;
  }
  return Result;
}

/// Returns a place for a block, on whole workers if its size is a multiple of
/// theirs.
std::optional<Slices> findBlockPlace(const FreeIndex &Unassigned,
                                     const BlockKind &Kind) {
  model::JobSpec Spec;
  Spec.Level_ = Kind.first;
  Spec.TaskCount_ = 1;
  Spec.AcceleratorsPerTask_ = Kind.second;
  if (Kind.first == model::TopologyLevel::Worker)
    return findPlace(Unassigned, Spec, PlacementFit::Best);
  std::uint32_t PerWorker = Unassigned.map().MaxPerWorker_;
  if (PerWorker > 0 && Kind.second % PerWorker == 0) {
    Spec.TaskCount_ = Kind.second / PerWorker;
    Spec.AcceleratorsPerTask_ = PerWorker;
    if (auto Found = findPlace(Unassigned, Spec, PlacementFit::Best))
      return Found;
  }
  Spec.TaskCount_ = Kind.second;
  Spec.AcceleratorsPerTask_ = 1;
  return findPlace(Unassigned, Spec, PlacementFit::Best);
}

bool onUsableWorkers(const Topology &Map, const Block &Each) {
  return std::all_of(Each.Slices_.begin(), Each.Slices_.end(),
                     [&](const Slice &Part) {
                       return (Part.Bits_ & ~Map.Usable_[Part.Worker_]) == 0;
                     });
}

/// Orders rack blocks before worker blocks and those before blocks without a
/// locality constraint. Larger blocks of a level come first, so that small
/// blocks fill the gaps that they leave.
bool placedBefore(const BlockKind &A, const BlockKind &B) {
  auto Rank = [](model::TopologyLevel Level) {
    return Level == model::TopologyLevel::Rack     ? 0
           : Level == model::TopologyLevel::Worker ? 1
                                                   : 2;
  };
  return std::make_pair(Rank(A.first), B.second) <
         std::make_pair(Rank(B.first), A.second);
}

} // namespace

std::map<BlockKind, std::uint32_t> blocksOf(const model::PoolRow &Row) {
  std::map<BlockKind, std::uint32_t> Result;
  std::uint32_t Size = std::max(Row.BlockSize_, 1U);
  if (Row.Guaranteed_ >= Size)
    Result[{Row.Level_, Size}] = Row.Guaranteed_ / Size;
  if (Row.Guaranteed_ % Size != 0)
    Result[{Row.Level_, Row.Guaranteed_ % Size}] = 1;
  return Result;
}

std::vector<Block> divideIntoBlocks(const CellView &View, const Topology &Map) {
  std::vector<BlockKind> Kinds;
  for (const model::PoolRow &Row : View.Pools_)
    for (const auto &[Kind, Count] : blocksOf(Row))
      Kinds.insert(Kinds.end(), Count, Kind);
  std::stable_sort(Kinds.begin(), Kinds.end(), placedBefore);
  std::vector<Block> Result;
  FreeIndex Unassigned(Map, Map.Installed_);
  for (const BlockKind &Kind : Kinds)
    if (auto Found = findBlockPlace(Unassigned, Kind)) {
      Unassigned.take(*Found);
      Result.push_back({Kind, mergeByWorker(std::move(*Found)), NoOwner});
    }
  if (Map.Usable_ == Map.Installed_)
    return Result;
  std::vector<std::uint64_t> UsableBits;
  for (std::uint32_t W = 0; W < Map.Usable_.size(); ++W)
    UsableBits.push_back(Unassigned.freeBits(W) & Map.Usable_[W]);
  FreeIndex UsableUnassigned(Map, UsableBits);
  for (Block &Each : Result) {
    if (onUsableWorkers(Map, Each))
      continue;
    if (auto Found = findBlockPlace(UsableUnassigned, Each.Kind_)) {
      UsableUnassigned.take(*Found);
      Each.Slices_ = mergeByWorker(std::move(*Found));
    }
  }
  return Result;
}

} // namespace nutmegwell::sched
