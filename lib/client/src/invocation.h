#pragma once

#include "nutmegwell/client/exchange.h"
#include "nutmegwell/client/run.h"
#include "nutmegwell/settings/settings.h"
#include <string>
#include <vector>

namespace nutmegwell::client {

/// One execution of a command: its validated settings and its dependencies.
struct Invocation {
  const settings::Settings &Settings_;
  const Context &Context_;
};

/// Returns a builder with the settings that all commands share.
/// \p EntryRequired is false for commands that can run without an entry host.
settings::SettingsSpecBuilder commandSettings(const std::string &Name,
                                              const std::string &Purpose,
                                              bool EntryRequired = true);

std::vector<net::Address> entries(const Invocation &Call);
bool isJsonRequested(const Invocation &Call);

/// Sends an API request to the entry hosts. Uses the setting "timeout" if
/// \p Timeout is zero.
ExchangeResult callApi(const Invocation &Call, const std::string &Method,
                       const std::string &Path, const std::string &Query = "",
                       const std::string &Body = "",
                       core::Duration Timeout = core::Duration());

/// Prints \p Error and returns the exit code for its outcome.
int printError(const Invocation &Call, const wire::ApiError &Error);

/// Prints that a response could not be parsed, for the reason in \p Status, and
/// returns the exit code.
int printMalformedResponse(const Invocation &Call, const absl::Status &Status);

/// Prints why the command line is invalid and returns the exit code.
int printUsageError(const Invocation &Call, const std::string &Message);

/// Prints the unmodified response body if --json was given, otherwise \p Text.
void printResponse(const Invocation &Call, const ExchangeResult &Result,
                   const std::string &Text);

/// Returns true if \p Text is not empty and has only letters, digits, '-', '_'
/// and '.', so that it needs no escaping in a URL path.
bool isValidPathSegment(const std::string &Text);

} // namespace nutmegwell::client
