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

/// One ended request, for metrics.
struct CompletedRequest {
  routing::Outcome Outcome_ = routing::Outcome::Unknown;
  /// Code of a refusal or of an unknown outcome; empty for an answer.
  std::string Code_;
  model::AccountName Account_;
  model::ServiceName Service_;
  core::Duration Latency_{};
};

/// Told about requests, on the threads that handle them or stop the service;
/// members may be empty.
struct RequestObserver {
  std::function<void(const CompletedRequest &)> OnRequestEnd_;
  /// Called by the first stop() when new requests are refused, with the number
  /// of those in flight.
  std::function<void(std::size_t InFlight)> OnStop_;
};

struct RequestServiceSettings {
  /// Incarnation of this entry host; makes attempt ids unique.
  core::Incarnation Incarnation_ = 0;
  /// Time for one record of an intent to be appended and applied.
  core::Duration AppendTimeout_ = std::chrono::seconds(3);
  /// Answered keys whose IntentSettled waits for the log.
  std::size_t MaxUnsettled_ = 65536;
};

/// What the service is connected to; a test fills it.
struct RequestServicePorts {
  routing::SnapshotSource Snapshot_;
  routing::IntentStore Intents_;
  AttemptTransport Transport_;
  core::Clock Clock_ = core::steadyClock();
  /// Called with the service's lock held; needs no lock of its own.
  core::Random Random_ = core::systemRandom();
  RequestObserver Observer_;
};

/// Takes callers' requests to upstreams. Safe from any thread.
class RequestService {
public:
  RequestService(const RequestServiceSettings &Settings,
                 RequestServicePorts Hooks);
  RequestService(const RequestService &) = delete;
  RequestService &operator=(const RequestService &) = delete;
  ~RequestService();

  /// Answers one request; called on the HTTP server's traffic threads.
  net::HttpResponse handle(const net::HttpRequest &Request);

  /// Wakes requests that wait for a slot; call it after each publication of a
  /// routing snapshot.
  void snapshotChanged();

  /// Requests being handled.
  std::size_t inFlight() const;

  /// Refuses new requests as not run, and waits until those in flight are
  /// answered and answered keys are settled, the latter up to \p SettleLimit.
  void stop(core::Duration SettleLimit = std::chrono::seconds(3));

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::entry
