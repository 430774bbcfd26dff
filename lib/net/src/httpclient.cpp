#include "nutmegwell/net/http.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <string_view>

namespace nutmegwell::net {

namespace {

/// Start of the message of cxxtools when no connection was made. A version with
/// another text makes such failures "exchange", which claims less.
constexpr char ConnectFailure[] = "while trying to connect";

absl::Status toError(const std::exception &Error, const std::string &Peer) {
  const bool Connecting =
      std::string_view(Error.what()).rfind(ConnectFailure, 0) == 0;
  return core::makeError(absl::StatusCode::kUnavailable,
                         Connecting ? "connect" : "exchange", Peer,
                         Error.what());
}

} // namespace

struct HttpClient::Impl {
  explicit Impl(const Address &Server) : Server_(Server) {}

  const Address Server_;
};

HttpClient::HttpClient(const Address &Server)
    : Impl_(std::make_unique<Impl>(Server)) {}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &Request,
                                              core::Duration Timeout) {
  const std::string Peer = toString(Impl_->Server_);
  // A connected cxxtools client sends the request a second time when the
  // server closes without an answer, so each call has a connection of its own.
  cxxtools::http::Client Client(Impl_->Server_.Ip_, Impl_->Server_.Port_);
  // The client sends its own query parameters only with GET.
  cxxtools::http::Request Out(Request.Query_.empty()
                                  ? Request.Path_
                                  : Request.Path_ + "?" + Request.Query_);
  Out.method(Request.Method_);
  for (const auto &Header : Request.Headers_)
    Out.setHeader(Header.first.c_str(), Header.second.c_str());
  Out.body() << Request.Body_;
  try {
    cxxtools::Milliseconds Limit(
        std::chrono::duration<double, std::milli>(Timeout).count());
    Client.execute(Out, Limit);
    Client.readBody();
    const auto &Header = Client.header();
    HttpResponse Response;
    Response.Status_ = Header.httpReturnCode();
    const char *ContentType = Header.getHeader("Content-Type");
    Response.ContentType_ = ContentType ? ContentType : "";
    Response.Body_ = Client.body();
    return Response;
  } catch (const cxxtools::IOTimeout &) {
    return core::makeError(absl::StatusCode::kDeadlineExceeded, "exchange",
                           Peer, "no answer in time");
  } catch (const std::exception &Error) {
    return toError(Error, Peer);
  }
}

} // namespace nutmegwell::net
