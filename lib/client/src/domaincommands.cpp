#include "commands.h"

#include <ostream>

namespace nutmegwell::client {

namespace {

/// Returns the version of the domain that the entry host knows, or nothing
/// after printing why; \p Code is then the exit code.
std::optional<core::Version> knownVersion(const Invocation &Call,
                                          const std::string &Name, int &Code) {
  const Reply Result = callApi(Call, "GET", "/v1/status");
  wire::ApiError Error = Result.Error_;
  if (Result.Outcome_ == Outcome::Answered) {
    auto Status = wire::parseStatus(Result.Response_.Body_);
    if (Status.ok()) {
      for (const wire::DomainView &Domain : Status->Domains_)
        if (Domain.Name_ == Name)
          return Domain.Version_;
      Error.Code_ = "unknown_domain";
      Error.Message_ = "no failure domain " + Name + " is known";
    } else {
      Error.Code_ = "wrong_answer";
      Error.Message_ = std::string(Status.status().message());
    }
    Error.Step_ = "read version";
  }
  // Whatever became of the reading, the change was not asked for.
  Error.Outcome_ = wire::ApiOutcome::NotRun;
  Code = printError(Call, Error);
  return std::nullopt;
}

int changeDomain(const Invocation &Call, const char *Direction) {
  const std::string &Name = Call.Settings_.arguments().front();
  if (!isPlainName(Name))
    return printUsage(Call, "'" + Name + "' is not the name of a domain");
  int Code = Done;
  std::optional<core::Version> Version;
  if (Call.Settings_.has("version"))
    Version = static_cast<core::Version>(Call.Settings_.count("version"));
  else
    Version = knownVersion(Call, Name, Code);
  if (!Version)
    return Code;
  const Reply Result =
      callApi(Call, "POST", "/v1/domains/" + Name + "/" + Direction,
              "version=" + std::to_string(*Version));
  if (Result.Outcome_ != Outcome::Answered) {
    Code = printError(Call, Result.Error_);
    if (Result.Error_.Version_ && !jsonAsked(Call))
      Call.Context_.Err_ << "another change came first; version "
                         << *Result.Error_.Version_ << " is in force\n";
    return Code;
  }
  auto Domain = wire::parseDomainChange(Result.Response_.Body_);
  if (!Domain.ok())
    return printWrongAnswer(Call, Domain.status());
  printAnswer(Call, Result,
              "domain " + Domain->Name_ + " is " +
                  (Domain->InService_ ? "in" : "out of") +
                  " service, version " + std::to_string(Domain->Version_) +
                  "\n");
  return Done;
}

int runOut(const Invocation &Call) { return changeDomain(Call, "out"); }
int runIn(const Invocation &Call) { return changeDomain(Call, "in"); }

settings::SettingsSpec specOf(const std::string &Name,
                              const std::string &Purpose) {
  auto Builder = commandSettings(Name, Purpose);
  Builder.arguments(1, 1, "DOMAIN")
      .optionalCount("version", 0, INT64_MAX,
                     "version of the domain that you expect; without it, the "
                     "one shown now");
  return Builder.build();
}

} // namespace

Command domainOutCommand() {
  return {"domain out",
          specOf("domain out", "Takes a failure domain out of service: within "
                               "3 s no task starts there."),
          runOut};
}

Command domainInCommand() {
  return {"domain in",
          specOf("domain in", "Brings a failure domain back into service."),
          runIn};
}

} // namespace nutmegwell::client
