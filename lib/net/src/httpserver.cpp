#include "nutmegwell/net/http.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <istream>
#include <mutex>
#include <ostream>
#include <strings.h>
#include <thread>

namespace nutmegwell::net {

namespace {

cxxtools::Milliseconds toMilliseconds(core::Duration Value) {
  return cxxtools::Milliseconds(
      std::chrono::duration<double, std::milli>(Value).count());
}

HttpRequest toHttpRequest(const cxxtools::http::Request &Request) {
  HttpRequest Result;
  Result.Method_ = Request.method();
  Result.Path_ = Request.url();
  Result.Query_ = Request.qparams();
  for (const auto &Header : Request.header())
    Result.Headers_.emplace_back(Header.first, Header.second);
  Result.Body_ = Request.bodyStr();
  return Result;
}

class HandlerService;

/// Passes one request to the handler.
class HandlerResponder : public cxxtools::http::Responder {
public:
  explicit HandlerResponder(HandlerService &Owner);
  HandlerResponder(const HandlerResponder &) = delete;
  HandlerResponder &operator=(const HandlerResponder &) = delete;
  ~HandlerResponder() override;
  void beginRequest(cxxtools::net::TcpSocket &Socket, std::istream &In,
                    cxxtools::http::Request &Request) override;
  std::size_t readBody(std::istream &In) override;
  void reply(std::ostream &Out, cxxtools::http::Request &Request,
             cxxtools::http::Reply &Reply) override;

private:
  HandlerService &Owner_;
  cxxtools::http::Request *Request_ = nullptr;
  void store(char C);

  std::size_t BodySize_ = 0;
  std::size_t StoredSize_ = 0;
  bool Refused_ = false;
};

/// Creates a responder per request and records when the last request began.
class HandlerService : public cxxtools::http::Service {
public:
  HandlerService(const HttpLimits &Limits, HttpHandler Handler)
      : Limits_(Limits), Handler_(std::move(Handler)) {}

  /// Waits until no request has begun for \p IdlePeriod, for \p Timeout at
  /// most.
  void waitUntilIdle(core::Duration IdlePeriod, core::Duration Timeout) {
    const auto End = std::chrono::steady_clock::now() + Timeout;
    std::unique_lock<std::mutex> Lock(Mutex_);
    LastRequest_ = std::chrono::steady_clock::now();
    while (true) {
      const auto Until = std::min(LastRequest_ + IdlePeriod, End);
      if (Until <= std::chrono::steady_clock::now())
        return;
      RequestBegun_.wait_until(Lock, Until);
    }
  }

