#include "nutmegwell/core/ids.h"

#include <cinttypes>
#include <cstdio>

namespace nutmegwell::core {

std::string formatId(std::uint64_t Writer, std::uint64_t Sequence) {
  char Text[48];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64 "-%" PRIu64, Writer,
                Sequence);
  return Text;
}

bool parseId(const std::string &Text, std::uint64_t &Writer,
             std::uint64_t &Sequence) {
  if (Text.size() < 18 || Text.size() > 40)
    return false;
  int Used = 0;
  if (std::sscanf(Text.c_str(), "%16" SCNx64 "-%" SCNu64 "%n", &Writer,
                  &Sequence, &Used) != 2)
    return false;
  return Used == static_cast<int>(Text.size()) &&
         formatId(Writer, Sequence) == Text;
}

} // namespace nutmegwell::core
