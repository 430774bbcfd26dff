#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/net/frame.h"
#include "nutmegwell/routing/request.h"
#include <functional>
#include <string>

namespace nutmegwell::entry {

/// How attempts reach agents; a test fills it. Both calls return when the
/// attempt has ended, the connection failed or went silent, or \p Deadline has
/// passed.
struct AttemptTransport {
  /// Sends an attempt. NotRun only when nothing was sent or the agent refused.
  std::function<routing::AttemptResult(const std::string &Address,
                                       const model::RequestFrame &,
                                       core::TimePoint Deadline)>
      Run_;
  /// Asks for an attempt by key. NotRun only when the agent said so.
  std::function<routing::AttemptResult(const std::string &Address,
                                       const model::KeyQueryFrame &,
                                       core::TimePoint Deadline)>
      Query_;
};

struct TransportSettings {
  net::FrameLimits Frames_;
  core::Duration ConnectTimeout_ = std::chrono::seconds(1);
  /// A connection without any frame for this long is silent; agents send a
  /// frame every 500 ms while a request runs.
  core::Duration SilenceTimeout_ = std::chrono::seconds(2);
  /// Idle connections that are kept for each agent.
  std::size_t MaxIdle_ = 64;
  /// A connection unused for this long is closed.
  core::Duration IdleLimit_ = std::chrono::minutes(1);
};

/// Returns a transport over framed TCP that keeps idle connections.
AttemptTransport tcpTransport(const TransportSettings &Settings,
                              core::Clock Clock = core::steadyClock());

} // namespace nutmegwell::entry
