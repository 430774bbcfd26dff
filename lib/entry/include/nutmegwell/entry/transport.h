#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/net/frame.h"
#include "nutmegwell/routing/request.h"
#include <functional>
#include <string>

namespace nutmegwell::entry {

/// Sends attempts and queries to agents; tests inject mocks. Both functions
/// return when the attempt has ended, the connection failed or fell silent, or
/// \p Deadline has passed.
struct AttemptTransport {
  /// Sends an attempt to the agent. Returns NotRun only when nothing was sent
  /// or the agent refused the attempt.
  std::function<routing::AttemptResult(const std::string &Address,
                                       const model::RequestFrame &,
                                       core::TimePoint Deadline)>
      SendAttempt_;
  /// Asks the agent for the result of the attempt with a key. Returns NotRun
  /// only when the agent reports that the attempt did not run.
  std::function<routing::AttemptResult(const std::string &Address,
                                       const model::KeyQueryFrame &,
                                       core::TimePoint Deadline)>
      QueryAttempt_;
};

struct TransportSettings {
  net::FrameLimits Frames_;
  core::Duration ConnectTimeout_ = std::chrono::seconds(1);
  /// A connection on which no frame arrives for this long counts as silent.
  /// Agents send a frame every 500 ms while a request runs.
  core::Duration SilenceTimeout_ = std::chrono::seconds(2);
  /// Most idle connections that are kept for each agent.
  std::size_t MaxIdle_ = 64;
  /// Idle connections are closed after this time.
  core::Duration IdleTimeout_ = std::chrono::minutes(1);
};

/// Returns a transport over framed TCP that reuses idle connections.
AttemptTransport tcpTransport(const TransportSettings &Settings,
                              core::Clock Clock = core::steadyClock());

} // namespace nutmegwell::entry
