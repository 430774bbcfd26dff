#include "common.h"
#include "nutmegwell/wire/cellbinary.h"

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

std::unique_ptr<aio::HttpServer>
serveMetrics(aio::Loop &Owner, const settings::Settings &Values,
             const metrics::Registry &Metrics) {
  if (!Values.has("metrics-listen"))
    return nullptr;
  return std::make_unique<aio::HttpServer>(
      Owner, addressOf(Values.address("metrics-listen")), aio::ServerLimits(),
      [&Metrics](net::HttpRequest, aio::Responder Respond) {
        net::HttpResponse Response;
        Response.ContentType_ = "text/plain";
        Response.Body_ = Metrics.render(core::steadyClock().Now_());
        Respond(std::move(Response));
      });
}

} // namespace nutmegwell::sitehost
