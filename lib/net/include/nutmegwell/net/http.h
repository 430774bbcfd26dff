#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/net/address.h"
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::net {

struct HttpRequest {
  std::string Method_ = "GET";
  /// Decoded path without the query.
  std::string Path_;
  /// Query as sent, not decoded.
  std::string Query_;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;

  /// Returns the header \p Name, compared without case, or an empty string.
  std::string header(const std::string &Name) const;

  /// Returns the decoded query parameter \p Name, or an empty string.
  std::string parameter(const std::string &Name) const;
};

struct HttpResponse {
  unsigned Status_ = 200;
  std::string ContentType_ = "application/json";
  std::string Body_;
  /// Headers other than Content-Type.
  std::vector<std::pair<std::string, std::string>> Headers_ = {};

  /// Returns the header \p Name, compared without case, or an empty string.
  std::string header(const std::string &Name) const;
};

/// Limits of an HTTP server.
struct HttpLimits {
  std::size_t MaxBody_ = 1 << 20;
  /// Maximum number of body bytes of all requests that are being received or
  /// handled. While they are exceeded, requests with more than SmallBody_ bytes
  /// are refused with 503 as not run.
  std::size_t MaxBodies_ = 64 << 20;
  std::size_t SmallBody_ = 4096;
  /// Maximum number of requests handled concurrently; each uses a thread.
  unsigned MaxThreads_ = 256;
  /// Timeout for receiving a request.
  core::Duration ReadTimeout_ = std::chrono::seconds(10);
  core::Duration KeepAlive_ = std::chrono::seconds(30);
};

/// Called on a traffic thread for each request.
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// HTTP server based on cxxtools, with its own event loop thread.
class HttpServer {
public:
  HttpServer(const Address &Listen, const HttpLimits &Limits,
             HttpHandler Handler);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// Waits until no request has begun for \p IdlePeriod, for \p Timeout at
  /// most. While a stopping host refuses requests, load balancers learn to use
  /// other hosts; a connection made just as the server closes would be lost.
  void waitUntilIdle(core::Duration IdlePeriod, core::Duration Timeout);

  /// Waits until every request in progress is answered, then closes the server.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Client of one server. Each call opens a new connection, so that no request
/// is sent twice.
class HttpClient {
public:
  explicit HttpClient(const Address &Server);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// Sends a request and returns the whole response. An error has the step
  /// "connect" if nothing was sent, and the step "exchange" if the server may
  /// have processed the request. Returns InvalidArgument, with the step
  /// "connect", for a request with characters that are not allowed in HTTP.
  absl::StatusOr<HttpResponse> call(const HttpRequest &Request,
                                    core::Duration Timeout);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::net
