#pragma once

#include "nutmegwell/core/time.h"
#include <cstddef>
#include <cstdint>

namespace nutmegwell::site {

/// Times by which callers are denied whose queue or key the tables lack.
struct DenialPolicy {
  /// Age up to which tables deny a caller. Below the 2 s within which new
  /// tables have to be in force, and above the 0.8 s between two reads of a
  /// host in normal operation.
  core::Duration MaxTablesAge_ = std::chrono::milliseconds(1500);
  /// Longest wait for recent tables. A read that is repeated on another
  /// connection takes less.
  core::Duration MaxWait_ = std::chrono::milliseconds(1000);
  /// Callers that may wait at a time.
  std::size_t MaxWaiting_ = 256;
};

/// A caller whom the tables deny.
struct DenialState {
  /// Time since which the host may have missed newer tables.
  core::Duration TablesAge_{0};
  core::Duration Waited_{0};
  /// How long the caller waits for an answer.
  core::Duration Timeout_{0};
  /// The host can read the store itself or through a peer.
  bool StoreReachable_ = true;
};

enum class DenialDecision : std::uint8_t {
  /// Answer that the queue or the key is unknown.
  Deny,
  /// Keep the request until recent tables decide.
  Wait,
  /// Refuse it as not run, so that the caller can ask another host.
  Refuse
};

/// Decides on a caller whom the tables deny.
///
/// Load pattern: callers use a new queue or key as soon as the operator has
/// published it, while a host has lost the store or gets tables late.
DenialDecision decideDenial(const DenialState &Caller,
                            const DenialPolicy &Policy);

/// Returns how long a denied caller is kept at most.
core::Duration longestWait(const DenialState &Caller,
                           const DenialPolicy &Policy);

} // namespace nutmegwell::site
