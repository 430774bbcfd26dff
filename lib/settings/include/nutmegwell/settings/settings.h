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

/// Environment variables by name.
using Environment = std::map<std::string, std::string>;

/// Returns the environment variables of the process.
Environment processEnvironment();

/// Setting values validated against their specification. Reading a setting that
/// is not in the specification, or with the accessor of another kind, is a
/// programming error and throws.
class Settings {
public:
  /// Returns true if a value was given or the setting has a default.
  bool has(const std::string &Name) const;
  const std::string &text(const std::string &Name) const;
  /// Returns an empty IP and port 0 if the setting was not given.
  HostPort address(const std::string &Name) const;
  const std::vector<HostPort> &addresses(const std::string &Name) const;
  core::Duration duration(const std::string &Name) const;
  std::int64_t count(const std::string &Name) const;
  bool flag(const std::string &Name) const;

  /// Positional arguments, in order.
  const std::vector<std::string> &arguments() const { return Arguments_; }
  /// True if --help was given; the other settings are then not validated.
  bool helpRequested() const { return HelpRequested_; }
  /// True if --check was given.
  bool checkRequested() const { return CheckRequested_; }

private:
  friend class SettingsParser;

  using Value = std::variant<std::string, std::vector<HostPort>, core::Duration,
                             std::int64_t, bool>;
  struct Entry {
    Value Value_;
    bool HasValue_ = false;
  };
  std::map<std::string, Entry> Entries_;
  std::vector<std::string> Arguments_;
  bool HelpRequested_ = false;
  bool CheckRequested_ = false;
};

/// Reads each setting from its flag, else from its environment variable
/// (NUTMEGWELL_ and the name in upper case, with '_' for '-'), else from its
/// default. Returns an InvalidArgument error that names the setting for an
/// unknown flag, a malformed value, a value out of range or a missing required
/// value. Not thread-safe, because getopt_long is not.
absl::StatusOr<Settings> parse(const SettingsSpec &Spec, int Argc,
                               const char *const *Argv,
                               const Environment &Variables);

/// Returns the text that --help prints, with the unit, range and default of
/// each setting.
std::string help(const SettingsSpec &Spec);

/// Prints the help text, the result of --check, or the error in \p Parsed.
/// Returns the exit code (0 or 1) if the program should exit, and nothing if it
/// should continue.
std::optional<int> exitCode(const SettingsSpec &Spec,
                            const absl::StatusOr<Settings> &Parsed,
                            std::ostream &Out, std::ostream &Err);

/// Returns the name of the environment variable for the setting \p Name.
std::string variableName(const std::string &Name);

/// Parses a number with one of the units us, ms, s, m and h, such as "2.5s".
/// Returns false if \p Text is malformed.
bool parseDuration(const std::string &Text, core::Duration &Value);

/// Formats \p Value in the largest unit that gives a whole number.
std::string formatDuration(core::Duration Value);

/// Parses "IP:PORT" with a numeric IPv4 address. Returns false if \p Text is
/// malformed.
bool parseHostPort(const std::string &Text, HostPort &Value);

/// Returns "IP:PORT".
std::string toString(const HostPort &Value);

} // namespace nutmegwell::settings
