#pragma once

#include <cstddef>
#include <cstdint>

namespace nutmegwell::sitehost {

/// Memory of the requests that have arrived and have no answer yet.
struct HandledMemory {
  /// Most that all requests may take together, and that a single one may take.
  std::size_t MaxBytes_ = 16 << 20;
  std::size_t Bytes_ = 0;
};

enum class HandlingDecision : std::uint8_t {
  Handle,
  /// Others take the memory now; the request may be sent again later.
  Later,
  /// The request takes more than all may together.
  TooLarge
};

/// Decides on a request that takes \p Bytes while it is handled, and counts it
/// when it is to be handled. Addresses clients that complete many large
/// requests at once, and requests whose decoded form is many times as large.
HandlingDecision beginHandling(HandledMemory &Memory, std::size_t Bytes);

/// Ends the handling of a request that was counted with \p Bytes.
void endHandling(HandledMemory &Memory, std::size_t Bytes);

} // namespace nutmegwell::sitehost
