#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/history/event.h"
#include <istream>
#include <string>

namespace nutmegwell::history {

/// Returns \p Value as one line of JSON without a newline. The object has the
/// members at_us, process and event, and the members of the event's kind.
std::string formatEvent(const Event &Value);

/// Parses the output of formatEvent. Members that are missing keep the defaults
/// of the event's struct. Returns InvalidArgument for a malformed line.
absl::StatusOr<Event> parseEvent(const std::string &Line);

/// Reads one event per line and skips empty lines. The error message contains
/// the number of the malformed line.
absl::StatusOr<std::vector<Event>> readEvents(std::istream &In);

} // namespace nutmegwell::history
