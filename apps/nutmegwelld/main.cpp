#include "nutmegwell/daemon/roles.h"
#include "nutmegwell/settings/daemon.h"
#include "nutmegwell/settings/logging.h"
#include "nutmegwell/settings/settings.h"
#include <iostream>

using namespace nutmegwell;

int main(int Argc, char **Argv) {
  const settings::SettingsSpec Spec = settings::daemonSettings();
  auto Values =
      settings::parse(Spec, Argc, Argv, settings::processEnvironment());
  if (auto Code = settings::exitCode(Spec, Values, std::cout, std::cerr))
    return *Code;
  settings::LogFormat Format = settings::LogFormat::Text;
  settings::LogLevel Level = settings::LogLevel::Info;
  settings::parseLogFormat(Values->text("log-format"), Format);
  settings::parseLogLevel(Values->text("log-level"), Level);
  settings::configureLogging(Format, Level);
  daemon::blockStopSignals();
  try {
    return Values->text("role") == "entry" ? daemon::runEntry(*Values)
                                           : daemon::runAgent(*Values);
  } catch (const std::exception &Error) {
    std::cerr << "nutmegwelld: " << Error.what() << "\n";
    return 1;
  }
}
