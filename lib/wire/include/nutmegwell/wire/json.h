#pragma once

#include "nutmegwell/core/status.h"
#include <cxxtools/serializationinfo.h>
#include <string>

namespace nutmegwell::wire {

/// Parses JSON text. Returns InvalidArgument for malformed text, for text after
/// the end of the value and for more than 32 levels of nesting.
absl::StatusOr<cxxtools::SerializationInfo> parseJson(const std::string &Text);

/// Returns \p Value as JSON text, with line breaks and indentation when
/// \p Beautify is true. The strings in \p Value are UTF-8. All JSON is written
/// with this function, because cxxtools::Json reads the bytes of a std::string
/// as Latin-1.
std::string formatJson(const cxxtools::SerializationInfo &Value,
                       bool Beautify = false);

/// Returns the member \p Name as UTF-8 text, or \p Default when it is missing
/// or not a scalar.
std::string textMember(const cxxtools::SerializationInfo &Object,
                       const std::string &Name,
                       const std::string &Default = std::string());

/// Reads the member \p Name, an integer in [Min, Max], into \p Value. Returns
/// true and keeps \p Value when the member is missing; returns false and keeps
/// \p Value when the member is anything else.
bool numberMember(const cxxtools::SerializationInfo &Object,
                  const std::string &Name, std::int64_t Min, std::int64_t Max,
                  std::int64_t &Value);

/// Reads the member \p Name, true or false, into \p Value. Returns true and
/// keeps \p Value when the member is missing; returns false and keeps \p Value
/// when the member is anything else.
bool boolMember(const cxxtools::SerializationInfo &Object,
                const std::string &Name, bool &Value);

} // namespace nutmegwell::wire
