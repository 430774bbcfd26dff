#include "baselines.h"
#include <algorithm>
#include <numeric>

namespace nutmegwell::replay {

namespace {

bool fitsWithout(const cell::PlacementRequest &Request,
                 std::vector<cell::PlacementTarget> Rooms,
                 const std::vector<cell::Victim> &Candidates,
                 const std::vector<std::size_t> &Chosen) {
  for (std::size_t I : Chosen)
    for (const auto &[Worker, Freed] : Candidates[I].FreedResources_)
      Rooms[Worker].Free_ += Freed;
  return cell::placeTasks(Request, Rooms).has_value();
}

} // namespace

std::vector<std::size_t>
chooseVictimsInOrder(const cell::PlacementRequest &Request,
                     const std::vector<cell::PlacementTarget> &Rooms,
                     const std::vector<cell::Victim> &Candidates) {
  std::vector<std::size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    if (Candidates[A].Priority_ != Candidates[B].Priority_)
      return Candidates[A].Priority_ > Candidates[B].Priority_;
    return Candidates[A].LostWork_ < Candidates[B].LostWork_;
  });
  std::vector<std::size_t> Chosen;
  bool Fits = false;
  for (std::size_t I : Order) {
    Chosen.push_back(I);
    Fits = fitsWithout(Request, Rooms, Candidates, Chosen);
    if (Fits)
      break;
  }
  if (!Fits)
    return {};
  for (std::size_t At = Chosen.size(); At-- > 0;) {
    std::vector<std::size_t> Fewer = Chosen;
    Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(At));
    if (fitsWithout(Request, Rooms, Candidates, Fewer))
      Chosen = std::move(Fewer);
  }
  return Chosen;
}

std::vector<std::size_t>
chooseNoVictims(const cell::PlacementRequest &,
                const std::vector<cell::PlacementTarget> &,
                const std::vector<cell::Victim> &) {
  return {};
}

} // namespace nutmegwell::replay
