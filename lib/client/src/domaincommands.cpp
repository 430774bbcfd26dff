#include "commands.h"

#include <ostream>

namespace nutmegwell::client {

namespace {

/// Returns the current version of the domain \p Name at the entry host. On
/// failure, prints the error, sets \p Code to the exit code and returns
/// nothing.
std::optional<core::Version>
readDomainVersion(const Invocation &Call, const std::string &Name, int &Code) {
  const ExchangeResult Result = callApi(Call, "GET", "/v1/status");
  wire::ApiError Error = Result.Error_;
  if (Result.Outcome_ == Outcome::Answered) {
    auto Status = wire::parseStatus(Result.Response_.Body_);
    if (Status.ok()) {
      for (const wire::DomainView &Domain : Status->Domains_)
        if (Domain.Name_ == Name)
          return Domain.Version_;
      Error.Code_ = "unknown_domain";
      Error.Message_ =
          "failure domain '" + Name + "' is not known to the entry host";
    } else {
      Error.Code_ = "wrong_answer";
      Error.Message_ = std::string(Status.status().message());
    }
    Error.Step_ = "read version";
  }
  // The change was not requested yet, whatever the outcome of the read.
  Error.Outcome_ = wire::ApiOutcome::NotRun;
  Code = printError(Call, Error);
  return std::nullopt;
}

int changeDomain(const Invocation &Call, const char *Action) {
  const std::string &Name = Call.Settings_.arguments().front();
  if (!isValidPathSegment(Name))
    return printUsageError(Call,
                           "'" + Name +
                               "' is not a valid domain name; use letters, "
                               "digits, '-', '_' and '.'");
  int Code = Success;
  std::optional<core::Version> Version;
  if (Call.Settings_.has("version"))
    Version = static_cast<core::Version>(Call.Settings_.count("version"));
  else
    Version = readDomainVersion(Call, Name, Code);
  if (!Version)
    return Code;
  const ExchangeResult Result =
      callApi(Call, "POST", "/v1/domains/" + Name + "/" + Action,
              "version=" + std::to_string(*Version));
  if (Result.Outcome_ != Outcome::Answered) {
    Code = printError(Call, Result.Error_);
    if (Result.Error_.Version_ && !isJsonRequested(Call))
      Call.Context_.Err_ << "version conflict: the domain's current "
                            "version is "
                         << *Result.Error_.Version_ << "\n";
    return Code;
  }
  auto Domain = wire::parseDomainChange(Result.Response_.Body_);
  if (!Domain.ok())
    return printMalformedResponse(Call, Domain.status());
  printResponse(Call, Result,
                "domain " + Domain->Name_ + " is " +
                    (Domain->InService_ ? "in" : "out of") +
                    " service, version " + std::to_string(Domain->Version_) +
                    "\n");
  return Success;
}

int runOut(const Invocation &Call) { return changeDomain(Call, "out"); }
int runIn(const Invocation &Call) { return changeDomain(Call, "in"); }

settings::SettingsSpec domainCommandSpec(const std::string &Name,
                                         const std::string &Purpose) {
  auto Builder = commandSettings(Name, Purpose);
  Builder.arguments(1, 1, "DOMAIN")
      .optionalCount("version", 0, INT64_MAX,
                     "expected current version of the domain; without it, the "
                     "version is read first");
  return Builder.build();
}

} // namespace

Command domainOutCommand() {
  return {"domain out",
          domainCommandSpec("domain out",
                            "Takes a failure domain out of service: after "
                            "at most 3 s no task starts there."),
          runOut};
}

Command domainInCommand() {
  return {"domain in",
          domainCommandSpec("domain in",
                            "Brings a failure domain back into service."),
          runIn};
}

} // namespace nutmegwell::client
