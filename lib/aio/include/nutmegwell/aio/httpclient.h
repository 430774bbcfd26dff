#pragma once

#include "nutmegwell/aio/loop.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/net/http.h"
#include <functional>
#include <memory>

namespace nutmegwell::aio {

/// Called on the loop's thread with the complete response, or with an error.
/// The error's step is "connect" when nothing was sent, and "exchange" when the
/// server may have processed the request. Its code is DeadlineExceeded after a
/// timeout, NotFound when no process listens at the address, and Unavailable
/// otherwise.
using ResponseHandler = std::function<void(absl::StatusOr<net::HttpResponse>)>;

/// Called on the loop's thread while bytes of a response arrive.
using ProgressHandler = std::function<void()>;

/// HTTP/1.1 client of one server. Reuses idle connections, and opens more, up
/// to a bound, while all are busy. Never sends a request twice.
class HttpClient {
public:
  /// A connection that was idle for longer than \p MaxIdle is not reused, since
  /// a device on the path, such as a NAT, may have dropped its state.
  HttpClient(Loop &Owner, net::Address Server, std::size_t MaxConnections,
             core::Duration MaxIdle);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  /// Calls in flight still run to completion.
  ~HttpClient();

  /// Sends \p Request. \p Timeout starts now and includes the wait for a
  /// connection. With \p OnProgress, it starts anew whenever bytes of the
  /// response arrive, so that a large response on a slow link is not cut off;
  /// the response then has to be complete within MaxTimeouts times \p Timeout.
  /// \p OnProgress is called at most every ProgressInterval, and not for the
  /// last bytes. Thread-safe.
  void call(net::HttpRequest Request, core::Duration Timeout,
            ResponseHandler Handler, ProgressHandler OnProgress = {});

  static constexpr int MaxTimeouts = 4;
  static constexpr core::Duration ProgressInterval =
      std::chrono::milliseconds(50);

  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
