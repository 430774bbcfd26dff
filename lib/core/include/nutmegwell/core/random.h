#pragma once

#include <cstdint>
#include <functional>

namespace nutmegwell::core {

/// Source of random numbers; a test fills it with a seeded one.
struct Random {
  std::function<std::uint64_t()> Next_;
};

/// Returns a generator whose numbers depend on \p Seed alone.
Random seededRandom(std::uint64_t Seed);

/// Returns a generator seeded by the operating system.
Random systemRandom();

/// Returns a number in [0, \p Bound). \p Bound must be positive.
std::uint64_t randomBelow(const Random &Source, std::uint64_t Bound);

} // namespace nutmegwell::core
