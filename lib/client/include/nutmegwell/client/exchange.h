#pragma once

#include "nutmegwell/client/transport.h"
#include "nutmegwell/wire/apijson.h"
#include <cstdint>
#include <vector>

namespace nutmegwell::client {

/// The three outcomes of a request; see docs/callers.md.
enum class Outcome : std::uint8_t {
  /// The whole answer has arrived.
  Answered,
  /// Certainly not run.
  Refused,
  /// May have run.
  Unknown
};

/// What a body with a status of 400 or more means.
enum class ErrorBody : std::uint8_t {
  /// Always an error of the entry host; another body is a wrong answer.
  Always,
  /// An error of the entry host when it has that form, otherwise the answer of
  /// an upstream.
  WhenRecognised
};

struct Reply {
  Outcome Outcome_ = Outcome::Unknown;
  /// Valid when answered.
  net::HttpResponse Response_;
  /// Valid when not answered.
  wire::ApiError Error_;
};

/// Sends \p Request to the first of \p Entries. Goes on to the next one only
/// while the request certainly was not run: nothing was sent, or the entry host
/// refused it for a reason that another one may not have.
Reply exchange(const Transport &Transport,
               const std::vector<net::Address> &Entries,
               const net::HttpRequest &Request, ErrorBody Body,
               core::Duration Timeout);

/// Returns an unknown outcome with the code "wrong_answer".
Reply wrongAnswer(const net::Address &Entry, const std::string &Message);

} // namespace nutmegwell::client
