#include "nutmegwell/settings/settings.h"

#include <algorithm>
#include <charconv>
#include <getopt.h>
#include <ostream>
#include <stdexcept>
#include <unistd.h>

namespace nutmegwell::settings {

namespace {

/// First value that getopt_long returns for our flags; above every character.
constexpr int FirstOption = 256;

absl::Status refuse(const std::string &Name, const std::string &Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "settings", "",
                         Name + ": " + Message);
}

std::string join(const std::vector<std::string> &Parts, const char *Separator) {
  std::string Text;
  for (const std::string &Part : Parts)
    Text += (Text.empty() ? "" : Separator) + Part;
  return Text;
}

std::string rangeOf(const SettingDescription &Setting) {
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

/// Reads the settings of one spec.
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
  absl::Status checkShorter() const;

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
    const bool Bare = Setting.Kind_ == ValueKind::Flag;
    Options.push_back({Setting.Name_.c_str(),
                       Bare ? no_argument : required_argument, nullptr,
                       Value++});
  }
  Options.push_back({"help", no_argument, nullptr, 'h'});
  Options.push_back({"check", no_argument, nullptr, 'c'});
  Options.push_back({nullptr, 0, nullptr, 0});
  return Options;
}

absl::Status SettingsParser::readFlags(int Argc, const char *const *Argv) {
  const std::vector<option> Options = options();
  // getopt_long reorders the array, not the texts.
  std::vector<char *> Arguments;
  for (int I = 0; I < Argc; ++I)
    Arguments.push_back(const_cast<char *>(Argv[I]));
  Arguments.push_back(nullptr);
  optind = 0; // Makes getopt_long forget an earlier call.
  opterr = 0;
  for (;;) {
    const int Before = optind;
    const int Value =
        getopt_long(Argc, Arguments.data(), ":", Options.data(), nullptr);
    if (Value == -1)
      break;
    if (Value == 'h') {
      Result_.HelpAsked_ = true;
    } else if (Value == 'c') {
      Result_.CheckAsked_ = true;
    } else if (Value == ':') {
      return refuse(Arguments[optind - 1], "needs a value");
    } else if (Value == '?') {
      const int At = optind > std::max(Before, 1) ? optind - 1 : optind;
      return refuse(Arguments[At], "unknown flag, or a value for a flag that "
                                   "takes none");
    } else {
      const SettingDescription &Setting = Spec_.Settings_[Value - FirstOption];
      auto Status = set(Setting, optarg ? optarg : "true");
      if (!Status.ok())
        return Status;
    }
  }
  for (int I = optind; I < Argc; ++I)
    Result_.Arguments_.push_back(Arguments[I]);
  return Result_.HelpAsked_ ? absl::OkStatus() : checkArguments();
}

absl::Status SettingsParser::checkArguments() const {
  const std::size_t Count = Result_.Arguments_.size();
  if (Count > Spec_.MaxArguments_)
    return refuse("'" + Result_.Arguments_[Spec_.MaxArguments_] + "'",
                  "unexpected argument");
  if (Count < Spec_.MinArguments_)
    return refuse(Spec_.ArgumentsHelp_, "argument is missing");
  return absl::OkStatus();
}

absl::Status SettingsParser::readVariables(const Environment &Variables) {
  for (const SettingDescription &Setting : Spec_.Settings_) {
    if (Result_.Entries_[Setting.Name_].Given_)
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
    if (Result_.Entries_[Setting.Name_].Given_ || Setting.Default_.empty())
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
      return refuse(Setting.Name_, "'" + Text + "' is not one of " +
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
      return refuse(Setting.Name_, "'" + Text + "' is not true or false");
    Entry.Value_ = Text == "true";
    break;
  }
  if (Status.ok())
    Entry.Given_ = true;
  return Status;
}

absl::Status SettingsParser::setAddresses(const SettingDescription &Setting,
                                          const std::string &Text) {
  Settings::Entry &Entry = Result_.Entries_[Setting.Name_];
  const bool IsList = Setting.Kind_ == ValueKind::AddressList;
  std::vector<HostPort> Addresses;
  // A repeated list flag adds to the list.
  if (IsList)
    Addresses = std::get<std::vector<HostPort>>(Entry.Value_);
  for (const std::string &Part :
       IsList ? splitList(Text) : std::vector<std::string>{Text}) {
    HostPort Parsed;
    if (!parseHostPort(Part, Parsed))
      return refuse(Setting.Name_,
                    "'" + Part + "' is not an IPv4 address and port");
    if (Parsed.Port_ < Setting.Min_)
      return refuse(Setting.Name_,
                    "'" + Part + "': port must be in " + rangeOf(Setting));
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
      return refuse(Setting.Name_, "'" + Text +
                                       "' is not a number with one of the "
                                       "units us, ms, s, m, h");
    Number = Parsed.count();
    Value = Parsed;
  } else {
    auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
    if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size())
      return refuse(Setting.Name_, "'" + Text + "' is not a whole number");
    Value = Number;
  }
  if (Number < Setting.Min_ || Number > Setting.Max_)
    return refuse(Setting.Name_,
                  "'" + Text + "' is not in " + rangeOf(Setting));
  Result_.Entries_[Setting.Name_].Value_ = std::move(Value);
  return absl::OkStatus();
}

absl::Status SettingsParser::checkRequired() const {
  for (const SettingDescription &Setting : Spec_.Settings_) {
    if (Result_.has(Setting.Name_))
      continue;
    const auto &When = Setting.RequiredWhen_;
    if (Setting.Required_)
      return refuse(Setting.Name_, "is required");
    if (!When.first.empty() && Result_.text(When.first) == When.second)
      return refuse(Setting.Name_,
                    "is required with " + When.first + "=" + When.second);
  }
  return absl::OkStatus();
}

absl::Status SettingsParser::checkShorter() const {
  for (const auto &Pair : Spec_.Shorter_)
    if (Result_.duration(Pair.first) >= Result_.duration(Pair.second))
      return refuse(Pair.first, "must be shorter than " + Pair.second);
  return absl::OkStatus();
}

absl::StatusOr<Settings> parse(const SettingsSpec &Spec, int Argc,
                               const char *const *Argv,
                               const Environment &Variables) {
  SettingsParser Parser(Spec);
  auto Status = Parser.readFlags(Argc, Argv);
  if (!Status.ok() || Parser.result().helpAsked())
    return Status.ok() ? absl::StatusOr<Settings>(Parser.result()) : Status;
  Status = Parser.readVariables(Variables);
  if (Status.ok())
    Status = Parser.readDefaults();
  if (Status.ok())
    Status = Parser.checkRequired();
  if (Status.ok())
    Status = Parser.checkShorter();
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
  return Entries_.at(Name).Given_;
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
