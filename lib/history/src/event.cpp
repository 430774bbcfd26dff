#include "nutmegwell/history/event.h"

#include <algorithm>

namespace nutmegwell::history {

History makeHistory(std::vector<Event> Events, bool Complete) {
  std::stable_sort(
      Events.begin(), Events.end(),
      [](const Event &A, const Event &B) { return A.At_ < B.At_; });
  return History{std::move(Events), Complete};
}

} // namespace nutmegwell::history
