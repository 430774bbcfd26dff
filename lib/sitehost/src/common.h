#pragma once

#include "nutmegwell/aio/httpserver.h"
#include "nutmegwell/cell/peers.h"
#include "nutmegwell/core/random.h"
#include "nutmegwell/metrics/registry.h"
#include "nutmegwell/settings/settings.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::sitehost {

inline net::Address addressOf(const settings::HostPort &Value) {
  return {Value.Ip_, Value.Port_};
}

inline std::vector<std::string>
toStrings(const std::vector<settings::HostPort> &Values) {
  std::vector<std::string> Result;
  for (const settings::HostPort &Value : Values)
    Result.push_back(settings::toString(Value));
  return Result;
}

inline jobs::WallTime wallNow() {
  return std::chrono::time_point_cast<core::Duration>(
      std::chrono::system_clock::now());
}

/// Returns a random number other than 0 that distinguishes this run of the
/// process from earlier and later ones.
inline core::Incarnation newIncarnation() {
  return core::systemRandom().Next_() | 1;
}

/// Decodes the message in \p Frame. Counts a malformed frame in \p Metrics and
/// returns nothing for it.
std::optional<cell::PeerMessage> readFrame(const std::string &Frame,
                                           metrics::Registry &Metrics);

/// Makes the allocator return the memory of large buffers to the system when
/// they are freed. By default it raises its threshold with the largest buffer
/// that was freed, and a process kept up to twice that size: after frames of 8
/// MB its memory varied between 21 and 25 MB.
void returnLargeBuffers();

/// Serves /metrics at metrics-listen; returns null when that is not set.
std::unique_ptr<aio::HttpServer>
serveMetrics(aio::Loop &Owner, const settings::Settings &Values,
             metrics::Registry &Metrics,
             const std::shared_ptr<aio::InputGuard> &Guard);

} // namespace nutmegwell::sitehost
