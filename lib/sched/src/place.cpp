#include "place.h"

#include <algorithm>
#include <numeric>

namespace nutmegwell::sched {

namespace {

std::uint64_t lowestBits(std::uint64_t Free, std::uint32_t Count) {
  std::uint64_t Result = 0;
  for (; Count > 0; --Count) {
    std::uint64_t Lowest = Free & (~Free + 1);
    Result |= Lowest;
    Free ^= Lowest;
  }
  return Result;
}

/// Adds tasks on one worker until the gang is complete or the worker is full.
void fillWorker(std::uint32_t Worker, std::uint64_t Free,
                const model::JobSpec &Spec, PlacementFit Strategy,
                Slices &Tasks) {
  std::uint32_t Size = Spec.AcceleratorsPerTask_;
  std::uint32_t Remaining = countBits(Free) / Size;
  for (; Remaining > 0 && Tasks.size() < Spec.TaskCount_; --Remaining) {
    std::uint64_t Bits = pickBits(Free, Size, Strategy);
    Tasks.push_back({Worker, Bits});
    Free &= ~Bits;
  }
}

/// Adds tasks on the workers of a rack; best fit takes those with the fewest
/// free accelerators first.
void fillRack(const FreeIndex &Free, std::size_t Rack,
              const model::JobSpec &Spec, PlacementFit Strategy,
              Slices &Tasks) {
  const std::vector<std::uint32_t> &Workers = Free.map().Racks_[Rack];
  if (Strategy == PlacementFit::First) {
    for (std::uint32_t W : Workers)
      fillWorker(W, Free.freeBits(W), Spec, Strategy, Tasks);
    return;
  }
  for (std::uint32_t FreeCount = Spec.AcceleratorsPerTask_;
       FreeCount <= Free.map().MaxPerWorker_ && Tasks.size() < Spec.TaskCount_;
       ++FreeCount) {
    if (Free.workersInRackWith(Rack, FreeCount) == 0)
      continue;
    for (std::uint32_t W : Workers)
      if (countBits(Free.freeBits(W)) == FreeCount)
        fillWorker(W, Free.freeBits(W), Spec, Strategy, Tasks);
  }
}

std::optional<Slices> placeOnWorker(const FreeIndex &Free,
                                    const model::JobSpec &Spec,
                                    PlacementFit Strategy) {
  std::uint32_t Needed = Spec.accelerators();
  std::uint32_t FreeCount = Needed;
  while (FreeCount <= Free.map().MaxPerWorker_ &&
         Free.workersWith(FreeCount) == 0)
    ++FreeCount;
  if (FreeCount > Free.map().MaxPerWorker_)
    return std::nullopt;
  for (std::size_t Rack = 0; Rack < Free.map().Racks_.size(); ++Rack) {
    if (Strategy == PlacementFit::Best
            ? Free.workersInRackWith(Rack, FreeCount) == 0
            : Free.freeInRack(Rack) < Needed)
      continue;
    for (std::uint32_t W : Free.map().Racks_[Rack]) {
      std::uint32_t Count = countBits(Free.freeBits(W));
      if (Strategy == PlacementFit::Best ? Count != FreeCount : Count < Needed)
        continue;
      Slices Tasks;
      fillWorker(W, pickBits(Free.freeBits(W), Needed, Strategy), Spec,
                 Strategy, Tasks);
      return Tasks;
    }
  }
  return std::nullopt;
}

std::optional<Slices> placeInRack(const FreeIndex &Free,
                                  const model::JobSpec &Spec,
                                  PlacementFit Strategy) {
  std::optional<std::size_t> Found;
  for (std::size_t Rack = 0; Rack < Free.map().Racks_.size(); ++Rack) {
    if (Free.freeInRack(Rack) < Spec.accelerators() ||
        Free.tasksInRack(Rack, Spec.AcceleratorsPerTask_) < Spec.TaskCount_)
      continue;
    if (!Found || Free.freeInRack(Rack) < Free.freeInRack(*Found))
      Found = Rack;
    if (Strategy == PlacementFit::First)
      break;
  }
  if (!Found)
    return std::nullopt;
  Slices Tasks;
  fillRack(Free, *Found, Spec, Strategy, Tasks);
  return Tasks;
}

std::optional<Slices> placeInCell(const FreeIndex &Free,
                                  const model::JobSpec &Spec,
                                  PlacementFit Strategy) {
  if (Free.tasksInCell(Spec.AcceleratorsPerTask_) < Spec.TaskCount_)
    return std::nullopt;
  std::vector<std::size_t> Racks(Free.map().Racks_.size());
  std::iota(Racks.begin(), Racks.end(), 0);
  if (Strategy == PlacementFit::Best)
    std::stable_sort(Racks.begin(), Racks.end(),
                     [&](std::size_t A, std::size_t B) {
                       return Free.freeInRack(A) < Free.freeInRack(B);
                     });
  Slices Tasks;
  for (std::size_t Rack : Racks)
    if (Free.freeInRack(Rack) >= Spec.AcceleratorsPerTask_)
      fillRack(Free, Rack, Spec, Strategy, Tasks);
  return Tasks;
}

} // namespace

std::uint64_t pickBits(std::uint64_t Free, std::uint32_t Count,
                       PlacementFit Strategy) {
  if (Strategy == PlacementFit::First)
    return lowestBits(Free, Count);
  std::uint32_t Run = 1;
  while (Run < Count)
    Run *= 2;
  for (; Run < 64; Run *= 2) {
    std::uint64_t Mask = (std::uint64_t{1} << Run) - 1;
    std::uint64_t Best = 0;
    for (std::uint32_t Offset = 0; Offset < 64; Offset += Run) {
      std::uint64_t Part = Free & (Mask << Offset);
      if (countBits(Part) >= Count &&
          (Best == 0 || countBits(Part) < countBits(Best)))
        Best = Part;
    }
    if (Best != 0)
      return lowestBits(Best, Count);
  }
  return lowestBits(Free, Count);
}

std::optional<Slices> findPlace(const FreeIndex &Free,
                                const model::JobSpec &Spec,
                                PlacementFit Strategy) {
  if (Spec.TaskCount_ == 0 || Spec.AcceleratorsPerTask_ == 0 ||
      Free.freeInCell() < Spec.accelerators())
    return std::nullopt;
  if (Spec.Level_ == model::TopologyLevel::Worker)
    return placeOnWorker(Free, Spec, Strategy);
  if (Spec.Level_ == model::TopologyLevel::Rack)
    return placeInRack(Free, Spec, Strategy);
  return placeInCell(Free, Spec, Strategy);
}

} // namespace nutmegwell::sched
