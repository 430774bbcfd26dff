#include "nutmegwell/cell/headroom.h"
#include <cmath>
#include <iterator>

namespace nutmegwell::cell {

bool needsHeadroom(const HeadroomPolicy &Policy,
                   const std::vector<PlacementTarget> &Targets) {
  std::int64_t Total = 0;
  std::int64_t Free = 0;
  for (const PlacementTarget &Worker : Targets) {
    Total += Worker.Capacity_.Accelerators_;
    Free += Worker.Free_.Accelerators_;
  }
  return static_cast<double>(Total - Free) >
         Policy.MinUsedShare_ * static_cast<double>(Total);
}

std::set<std::string>
headroomRacks(const HeadroomPolicy &Policy,
              const std::vector<PlacementTarget> &Targets) {
  std::set<std::string> Racks;
  for (const PlacementTarget &Worker : Targets)
    Racks.insert(Worker.Rack_);
  if (Racks.size() < Policy.MinRacks_)
    return {};
  const auto Count = static_cast<std::ptrdiff_t>(
      std::ceil(Policy.RackShare_ * static_cast<double>(Racks.size())));
  return {std::prev(Racks.end(), Count), Racks.end()};
}

} // namespace nutmegwell::cell
