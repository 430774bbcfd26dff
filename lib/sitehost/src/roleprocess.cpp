#include "roleprocess.h"

namespace nutmegwell::sitehost {

namespace {

net::HttpResponse refusal(HandlingDecision Decision) {
  constexpr const char *RetryAfterSeconds = "1";
  net::HttpResponse Response;
  Response.Status_ = Decision == HandlingDecision::TooLarge ? 413 : 503;
  if (Decision == HandlingDecision::Later)
    Response.Headers_.emplace_back("Retry-After", RetryAfterSeconds);
  return Response;
}

} // namespace

std::optional<aio::Responder> admitRequest(RoleProcess &Process,
                                           std::size_t Bytes,
                                           const aio::Responder &Respond) {
  const HandlingDecision Decision = beginHandling(Process.Handled_, Bytes);
  if (Decision == HandlingDecision::Handle)
    return [&Process, Bytes, Respond](net::HttpResponse Response) {
      Process.Loop_.post(
          [&Process, Bytes] { endHandling(Process.Handled_, Bytes); });
      Respond(std::move(Response));
    };
  Process.refusalHandler("request")(Decision == HandlingDecision::TooLarge
                                        ? aio::InputRefusal::Body
                                        : aio::InputRefusal::Budget,
                                    "");
  Respond(refusal(Decision));
  return std::nullopt;
}

} // namespace nutmegwell::sitehost
