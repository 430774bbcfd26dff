#include "commands.h"

#include "nutmegwell/wire/tablejson.h"
#include "output.h"
#include <ostream>

namespace nutmegwell::client {

namespace {

const std::string &tableName(const Invocation &Call) {
  return Call.Settings_.arguments().front();
}

bool isKnownTable(const std::string &Name) {
  return Name == "routes" || Name == "pools";
}

int printUnknownTable(const Invocation &Call) {
  return printUsageError(Call, "'" + tableName(Call) +
                                   "' is not a table; use routes or pools");
}

/// Reads the table file that the arguments name into \p Text. Returns the exit
/// code if the table is unknown or the file cannot be read.
std::optional<int> readTableFile(const Invocation &Call, std::string &Text) {
  if (!isKnownTable(tableName(Call)))
    return printUnknownTable(Call);
  auto Content = Call.Context_.ReadFile_(Call.Settings_.arguments()[1]);
  if (!Content.ok())
    return printUsageError(Call, std::string(Content.status().message()));
  Text = *std::move(Content);
  return std::nullopt;
}

std::string tablePath(const std::string &Name) { return "/v1/tables/" + Name; }

/// Returns the errors that can be found without the other table or the
/// capacity.
std::vector<model::ValidationError> validateSyntax(const std::string &Name,
                                                   const std::string &Text) {
  if (Name == "routes") {
    model::RoutesTable Table;
    return wire::parseRoutes(Text, Table);
  }
  model::PoolsTable Table;
  return wire::parsePools(Text, Table);
}

/// Prints an error that occurred before the publication was requested.
int printNotPublished(const Invocation &Call, wire::ApiError Error) {
  Error.Outcome_ = wire::ApiOutcome::NotRun;
  return printError(Call, Error);
}

int runPublish(const Invocation &Call) {
  const std::string &Name = tableName(Call);
  std::string Text;
  if (auto Code = readTableFile(Call, Text))
    return *Code;
  auto Errors = validateSyntax(Name, Text);
  if (!Errors.empty())
    return printError(Call, wire::invalidTable(std::move(Errors)));
  core::Version Expected = 0;
  if (Call.Settings_.has("version")) {
    Expected = static_cast<core::Version>(Call.Settings_.count("version"));
  } else {
    const ExchangeResult Current = callApi(Call, "GET", tablePath(Name));
    if (Current.Outcome_ != Outcome::Answered)
      return printNotPublished(Call, Current.Error_);
    auto Version = wire::parseVersion(Current.Response_.Body_);
    if (!Version.ok())
      return printNotPublished(
          Call, malformedResponse({}, std::string(Version.status().message()))
                    .Error_);
    Expected = *Version;
  }
  const ExchangeResult Result =
      callApi(Call, "PUT", tablePath(Name),
              "version=" + std::to_string(Expected), Text);
  if (Result.Outcome_ != Outcome::Answered) {
    const int Code = printError(Call, Result.Error_);
    if (Result.Error_.Version_ && !isJsonRequested(Call))
      Call.Context_.Err_ << "version conflict: version "
                         << *Result.Error_.Version_ << " is current, "
                         << Expected << " was expected\n";
    return Code;
  }
  auto Version = wire::parseVersion(Result.Response_.Body_);
  if (!Version.ok())
    return printMalformedResponse(Call, Version.status());
  printResponse(Call, Result,
                Name + " published, version " + std::to_string(*Version) +
                    "\n");
  return Success;
}

int runShow(const Invocation &Call) {
  if (!isKnownTable(tableName(Call)))
    return printUnknownTable(Call);
  const ExchangeResult Result =
      callApi(Call, "GET", tablePath(tableName(Call)));
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Version = wire::parseVersion(Result.Response_.Body_);
  if (!Version.ok())
    return printMalformedResponse(Call, Version.status());
  Call.Context_.Out_ << Result.Response_.Body_ << '\n';
  return Success;
}

/// Published tables and capacity of an entry host, against which a table is
/// validated.
struct PublishedState {
  model::RoutesTable Routes_;
  model::PoolsTable Pools_;
  model::DomainCapacity Capacity_;
};

/// Reads the published state against which the table \p Name is validated.
/// Returns the error of the first request that failed or whose response is
/// malformed.
std::optional<wire::ApiError> readPublishedState(const Invocation &Call,
                                                 const std::string &Name,
                                                 PublishedState &Value) {
  const std::string Other = Name == "routes" ? "pools" : "routes";
  const ExchangeResult Current = callApi(Call, "GET", tablePath(Other));
  if (Current.Outcome_ != Outcome::Answered)
    return Current.Error_;
  const std::string &Text = Current.Response_.Body_;
  const auto Errors = Other == "pools" ? wire::parsePools(Text, Value.Pools_)
                                       : wire::parseRoutes(Text, Value.Routes_);
  if (!Errors.empty())
    return malformedResponse({}, formatValidationError(Errors.front())).Error_;
  if (Name == "routes")
    return std::nullopt;
  const ExchangeResult StatusResult = callApi(Call, "GET", "/v1/status");
  if (StatusResult.Outcome_ != Outcome::Answered)
    return StatusResult.Error_;
  auto Status = wire::parseStatus(StatusResult.Response_.Body_);
  if (!Status.ok())
    return malformedResponse({}, std::string(Status.status().message())).Error_;
  Value.Capacity_ = wire::capacityOf(*Status);
  return std::nullopt;
}

int runCheck(const Invocation &Call) {
  const std::string &Name = tableName(Call);
  std::string Text;
  if (auto Code = readTableFile(Call, Text))
    return *Code;
  const bool CheckReferences = Call.Settings_.has("entry");
  auto Errors = validateSyntax(Name, Text);
  if (Errors.empty() && CheckReferences) {
    PublishedState Published;
    if (auto Error = readPublishedState(Call, Name, Published))
      return printError(Call, *Error);
    if (Name == "routes") {
      wire::parseRoutes(Text, Published.Routes_);
      Errors = model::validateRoutes(Published.Routes_, Published.Pools_);
    } else {
      wire::parsePools(Text, Published.Pools_);
      Errors = model::validatePools(Published.Pools_, Published.Routes_,
                                    Published.Capacity_);
    }
  }
  if (!Errors.empty())
    return printError(Call, wire::invalidTable(std::move(Errors)));
  Call.Context_.Out_ << (isJsonRequested(Call) ? "{\"findings\":[]}"
                         : CheckReferences
                             ? Name + ": no errors"
                             : Name + ": no errors in the file; give "
                                      "--entry to also check names "
                                      "and capacity")
                     << '\n';
  return Success;
}

} // namespace

Command publishCommand() {
  auto Builder = commandSettings(
      "tables publish", "Publishes a complete table if it has no errors.");
  Builder.arguments(2, 2, "routes|pools FILE")
      .optionalCount("version", 0, INT64_MAX,
                     "expected current version of the table; without it, the "
                     "version is read first");
  return {"tables publish", Builder.build(), runPublish};
}

Command showCommand() {
  auto Builder = commandSettings(
      "tables show", "Prints a published table and its version, in the "
                     "format that publish accepts.");
  Builder.arguments(1, 1, "routes|pools");
  return {"tables show", Builder.build(), runShow};
}

Command checkCommand() {
  auto Builder = commandSettings(
      "tables check",
      "Checks a table without publishing it. With --entry, also checks it "
      "against the other\npublished table and the current capacity.",
      false);
  Builder.arguments(2, 2, "routes|pools FILE");
  return {"tables check", Builder.build(), runCheck};
}

} // namespace nutmegwell::client
