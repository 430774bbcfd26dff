#include "nutmegwell/settings/settings.h"

#include <algorithm>
#include <charconv>
#include <getopt.h>
#include <ostream>
#include <stdexcept>
#include <unistd.h>

namespace nutmegwell::settings {

namespace {

/// Value that getopt_long returns for the first setting. Larger than any
/// character, so that it differs from 'h', 'c', ':' and '?'.
constexpr int FirstOption = 256;

absl::Status settingError(const std::string &Name, const std::string &Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "settings", "",
                         Name + ": " + Message);
}

std::string join(const std::vector<std::string> &Parts, const char *Separator) {
  std::string Text;
  for (const std::string &Part : Parts)
    Text += (Text.empty() ? "" : Separator) + Part;
  return Text;
}

std::string formatRange(const SettingDescription &Setting) {
  if (Setting.Kind_ == ValueKind::Duration)
    return formatDuration(core::Duration(Setting.Min_)) + " to " +
           formatDuration(core::Duration(Setting.Max_));
  return std::to_string(Setting.Min_) + " to " + std::to_string(Setting.Max_);
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  while (Start <= Text.size()) {
    const std::size_t End = std::min(Text.find(',', Start), Text.size());
    Parts.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Parts;
}

} // namespace

/// Reads and validates the settings of one specification.
class SettingsParser {
public:
  explicit SettingsParser(const SettingsSpec &Spec) : Spec_(Spec) {
    for (const SettingDescription &Setting : Spec.Settings_)
      Result_.Entries_[Setting.Name_].Value_ = emptyValue(Setting.Kind_);
  }

  absl::Status readFlags(int Argc, const char *const *Argv);
  absl::Status readVariables(const Environment &Variables);
  absl::Status readDefaults();
  absl::Status checkRequired() const;
  absl::Status checkDurationOrder() const;

  const Settings &result() const { return Result_; }

private:
  static Settings::Value emptyValue(ValueKind Kind);
  absl::Status set(const SettingDescription &Setting, const std::string &Text);
  absl::Status setAddresses(const SettingDescription &Setting,
                            const std::string &Text);
  absl::Status setNumber(const SettingDescription &Setting,
                         const std::string &Text);
  absl::Status checkArguments() const;
  std::vector<option> options() const;

