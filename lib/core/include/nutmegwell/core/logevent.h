#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::core {

/// A decision or an observed change of state, with the inputs that led to it.
/// Decision functions return these values; drivers write them to the structured
/// log.
struct LogEvent {
  std::string Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
};

} // namespace nutmegwell::core
