#pragma once

#include "nutmegwell/core/time.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegwell::aio {

/// Identifies a connection within a budget; not reused.
using InputId = std::uint64_t;

struct InputLimits {
  /// Bytes that all requests that have not fully arrived and all responses that
  /// have not been sent may hold together.
  std::size_t MaxBytes_ = 16 << 20;
  /// Share of MaxBytes_ that the connections of one peer address may hold while
  /// the budget is short. Callers may all come from one load balancer.
  double MaxPeerShare_ = 0.5;
  /// Connections, whatever they hold.
  std::size_t MaxConnections_ = 2048;
  /// Rate in bytes a second at which a request has to arrive once RateGrace_ is
  /// over.
  std::size_t MinBytesPerSecond_ = 64;
  core::Duration RateGrace_ = std::chrono::seconds(3);
};

/// Why a request was refused or a connection closed.
enum class InputRefusal : std::uint8_t {
  Budget,
  Rate,
  Connections,
  /// The header, with chunk headers, extensions and trailers, is too large.
  Header,
  Body,
  Malformed,
  /// The time to send a request or to read a response is over.
  Time
};

const char *name(InputRefusal Cause);

/// A connection that the server has to close.
struct InputVictim {
  InputId Id_ = 0;
  InputRefusal Cause_ = InputRefusal::Budget;
  std::string Peer_;
};

enum class InputPhase : std::uint8_t {
  /// Between requests.
  Waiting,
  Receiving,
  /// The request has arrived and has no response yet. Such a connection is
  /// never
  /// closed, since its request may run.
  Handling,
  /// The response is being sent.
  Sending
};

/// Bytes held by requests that have not fully arrived and by responses that
/// have not been sent.
struct InputBudget {
  struct Entry {
    std::string Peer_;
    /// Allocated bytes, and bytes of the request that have arrived.
    std::size_t Held_ = 0;
    std::size_t Received_ = 0;
    InputPhase Phase_ = InputPhase::Waiting;
    /// Start of the phase.
    core::TimePoint Since_{};
    /// A response was sent on this connection.
    bool Served_ = false;
  };

  InputLimits Limits_;
  std::map<InputId, Entry> Connections_;
  std::map<std::string, std::size_t> HeldByPeer_;
  std::size_t Held_ = 0;
};

// A connection that a function returns for closing is removed from the budget;
// later calls with its id change nothing.

/// Adds a connection from \p Peer. Returns the connections to close. Addresses
/// clients that open connections without limit: closed first are connections
/// that never had a response, the oldest first, then those that have received
/// or sent for longer than RateGrace_, idle ones, and others by bytes held and
/// age. The new connection is closed only if all others are being handled.
std::vector<InputVictim> onConnected(InputBudget &Budget, InputId Id,
                                     const std::string &Peer,
                                     core::TimePoint Now);

/// Records that the request on a connection has received \p Received bytes and
/// holds \p Held allocated bytes. Returns the connections to close: those that
/// hold most for longest when the budget is short, which may include this one.
/// Addresses many large requests that stop short of their end.
std::vector<InputVictim> onInput(InputBudget &Budget, InputId Id,
                                 std::size_t Received, std::size_t Held,
                                 core::TimePoint Now);

/// Records that the request on a connection has arrived or was refused, so that
/// it holds nothing of the budget any more.
void onRequestComplete(InputBudget &Budget, InputId Id, core::TimePoint Now);

/// Records that a response of \p Held bytes is being sent. Returns the
/// connections to close, as onInput does. Addresses clients that do not read.
std::vector<InputVictim> onResponse(InputBudget &Budget, InputId Id,
                                    std::size_t Held, core::TimePoint Now);

/// Records that the response was sent.
void onResponseSent(InputBudget &Budget, InputId Id, core::TimePoint Now);

/// Removes a connection.
void onDisconnected(InputBudget &Budget, InputId Id);

/// Returns the connections whose requests arrive too slowly, and sets \p Wake
/// to the time at which the next one may, or to the maximum if there is none.
/// Addresses clients that send a byte at a time.
std::vector<InputVictim> slowInputs(InputBudget &Budget, core::TimePoint Now,
                                    core::TimePoint &Wake);

} // namespace nutmegwell::aio
