#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/settings/spec.h"
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::settings {

/// An IPv4 address and a port.
struct HostPort {
  std::string Ip_;
  std::uint16_t Port_ = 0;

  friend bool operator==(const HostPort &A, const HostPort &B) {
    return A.Ip_ == B.Ip_ && A.Port_ == B.Port_;
  }
};

/// Variables of the environment by name.
using Environment = std::map<std::string, std::string>;

/// Returns the environment of the process.
Environment processEnvironment();

/// Values that were checked against their spec. A name that is not in the spec
/// or has another kind is a fault of the program and throws.
class Settings {
public:
  /// Returns true when a value was given or the setting has a default.
  bool has(const std::string &Name) const;
  const std::string &text(const std::string &Name) const;
  /// Returns port 0 and no IP when the setting was not given.
  HostPort address(const std::string &Name) const;
  const std::vector<HostPort> &addresses(const std::string &Name) const;
  core::Duration duration(const std::string &Name) const;
  std::int64_t count(const std::string &Name) const;
  bool flag(const std::string &Name) const;

  /// Arguments that are not flags, in order.
  const std::vector<std::string> &arguments() const { return Arguments_; }
  /// True when --help was given; nothing else was checked then.
  bool helpAsked() const { return HelpAsked_; }
  /// True when --check was given.
  bool checkAsked() const { return CheckAsked_; }

private:
  friend class SettingsParser;

  using Value = std::variant<std::string, std::vector<HostPort>, core::Duration,
                             std::int64_t, bool>;
  struct Entry {
    Value Value_;
    bool Given_ = false;
  };
  std::map<std::string, Entry> Entries_;
  std::vector<std::string> Arguments_;
  bool HelpAsked_ = false;
  bool CheckAsked_ = false;
};

/// Reads flags, then environment variables (NUTMEGWELL_ and the name in upper
/// case, with '_' for '-'), then defaults. Returns InvalidArgument that names
/// the setting for an unknown flag, a malformed value, a value out of range and
/// a missing required value. Not safe for use from several threads, since
/// getopt_long is not.
absl::StatusOr<Settings> parse(const SettingsSpec &Spec, int Argc,
                               const char *const *Argv,
                               const Environment &Variables);

/// Returns the text of --help, with the unit, range and default of each
/// setting.
std::string help(const SettingsSpec &Spec);

/// Prints help, the result of --check, or the error of \p Parsed. Returns the
/// exit code (0 or 1) when the program should end now, otherwise nothing.
std::optional<int> exitCode(const SettingsSpec &Spec,
                            const absl::StatusOr<Settings> &Parsed,
                            std::ostream &Out, std::ostream &Err);

/// Returns the environment variable of the setting \p Name.
std::string variableName(const std::string &Name);

/// Parses a number with one of the units us, ms, s, m and h, such as "2.5s".
/// Returns false for another form.
bool parseDuration(const std::string &Text, core::Duration &Value);

/// Returns \p Value in the largest unit that gives a whole number.
std::string formatDuration(core::Duration Value);

/// Parses "IP:PORT" with an IPv4 address in numbers. Returns false for another
/// form.
bool parseHostPort(const std::string &Text, HostPort &Value);

/// Returns "IP:PORT".
std::string toString(const HostPort &Value);

} // namespace nutmegwell::settings
