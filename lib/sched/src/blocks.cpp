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

/// Returns room for a block, on whole workers where its size allows.
std::optional<Slices> findRoom(const FreeIndex &Room, const BlockKind &Kind) {
  model::JobSpec Spec;
  Spec.Level_ = Kind.first;
  Spec.TaskCount_ = 1;
  Spec.AcceleratorsPerTask_ = Kind.second;
  if (Kind.first == model::TopologyLevel::Worker)
    return findPlace(Room, Spec, PlacementFit::Best);
  std::uint32_t Whole = Room.map().Largest_;
  if (Whole > 0 && Kind.second % Whole == 0) {
    Spec.TaskCount_ = Kind.second / Whole;
    Spec.AcceleratorsPerTask_ = Whole;
    if (auto Found = findPlace(Room, Spec, PlacementFit::Best))
      return Found;
  }
  Spec.TaskCount_ = Kind.second;
  Spec.AcceleratorsPerTask_ = 1;
  return findPlace(Room, Spec, PlacementFit::Best);
}

bool onUsableWorkers(const Topology &Map, const Block &One) {
  return std::all_of(One.Slices_.begin(), One.Slices_.end(),
                     [&](const Slice &Part) {
                       return (Part.Bits_ & ~Map.Usable_[Part.Worker_]) == 0;
                     });
}

/// Racks come first, then workers, then blocks without adjacency; in each the
/// largest first, so that small blocks fill what large ones leave.
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
  FreeIndex Room(Map, Map.Installed_);
  for (const BlockKind &Kind : Kinds)
    if (auto Found = findRoom(Room, Kind)) {
      Room.take(*Found);
      Result.push_back({Kind, mergeByWorker(std::move(*Found)), NoOwner});
    }
  if (Map.Usable_ == Map.Installed_)
    return Result;
  std::vector<std::uint64_t> Spare;
  for (std::uint32_t W = 0; W < Map.Usable_.size(); ++W)
    Spare.push_back(Room.freeBits(W) & Map.Usable_[W]);
  FreeIndex SpareRoom(Map, Spare);
  for (Block &One : Result) {
    if (onUsableWorkers(Map, One))
      continue;
    if (auto Found = findRoom(SpareRoom, One.Kind_)) {
      SpareRoom.take(*Found);
      One.Slices_ = mergeByWorker(std::move(*Found));
    }
  }
  return Result;
}

} // namespace nutmegwell::sched
