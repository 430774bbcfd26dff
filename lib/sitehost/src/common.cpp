#include "common.h"
#include "nutmegwell/wire/cellbinary.h"
#include <malloc.h>

namespace nutmegwell::sitehost {

std::optional<cell::PeerMessage> readFrame(const std::string &Frame,
                                           metrics::Registry &Metrics) {
  auto Message = wire::decodePeerMessage(Frame);
  if (Message.ok())
    return *std::move(Message);
  Metrics
      .counter("nutmegwell_frames_malformed_total",
               "Frames dropped as malformed")
      .add();
  return std::nullopt;
}

void returnLargeBuffers() {
  /// The allocator's own initial thresholds in bytes, which stay fixed when
  /// set.
  constexpr int LargeBuffer = 131072;
  mallopt(M_MMAP_THRESHOLD, LargeBuffer);
  mallopt(M_TRIM_THRESHOLD, LargeBuffer);
}

std::unique_ptr<aio::HttpServer>
serveMetrics(aio::Loop &Owner, const settings::Settings &Values,
             metrics::Registry &Metrics,
             const std::shared_ptr<aio::InputGuard> &Guard) {
  if (!Values.has("metrics-listen"))
    return nullptr;
  return std::make_unique<aio::HttpServer>(
      Owner, addressOf(Values.address("metrics-listen")), aio::ServerLimits(),
      [&Metrics, Guard](net::HttpRequest, aio::Responder Respond) {
        Metrics
            .gauge("nutmegwell_input_held_bytes",
                   "Bytes of incomplete requests and unsent responses")
            .set(static_cast<std::int64_t>(Guard->budget().Held_));
        Metrics
            .gauge("nutmegwell_input_connections",
                   "Open connections of all HTTP ports")
            .set(
                static_cast<std::int64_t>(Guard->budget().Connections_.size()));
        net::HttpResponse Response;
        Response.ContentType_ = "text/plain";
        Response.Body_ = Metrics.render(core::steadyClock().Now_());
        Respond(std::move(Response));
      },
      Guard);
}

} // namespace nutmegwell::sitehost
