#include "nutmegwell/settings/logging.h"
#include "nutmegwell/wire/json.h"

#include <atomic>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace nutmegwell::settings {

namespace {

constexpr const char *FormatNames[] = {"text", "json"};
constexpr const char *LevelNames[] = {"error", "warning", "info"};

std::atomic<LogFormat> CurrentFormat{LogFormat::Text};

/// Returns \p Value, quoted and escaped if it is empty or has characters that
/// would end the field or the line.
std::string quoteIfNeeded(const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" =\"\\\n\r\t") == Value.npos)
    return Value;
  std::string Text = "\"";
  for (char C : Value) {
    if (C == '"' || C == '\\')
      Text += '\\';
    if (C == '\n' || C == '\r' || C == '\t')
      Text += C == '\n' ? "\\n" : C == '\r' ? "\\r" : "\\t";
    else
      Text += C;
  }
  return Text + '"';
}

std::string formatTextLine(std::string_view Event,
                           const std::vector<LogField> &Fields) {
  std::string Line = "event=" + quoteIfNeeded(std::string(Event));
  for (const LogField &Field : Fields)
    Line += " " + Field.first + "=" + quoteIfNeeded(Field.second);
  return Line;
}

/// Returns a JSON object without its opening brace, because the log format
/// already starts the object with the time and level.
std::string formatJsonMembers(std::string_view Event,
                              const std::vector<LogField> &Fields) {
  cxxtools::SerializationInfo Object;
  Object.addValue("event", std::string(Event));
  for (const LogField &Field : Fields)
    Object.addValue(Field.first, Field.second);
  return wire::formatJson(Object).substr(1);
}

} // namespace

bool parseLogFormat(const std::string &Text, LogFormat &Value) {
  for (int I = 0; I < 2; ++I)
    if (Text == FormatNames[I]) {
      Value = static_cast<LogFormat>(I);
      return true;
    }
  return false;
}

bool parseLogLevel(const std::string &Text, LogLevel &Value) {
  for (int I = 0; I < 3; ++I)
    if (Text == LevelNames[I]) {
      Value = static_cast<LogLevel>(I);
      return true;
    }
  return false;
}

void configureLogging(LogFormat Format, LogLevel Level) {
  CurrentFormat = Format;
  const std::string Time = "%datetime{%Y-%M-%dT%H:%m:%s.%g}";
  el::Configurations Configuration;
  Configuration.setToDefault();
  Configuration.setGlobally(el::ConfigurationType::Format,
                            Format == LogFormat::Json
                                ? R"({"time":")" + Time +
                                      R"(","level":"%level",%msg)"
                                : "time=" + Time + " level=%level %msg");
  Configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  Configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  Configuration.set(el::Level::Info, el::ConfigurationType::Enabled,
                    Level >= LogLevel::Info ? "true" : "false");
  Configuration.set(el::Level::Warning, el::ConfigurationType::Enabled,
                    Level >= LogLevel::Warning ? "true" : "false");
  el::Loggers::reconfigureLogger("default", Configuration);
}

void logStateChange(std::string_view Event, const std::vector<LogField> &Fields,
                    LogLevel Level) {
  const std::string Line = CurrentFormat == LogFormat::Json
                               ? formatJsonMembers(Event, Fields)
                               : formatTextLine(Event, Fields);
  switch (Level) {
  case LogLevel::Error:
    LOG(ERROR) << Line;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    break;
  case LogLevel::Info:
    LOG(INFO) << Line;
    break;
  }
}

} // namespace nutmegwell::settings