  const HttpLimits Limits_;
  const HttpHandler Handler_;
  /// Body bytes that all responders have stored.
  std::atomic<std::size_t> StoredBytes_{0};

protected:
  cxxtools::http::Responder *
  createResponder(const cxxtools::http::Request &) override {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      LastRequest_ = std::chrono::steady_clock::now();
    }
    return new HandlerResponder(*this);
  }
  void releaseResponder(cxxtools::http::Responder *Released) override {
    delete Released;
  }

private:
  std::mutex Mutex_;
  std::condition_variable RequestBegun_;
  std::chrono::steady_clock::time_point LastRequest_;
};

HandlerResponder::HandlerResponder(HandlerService &Owner)
    : cxxtools::http::Responder(Owner), Owner_(Owner) {}

HandlerResponder::~HandlerResponder() { Owner_.StoredBytes_ -= StoredSize_; }

/// Stores a byte of the body unless a limit is reached. Addresses many large
/// bodies that stop short of their end.
void HandlerResponder::store(char C) {
  const HttpLimits &Limits = Owner_.Limits_;
  if (BodySize_ > Limits.MaxBody_)
    return;
  if (BodySize_ > Limits.SmallBody_ && Owner_.StoredBytes_ >= Limits.MaxBodies_)
    Refused_ = true;
  if (Refused_)
    return;
  Request_->body().put(C);
  ++StoredSize_;
}

void HandlerResponder::beginRequest(cxxtools::net::TcpSocket &Socket,
                                    std::istream &In,
                                    cxxtools::http::Request &Request) {
  cxxtools::http::Responder::beginRequest(Socket, In, Request);
  Request_ = &Request;
  BodySize_ = 0;
}

std::size_t HandlerResponder::readBody(std::istream &In) {
  std::size_t Read = 0;
  const std::size_t StoredBefore = StoredSize_;
  std::streambuf *Buffer = In.rdbuf();
  while (Buffer->in_avail() > 0) {
    char C = static_cast<char>(Buffer->sbumpc());
    ++Read;
    // The rest of a refused body is read and discarded, so that the sender can
    // read the response. The read timeout limits how long that takes.
    ++BodySize_;
    store(C);
  }
  Owner_.StoredBytes_ += StoredSize_ - StoredBefore;
  return Read;
}

void HandlerResponder::reply(std::ostream &Out,
                             cxxtools::http::Request &Request,
                             cxxtools::http::Reply &Reply) {
  HttpResponse Response;
  if (BodySize_ > Owner_.Limits_.MaxBody_) {
    Response.Status_ = 413;
    Response.Body_ = R"({"code":"body_too_large","outcome":"not_run",)"
                     R"("step":"read","peer":"","message":"body too large"})";
  } else if (Refused_) {
    Response.Status_ = 503;
    Response.Body_ = R"({"code":"busy","outcome":"not_run","step":"read",)"
                     R"("peer":"","message":"too many large bodies"})";
  } else {
    Response = Owner_.Handler_(toHttpRequest(Request));
  }
  Reply.httpReturn(Response.Status_, Response.Status_ < 400 ? "OK" : "Error");
  Reply.setHeader("Content-Type", Response.ContentType_.c_str());
  for (const auto &[Name, Value] : Response.Headers_)
    Reply.setHeader(Name.c_str(), Value.c_str());
  Out << Response.Body_;
}

} // namespace

namespace {

std::string
findHeader(const std::vector<std::pair<std::string, std::string>> &Headers,
           const std::string &Name) {
  for (const auto &Header : Headers)
    if (strcasecmp(Header.first.c_str(), Name.c_str()) == 0)
      return Header.second;
  return std::string();
}

} // namespace

std::string HttpRequest::header(const std::string &Name) const {
  return findHeader(Headers_, Name);
}

std::string HttpResponse::header(const std::string &Name) const {
  return findHeader(Headers_, Name);
}

std::string HttpRequest::parameter(const std::string &Name) const {
  cxxtools::QueryParams Parameters(Query_);
  return Parameters.has(Name) ? Parameters.param(Name) : std::string();
}

struct HttpServer::Impl {
  Impl(const Address &Listen, const HttpLimits &Limits, HttpHandler Handler)
      : Service_(Limits, std::move(Handler)),
        Server_(Loop_, Listen.Ip_, Listen.Port_) {
    Server_.minThreads(4);
    Server_.maxThreads(Limits.MaxThreads_);
    Server_.readTimeout(toMilliseconds(Limits.ReadTimeout_));
    Server_.keepAliveTimeout(toMilliseconds(Limits.KeepAlive_));
    Server_.addService(cxxtools::Regex(".*"), Service_);
    Thread_ = std::thread([this] { Loop_.run(); });
  }

  void stop() {
    if (!Thread_.joinable())
      return;
    Service_.waitIdle();
    Loop_.exit();
    Thread_.join();
  }

  cxxtools::EventLoop Loop_;
  HandlerService Service_;
  cxxtools::http::Server Server_;
  std::thread Thread_;
};

HttpServer::HttpServer(const Address &Listen, const HttpLimits &Limits,
                       HttpHandler Handler)
    : Impl_(std::make_unique<Impl>(Listen, Limits, std::move(Handler))) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::waitUntilIdle(core::Duration IdlePeriod,
                               core::Duration Timeout) {
  Impl_->Service_.waitUntilIdle(IdlePeriod, Timeout);
}

void HttpServer::stop() { Impl_->stop(); }

} // namespace nutmegwell::net
