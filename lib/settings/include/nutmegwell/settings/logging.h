#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegwell::settings {

enum class LogFormat : std::uint8_t { Text, Json };
/// A level includes those before it.
enum class LogLevel : std::uint8_t { Error, Warning, Info };

/// Parse the choices of the settings log-format and log-level. Return false for
/// another text.
bool parseLogFormat(const std::string &Text, LogFormat &Value);
bool parseLogLevel(const std::string &Text, LogLevel &Value);

/// Sets how the process logs to standard output. Call before other threads
/// start.
void configureLogging(LogFormat Format, LogLevel Level);

using LogField = std::pair<std::string, std::string>;

/// Logs one line for a change of state; anything more frequent is a counter.
/// Safe from any thread.
void logStateChange(std::string_view Event, const std::vector<LogField> &Fields,
                    LogLevel Level = LogLevel::Info);

} // namespace nutmegwell::settings
