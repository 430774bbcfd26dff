#include "commands.h"

#include <algorithm>
#include <ostream>

namespace nutmegwell::client {

namespace {

constexpr unsigned FirstErrorStatus = 400;

/// Returns false for text that would end a header or the request line.
bool isOneLine(const std::string &Text) {
  return std::none_of(Text.begin(), Text.end(),
                      [](unsigned char C) { return C < ' ' || C == 0x7F; });
}

int runRequest(const Invocation &Call) {
  const settings::Settings &Settings = Call.Settings_;
  const std::string &Target = Settings.arguments().front();
  if (Target.empty() || Target.front() != '/' || !isOneLine(Target) ||
      Target.find(' ') != std::string::npos)
    return printUsage(Call, "PATH must begin with '/' and hold no blanks");
  const std::size_t Mark = Target.find('?');
  net::HttpRequest Request;
  Request.Method_ = Settings.text("method");
  Request.Path_ = Target.substr(0, Mark);
  if (Mark != std::string::npos)
    Request.Query_ = Target.substr(Mark + 1);
  Request.Headers_ = {{"X-Client-Account", Settings.text("account")}};
  if (Settings.has("key"))
    Request.Headers_.emplace_back("Idempotency-Key", Settings.text("key"));
  for (const auto &Header : Request.Headers_)
    if (!isOneLine(Header.second))
      return printUsage(Call, Header.first + " must be one line");
  if (Settings.has("body")) {
    auto Body = Call.Context_.ReadFile_(Settings.text("body"));
    if (!Body.ok())
      return printUsage(Call, "body: " + std::string(Body.status().message()));
    Request.Body_ = *std::move(Body);
  }
  const Reply Result =
      exchange(Call.Context_.Transport_, entries(Call), Request,
               ErrorBody::WhenRecognised, Settings.duration("timeout"));
  if (Result.Outcome_ != Outcome::Answered) {
    const int Code = printError(Call, Result.Error_);
    if (Code == OutcomeUnknown && Settings.has("key"))
      Call.Context_.Err_ << "repeat the request with the same key to learn its "
                            "outcome\n";
    return Code;
  }
  if (Result.Response_.Status_ >= FirstErrorStatus)
    Call.Context_.Err_ << "the upstream answered with status "
                       << Result.Response_.Status_ << '\n';
  Call.Context_.Out_ << Result.Response_.Body_;
  return Done;
}

} // namespace

Command requestCommand() {
  auto Builder = commandSettings(
      "request", "Sends one request to a service and prints the answer's body "
                 "as it is.");
  Builder.arguments(1, 1, "PATH")
      .text("account", "", "client account that the request counts for")
      .required()
      .choice("method", {"GET", "POST", "PUT", "DELETE", "PATCH"}, "GET",
              "HTTP method")
      .text("key", "",
            "key of a request that must run at most once; repeat it with the "
            "same key")
      .text("body", "", "file with the request's body, '-' for standard input");
  return {"request", Builder.build(), runRequest};
}

} // namespace nutmegwell::client
