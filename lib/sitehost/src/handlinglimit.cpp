#include "handlinglimit.h"
#include <algorithm>

namespace nutmegwell::sitehost {

HandlingDecision beginHandling(HandledMemory &Memory, std::size_t Bytes) {
  if (Bytes > Memory.MaxBytes_)
    return HandlingDecision::TooLarge;
  if (Memory.Bytes_ + Bytes > Memory.MaxBytes_)
    return HandlingDecision::Later;
  Memory.Bytes_ += Bytes;
  return HandlingDecision::Handle;
}

void endHandling(HandledMemory &Memory, std::size_t Bytes) {
  Memory.Bytes_ -= std::min(Bytes, Memory.Bytes_);
}

} // namespace nutmegwell::sitehost
