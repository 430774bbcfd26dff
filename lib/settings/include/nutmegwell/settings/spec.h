#pragma once

#include "nutmegwell/core/time.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::settings {

enum class ValueKind : std::uint8_t {
  Text,
  Address,
  AddressList,
  Duration,
  Count,
  Flag
};

/// Specification of one setting: its meaning, valid values and default.
struct SettingDescription {
  std::string Name_;
  ValueKind Kind_ = ValueKind::Text;
  /// Unit of a count, such as "bytes", as shown by --help.
  std::string Unit_;
  /// Default in the syntax of the flag; empty if there is none.
  std::string Default_;
  /// Valid values of a text; empty if any text is valid.
  std::vector<std::string> Choices_;
  /// Inclusive bounds of a count, of a duration in microseconds, or of the port
  /// of an address.
  std::int64_t Min_ = 0;
  std::int64_t Max_ = 0;
  std::string Help_;
  bool Required_ = false;
  /// Name and value of another setting; this setting is required if the other
  /// one has that value. No condition if the name is empty.
  std::pair<std::string, std::string> RequiredWhen_;
};

/// Specification of all settings of a program or command.
struct SettingsSpec {
  std::string Program_;
  std::string Purpose_;
  std::vector<SettingDescription> Settings_;
  /// Pairs of duration settings; the first of a pair must be shorter than the
  /// second.
  std::vector<std::pair<std::string, std::string>> DurationOrder_;
  /// Positional arguments, as --help shows them.
  std::string ArgumentsHelp_;
  std::size_t MinArguments_ = 0;
  std::size_t MaxArguments_ = 0;
};

/// Builds a SettingsSpec. unit(), required() and requiredWhen() apply to the
/// setting that was added last.
class SettingsSpecBuilder {
public:
  SettingsSpecBuilder(std::string Program, std::string Purpose);

  SettingsSpecBuilder &text(std::string Name, std::string Default,
                            std::string Help);
  SettingsSpecBuilder &choice(std::string Name,
                              std::vector<std::string> Choices,
                              std::string Default, std::string Help);
  SettingsSpecBuilder &address(std::string Name, std::string Help);
  /// Adds an address to listen on; with port 0 the kernel chooses the port.
  SettingsSpecBuilder &listenAddress(std::string Name, std::string Help);
  SettingsSpecBuilder &addressList(std::string Name, std::string Help);
  SettingsSpecBuilder &duration(std::string Name, core::Duration Default,
                                core::Duration Min, core::Duration Max,
                                std::string Help);
  SettingsSpecBuilder &count(std::string Name, std::int64_t Default,
                             std::int64_t Min, std::int64_t Max,
                             std::string Help);
  /// Adds a count without a default.
  SettingsSpecBuilder &optionalCount(std::string Name, std::int64_t Min,
                                     std::int64_t Max, std::string Help);
  SettingsSpecBuilder &flag(std::string Name, std::string Help);

  SettingsSpecBuilder &unit(std::string Value);
  SettingsSpecBuilder &required();
  SettingsSpecBuilder &requiredWhen(std::string Name, std::string Value);

  /// Requires the duration \p Short to be shorter than the duration \p Long.
  SettingsSpecBuilder &requireShorter(std::string Short, std::string Long);
  /// Allows between \p Min and \p Max positional arguments.
  SettingsSpecBuilder &arguments(std::size_t Min, std::size_t Max,
                                 std::string Help);

  SettingsSpec build() const { return Spec_; }

private:
  SettingDescription &add(std::string Name, ValueKind Kind, std::string Help);

  SettingsSpec Spec_;
};

} // namespace nutmegwell::settings
