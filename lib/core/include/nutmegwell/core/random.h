#pragma once

#include <cstdint>
#include <functional>

namespace nutmegwell::core {

/// Source of random numbers; tests inject a seeded generator.
struct Random {
  std::function<std::uint64_t()> Next_;
};

/// Returns a generator whose numbers depend only on \p Seed.
Random seededRandom(std::uint64_t Seed);

/// Returns a generator seeded by the operating system.
Random systemRandom();

/// Returns a number in [0, \p Bound). \p Bound must be positive.
std::uint64_t randomBelow(const Random &Source, std::uint64_t Bound);

} // namespace nutmegwell::core
