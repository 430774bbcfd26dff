#pragma once

#include "nutmegwell/core/status.h"
#include <cxxtools/serializationinfo.h>
#include <string>

namespace nutmegwell::wire {

/// Parses JSON text. Returns InvalidArgument for malformed text, for text after
/// the end of the value and for more than 32 nested levels.
absl::StatusOr<cxxtools::SerializationInfo> parseJson(const std::string &Text);

/// Returns \p Value as JSON text, in several lines when \p Beautify is true.
/// Strings in it are UTF-8. All JSON is written here: cxxtools::Json takes the
/// bytes of a std::string for Latin-1.
std::string formatJson(const cxxtools::SerializationInfo &Value,
                       bool Beautify = false);

/// Returns the member \p Name as UTF-8 text, or \p Default when there is none.
std::string textMember(const cxxtools::SerializationInfo &Object,
                       const std::string &Name,
                       const std::string &Default = std::string());

/// Reads the member \p Name as a whole number in [Min, Max] into \p Value;
/// leaves it as it is when there is no such member. Returns false for anything
/// else.
bool numberMember(const cxxtools::SerializationInfo &Object,
                  const std::string &Name, std::int64_t Min, std::int64_t Max,
                  std::int64_t &Value);

/// Reads the member \p Name as true or false into \p Value; leaves it as it is
/// when there is no such member. Returns false for anything else.
bool boolMember(const cxxtools::SerializationInfo &Object,
                const std::string &Name, bool &Value);

} // namespace nutmegwell::wire
