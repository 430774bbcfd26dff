#pragma once

#include "nutmegwell/client/transport.h"
#include "nutmegwell/wire/apijson.h"
#include <cstdint>
#include <vector>

namespace nutmegwell::client {

/// Outcome of a request, as docs/callers.md defines it.
enum class Outcome : std::uint8_t {
  /// The complete response was received.
  Answered,
  /// The request was definitely not run.
  Refused,
  /// The request may or may not have been run.
  Unknown
};

/// Which components may have produced a response with a status of 400 or more.
enum class ErrorSource : std::uint8_t {
  /// Only the entry host. A body that is not an API error is malformed.
  EntryHost,
  /// The entry host when the body is an API error, otherwise an upstream, whose
  /// response is returned unchanged.
  EntryHostOrUpstream
};

/// Result of sending a request to one or more entry hosts.
struct ExchangeResult {
  Outcome Outcome_ = Outcome::Unknown;
  /// Valid when Outcome_ is Answered.
  net::HttpResponse Response_;
  /// Valid when Outcome_ is Refused or Unknown.
  wire::ApiError Error_;
};

/// Sends \p Request to \p Entries in order until one accepts it. Tries the next
/// entry host only if the request was definitely not run: either the connection
/// failed before anything was sent, or the entry host refused the request for a
/// reason that may not apply to another entry host. \p Timeout applies to each
/// entry host.
ExchangeResult exchange(const Transport &Transport,
                        const std::vector<net::Address> &Entries,
                        const net::HttpRequest &Request, ErrorSource Source,
                        core::Duration Timeout);

/// Returns the result for a response of \p Entry that could not be parsed: the
/// outcome Unknown with the error code "wrong_answer".
ExchangeResult malformedResponse(const net::Address &Entry,
                                 const std::string &Message);

} // namespace nutmegwell::client
