#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/random.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/entry/transport.h"
#include "nutmegwell/net/http.h"
#include "nutmegwell/routing/request.h"
#include "nutmegwell/routing/snapshot.h"
#include <functional>
#include <memory>
#include <string>

namespace nutmegwell::entry {

/// Outcome and latency of one completed request, for metrics.
struct CompletedRequest {
  routing::Outcome Outcome_ = routing::Outcome::Unknown;
  /// Error code of a refusal or of an unknown outcome; empty for an answer.
  std::string Code_;
  model::AccountName Account_;
  model::ServiceName Service_;
  core::Duration Latency_{};
};

/// Callbacks for events of requests, called on the threads that handle requests
/// or stop the service; may be empty.
struct RequestObserver {
  std::function<void(const CompletedRequest &)> OnRequestEnd_;
  /// Called by the first stop(), once new requests are refused, with the number
  /// of requests in flight.
  std::function<void(std::size_t InFlight)> OnStop_;
};

struct RequestServiceSettings {
  /// Incarnation of this entry host; part of each attempt id, which makes it
  /// unique.
  core::Incarnation Incarnation_ = 0;
  /// Timeout for appending one record of an intent and applying it.
  core::Duration AppendTimeout_ = std::chrono::seconds(3);
  /// Most records ending intents (IntentSettled, IntentReleased) that may wait
  /// to be appended.
  std::size_t MaxUnsettled_ = 65536;
};

/// Functions through which the service reaches the log, the agents and the
/// clock; tests inject mocks.
struct RequestServicePorts {
  routing::SnapshotSource Snapshot_;
  routing::IntentStore Intents_;
  AttemptTransport Transport_;
  core::Clock Clock_ = core::steadyClock();
  /// Called with the service's lock held, so it needs no lock of its own.
  core::Random Random_ = core::systemRandom();
  RequestObserver Observer_;
};

/// Routes callers' requests to upstreams. Safe to call from any thread.
class RequestService {
public:
  RequestService(const RequestServiceSettings &Settings,
                 RequestServicePorts Ports);
  RequestService(const RequestService &) = delete;
  RequestService &operator=(const RequestService &) = delete;
  ~RequestService();

  /// Answers one request; called on the HTTP server's traffic threads.
  net::HttpResponse handle(const net::HttpRequest &Request);

  /// Wakes requests that wait for a slot; must be called after each publication
  /// of a routing snapshot.
  void snapshotChanged();

  /// Returns the number of requests in flight.
  std::size_t inFlight() const;

  /// Refuses new requests as not run, waits until the requests in flight are
  /// answered, and then waits at most \p SettleTimeout until the queued records
  /// of ended intents are in the log.
  void stop(core::Duration SettleTimeout = std::chrono::seconds(3));

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::entry