  const SettingsSpec &Spec_;
  Settings Result_;
};

Settings::Value SettingsParser::emptyValue(ValueKind Kind) {
  switch (Kind) {
  case ValueKind::Text:
    return std::string();
  case ValueKind::Address:
  case ValueKind::AddressList:
    return std::vector<HostPort>();
  case ValueKind::Duration:
    return core::Duration();
  case ValueKind::Count:
    return std::int64_t{0};
  case ValueKind::Flag:
    break;
  }
  return false;
}

std::vector<option> SettingsParser::options() const {
  std::vector<option> Options;
  int Value = FirstOption;
  for (const SettingDescription &Setting : Spec_.Settings_) {
    const bool IsFlag = Setting.Kind_ == ValueKind::Flag;
    Options.push_back({Setting.Name_.c_str(),
                       IsFlag ? no_argument : required_argument, nullptr,
                       Value++});
  }
  Options.push_back({"help", no_argument, nullptr, 'h'});
  Options.push_back({"check", no_argument, nullptr, 'c'});
  Options.push_back({nullptr, 0, nullptr, 0});
  return Options;
}

absl::Status SettingsParser::readFlags(int Argc, const char *const *Argv) {
  const std::vector<option> Options = options();
  // The const_cast is safe: getopt_long reorders the pointers but does not
  // modify the strings.
  std::vector<char *> Arguments;
  for (int I = 0; I < Argc; ++I)
    Arguments.push_back(const_cast<char *>(Argv[I]));
  Arguments.push_back(nullptr);
  optind = 0; // Resets the state that an earlier call left in getopt_long.
  opterr = 0;
  for (;;) {
    const int PreviousIndex = optind;
    const int Value =
        getopt_long(Argc, Arguments.data(), ":", Options.data(), nullptr);
    if (Value == -1)
      break;
    if (Value == 'h') {
      Result_.HelpRequested_ = true;
    } else if (Value == 'c') {
      Result_.CheckRequested_ = true;
    } else if (Value == ':') {
      return settingError(Arguments[optind - 1], "requires a value");
    } else if (Value == '?') {
      const int FlagIndex =
          optind > std::max(PreviousIndex, 1) ? optind - 1 : optind;
      return settingError(Arguments[FlagIndex],
                          "unknown flag, or a value for a flag that "
                          "takes none; --help lists the flags");
    } else {
      const SettingDescription &Setting = Spec_.Settings_[Value - FirstOption];
      auto Status = set(Setting, optarg ? optarg : "true");
      if (!Status.ok())
        return Status;
    }
  }
  for (int I = optind; I < Argc; ++I)
    Result_.Arguments_.push_back(Arguments[I]);
  return Result_.HelpRequested_ ? absl::OkStatus() : checkArguments();
}

absl::Status SettingsParser::checkArguments() const {
  const std::size_t Count = Result_.Arguments_.size();
  if (Count > Spec_.MaxArguments_)
    return settingError("'" + Result_.Arguments_[Spec_.MaxArguments_] + "'",
                        "unexpected argument; --help shows the usage");
  if (Count < Spec_.MinArguments_)
    return settingError(Spec_.ArgumentsHelp_,
                        "argument is missing; --help shows the usage");
  return absl::OkStatus();
}

absl::Status SettingsParser::readVariables(const Environment &Variables) {
  for (const SettingDescription &Setting : Spec_.Settings_) {
    if (Result_.Entries_[Setting.Name_].HasValue_)
      continue;
    const auto Found = Variables.find(variableName(Setting.Name_));
    if (Found == Variables.end())
      continue;
    auto Status = set(Setting, Found->second);
    if (!Status.ok())
      return core::makeError(Status.code(), "settings", "",
                             std::string(Status.message()) + " (from " +
                                 Found->first + ")");
  }
  return absl::OkStatus();
}

absl::Status SettingsParser::readDefaults() {
  for (const SettingDescription &Setting : Spec_.Settings_) {
    if (Result_.Entries_[Setting.Name_].HasValue_ || Setting.Default_.empty())
      continue;
    auto Status = set(Setting, Setting.Default_);
    if (!Status.ok())
      return Status;
  }
  return absl::OkStatus();
}

absl::Status SettingsParser::set(const SettingDescription &Setting,
                                 const std::string &Text) {
  Settings::Entry &Entry = Result_.Entries_[Setting.Name_];
  absl::Status Status = absl::OkStatus();
  switch (Setting.Kind_) {
  case ValueKind::Text:
    if (!Setting.Choices_.empty() &&
        std::find(Setting.Choices_.begin(), Setting.Choices_.end(), Text) ==
            Setting.Choices_.end())
      return settingError(Setting.Name_, "'" + Text + "' is not one of " +
                                             join(Setting.Choices_, ", "));
    Entry.Value_ = Text;
    break;
  case ValueKind::Address:
  case ValueKind::AddressList:
    Status = setAddresses(Setting, Text);
    break;
  case ValueKind::Duration:
  case ValueKind::Count:
    Status = setNumber(Setting, Text);
    break;
  case ValueKind::Flag:
    if (Text != "true" && Text != "false")
      return settingError(Setting.Name_, "'" + Text + "' is not true or false");
    Entry.Value_ = Text == "true";
    break;
  }
  if (Status.ok())
    Entry.HasValue_ = true;
  return Status;
}

absl::Status SettingsParser::setAddresses(const SettingDescription &Setting,
                                          const std::string &Text) {
  Settings::Entry &Entry = Result_.Entries_[Setting.Name_];
  const bool IsList = Setting.Kind_ == ValueKind::AddressList;
  std::vector<HostPort> Addresses;
  // A repeated list flag appends to the list.
  if (IsList)
    Addresses = std::get<std::vector<HostPort>>(Entry.Value_);
  for (const std::string &Part :
       IsList ? splitList(Text) : std::vector<std::string>{Text}) {
    HostPort Parsed;
    if (!parseHostPort(Part, Parsed))
      return settingError(
          Setting.Name_,
          "'" + Part +
              "' is not an IPv4 address and port, such as 127.0.0.1:8080");
    if (Parsed.Port_ < Setting.Min_)
      return settingError(Setting.Name_, "'" + Part + "': the port must be " +
                                             formatRange(Setting));
    Addresses.push_back(Parsed);
  }
  Entry.Value_ = std::move(Addresses);
  return absl::OkStatus();
}

absl::Status SettingsParser::setNumber(const SettingDescription &Setting,
                                       const std::string &Text) {
  Settings::Value Value;
  std::int64_t Number = 0;
  if (Setting.Kind_ == ValueKind::Duration) {
    core::Duration Parsed{};
    if (!parseDuration(Text, Parsed))
      return settingError(Setting.Name_,
                          "'" + Text +
                              "' is not a number with one of the units "
                              "us, ms, s, m, h, such as 2.5s");
    Number = Parsed.count();
    Value = Parsed;
  } else {
    auto ParseResult =
        std::from_chars(Text.data(), Text.data() + Text.size(), Number);
    if (ParseResult.ec != std::errc() ||
        ParseResult.ptr != Text.data() + Text.size())
      return settingError(Setting.Name_,
                          "'" + Text + "' is not a whole number");
    Value = Number;
  }
  if (Number < Setting.Min_ || Number > Setting.Max_)
    return settingError(Setting.Name_, "'" + Text +
                                           "' is out of range; must be " +
                                           formatRange(Setting));
  Result_.Entries_[Setting.Name_].Value_ = std::move(Value);
  return absl::OkStatus();
}

absl::Status SettingsParser::checkRequired() const {
  for (const SettingDescription &Setting : Spec_.Settings_) {
    if (Result_.has(Setting.Name_))
      continue;
    const auto &Condition = Setting.RequiredWhen_;
    if (Setting.Required_)
      return settingError(Setting.Name_, "is required; set the flag or its "
                                         "environment variable");
    if (!Condition.first.empty() &&
        Result_.text(Condition.first) == Condition.second)
      return settingError(Setting.Name_, "is required with " + Condition.first +
                                             "=" + Condition.second);
  }
  return absl::OkStatus();
}

absl::Status SettingsParser::checkDurationOrder() const {
  for (const auto &Pair : Spec_.DurationOrder_)
    if (Result_.duration(Pair.first) >= Result_.duration(Pair.second))
      return settingError(Pair.first, "must be shorter than " + Pair.second);
  return absl::OkStatus();
}

absl::StatusOr<Settings> parse(const SettingsSpec &Spec, int Argc,
                               const char *const *Argv,
                               const Environment &Variables) {
  SettingsParser Parser(Spec);
  auto Status = Parser.readFlags(Argc, Argv);
  if (!Status.ok() || Parser.result().helpRequested())
    return Status.ok() ? absl::StatusOr<Settings>(Parser.result()) : Status;
  Status = Parser.readVariables(Variables);
  if (Status.ok())
    Status = Parser.readDefaults();
  if (Status.ok())
    Status = Parser.checkRequired();
  if (Status.ok())
    Status = Parser.checkDurationOrder();
  if (!Status.ok())
    return Status;
  return Parser.result();
}

Environment processEnvironment() {
  Environment Variables;
  for (char **Variable = environ; Variable && *Variable; ++Variable) {
    const std::string Text(*Variable);
    const std::size_t Equals = Text.find('=');
    if (Equals != std::string::npos)
      Variables[Text.substr(0, Equals)] = Text.substr(Equals + 1);
  }
  return Variables;
}

bool Settings::has(const std::string &Name) const {
  return Entries_.at(Name).HasValue_;
}

const std::string &Settings::text(const std::string &Name) const {
  return std::get<std::string>(Entries_.at(Name).Value_);
}

HostPort Settings::address(const std::string &Name) const {
  const auto &Values = addresses(Name);
  return Values.empty() ? HostPort() : Values.front();
}

const std::vector<HostPort> &
Settings::addresses(const std::string &Name) const {
  return std::get<std::vector<HostPort>>(Entries_.at(Name).Value_);
}

core::Duration Settings::duration(const std::string &Name) const {
  return std::get<core::Duration>(Entries_.at(Name).Value_);
}

std::int64_t Settings::count(const std::string &Name) const {
  return std::get<std::int64_t>(Entries_.at(Name).Value_);
}

bool Settings::flag(const std::string &Name) const {
  return std::get<bool>(Entries_.at(Name).Value_);
}

} // namespace nutmegwell::settings
