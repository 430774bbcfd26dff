#include "commands.h"

#include "nutmegwell/wire/tablejson.h"
#include "output.h"
#include <ostream>

namespace nutmegwell::client {

namespace {

const std::string &tableOf(const Invocation &Call) {
  return Call.Settings_.arguments().front();
}

bool isTable(const std::string &Name) {
  return Name == "routes" || Name == "pools";
}

int printBadTable(const Invocation &Call) {
  return printUsage(Call,
                    "'" + tableOf(Call) + "' is neither routes nor pools");
}

/// Reads the file with a table that the arguments name into \p Text. Returns
/// the exit code when there is no such table or file.
std::optional<int> readTableFile(const Invocation &Call, std::string &Text) {
  if (!isTable(tableOf(Call)))
    return printBadTable(Call);
  auto Read = Call.Context_.ReadFile_(Call.Settings_.arguments()[1]);
  if (!Read.ok())
    return printUsage(Call, std::string(Read.status().message()));
  Text = *std::move(Read);
  return std::nullopt;
}

std::string tablePath(const std::string &Name) { return "/v1/tables/" + Name; }

std::vector<model::ValidationError> formErrors(const std::string &Name,
                                               const std::string &Text) {
  if (Name == "routes") {
    model::RoutesTable Table;
    return wire::parseRoutes(Text, Table);
  }
  model::PoolsTable Table;
  return wire::parsePools(Text, Table);
}

/// Prints an error of a step before the publication, which was not asked for.
int printNotPublished(const Invocation &Call, wire::ApiError Error) {
  Error.Outcome_ = wire::ApiOutcome::NotRun;
  return printError(Call, Error);
}

int runPublish(const Invocation &Call) {
  const std::string &Name = tableOf(Call);
  std::string Text;
  if (auto Code = readTableFile(Call, Text))
    return *Code;
  auto Errors = formErrors(Name, Text);
  if (!Errors.empty())
    return printError(Call, wire::invalidTable(std::move(Errors)));
  core::Version Expected = 0;
  if (Call.Settings_.has("version")) {
    Expected = static_cast<core::Version>(Call.Settings_.count("version"));
  } else {
    const Reply Shown = callApi(Call, "GET", tablePath(Name));
    if (Shown.Outcome_ != Outcome::Answered)
      return printNotPublished(Call, Shown.Error_);
    auto Version = wire::parseVersion(Shown.Response_.Body_);
    if (!Version.ok())
      return printNotPublished(
          Call,
          wrongAnswer({}, std::string(Version.status().message())).Error_);
    Expected = *Version;
  }
  const Reply Result = callApi(Call, "PUT", tablePath(Name),
                               "version=" + std::to_string(Expected), Text);
  if (Result.Outcome_ != Outcome::Answered) {
    const int Code = printError(Call, Result.Error_);
    if (Result.Error_.Version_ && !jsonAsked(Call))
      Call.Context_.Err_ << "another publication came first; version "
                         << *Result.Error_.Version_ << " is in force, "
                         << Expected << " was expected\n";
    return Code;
  }
  auto Version = wire::parseVersion(Result.Response_.Body_);
  if (!Version.ok())
    return printWrongAnswer(Call, Version.status());
  printAnswer(Call, Result,
              Name + " published, version " + std::to_string(*Version) + "\n");
  return Done;
}

int runShow(const Invocation &Call) {
  if (!isTable(tableOf(Call)))
    return printBadTable(Call);
  const Reply Result = callApi(Call, "GET", tablePath(tableOf(Call)));
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Version = wire::parseVersion(Result.Response_.Body_);
  if (!Version.ok())
    return printWrongAnswer(Call, Version.status());
  Call.Context_.Out_ << Result.Response_.Body_ << '\n';
  return Done;
}

/// What a table is joined with, as an entry host has it in force.
struct InForce {
  model::RoutesTable Routes_;
  model::PoolsTable Pools_;
  model::DomainCapacity Capacity_;
};

/// Reads what the table \p Name is joined with. Returns the error of the first
/// answer that is missing or wrong.
std::optional<wire::ApiError>
readInForce(const Invocation &Call, const std::string &Name, InForce &Value) {
  const std::string Other = Name == "routes" ? "pools" : "routes";
  const Reply Shown = callApi(Call, "GET", tablePath(Other));
  if (Shown.Outcome_ != Outcome::Answered)
    return Shown.Error_;
  const std::string &Text = Shown.Response_.Body_;
  const auto Errors = Other == "pools" ? wire::parsePools(Text, Value.Pools_)
                                       : wire::parseRoutes(Text, Value.Routes_);
  if (!Errors.empty())
    return wrongAnswer({}, formatValidationError(Errors.front())).Error_;
  if (Name == "routes")
    return std::nullopt;
  const Reply Known = callApi(Call, "GET", "/v1/status");
  if (Known.Outcome_ != Outcome::Answered)
    return Known.Error_;
  auto Status = wire::parseStatus(Known.Response_.Body_);
  if (!Status.ok())
    return wrongAnswer({}, std::string(Status.status().message())).Error_;
  Value.Capacity_ = wire::capacityOf(*Status);
  return std::nullopt;
}

int runCheck(const Invocation &Call) {
  const std::string &Name = tableOf(Call);
  std::string Text;
  if (auto Code = readTableFile(Call, Text))
    return *Code;
  const bool Joined = Call.Settings_.has("entry");
  auto Errors = formErrors(Name, Text);
  if (Errors.empty() && Joined) {
    InForce Known;
    if (auto Error = readInForce(Call, Name, Known))
      return printError(Call, *Error);
    if (Name == "routes") {
      wire::parseRoutes(Text, Known.Routes_);
      Errors = model::validateRoutes(Known.Routes_, Known.Pools_);
    } else {
      wire::parsePools(Text, Known.Pools_);
      Errors =
          model::validatePools(Known.Pools_, Known.Routes_, Known.Capacity_);
    }
  }
  if (!Errors.empty())
    return printError(Call, wire::invalidTable(std::move(Errors)));
  Call.Context_.Out_ << (jsonAsked(Call) ? "{\"findings\":[]}"
                         : Joined        ? Name + ": no findings"
                                         : Name + ": no findings of form; give "
                                                  "--entry to check names and "
                                                  "capacity")
                     << '\n';
  return Done;
}

} // namespace

Command publishCommand() {
  auto Builder = commandSettings(
      "tables publish", "Publishes a whole table when it has no findings.");
  Builder.arguments(2, 2, "routes|pools FILE")
      .optionalCount("version", 0, INT64_MAX,
                     "version that you expect to replace; without it, the one "
                     "shown now");
  return {"tables publish", Builder.build(), runPublish};
}

Command showCommand() {
  auto Builder = commandSettings(
      "tables show", "Prints a table in force and its version, in the form "
                     "that publish takes.");
  Builder.arguments(1, 1, "routes|pools");
  return {"tables show", Builder.build(), runShow};
}

Command checkCommand() {
  auto Builder = commandSettings(
      "tables check",
      "Checks a table and publishes nothing. With --entry also against the "
      "other table and the\ncapacity in force.",
      false);
  Builder.arguments(2, 2, "routes|pools FILE");
  return {"tables check", Builder.build(), runCheck};
}

} // namespace nutmegwell::client
