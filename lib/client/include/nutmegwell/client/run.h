#pragma once

#include "nutmegwell/client/transport.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/settings/settings.h"
#include <functional>
#include <iosfwd>
#include <string>

namespace nutmegwell::client {

/// Exit codes of the program.
enum ExitCode : int {
  /// Done, or the whole answer has arrived.
  Done = 0,
  /// Refused and not run.
  RefusedNotRun = 1,
  /// Wrong command line, or a file that cannot be read.
  Usage = 2,
  /// The outcome is unknown.
  OutcomeUnknown = 3,
  /// The job was waited for and has not finished, or it failed or was
  /// cancelled.
  JobNotFinished = 4
};

/// What a command needs from outside.
struct Context {
  Transport Transport_;
  core::Clock Clock_;
  settings::Environment Variables_;
  /// Returns the content of a file, or of standard input for "-".
  std::function<absl::StatusOr<std::string>(const std::string &)> ReadFile_;
  std::ostream &Out_;
  std::ostream &Err_;
};

/// Runs the command line and returns its exit code.
int run(int Argc, const char *const *Argv, const Context &Context);

} // namespace nutmegwell::client
