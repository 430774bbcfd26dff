#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/net/address.h"
#include "nutmegwell/net/http.h"
#include <functional>

namespace nutmegwell::client {

/// Sends requests to entry hosts. Tests replace it with a mock.
struct Transport {
  /// Sends a request and returns the complete response. An error has the step
  /// "connect" only if nothing was sent.
  std::function<absl::StatusOr<net::HttpResponse>(
      const net::Address &, const net::HttpRequest &, core::Duration Timeout)>
      Call_;
};

/// Returns a transport that opens a new HTTP connection for each request.
Transport httpTransport();

} // namespace nutmegwell::client
