#include "nutmegwell/core/random.h"

#include <memory>
#include <random>

namespace nutmegwell::core {

Random seededRandom(std::uint64_t Seed) {
  auto Engine = std::make_shared<std::mt19937_64>(Seed);
  return Random{[Engine] { return (*Engine)(); }};
}

Random systemRandom() {
  std::random_device Device;
  std::uint64_t Seed = Device();
  return seededRandom(Seed << 32 | Device());
}

std::uint64_t randomBelow(const Random &Source, std::uint64_t Bound) {
  return Source.Next_() % Bound;
}

} // namespace nutmegwell::core
