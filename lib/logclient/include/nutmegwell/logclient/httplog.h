#pragma once

#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/net/address.h"
#include "nutmegwell/net/http.h"

namespace nutmegwell::logclient {

struct HttpLogSettings {
  net::Address Server_;
  std::string Stream_ = "control";
  /// Time for one exchange; a read gets its waiting time on top.
  core::Duration Timeout_ = std::chrono::seconds(2);
};

/// Returns the platform's log over HTTP. Appends and reads use one kept
/// connection each, so that a long poll delays no append.
LogService httpLogService(const HttpLogSettings &Settings);

/// Parses the answer to a read from \p From of at most \p Max entries.
absl::StatusOr<ReadResult> parseReadAnswer(const net::HttpResponse &Answer,
                                           core::Offset From, std::size_t Max,
                                           const std::string &Peer);

} // namespace nutmegwell::logclient
