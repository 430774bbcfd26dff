#include "nutmegwell/net/http.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>

namespace nutmegwell::net {

struct HttpClient::Impl {
  explicit Impl(const Address &Server)
      : Server_(Server), Client_(Server.Ip_, Server.Port_) {}

  const Address Server_;
  cxxtools::http::Client Client_;
  bool Connected_ = false;
};

HttpClient::HttpClient(const Address &Server)
    : Impl_(std::make_unique<Impl>(Server)) {}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &Request,
                                              core::Duration Timeout) {
  const std::string Peer = toString(Impl_->Server_);
  try {
    if (!Impl_->Connected_)
      Impl_->Client_.connect();
    Impl_->Connected_ = true;
  } catch (const std::exception &Error) {
    return core::makeError(absl::StatusCode::kUnavailable, "connect", Peer,
                           Error.what());
  }
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
    Impl_->Client_.execute(Out, Limit);
    Impl_->Client_.readBody();
    const auto &Header = Impl_->Client_.header();
    HttpResponse Response;
    Response.Status_ = Header.httpReturnCode();
    const char *ContentType = Header.getHeader("Content-Type");
    Response.ContentType_ = ContentType ? ContentType : "";
    Response.Body_ = Impl_->Client_.body();
    return Response;
  } catch (const cxxtools::IOTimeout &) {
    Impl_->Client_.close();
    Impl_->Connected_ = false;
    return core::makeError(absl::StatusCode::kDeadlineExceeded, "exchange",
                           Peer, "no answer in time");
  } catch (const std::exception &Error) {
    Impl_->Client_.close();
    Impl_->Connected_ = false;
    return core::makeError(absl::StatusCode::kUnavailable, "exchange", Peer,
                           Error.what());
  }
}

} // namespace nutmegwell::net
