#pragma once

#include <cstdint>
#include <vector>

namespace nutmegwell::bench {

/// Prints the mean error of the expected run time, learned against declared,
/// for each seed.
void printEstimates(const std::vector<std::uint64_t> &Seeds);

} // namespace nutmegwell::bench
