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
  /// Path without the query and without escapes.
  std::string Path_;
  /// Query as sent, with escapes.
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
  /// Further headers.
  std::vector<std::pair<std::string, std::string>> Headers_ = {};

  /// Returns the header \p Name, compared without case, or an empty string.
  std::string header(const std::string &Name) const;
};

/// Bounds of a server.
struct HttpLimits {
  std::size_t MaxBody_ = 1 << 20;
  /// Requests handled at one time; each holds a thread.
  unsigned MaxThreads_ = 256;
  /// Time for a sender to deliver a request.
  core::Duration ReadTimeout_ = std::chrono::seconds(10);
  core::Duration KeepAlive_ = std::chrono::seconds(30);
};

/// Called on a traffic thread for each request.
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// HTTP server over cxxtools with its own event loop thread.
class HttpServer {
public:
  HttpServer(const Address &Listen, const HttpLimits &Limits,
             HttpHandler Handler);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// Waits until no request has begun for \p Quiet, at most \p Limit, so that
  /// callers notice from refusals that they should go elsewhere. A connection
  /// that is made while the server closes would be lost.
  void waitQuiet(core::Duration Quiet, core::Duration Limit);

  /// Waits until every request being handled is answered, then closes.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Calls one server over a new connection each time, so that no request is sent
/// twice.
class HttpClient {
public:
  explicit HttpClient(const Address &Server);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// Sends a request and returns the whole answer. Fails with the step
  /// "connect" when nothing was sent (InvalidArgument for a request that HTTP
  /// cannot carry), and with the step "exchange" when the
  /// server may have acted on the request.
  absl::StatusOr<HttpResponse> call(const HttpRequest &Request,
                                    core::Duration Timeout);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::net
