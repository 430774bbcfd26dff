#pragma once

#include "nutmegwell/aio/loop.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/net/http.h"
#include <functional>
#include <memory>

namespace nutmegwell::aio {

/// Called on the loop's thread with the whole answer, or with an error whose
/// step is "connect" when nothing was sent and "exchange" when the server may
/// have acted on the request.
using ResponseHandler = std::function<void(absl::StatusOr<net::HttpResponse>)>;

/// HTTP/1.1 client of one server. Keeps connections and opens further ones
/// while all are busy; never sends a request twice.
class HttpClient {
public:
  /// \p MaxIdle bounds the time for which a kept connection is used again, so
  /// that one that something between has forgotten is not.
  HttpClient(Loop &Owner, net::Address Server, std::size_t MaxConnections,
             core::Duration MaxIdle);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  /// Calls that are open go on to their end.
  ~HttpClient();

  /// Sends \p Request; the whole call ends within \p Timeout. Safe from any
  /// thread.
  void call(net::HttpRequest Request, core::Duration Timeout,
            ResponseHandler Handler);

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
