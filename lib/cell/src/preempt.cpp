#include "nutmegwell/cell/preempt.h"
#include <algorithm>
#include <numeric>

namespace nutmegwell::cell {

namespace {

std::vector<Room> roomsWithout(const std::vector<Room> &Rooms,
                               const std::vector<Victim> &Candidates,
                               const std::vector<std::size_t> &Chosen) {
  std::vector<Room> After = Rooms;
  for (std::size_t I : Chosen)
    for (const auto &[Worker, Freed] : Candidates[I].Frees_)
      After[Worker].Free_ += Freed;
  return After;
}

bool fitsWithout(const PlaceRequest &Request, const std::vector<Room> &Rooms,
                 const std::vector<Victim> &Candidates,
                 const std::vector<std::size_t> &Chosen) {
  std::vector<Room> After = roomsWithout(Rooms, Candidates, Chosen);
  return place(Request, After).has_value();
}

} // namespace

std::vector<std::size_t> chooseVictims(const PlaceRequest &Request,
                                       const std::vector<Room> &Rooms,
                                       const std::vector<Victim> &Candidates) {
  std::vector<std::size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    if (Candidates[A].Priority_ != Candidates[B].Priority_)
      return Candidates[A].Priority_ > Candidates[B].Priority_;
    return Candidates[A].Loss_ < Candidates[B].Loss_;
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
  // The dearest victims are spared first when the others suffice.
  for (std::size_t At = Chosen.size(); At-- > 0;) {
    std::vector<std::size_t> Fewer = Chosen;
    Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(At));
    if (fitsWithout(Request, Rooms, Candidates, Fewer))
      Chosen = std::move(Fewer);
  }
  return Chosen;
}

} // namespace nutmegwell::cell
