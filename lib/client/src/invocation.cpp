#include "invocation.h"

#include "output.h"
#include <algorithm>
#include <ostream>

namespace nutmegwell::client {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Default of --timeout, documented in docs/callers.md. Longer than the 20 s
/// for which the wait command lets an entry host hold one request.
constexpr seconds DefaultTimeout(30);

} // namespace

settings::SettingsSpecBuilder commandSettings(const std::string &Name,
                                              const std::string &Purpose,
                                              bool EntryRequired) {
  settings::SettingsSpecBuilder Builder("nutmegwell " + Name, Purpose);
  Builder.addressList("entry", "entry hosts in the order in which they are "
                               "tried; may be given several times");
  if (EntryRequired)
    Builder.required();
  Builder.flag("json", "print JSON instead of text")
      .duration("timeout", DefaultTimeout, milliseconds(100), hours(24),
                "timeout for the response of one entry host");
  return Builder;
}

std::vector<net::Address> entries(const Invocation &Call) {
  std::vector<net::Address> Entries;
  for (const settings::HostPort &Entry : Call.Settings_.addresses("entry"))
    Entries.push_back({Entry.Ip_, Entry.Port_});
  return Entries;
}

bool isJsonRequested(const Invocation &Call) {
  return Call.Settings_.flag("json");
}

ExchangeResult callApi(const Invocation &Call, const std::string &Method,
                       const std::string &Path, const std::string &Query,
                       const std::string &Body, core::Duration Timeout) {
  net::HttpRequest Request;
  Request.Method_ = Method;
  Request.Path_ = Path;
  Request.Query_ = Query;
  Request.Body_ = Body;
  if (!Body.empty())
    Request.Headers_ = {{"Content-Type", "application/json"}};
  return exchange(
      Call.Context_.Transport_, entries(Call), Request, ErrorSource::EntryHost,
      Timeout == core::Duration() ? Call.Settings_.duration("timeout")
                                  : Timeout);
}

int printError(const Invocation &Call, const wire::ApiError &Error) {
  const bool NotRun = Error.Outcome_ == wire::ApiOutcome::NotRun;
  if (isJsonRequested(Call)) {
    Call.Context_.Out_ << wire::formatError(Error) << '\n';
  } else {
    for (const model::ValidationError &Each : Error.ValidationErrors_)
      Call.Context_.Out_ << formatValidationError(Each);
    std::ostream &Err = Call.Context_.Err_;
    Err << (NotRun ? "refused, not run: " : "outcome unknown: ") << Error.Code_
        << ": " << Error.Message_;
    if (!Error.Step_.empty())
      Err << " (step " << Error.Step_
          << (Error.Peer_.empty() ? "" : ", peer " + Error.Peer_) << ')';
    Err << '\n';
  }
  return NotRun ? RefusedNotRun : OutcomeUnknown;
}

int printMalformedResponse(const Invocation &Call, const absl::Status &Status) {
  wire::ApiError Error;
  Error.Code_ = "wrong_answer";
  Error.Outcome_ = wire::ApiOutcome::Unknown;
  Error.Step_ = core::stepOf(Status);
  Error.Message_ = std::string(Status.message());
  return printError(Call, Error);
}

int printUsageError(const Invocation &Call, const std::string &Message) {
  Call.Context_.Err_ << "nutmegwell: " << Message << '\n';
  return UsageError;
}

void printResponse(const Invocation &Call, const ExchangeResult &Result,
                   const std::string &Text) {
  if (isJsonRequested(Call))
    Call.Context_.Out_ << Result.Response_.Body_ << '\n';
  else
    Call.Context_.Out_ << Text;
}

bool isValidPathSegment(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

} // namespace nutmegwell::client
