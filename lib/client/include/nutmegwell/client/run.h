#pragma once

#include "nutmegwell/client/transport.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/settings/settings.h"
#include <functional>
#include <iosfwd>
#include <string>

namespace nutmegwell::client {

/// Exit codes of the command-line client.
enum ExitCode : int {
  /// The command succeeded, or the complete response was received.
  Success = 0,
  /// The request was refused and not run.
  RefusedNotRun = 1,
  /// The command line is invalid, or a file cannot be read.
  UsageError = 2,
  /// The request may or may not have been run.
  OutcomeUnknown = 3,
  /// The job failed, was cancelled, or did not finish before the wait ended.
  JobNotFinished = 4
};

/// External dependencies of a command. Tests replace them.
struct Context {
  Transport Transport_;
  core::Clock Clock_;
  settings::Environment Environment_;
  /// Returns the content of the named file; "-" stands for standard input.
  std::function<absl::StatusOr<std::string>(const std::string &)> ReadFile_;
  std::ostream &Out_;
  std::ostream &Err_;
};

/// Runs the command that the arguments name and returns the exit code.
int run(int Argc, const char *const *Argv, const Context &Context);

} // namespace nutmegwell::client
