#include "nutmegwell/settings/settings.h"
#include <ostream>
#include <sstream>

namespace nutmegwell::settings {

namespace {

/// Returns the placeholder for the value of the flag, such as "DURATION" or
/// "text|json". It is empty for a flag without a value.
std::string valuePlaceholder(const SettingDescription &Setting) {
  if (!Setting.Choices_.empty()) {
    std::string Placeholder;
    for (const std::string &Choice : Setting.Choices_)
      Placeholder += (Placeholder.empty() ? "" : "|") + Choice;
    return Placeholder;
  }
  switch (Setting.Kind_) {
  case ValueKind::Text:
    return "TEXT";
  case ValueKind::Address:
    return "IP:PORT";
  case ValueKind::AddressList:
    return "IP:PORT,...";
  case ValueKind::Duration:
    return "DURATION";
  case ValueKind::Count:
    return "NUMBER";
  case ValueKind::Flag:
    break;
  }
  return "";
}

/// Returns the unit, range, default and whether the setting is required, in
/// brackets. Returns an empty string if there is nothing to list.
std::string valueConstraints(const SettingDescription &Setting) {
  std::string Text;
  auto Append = [&Text](const std::string &Constraint) {
    Text += (Text.empty() ? "" : "; ") + Constraint;
  };
  if (!Setting.Unit_.empty())
    Append("in " + Setting.Unit_);
  if (Setting.Kind_ == ValueKind::Duration)
    Append(formatDuration(core::Duration(Setting.Min_)) + " to " +
           formatDuration(core::Duration(Setting.Max_)));
  if (Setting.Kind_ == ValueKind::Count)
    Append(std::to_string(Setting.Min_) + " to " +
           std::to_string(Setting.Max_));
  if (!Setting.Default_.empty())
    Append("default " + Setting.Default_);
  if (Setting.Required_)
    Append("required");
  if (!Setting.RequiredWhen_.first.empty())
    Append("required with " + Setting.RequiredWhen_.first + "=" +
           Setting.RequiredWhen_.second);
  return Text.empty() ? Text : " [" + Text + "]";
}

} // namespace

std::string help(const SettingsSpec &Spec) {
  std::ostringstream Out;
  Out << "Usage: " << Spec.Program_ << " [FLAGS]";
  if (!Spec.ArgumentsHelp_.empty())
    Out << ' ' << Spec.ArgumentsHelp_;
  Out << "\n\n" << Spec.Purpose_ << "\n\n";
  for (const SettingDescription &Setting : Spec.Settings_) {
    const std::string Placeholder = valuePlaceholder(Setting);
    Out << "  --" << Setting.Name_ << (Placeholder.empty() ? "" : " ")
        << Placeholder << "\n      " << Setting.Help_
        << valueConstraints(Setting) << '\n';
  }
  Out << "  --check\n      validate the settings and exit; exit code 0 if they "
         "are valid\n"
      << "  --help\n      print this help\n\n"
      << "A duration is a number with a unit: us, ms, s, m or h. A setting "
         "that is not given\nas a flag is read from its environment variable: "
      << variableName("some-name") << " for --some-name.\n";
  return Out.str();
}

std::optional<int> exitCode(const SettingsSpec &Spec,
                            const absl::StatusOr<Settings> &Parsed,
                            std::ostream &Out, std::ostream &Err) {
  if (!Parsed.ok()) {
    Err << Spec.Program_ << ": " << Parsed.status().message() << '\n';
    return 1;
  }
  if (Parsed->helpRequested()) {
    Out << help(Spec);
    return 0;
  }
  if (Parsed->checkRequested()) {
    Out << "settings are valid\n";
    return 0;
  }
  return std::nullopt;
}

} // namespace nutmegwell::settings
