#pragma once

#include "nutmegwell/aio/inputguard.h"
#include "nutmegwell/aio/loop.h"
#include "nutmegwell/net/http.h"
#include <functional>
#include <memory>

namespace nutmegwell::aio {

/// Limits of a server. A connection uses a socket, but no thread.
struct ServerLimits {
  /// Bytes of a request other than its body: header, chunk headers with their
  /// extensions, and trailers.
  std::size_t MaxHeader_ = 16384;
  std::size_t MaxBody_ = 262144;
  /// Time for a request to arrive after its first byte.
  core::Duration ReadTimeout_ = std::chrono::seconds(5);
  /// Maximum time that a connection stays idle between requests.
  core::Duration IdleTimeout_ = std::chrono::seconds(15);
  /// Time for the peer to receive a response.
  core::Duration WriteTimeout_ = std::chrono::seconds(10);
  /// Used by a server without a guard of the process.
  std::size_t MaxConnections_ = 2048;
};

/// Sends the response to one request. May be called after the handler has
/// returned, and from any thread.
using Responder = std::function<void(net::HttpResponse)>;

/// Called on the loop's thread for each request.
using RequestHandler = std::function<void(net::HttpRequest, Responder)>;

/// HTTP/1.1 server whose connections are all served on the loop's thread.
class HttpServer {
public:
  /// \p Guard limits the servers that share it together; without one, the
  /// server has limits of its own. Throws std::runtime_error when \p Listen
  /// cannot be bound.
  HttpServer(Loop &Owner, const net::Address &Listen,
             const ServerLimits &Limits, RequestHandler Handler,
             std::shared_ptr<InputGuard> Guard = nullptr);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  std::uint16_t port() const;

  /// Closes each connection after its next response. Call on the loop's thread.
  void drain();

  /// Returns the number of requests whose response is not fully written. Call
  /// on the loop's thread.
  std::size_t inFlight() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
