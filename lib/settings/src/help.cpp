#include "nutmegwell/settings/settings.h"
#include <ostream>
#include <sstream>

namespace nutmegwell::settings {

namespace {

/// Returns what the flag takes, such as "DURATION" or "text|json".
std::string valueForm(const SettingDescription &Setting) {
  if (!Setting.Choices_.empty()) {
    std::string Form;
    for (const std::string &Choice : Setting.Choices_)
      Form += (Form.empty() ? "" : "|") + Choice;
    return Form;
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

/// Returns unit, range and default in brackets, or an empty string.
std::string facts(const SettingDescription &Setting) {
  std::string Text;
  auto Add = [&Text](const std::string &Fact) {
    Text += (Text.empty() ? "" : "; ") + Fact;
  };
  if (!Setting.Unit_.empty())
    Add("in " + Setting.Unit_);
  if (Setting.Kind_ == ValueKind::Duration)
    Add(formatDuration(core::Duration(Setting.Min_)) + " to " +
        formatDuration(core::Duration(Setting.Max_)));
  if (Setting.Kind_ == ValueKind::Count)
    Add(std::to_string(Setting.Min_) + " to " + std::to_string(Setting.Max_));
  if (!Setting.Default_.empty())
    Add("default " + Setting.Default_);
  if (Setting.Required_)
    Add("required");
  if (!Setting.RequiredWhen_.first.empty())
    Add("required with " + Setting.RequiredWhen_.first + "=" +
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
    const std::string Form = valueForm(Setting);
    Out << "  --" << Setting.Name_ << (Form.empty() ? "" : " ") << Form
        << "\n      " << Setting.Help_ << facts(Setting) << '\n';
  }
  Out << "  --check\n      checks the settings and ends; 0 means that they are "
         "valid\n"
      << "  --help\n      prints this text\n\n"
      << "A duration is a number with a unit: us, ms, s, m or h. A setting "
         "that is not given\nas a flag is read from the environment: "
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
  if (Parsed->helpAsked()) {
    Out << help(Spec);
    return 0;
  }
  if (Parsed->checkAsked()) {
    Out << "settings are valid\n";
    return 0;
  }
  return std::nullopt;
}

} // namespace nutmegwell::settings
