#include "nutmegwell/settings/settings.h"
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <cstdlib>

namespace nutmegwell::settings {

namespace {

struct UnitScale {
  const char *Name_;
  std::int64_t Microseconds_;
};

/// Sorted from the largest unit, because formatDuration uses the first that
/// divides the value.
constexpr UnitScale Units[] = {{"h", 3600000000},
                               {"m", 60000000},
                               {"s", 1000000},
                               {"ms", 1000},
                               {"us", 1}};

/// 2^53, up to which a double represents every integer exactly; about 285
/// years.
constexpr double MaxMicroseconds = 9007199254740992.0;

} // namespace

std::string variableName(const std::string &Name) {
  std::string Variable = "NUTMEGWELL_";
  for (char C : Name)
    Variable += C == '-' ? '_' : (C >= 'a' && C <= 'z') ? char(C - 32) : C;
  return Variable;
}

bool parseDuration(const std::string &Text, core::Duration &Value) {
  const std::size_t UnitStart = Text.find_first_not_of("0123456789.");
  if (UnitStart == 0 || UnitStart == std::string::npos)
    return false;
  double Number = 0;
  auto ParseResult =
      std::from_chars(Text.data(), Text.data() + UnitStart, Number);
  if (ParseResult.ec != std::errc() ||
      ParseResult.ptr != Text.data() + UnitStart)
    return false;
  const std::string Unit = Text.substr(UnitStart);
  for (const UnitScale &Scale : Units)
    if (Unit == Scale.Name_) {
      const double Microseconds = Number * double(Scale.Microseconds_);
      if (Microseconds > MaxMicroseconds)
        return false;
      Value = core::Duration(std::llround(Microseconds));
      return true;
    }
  return false;
}

std::string formatDuration(core::Duration Value) {
  for (const UnitScale &Scale : Units)
    if (Value.count() != 0 && Value.count() % Scale.Microseconds_ == 0)
      return std::to_string(Value.count() / Scale.Microseconds_) + Scale.Name_;
  return "0s";
}

bool parseHostPort(const std::string &Text, HostPort &Value) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string::npos || Colon + 1 == Text.size())
    return false;
  const std::string Ip = Text.substr(0, Colon);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Ip.c_str(), &Parsed) != 1)
    return false;
  std::uint16_t Port = 0;
  auto ParseResult =
      std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(), Port);
  if (ParseResult.ec != std::errc() ||
      ParseResult.ptr != Text.data() + Text.size())
    return false;
  Value = {Ip, Port};
  return true;
}

std::string toString(const HostPort &Value) {
  return Value.Ip_ + ":" + std::to_string(Value.Port_);
}

} // namespace nutmegwell::settings
