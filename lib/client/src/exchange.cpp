#include "nutmegwell/client/exchange.h"

namespace nutmegwell::client {

namespace {

constexpr unsigned FirstErrorStatus = 400;
constexpr unsigned ServiceUnavailable = 503;

Reply failed(Outcome Value, const std::string &Code,
             const absl::Status &Status) {
  Reply Result;
  Result.Outcome_ = Value;
  Result.Error_.Code_ = Code;
  Result.Error_.Outcome_ = Value == Outcome::Refused
                               ? wire::ApiOutcome::NotRun
                               : wire::ApiOutcome::Unknown;
  Result.Error_.Step_ = core::stepOf(Status);
  Result.Error_.Peer_ = core::peerOf(Status);
  Result.Error_.Message_ = std::string(Status.message());
  return Result;
}

Reply classify(const net::Address &Entry, const net::HttpResponse &Response,
               ErrorBody Body) {
  Reply Result;
  Result.Response_ = Response;
  Result.Outcome_ = Outcome::Answered;
  if (Response.Status_ < FirstErrorStatus)
    return Result;
  auto Error = wire::parseError(Response.Body_);
  if (Error.ok()) {
    Result.Error_ = *std::move(Error);
    Result.Outcome_ = Result.Error_.Outcome_ == wire::ApiOutcome::NotRun
                          ? Outcome::Refused
                          : Outcome::Unknown;
    return Result;
  }
  if (Body == ErrorBody::WhenRecognised)
    return Result;
  return wrongAnswer(Entry, "status " + std::to_string(Response.Status_) +
                                " with a body that is not an error of an "
                                "entry host");
}

Reply callOne(const Transport &Transport, const net::Address &Entry,
              const net::HttpRequest &Request, ErrorBody Body,
              core::Duration Timeout) {
  auto Response = Transport.Call_(Entry, Request, Timeout);
  if (Response.ok())
    return classify(Entry, *Response, Body);
  if (core::stepOf(Response.status()) == "connect")
    return failed(Outcome::Refused, "unreachable", Response.status());
  return failed(Outcome::Unknown, "no_answer", Response.status());
}

/// Returns true when the request was not run and another entry host may take
/// it. An overloaded one is not left for the next, which would spread the load
/// to all.
bool mayTryNext(const Reply &Last) {
  if (Last.Outcome_ != Outcome::Refused)
    return false;
  return Last.Error_.Code_ == "unreachable" ||
         (Last.Response_.Status_ == ServiceUnavailable &&
          Last.Error_.Code_ != "overloaded");
}

} // namespace

Reply wrongAnswer(const net::Address &Entry, const std::string &Message) {
  return failed(Outcome::Unknown, "wrong_answer",
                core::makeError(absl::StatusCode::kInternal, "read answer",
                                net::toString(Entry), Message));
}

Reply exchange(const Transport &Transport,
               const std::vector<net::Address> &Entries,
               const net::HttpRequest &Request, ErrorBody Body,
               core::Duration Timeout) {
  Reply Last = failed(Outcome::Refused, "no_entry",
                      core::makeError(absl::StatusCode::kInvalidArgument,
                                      "connect", "", "no entry host is given"));
  for (const net::Address &Entry : Entries) {
    Last = callOne(Transport, Entry, Request, Body, Timeout);
    if (!mayTryNext(Last))
      break;
  }
  return Last;
}

} // namespace nutmegwell::client
