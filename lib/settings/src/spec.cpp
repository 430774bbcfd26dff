#include "nutmegwell/settings/spec.h"

#include "nutmegwell/settings/settings.h"

namespace nutmegwell::settings {

namespace {

constexpr std::int64_t MaxPort = 65535;

} // namespace

SettingsSpecBuilder::SettingsSpecBuilder(std::string Program,
                                         std::string Purpose) {
  Spec_.Program_ = std::move(Program);
  Spec_.Purpose_ = std::move(Purpose);
}

SettingDescription &SettingsSpecBuilder::add(std::string Name, ValueKind Kind,
                                             std::string Help) {
  SettingDescription &Added = Spec_.Settings_.emplace_back();
  Added.Name_ = std::move(Name);
  Added.Kind_ = Kind;
  Added.Help_ = std::move(Help);
  return Added;
}

SettingsSpecBuilder &SettingsSpecBuilder::text(std::string Name,
                                               std::string Default,
                                               std::string Help) {
  add(std::move(Name), ValueKind::Text, std::move(Help)).Default_ =
      std::move(Default);
  return *this;
}

SettingsSpecBuilder &
SettingsSpecBuilder::choice(std::string Name, std::vector<std::string> Choices,
                            std::string Default, std::string Help) {
  SettingDescription &Added =
      add(std::move(Name), ValueKind::Text, std::move(Help));
  Added.Choices_ = std::move(Choices);
  Added.Default_ = std::move(Default);
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::address(std::string Name,
                                                  std::string Help) {
  SettingDescription &Added =
      add(std::move(Name), ValueKind::Address, std::move(Help));
  Added.Min_ = 1;
  Added.Max_ = MaxPort;
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::listenAddress(std::string Name,
                                                        std::string Help) {
  address(std::move(Name), std::move(Help));
  Spec_.Settings_.back().Min_ = 0;
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::addressList(std::string Name,
                                                      std::string Help) {
  address(std::move(Name), std::move(Help));
  Spec_.Settings_.back().Kind_ = ValueKind::AddressList;
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::duration(std::string Name,
                                                   core::Duration Default,
                                                   core::Duration Min,
                                                   core::Duration Max,
                                                   std::string Help) {
  SettingDescription &Added =
      add(std::move(Name), ValueKind::Duration, std::move(Help));
  Added.Default_ = formatDuration(Default);
  Added.Min_ = Min.count();
  Added.Max_ = Max.count();
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::count(std::string Name,
                                                std::int64_t Default,
                                                std::int64_t Min,
                                                std::int64_t Max,
                                                std::string Help) {
  SettingDescription &Added =
      add(std::move(Name), ValueKind::Count, std::move(Help));
  Added.Default_ = std::to_string(Default);
  Added.Min_ = Min;
  Added.Max_ = Max;
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::optionalCount(std::string Name,
                                                        std::int64_t Min,
                                                        std::int64_t Max,
                                                        std::string Help) {
  count(std::move(Name), Min, Min, Max, std::move(Help));
  Spec_.Settings_.back().Default_.clear();
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::flag(std::string Name,
                                               std::string Help) {
  add(std::move(Name), ValueKind::Flag, std::move(Help));
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::unit(std::string Value) {
  Spec_.Settings_.back().Unit_ = std::move(Value);
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::required() {
  Spec_.Settings_.back().Required_ = true;
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::requiredWhen(std::string Name,
                                                       std::string Value) {
  Spec_.Settings_.back().RequiredWhen_ = {std::move(Name), std::move(Value)};
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::requireShorter(std::string Short,
                                                         std::string Long) {
  Spec_.DurationOrder_.emplace_back(std::move(Short), std::move(Long));
  return *this;
}

SettingsSpecBuilder &SettingsSpecBuilder::arguments(std::size_t Min,
                                                    std::size_t Max,
                                                    std::string Help) {
  Spec_.MinArguments_ = Min;
  Spec_.MaxArguments_ = Max;
  Spec_.ArgumentsHelp_ = std::move(Help);
  return *this;
}

} // namespace nutmegwell::settings
