#pragma once

#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/net/address.h"
#include "nutmegwell/net/http.h"
#include <functional>

namespace nutmegwell::client {

/// How commands reach an entry host; a test fills it with its own.
struct Transport {
  /// Sends a request and returns the whole answer. Fails with the step
  /// "connect" only when nothing was sent.
  std::function<absl::StatusOr<net::HttpResponse>(
      const net::Address &, const net::HttpRequest &, core::Duration Timeout)>
      Call_;
};

/// Returns a transport that opens one connection for each call.
Transport httpTransport();

} // namespace nutmegwell::client
