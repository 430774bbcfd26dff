#include "nutmegwell/client/exchange.h"

namespace nutmegwell::client {

namespace {

constexpr unsigned FirstErrorStatus = 400;
constexpr unsigned ServiceUnavailable = 503;

ExchangeResult errorResult(Outcome Kind, const std::string &Code,
                           const absl::Status &Status) {
  ExchangeResult Result;
  Result.Outcome_ = Kind;
  Result.Error_.Code_ = Code;
  Result.Error_.Outcome_ = Kind == Outcome::Refused ? wire::ApiOutcome::NotRun
                                                    : wire::ApiOutcome::Unknown;
  Result.Error_.Step_ = core::stepOf(Status);
  Result.Error_.Peer_ = core::peerOf(Status);
  Result.Error_.Message_ = std::string(Status.message());
  return Result;
}

ExchangeResult classifyResponse(const net::Address &Entry,
                                const net::HttpResponse &Response,
                                ErrorSource Source) {
  ExchangeResult Result;
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
  if (Source == ErrorSource::EntryHostOrUpstream)
    return Result;
  return malformedResponse(Entry,
                           "status " + std::to_string(Response.Status_) +
                               " with a body that is not a JSON error of the "
                               "entry host API");
}

ExchangeResult sendToEntry(const Transport &Transport,
                           const net::Address &Entry,
                           const net::HttpRequest &Request, ErrorSource Source,
                           core::Duration Timeout) {
  auto Response = Transport.Call_(Entry, Request, Timeout);
  if (Response.ok())
    return classifyResponse(Entry, *Response, Source);
  if (core::stepOf(Response.status()) == "connect")
    return errorResult(Outcome::Refused, "unreachable", Response.status());
  return errorResult(Outcome::Unknown, "no_answer", Response.status());
}

/// Returns true if the request was not run and another entry host may accept
/// it. Returns false for an overloaded entry host, because retries elsewhere
/// would spread the overload to all entry hosts.
bool shouldTryNextEntry(const ExchangeResult &Last) {
  if (Last.Outcome_ != Outcome::Refused)
    return false;
  return Last.Error_.Code_ == "unreachable" ||
         (Last.Response_.Status_ == ServiceUnavailable &&
          Last.Error_.Code_ != "overloaded");
}

} // namespace

ExchangeResult malformedResponse(const net::Address &Entry,
                                 const std::string &Message) {
  return errorResult(Outcome::Unknown, "wrong_answer",
                     core::makeError(absl::StatusCode::kInternal, "read answer",
                                     net::toString(Entry), Message));
}

ExchangeResult exchange(const Transport &Transport,
                        const std::vector<net::Address> &Entries,
                        const net::HttpRequest &Request, ErrorSource Source,
                        core::Duration Timeout) {
  ExchangeResult Last = errorResult(
      Outcome::Refused, "no_entry",
      core::makeError(absl::StatusCode::kInvalidArgument, "connect", "",
                      "no entry host is given; set --entry or "
                      "NUTMEGWELL_ENTRY"));
  for (const net::Address &Entry : Entries) {
    Last = sendToEntry(Transport, Entry, Request, Source, Timeout);
    if (!shouldTryNextEntry(Last))
      break;
  }
  return Last;
}

} // namespace nutmegwell::client
