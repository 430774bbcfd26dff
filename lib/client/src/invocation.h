#pragma once

#include "nutmegwell/client/exchange.h"
#include "nutmegwell/client/run.h"
#include "nutmegwell/settings/settings.h"
#include <string>
#include <vector>

namespace nutmegwell::client {

/// A command with its checked settings.
struct Invocation {
  const settings::Settings &Settings_;
  const Context &Context_;
};

/// Returns a builder with the settings that every command has. \p Entry is
/// false for commands that can do without an entry host.
settings::SettingsSpecBuilder commandSettings(const std::string &Name,
                                              const std::string &Purpose,
                                              bool EntryRequired = true);

std::vector<net::Address> entries(const Invocation &Call);
bool jsonAsked(const Invocation &Call);

/// Calls the API of an entry host. Uses the setting "timeout" when \p Timeout
/// is zero.
Reply callApi(const Invocation &Call, const std::string &Method,
              const std::string &Path, const std::string &Query = "",
              const std::string &Body = "",
              core::Duration Timeout = core::Duration());

/// Prints an error and returns the exit code for its outcome.
int printError(const Invocation &Call, const wire::ApiError &Error);

/// Prints the answer of \p Reply that could not be read as \p What.
int printWrongAnswer(const Invocation &Call, const absl::Status &Status);

/// Prints why the command line is wrong.
int printUsage(const Invocation &Call, const std::string &Message);

/// Prints the body as it is when JSON is asked for, otherwise \p Text.
void printAnswer(const Invocation &Call, const Reply &Reply,
                 const std::string &Text);

/// Returns true for names that can stand in a path: letters, digits, '-', '_'
/// and '.'.
bool isPlainName(const std::string &Text);

} // namespace nutmegwell::client
