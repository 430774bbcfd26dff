#include "commands.h"

#include <algorithm>
#include <ostream>

namespace nutmegwell::client {

namespace {

constexpr unsigned FirstErrorStatus = 400;

/// Returns false for text with control characters. A line break in a value
/// would inject a header or end the request line.
bool hasNoControlCharacters(const std::string &Text) {
  return std::none_of(Text.begin(), Text.end(),
                      [](unsigned char C) { return C < ' ' || C == 0x7F; });
}

int runRequest(const Invocation &Call) {
  const settings::Settings &Settings = Call.Settings_;
  const std::string &Target = Settings.arguments().front();
  if (Target.empty() || Target.front() != '/' ||
      !hasNoControlCharacters(Target) || Target.find(' ') != std::string::npos)
    return printUsageError(Call,
                           "PATH must begin with '/' and contain no spaces or "
                           "control characters");
  const std::size_t QueryStart = Target.find('?');
  net::HttpRequest Request;
  Request.Method_ = Settings.text("method");
  Request.Path_ = Target.substr(0, QueryStart);
  if (QueryStart != std::string::npos)
    Request.Query_ = Target.substr(QueryStart + 1);
  Request.Headers_ = {{"X-Client-Account", Settings.text("account")}};
  if (Settings.has("key"))
    Request.Headers_.emplace_back("Idempotency-Key", Settings.text("key"));
  for (const auto &Header : Request.Headers_)
    if (!hasNoControlCharacters(Header.second))
      return printUsageError(Call, Header.first +
                                       " must not contain control characters");
  if (Settings.has("body")) {
    auto Body = Call.Context_.ReadFile_(Settings.text("body"));
    if (!Body.ok())
      return printUsageError(Call,
                             "body: " + std::string(Body.status().message()));
    Request.Body_ = *std::move(Body);
  }
  const ExchangeResult Result =
      exchange(Call.Context_.Transport_, entries(Call), Request,
               ErrorSource::EntryHostOrUpstream, Settings.duration("timeout"));
  if (Result.Outcome_ != Outcome::Answered) {
    const int Code = printError(Call, Result.Error_);
    if (Code == OutcomeUnknown && Settings.has("key"))
      Call.Context_.Err_ << "repeat the request with the same key to learn its "
                            "outcome; it is run at most once\n";
    return Code;
  }
  if (Result.Response_.Status_ >= FirstErrorStatus)
    Call.Context_.Err_ << "the upstream responded with status "
                       << Result.Response_.Status_ << '\n';
  Call.Context_.Out_ << Result.Response_.Body_;
  return Success;
}

} // namespace

Command requestCommand() {
  auto Builder = commandSettings(
      "request", "Sends one request to a service and prints the response body "
                 "unchanged.");
  Builder.arguments(1, 1, "PATH")
      .text("account", "", "client account to which the request is charged")
      .required()
      .choice("method", {"GET", "POST", "PUT", "DELETE", "PATCH"}, "GET",
              "HTTP method")
      .text("key", "",
            "idempotency key: a request that is repeated with the same key "
            "runs at most once")
      .text("body", "", "file with the request body, '-' for standard input");
  return {"request", Builder.build(), runRequest};
}

} // namespace nutmegwell::client
