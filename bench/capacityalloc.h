#pragma once

#include <cstddef>

namespace nutmegwell::bench {

/// Returns the usable bytes of all live allocations of the program.
std::size_t liveBytes();

} // namespace nutmegwell::bench
