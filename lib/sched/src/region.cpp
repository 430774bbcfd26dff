#include "region.h"

#include "place.h"
#include <algorithm>
#include <set>

namespace nutmegwell::sched {

namespace {

/// Adds tasks on one worker, preferring free accelerators.
void fillWorker(std::uint32_t Worker, std::uint64_t Bits, std::uint64_t Free,
                const model::JobSpec &Spec, Slices &Tasks) {
  std::uint32_t Size = Spec.AcceleratorsPerTask_;
  while (countBits(Bits) >= Size && Tasks.size() < Spec.TaskCount_) {
    std::uint64_t Chosen = Bits & Free;
    if (countBits(Chosen) < Size)
      Chosen |=
          pickBits(Bits & ~Free, Size - countBits(Chosen), PlacementFit::Best);
    else
      Chosen = pickBits(Chosen, Size, PlacementFit::Best);
    Tasks.push_back({Worker, Chosen});
    Bits &= ~Chosen;
  }
}

/// Returns the index of a worker's group at a level.
std::uint32_t groupIndex(const Topology &Map, std::uint32_t Worker,
                         model::TopologyLevel Level) {
  if (Level == model::TopologyLevel::Domain)
    return 0;
  return Level == model::TopologyLevel::Rack ? Map.RackOf_[Worker] : Worker;
}

} // namespace

std::optional<Slices> findPlaceInRegion(const Region &Allowed,
                                        const FreeIndex &Free,
                                        const model::JobSpec &Spec) {
  std::map<std::uint32_t, Slices> Groups;
  for (const auto &[Worker, Bits] : Allowed)
    fillWorker(Worker, Bits, Free.freeBits(Worker), Spec,
               Groups[groupIndex(Free.map(), Worker, Spec.Level_)]);
  for (auto &[Group, Tasks] : Groups)
    if (Tasks.size() == Spec.TaskCount_)
      return std::move(Tasks);
  return std::nullopt;
}

double fillVictims(const RunningJobIndex &Running, const FreeIndex &Free,
                   Claim &Result) {
  double Cost = 0;
  Result.FreeNow_ = true;
  std::set<std::size_t> Victims;
  for (const Slice &Task : Result.Tasks_) {
    std::uint64_t Taken = Task.Bits_ & ~Free.freeBits(Task.Worker_);
    if (Taken == 0)
      continue;
    Result.FreeNow_ = false;
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

void considerRegion(const Region &Allowed, std::vector<std::size_t> Blocks,
                    const FreeIndex &Free, const RunningJobIndex &Running,
                    const model::JobSpec &Spec, CheapestClaim &Best) {
  auto Tasks = findPlaceInRegion(Allowed, Free, Spec);
  if (!Tasks)
    return;
  Claim Next;
  Next.Tasks_ = std::move(*Tasks);
  Next.Blocks_ = std::move(Blocks);
  double Cost = fillVictims(Running, Free, Next);
  Best.consider(std::move(Next), Cost);
}

} // namespace nutmegwell::sched
