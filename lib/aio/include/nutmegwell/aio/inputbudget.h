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
  /// Bytes that all requests that have not fully arrived may hold together.
  std::size_t MaxBytes_ = 16 << 20;
  /// Share of MaxBytes_ that the connections of one peer address may hold while
  /// the budget is short. Callers may all come from one load balancer.
  double MaxPeerShare_ = 0.5;
  /// Connections, whatever they hold.
  std::size_t MaxConnections_ = 2048;
  /// Least mean rate at which a request arrives, after RateGrace_.
  std::size_t MinBytesPerSecond_ = 1024;
  core::Duration RateGrace_ = std::chrono::seconds(3);
};

/// Why a connection is closed.
enum class InputRefusal : std::uint8_t { Budget, Rate, Connections };

const char *name(InputRefusal Cause);

/// A connection that the server has to close.
struct InputVictim {
  InputId Id_ = 0;
  InputRefusal Cause_ = InputRefusal::Budget;
};

/// Bytes held by requests that have not fully arrived.
struct InputBudget {
  struct Entry {
    std::string Peer_;
    /// Allocated bytes, and bytes that have arrived.
    std::size_t Held_ = 0;
    std::size_t Received_ = 0;
    /// When the first byte of the request arrived; absent between requests.
    bool Receiving_ = false;
    core::TimePoint Since_{};
  };

  InputLimits Limits_;
  std::map<InputId, Entry> Connections_;
  std::map<std::string, std::size_t> HeldByPeer_;
  std::size_t Held_ = 0;
};

/// Adds a connection from \p Peer. Returns the connections to close, which may
/// include the new one.
std::vector<InputVictim> onConnected(InputBudget &Budget, InputId Id,
                                     const std::string &Peer,
                                     core::TimePoint Now);

/// Records that the request on a connection has received \p Received bytes and
/// holds \p Held allocated bytes. Returns the connections to close: those that
/// hold most for longest when the budget is short, which may include this one.
std::vector<InputVictim> onInput(InputBudget &Budget, InputId Id,
                                 std::size_t Received, std::size_t Held,
                                 core::TimePoint Now);

/// Records that the request on a connection has arrived or was refused, so that
/// it holds nothing of the budget any more.
void onRequestComplete(InputBudget &Budget, InputId Id);

/// Removes a connection.
void onDisconnected(InputBudget &Budget, InputId Id);

/// Returns the connections whose requests arrive too slowly, and sets \p Wake
/// to the time at which the next one may.
std::vector<InputVictim> slowInputs(const InputBudget &Budget,
                                    core::TimePoint Now, core::TimePoint &Wake);

} // namespace nutmegwell::aio
