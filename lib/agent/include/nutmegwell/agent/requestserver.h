#pragma once

#include "nutmegwell/agent/attempts.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/net/frame.h"
#include "nutmegwell/net/http.h"
#include <functional>
#include <memory>

namespace nutmegwell::agent {

struct RequestServerSettings {
  core::Incarnation Incarnation_ = 0;
  /// Takes request frames of entry hosts.
  net::Address Listen_;
  /// Takes announcements of the upstream on this host.
  net::Address Announce_;
  net::FrameLimits Frames_;
  AttemptBounds Attempts_;
  /// Threads that call the upstream; more announced slots are not used.
  std::uint32_t MaxSlots_ = 64;
  core::Duration WorkingInterval_ = std::chrono::milliseconds(500);
  /// Validity of an announcement.
  core::Duration AnnounceValid_ = std::chrono::seconds(5);
};

/// What the request server is connected to; a test fills it.
struct RequestServerPorts {
  core::Clock Clock_ = core::steadyClock();
  /// Calls the upstream. A failure with the step "connect" means that nothing
  /// was sent.
  std::function<absl::StatusOr<net::HttpResponse>(
      const net::Address &, const net::HttpRequest &, core::Duration Timeout)>
      Call_;
  /// Called on a traffic thread after the upstream announced itself for the
  /// first time, changed or said that it is leaving. May be empty.
  std::function<void(const UpstreamStatus &)> Changed_;
  /// Called once by stop() when no more connections are accepted, with the
  /// number of requests in flight. May be empty.
  std::function<void(std::uint32_t InFlight)> Stopping_;
};

/// Returns hooks that call the upstream over HTTP.
RequestServerPorts httpPorts();

/// Takes request frames, calls the upstream and answers.
class RequestServer {
public:
  /// Throws std::runtime_error when an address cannot be bound.
  RequestServer(const RequestServerSettings &Settings,
                RequestServerPorts Hooks = httpPorts());
  RequestServer(const RequestServer &) = delete;
  RequestServer &operator=(const RequestServer &) = delete;
  ~RequestServer();

  /// Returns the current upstream, for heartbeats. Safe from any thread.
  UpstreamStatus upstream() const;

  net::FrameCounts counts() const;

  /// Refuses new requests as not run from now on; those in flight go on.
  void leave();

  /// Waits up to \p Limit until nothing is in flight. Returns what is left.
  std::uint32_t waitIdle(core::Duration Limit);

  /// Leaves, waits for what is in flight and closes every connection. Call it
  /// after entry hosts had time to read from heartbeats that the agent leaves.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::agent
