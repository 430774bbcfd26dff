#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::core {

/// A decision or a change of belief that is to be logged: what happened and the
/// inputs that decided it. Decision functions return these; drivers write them.
struct LogEvent {
  std::string Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
};

} // namespace nutmegwell::core
