#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/history/event.h"
#include <istream>
#include <string>

namespace nutmegwell::history {

/// Returns \p Value as one line of JSON without a line end, with the members
/// at_us, process, event and those of the event's kind.
std::string formatEvent(const Event &Value);

/// Parses the form of formatEvent. Members that are missing keep the defaults
/// of the struct.
absl::StatusOr<Event> parseEvent(const std::string &Line);

/// Reads one event a line; empty lines are skipped. The error names the line.
absl::StatusOr<std::vector<Event>> readEvents(std::istream &In);

} // namespace nutmegwell::history
