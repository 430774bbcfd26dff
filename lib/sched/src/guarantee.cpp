#include "guarantee.h"

#include "blocks.h"
#include <algorithm>
#include <numeric>
#include <set>

namespace nutmegwell::sched {

namespace {

/// Adds the unbound blocks that the slice overlaps to \p Needed. Returns false
/// when part of the slice is outside the blocks that the pool may hold.
bool addUnboundBlocks(const Guarantees &State, const Slice &Part,
                      std::size_t Owner, std::set<std::size_t> &Needed) {
  std::uint64_t Uncovered = Part.Bits_;
  for (std::size_t B : State.BlocksOn_[Part.Worker_]) {
    const Block &Each = State.Blocks_[B];
    for (const Slice &BlockPart : Each.Slices_) {
      if (BlockPart.Worker_ != Part.Worker_ ||
          (BlockPart.Bits_ & Uncovered) == 0)
        continue;
      if (Each.Owner_ == NoOwner &&
          State.Unbound_[Owner].count(Each.Kind_) != 0)
        Needed.insert(B);
      else if (Each.Owner_ != Owner)
        return false;
      Uncovered &= ~BlockPart.Bits_;
    }
  }
  return Uncovered == 0;
}

/// Binds the blocks on which a job runs to its account when the account has
/// enough unbound blocks of each kind. Otherwise returns false: the job
/// borrows.
bool bindJob(Guarantees &State, const Slices &Tasks, std::size_t Owner) {
  std::set<std::size_t> Needed;
  for (const Slice &Part : Tasks)
    if (!addUnboundBlocks(State, Part, Owner, Needed))
      return false;
  std::map<BlockKind, std::uint32_t> NeededByKind;
  for (std::size_t B : Needed)
    ++NeededByKind[State.Blocks_[B].Kind_];
  for (const auto &[Kind, Count] : NeededByKind)
    if (State.Unbound_[Owner][Kind] < Count)
      return false;
  for (std::size_t B : Needed) {
    State.Blocks_[B].Owner_ = Owner;
    --State.Unbound_[Owner][State.Blocks_[B].Kind_];
  }
  for (const Slice &Part : Tasks)
    State.Secured_[Part.Worker_] |= Part.Bits_;
  return true;
}

} // namespace

std::size_t poolOf(const CellView &View, const model::JobSpec &Spec) {
  for (std::size_t I = 0; I < View.Pools_.size(); ++I)
    if (View.Pools_[I].Account_ == Spec.Account_ &&
        View.Pools_[I].Service_ == Spec.Service_)
      return I;
  return NoOwner;
}

Guarantees bindGuarantees(const CellView &View, const Topology &Map,
                          const std::vector<Slices> &Running) {
  Guarantees State;
  State.Blocks_ = divideIntoBlocks(View, Map);
  State.BlocksOn_.resize(View.Workers_.size());
  State.Secured_.resize(View.Workers_.size());
  for (std::size_t B = 0; B < State.Blocks_.size(); ++B)
    for (const Slice &Part : State.Blocks_[B].Slices_)
      State.BlocksOn_[Part.Worker_].push_back(B);
  for (const model::PoolRow &Row : View.Pools_)
    State.Unbound_.push_back(blocksOf(Row));
  State.WithinGuarantee_.resize(View.Running_.size());
  std::vector<std::size_t> Order(View.Running_.size());
  std::iota(Order.begin(), Order.end(), 0);
  // Urgent jobs bind blocks first, so that they are the last to count as
  // borrowing.
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    const RunningJob &First = View.Running_[A];
    const RunningJob &Second = View.Running_[B];
    return std::tie(First.Spec_.Class_, First.Id_) <
           std::tie(Second.Spec_.Class_, Second.Id_);
  });
  for (std::size_t J : Order) {
    std::size_t Owner = poolOf(View, View.Running_[J].Spec_);
    if (Owner != NoOwner && !View.Running_[J].Stopping_)
      State.WithinGuarantee_[J] = bindJob(State, Running[J], Owner);
  }
  return State;
}

} // namespace nutmegwell::sched
