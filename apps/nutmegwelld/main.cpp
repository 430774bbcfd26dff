#include "nutmegwell/daemon/roles.h"
#include "nutmegwell/platform/ports.h"
#include "nutmegwell/settings/daemon.h"
#include "nutmegwell/settings/logging.h"
#include "nutmegwell/settings/settings.h"
#include "nutmegwell/sitehost/roles.h"
#include <algorithm>
#include <iostream>

using namespace nutmegwell;

namespace {

void configureLogging(const settings::Settings &Values) {
  settings::LogFormat Format = settings::LogFormat::Text;
  settings::LogLevel Level = settings::LogLevel::Info;
  settings::parseLogFormat(Values.text("log-format"), Format);
  settings::parseLogLevel(Values.text("log-level"), Level);
  settings::configureLogging(Format, Level);
}

/// Parses the command-line flags followed by the flags of the settings file
/// \p Path, if there is one.
absl::StatusOr<settings::Settings>
readSiteSettings(const settings::SettingsSpec &Spec,
                 std::vector<std::string> Arguments,
                 const std::optional<std::string> &Path) {
  if (Path) {
    absl::StatusOr<std::vector<std::string>> Flags = platform::readFlags(*Path);
    if (!Flags.ok())
      return Flags.status();
    Arguments.insert(Arguments.end(), Flags->begin(), Flags->end());
  }
  std::vector<const char *> ArgumentPointers;
  for (const std::string &Argument : Arguments)
    ArgumentPointers.push_back(Argument.c_str());
  return settings::parse(Spec, static_cast<int>(ArgumentPointers.size()),
                         ArgumentPointers.data(),
                         settings::processEnvironment());
}

int runSite(int Argc, char **Argv, const std::optional<std::string> &Path) {
  const settings::SettingsSpec Spec = sitehost::siteSettings();
  const std::vector<std::string> Arguments(Argv, Argv + Argc);
  auto ReadSettings = [&] { return readSiteSettings(Spec, Arguments, Path); };
  auto Values = ReadSettings();
  if (auto Code = settings::exitCode(Spec, Values, std::cout, std::cerr))
    return *Code;
  configureLogging(*Values);
  if (Values->text("role") == "site-entry")
    return sitehost::runEntry(*Values, ReadSettings, [&](aio::Loop &Loop) {
      return platform::entryPorts(Loop, *Values);
    });
  return sitehost::runAgent(*Values, ReadSettings, [&](aio::Loop &Loop) {
    return platform::agentPorts(Loop, *Values);
  });
}

/// Returns true if the flags select a role on the users' platform.
bool selectsSiteRole(int Argc, char **Argv) {
  return std::any_of(Argv, Argv + Argc, [](const char *Argument) {
    return std::string(Argument).rfind("--role=site-", 0) == 0;
  });
}

int runRole(int Argc, char **Argv) {
  const settings::SettingsSpec Spec = settings::daemonSettings();
  auto Values =
      settings::parse(Spec, Argc, Argv, settings::processEnvironment());
  if (auto Code = settings::exitCode(Spec, Values, std::cout, std::cerr))
    return *Code;
  configureLogging(*Values);
  daemon::blockStopSignals();
  return Values->text("role") == "entry" ? daemon::runEntry(*Values)
                                         : daemon::runAgent(*Values);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    // On the users' platform, the environment names a settings file.
    const auto Path = platform::settingsPath(settings::processEnvironment());
    if (Path || selectsSiteRole(Argc, Argv))
      return runSite(Argc, Argv, Path);
    return runRole(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << "nutmegwelld: " << Error.what() << "\n";
    return 1;
  }
}
