#pragma once

#include "nutmegwell/aio/loop.h"
#include "nutmegwell/net/http.h"
#include <functional>
#include <memory>

namespace nutmegwell::aio {

/// Bounds of a server; each connection holds a socket and no thread.
struct ServerLimits {
  std::size_t MaxHeader_ = 16384;
  std::size_t MaxBody_ = 262144;
  /// Time for a request to arrive after its first byte.
  core::Duration ReadTimeout_ = std::chrono::seconds(5);
  /// Time for which a connection waits for its next request.
  core::Duration IdleTimeout_ = std::chrono::seconds(15);
  /// Time for the peer to take an answer.
  core::Duration WriteTimeout_ = std::chrono::seconds(10);
  std::size_t MaxConnections_ = 2048;
};

/// Sends the answer of one request; may be called later and from any thread.
using Responder = std::function<void(net::HttpResponse)>;

/// Called on the loop's thread for each request.
using RequestHandler = std::function<void(net::HttpRequest, Responder)>;

/// HTTP/1.1 server on a loop.
class HttpServer {
public:
  /// Throws std::runtime_error when \p Listen cannot be bound.
  HttpServer(Loop &Owner, const net::Address &Listen,
             const ServerLimits &Limits, RequestHandler Handler);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  std::uint16_t port() const;

  /// Ends each connection with its next answer. Call on the loop's thread.
  void drain();

  /// Returns requests whose answer is not written yet. Call on the loop's
  /// thread.
  std::size_t inFlight() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
