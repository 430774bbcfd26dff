#include "claim.h"

#include "region.h"
#include <algorithm>

namespace nutmegwell::sched {

namespace {

/// Adds the usable accelerators of a block that no job within a guarantee
/// holds.
void addBlock(const Guarantees &State, const Topology &Map, std::size_t B,
              Region &Result) {
  for (const Slice &Part : State.Blocks_[B].Slices_) {
    std::uint64_t Bits =
        Part.Bits_ & Map.Usable_[Part.Worker_] & ~State.Secured_[Part.Worker_];
    if (Bits != 0)
      Result[Part.Worker_] |= Bits;
  }
}

/// Returns the cost of preempting all jobs on a block.
double blockPreemptionCost(const Guarantees &State, std::size_t B,
                           const FreeIndex &Free,
                           const RunningJobIndex &Running) {
  Claim Contents;
  Contents.Tasks_ = State.Blocks_[B].Slices_;
  return fillVictims(Running, Free, Contents);
}

/// Returns the blocks that the account may bind, cheapest first, and of each
/// kind at most as many as the account has unbound.
std::vector<std::size_t> cheapestBlocks(const Guarantees &State,
                                        const FreeIndex &Free,
                                        const RunningJobIndex &Running,
                                        std::size_t Owner) {
  std::vector<std::pair<double, std::size_t>> Order;
  for (std::size_t B = 0; B < State.Blocks_.size(); ++B)
    if (State.Blocks_[B].Owner_ == NoOwner &&
        State.Unbound_[Owner].count(State.Blocks_[B].Kind_) != 0)
      Order.push_back({blockPreemptionCost(State, B, Free, Running), B});
  std::sort(Order.begin(), Order.end());
  std::map<BlockKind, std::uint32_t> Unbound = State.Unbound_[Owner];
  std::vector<std::size_t> Result;
  for (const auto &[Cost, B] : Order)
    if (Unbound[State.Blocks_[B].Kind_] > 0) {
      --Unbound[State.Blocks_[B].Kind_];
      Result.push_back(B);
    }
  return Result;
}

std::uint32_t unboundSize(const Guarantees &State, std::size_t Owner) {
  std::uint32_t Sum = 0;
  for (const auto &[Kind, Count] : State.Unbound_[Owner])
    Sum += Kind.second * Count;
  return Sum;
}

} // namespace

std::optional<Claim> findClaim(const Guarantees &State, const FreeIndex &Free,
                               const RunningJobIndex &Running,
                               const model::JobSpec &Spec, std::size_t Owner) {
  Region OwnBlocks;
  for (std::size_t B = 0; B < State.Blocks_.size(); ++B)
    if (State.Blocks_[B].Owner_ == Owner)
      addBlock(State, Free.map(), B, OwnBlocks);
  std::uint32_t Size = unboundSize(State, Owner);
  for (const auto &[Worker, Bits] : OwnBlocks)
    Size += countBits(Bits);
  if (Size < Spec.accelerators())
    return std::nullopt;
  CheapestClaim Best;
  considerRegion(OwnBlocks, {}, Free, Running, Spec, Best);
  for (std::size_t B = 0; B < State.Blocks_.size() && !Best.freeAtOnce(); ++B) {
    auto Unbound = State.Unbound_[Owner].find(State.Blocks_[B].Kind_);
    if (State.Blocks_[B].Owner_ != NoOwner ||
        Unbound == State.Unbound_[Owner].end() || Unbound->second == 0)
      continue;
    Region BlockRegion;
    addBlock(State, Free.map(), B, BlockRegion);
    considerRegion(BlockRegion, {B}, Free, Running, Spec, Best);
  }
  if (Best.Claim_ || Spec.Level_ == model::TopologyLevel::Worker)
    return Best.Claim_;
  std::vector<std::size_t> Blocks;
  for (std::size_t B : cheapestBlocks(State, Free, Running, Owner)) {
    addBlock(State, Free.map(), B, OwnBlocks);
    Blocks.push_back(B);
    considerRegion(OwnBlocks, Blocks, Free, Running, Spec, Best);
    if (Best.Claim_)
      break;
  }
  return Best.Claim_;
}

void bindClaim(Guarantees &State, const Claim &Found, std::size_t Owner) {
  for (std::size_t B : Found.Blocks_) {
    State.Blocks_[B].Owner_ = Owner;
    --State.Unbound_[Owner][State.Blocks_[B].Kind_];
  }
  for (const Slice &Task : Found.Tasks_)
    State.Secured_[Task.Worker_] |= Task.Bits_;
}

} // namespace nutmegwell::sched
