#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegwell::settings {

enum class LogFormat : std::uint8_t { Text, Json };
/// Severity, most severe first. A configured level also enables the more severe
/// ones.
enum class LogLevel : std::uint8_t { Error, Warning, Info };

/// Parse the values of the settings log-format and log-level. Return false if
/// \p Text is not one of them.
bool parseLogFormat(const std::string &Text, LogFormat &Value);
bool parseLogLevel(const std::string &Text, LogLevel &Value);

/// Configures logging to standard output. Must be called before other threads
/// start.
void configureLogging(LogFormat Format, LogLevel Level);

/// Name and value of a field of a log line.
using LogField = std::pair<std::string, std::string>;

/// Logs one line for a change of state. Events of each request or datagram are
/// counted in metrics instead, since they would flood the log. Thread-safe.
void logStateChange(std::string_view Event, const std::vector<LogField> &Fields,
                    LogLevel Level = LogLevel::Info);

} // namespace nutmegwell::settings
