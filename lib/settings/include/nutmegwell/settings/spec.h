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

/// One setting: what it means, what it may be, and what it is when not given.
struct SettingDescription {
  std::string Name_;
  ValueKind Kind_ = ValueKind::Text;
  /// Unit of a count, such as "bytes"; shown by --help.
  std::string Unit_;
  /// Default in the form that the flag takes; empty for none.
  std::string Default_;
  /// The only texts allowed; empty allows any.
  std::vector<std::string> Choices_;
  /// Bounds of a count, or of a duration in microseconds, or of a port.
  std::int64_t Min_ = 0;
  std::int64_t Max_ = 0;
  std::string Help_;
  bool Required_ = false;
  /// Makes the setting required when the setting named first has the value
  /// named second; no condition when the name is empty.
  std::pair<std::string, std::string> RequiredWhen_;
};

/// All settings of one program or command.
struct SettingsSpec {
  std::string Program_;
  std::string Purpose_;
  std::vector<SettingDescription> Settings_;
  /// Names of two durations; the first must be shorter than the second.
  std::vector<std::pair<std::string, std::string>> Shorter_;
  /// Arguments that are not flags, as --help shows them.
  std::string ArgumentsHelp_;
  std::size_t MinArguments_ = 0;
  std::size_t MaxArguments_ = 0;
};

/// Builds a SettingsSpec. The calls that refine a setting (unit, required,
/// requiredWhen) apply to the setting added last.
class SettingsSpecBuilder {
public:
  SettingsSpecBuilder(std::string Program, std::string Purpose);

  SettingsSpecBuilder &text(std::string Name, std::string Default,
                            std::string Help);
  SettingsSpecBuilder &choice(std::string Name,
                              std::vector<std::string> Choices,
                              std::string Default, std::string Help);
  SettingsSpecBuilder &address(std::string Name, std::string Help);
  /// An address to listen on; port 0 lets the kernel choose.
  SettingsSpecBuilder &listenAddress(std::string Name, std::string Help);
  SettingsSpecBuilder &addressList(std::string Name, std::string Help);
  SettingsSpecBuilder &duration(std::string Name, core::Duration Default,
                                core::Duration Min, core::Duration Max,
                                std::string Help);
  SettingsSpecBuilder &count(std::string Name, std::int64_t Default,
                             std::int64_t Min, std::int64_t Max,
                             std::string Help);
  /// A count without a default.
  SettingsSpecBuilder &optionalCount(std::string Name, std::int64_t Min,
                                     std::int64_t Max, std::string Help);
  SettingsSpecBuilder &flag(std::string Name, std::string Help);

  SettingsSpecBuilder &unit(std::string Value);
  SettingsSpecBuilder &required();
  SettingsSpecBuilder &requiredWhen(std::string Name, std::string Value);

  /// Requires the duration \p Short to be shorter than the duration \p Long.
  SettingsSpecBuilder &shorter(std::string Short, std::string Long);
  /// Allows arguments that are not flags.
  SettingsSpecBuilder &arguments(std::size_t Min, std::size_t Max,
                                 std::string Help);

  SettingsSpec build() const { return Spec_; }

private:
  SettingDescription &add(std::string Name, ValueKind Kind, std::string Help);

  SettingsSpec Spec_;
};

} // namespace nutmegwell::settings
