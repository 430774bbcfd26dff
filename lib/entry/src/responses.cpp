#include "responses.h"

#include "nutmegwell/wire/apijson.h"
#include <map>

namespace nutmegwell::entry {

namespace {

constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;

/// Returns the HTTP status for the code of a refusal.
unsigned refusalStatus(const std::string &Code) {
  static const std::map<std::string, unsigned> Statuses = {
      {"bad_request", 400},     {"key_required", 400},    {"bad_key", 400},
      {"account_missing", 401}, {"account_unknown", 403}, {"no_route", 404},
      {"body_too_large", 413},  {"key_reused", 422},      {"overloaded", 429},
  };
  auto Found = Statuses.find(Code);
  return Found == Statuses.end() ? ServiceUnavailable : Found->second;
}

} // namespace

net::HttpResponse toResponse(const routing::AttemptResult &Result) {
  net::HttpResponse Response;
  if (Result.Outcome_ == routing::Outcome::Answered) {
    Response.Status_ = Result.Answer_.Status_;
    Response.ContentType_ = Result.Answer_.ContentType_;
    Response.Body_ = Result.Answer_.Body_;
    return Response;
  }
  const routing::Failure &Reason = Result.Failure_;
  Response.Status_ = Result.Outcome_ == routing::Outcome::NotRun
                         ? refusalStatus(Reason.Code_)
                         : GatewayTimeout;
  wire::ApiError Error;
  Error.Code_ = Reason.Code_;
  Error.Outcome_ = Result.Outcome_ == routing::Outcome::NotRun
                       ? wire::ApiOutcome::NotRun
                       : wire::ApiOutcome::Unknown;
  Error.Step_ = Reason.Step_;
  Error.Peer_ = Reason.Peer_;
  Error.Message_ = Reason.Message_;
  Response.Body_ = wire::formatError(Error);
  return Response;
}

} // namespace nutmegwell::entry
