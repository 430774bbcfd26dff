#pragma once

#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/net/address.h"
#include "nutmegwell/net/http.h"

namespace nutmegwell::logclient {

struct HttpLogSettings {
  net::Address Server_;
  std::string Stream_ = "control";
  /// Timeout of one request; that of a read is longer by its long-poll wait.
  core::Duration Timeout_ = std::chrono::seconds(2);
};

/// Returns a client of the platform's log over HTTP. Appends and reads have
/// separate HTTP clients, so that a long poll does not delay an append.
LogService httpLogService(const HttpLogSettings &Settings);

/// Parses the response to a read of at most \p Max entries from offset \p From.
absl::StatusOr<ReadResult> parseReadResponse(const net::HttpResponse &Response,
                                             core::Offset From, std::size_t Max,
                                             const std::string &Peer);

} // namespace nutmegwell::logclient
