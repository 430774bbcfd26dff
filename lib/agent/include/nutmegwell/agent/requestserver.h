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
  /// Address that accepts request frames from entry hosts.
  net::Address Listen_;
  /// Address that accepts announcements from the upstream on this host.
  net::Address Announce_;
  net::FrameLimits Frames_;
  AttemptBounds Attempts_;
  /// Maximum number of threads that call the upstream. It also limits the slots
  /// that an upstream can announce.
  std::uint32_t MaxSlots_ = 64;
  /// Interval at which a connection that waits for an answer gets a
  /// WorkingFrame.
  core::Duration WorkingInterval_ = std::chrono::milliseconds(500);
  /// Time after which an announcement expires unless it is repeated.
  core::Duration AnnounceValid_ = std::chrono::seconds(5);
};

/// Interfaces that the request server calls. Tests replace them by mocks.
struct RequestServerPorts {
  core::Clock Clock_ = core::steadyClock();
  /// Calls the upstream. A failure whose step is "connect" means that the
  /// request was not sent.
  std::function<absl::StatusOr<net::HttpResponse>(
      const net::Address &, const net::HttpRequest &, core::Duration Timeout)>
      Call_;
  /// Called when the upstream is announced for the first time, changes its
  /// announcement or is leaving: on a traffic thread, or by leave() on the
  /// thread of its caller. May be empty.
  std::function<void(const UpstreamStatus &)> Changed_;
  /// Called once by stop(), after the server has stopped accepting connections,
  /// with the number of requests in flight. May be empty.
  std::function<void(std::uint32_t InFlight)> Stopping_;
};

/// Returns ports that call the upstream over HTTP.
RequestServerPorts httpPorts();

/// Accepts request frames from entry hosts, forwards the requests to the
/// upstream and returns its answers.
class RequestServer {
public:
  /// Throws std::runtime_error when it cannot bind an address.
  RequestServer(const RequestServerSettings &Settings,
                RequestServerPorts Ports = httpPorts());
  RequestServer(const RequestServer &) = delete;
  RequestServer &operator=(const RequestServer &) = delete;
  ~RequestServer();

  /// Returns the current state of the upstream. Thread-safe.
  UpstreamStatus upstream() const;

  /// Returns the counters of the frame server.
  net::FrameCounts counts() const;

  /// Starts to refuse new requests with NotRunFrame. Requests in flight
  /// continue.
  void leave();

  /// Waits up to \p Timeout until no request is in flight. Returns the number
  /// of requests that still are.
  std::uint32_t waitIdle(core::Duration Timeout);

  /// Calls leave(), waits for the requests in flight and closes every
  /// connection. Call it after the heartbeats have announced the planned stop
  /// to the entry hosts.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::agent
