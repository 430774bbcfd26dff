#include "claim.h"

#include "place.h"
#include <algorithm>
#include <set>

namespace nutmegwell::sched {

namespace {

/// Accelerators by worker within which a claim may lie.
using Region = std::map<std::uint32_t, std::uint64_t>;

/// Adds what no job within a guarantee holds of a block.
void addBlock(const Guarantees &State, const Topology &Map, std::size_t B,
              Region &Result) {
  for (const Slice &Part : State.Blocks_[B].Slices_) {
    std::uint64_t Bits =
        Part.Bits_ & Map.Usable_[Part.Worker_] & ~State.Secured_[Part.Worker_];
    if (Bits != 0)
      Result[Part.Worker_] |= Bits;
  }
}

/// Adds tasks on one worker, on free accelerators first.
void fillWorker(std::uint32_t Worker, std::uint64_t Bits, std::uint64_t Free,
                const model::JobSpec &Spec, Slices &Tasks) {
  std::uint32_t Size = Spec.AcceleratorsPerTask_;
  while (countBits(Bits) >= Size && Tasks.size() < Spec.Tasks_) {
    std::uint64_t Chosen = Bits & Free;
    if (countBits(Chosen) < Size)
      Chosen |= pickBits(Bits & ~Free, Size - countBits(Chosen), Fit::Best);
    else
      Chosen = pickBits(Chosen, Size, Fit::Best);
    Tasks.push_back({Worker, Chosen});
    Bits &= ~Chosen;
  }
}

/// Returns the group of a worker at a level.
std::uint32_t groupOf(const Topology &Map, std::uint32_t Worker,
                      model::Level Level) {
  if (Level == model::Level::Domain)
    return 0;
  return Level == model::Level::Rack ? Map.RackOf_[Worker] : Worker;
}

/// Returns a place for the gang in the region, or nothing.
std::optional<Slices> fitInto(const Region &Where, const FreeIndex &Free,
                              const model::JobSpec &Spec) {
  std::map<std::uint32_t, Slices> Groups;
  for (const auto &[Worker, Bits] : Where)
    fillWorker(Worker, Bits, Free.freeBits(Worker), Spec,
               Groups[groupOf(Free.map(), Worker, Spec.Level_)]);
  for (auto &[Group, Tasks] : Groups)
    if (Tasks.size() == Spec.Tasks_)
      return std::move(Tasks);
  return std::nullopt;
}

/// Fills in what stands in the place of a claim and returns the cost.
double findVictims(const Occupants &Running, const FreeIndex &Free,
                   Claim &Result) {
  double Cost = 0;
  Result.Free_ = true;
  std::set<std::size_t> Victims;
  for (const Slice &Task : Result.Tasks_) {
    std::uint64_t Taken = Task.Bits_ & ~Free.freeBits(Task.Worker_);
    if (Taken == 0)
      continue;
    Result.Free_ = false;
    for (std::size_t J : Running.JobsOn_[Task.Worker_])
      for (const Slice &Part : Running.Slices_[J])
        if (Part.Worker_ == Task.Worker_ && (Part.Bits_ & Taken) != 0)
          Victims.insert(J);
  }
  for (std::size_t J : Victims) {
    Cost += Running.Cost_[J];
    if (Running.Cost_[J] > 0)
      Result.Victims_.push_back(J);
  }
  return Cost;
}

/// The cheapest claim found so far.
struct Cheapest {
  std::optional<Claim> Claim_;
  double Cost_ = 0;

  /// Takes the claim when it is cheaper, or as cheap and free at once.
  void offer(Claim Next, double Cost) {
    if (Claim_ &&
        (Cost > Cost_ || (Cost == Cost_ && (Claim_->Free_ || !Next.Free_))))
      return;
    Claim_ = std::move(Next);
    Cost_ = Cost;
  }
  bool freeAtOnce() const { return Claim_ && Claim_->Free_; }
};

void offerRegion(const Region &Where, std::vector<std::size_t> Blocks,
                 const FreeIndex &Free, const Occupants &Running,
                 const model::JobSpec &Spec, Cheapest &Best) {
  auto Tasks = fitInto(Where, Free, Spec);
  if (!Tasks)
    return;
  Claim Next;
  Next.Tasks_ = std::move(*Tasks);
  Next.Blocks_ = std::move(Blocks);
  double Cost = findVictims(Running, Free, Next);
  Best.offer(std::move(Next), Cost);
}

/// Returns what it costs to empty a block.
double emptyingCost(const Guarantees &State, std::size_t B,
                    const FreeIndex &Free, const Occupants &Running) {
  Claim Whole;
  Whole.Tasks_ = State.Blocks_[B].Slices_;
  return findVictims(Running, Free, Whole);
}

/// Returns the blocks that the account may bind, at most as many of each kind
/// as it has left, cheapest first.
std::vector<std::size_t> cheapestBlocks(const Guarantees &State,
                                        const FreeIndex &Free,
                                        const Occupants &Running,
                                        std::size_t Owner) {
  std::vector<std::pair<double, std::size_t>> Order;
  for (std::size_t B = 0; B < State.Blocks_.size(); ++B)
    if (State.Blocks_[B].Owner_ == NoOwner &&
        State.Unbound_[Owner].count(State.Blocks_[B].Kind_) != 0)
      Order.push_back({emptyingCost(State, B, Free, Running), B});
  std::sort(Order.begin(), Order.end());
  std::map<BlockKind, std::uint32_t> Left = State.Unbound_[Owner];
  std::vector<std::size_t> Result;
  for (const auto &[Cost, B] : Order)
    if (Left[State.Blocks_[B].Kind_] > 0) {
      --Left[State.Blocks_[B].Kind_];
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
                               const Occupants &Running,
                               const model::JobSpec &Spec, std::size_t Owner) {
  Region Own;
  for (std::size_t B = 0; B < State.Blocks_.size(); ++B)
    if (State.Blocks_[B].Owner_ == Owner)
      addBlock(State, Free.map(), B, Own);
  std::uint32_t Size = unboundSize(State, Owner);
  for (const auto &[Worker, Bits] : Own)
    Size += countBits(Bits);
  if (Size < Spec.accelerators())
    return std::nullopt;
  Cheapest Best;
  offerRegion(Own, {}, Free, Running, Spec, Best);
  for (std::size_t B = 0; B < State.Blocks_.size() && !Best.freeAtOnce(); ++B) {
    auto Left = State.Unbound_[Owner].find(State.Blocks_[B].Kind_);
    if (State.Blocks_[B].Owner_ != NoOwner ||
        Left == State.Unbound_[Owner].end() || Left->second == 0)
      continue;
    Region One;
    addBlock(State, Free.map(), B, One);
    offerRegion(One, {B}, Free, Running, Spec, Best);
  }
  if (Best.Claim_ || Spec.Level_ == model::Level::Worker)
    return Best.Claim_;
  std::vector<std::size_t> Blocks;
  for (std::size_t B : cheapestBlocks(State, Free, Running, Owner)) {
    addBlock(State, Free.map(), B, Own);
    Blocks.push_back(B);
    offerRegion(Own, Blocks, Free, Running, Spec, Best);
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
