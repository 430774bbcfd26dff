#include "hostport.h"
#include "nutmegwell/agent/controlloop.h"
#include "nutmegwell/agent/requestserver.h"
#include "nutmegwell/core/random.h"
#include "nutmegwell/daemon/roles.h"
#include "nutmegwell/metrics/registry.h"
#include "nutmegwell/net/http.h"
#include "nutmegwell/net/udp.h"
#include "nutmegwell/settings/logging.h"
#include "nutmegwell/wire/binary.h"
#include "stopsignals.h"
#include <atomic>

namespace nutmegwell::daemon {

namespace {

/// How long a stopping agent waits for the entry hosts to acknowledge that the
/// node leaves. Entry hosts that have not received the heartbeat by then treat
/// the node as suspect.
constexpr auto LeaveAckTimeout = std::chrono::milliseconds(2500);
/// How long a stopping agent waits for its tasks to write checkpoints and end.
constexpr auto DrainTimeout = std::chrono::seconds(30);

agent::AgentSettings agentSettings(const settings::Settings &Values,
                                   core::Incarnation Incarnation) {
  agent::AgentSettings Result;
  Result.Node_ = Values.text("node");
  Result.Incarnation_ = Incarnation;
  Result.Kind_ = Values.text("kind") == "worker" ? model::NodeKind::Worker
                                                 : model::NodeKind::Upstream;
  Result.Domain_ = Values.text("domain");
  Result.Rack_ = Values.text("rack");
  Result.Accelerators_ =
      static_cast<std::uint32_t>(Values.count("accelerators"));
  Result.RequestAddress_ = settings::toString(Values.address("tcp-listen"));
  for (const settings::HostPort &Entry : Values.addresses("entries"))
    Result.EntryAddresses_.push_back(settings::toString(Entry));
  Result.HeartbeatInterval_ = Values.duration("heartbeat-interval");
  return Result;
}

agent::RequestServerSettings serverSettings(const settings::Settings &Values,
                                            core::Incarnation Incarnation) {
  agent::RequestServerSettings Result;
  Result.Incarnation_ = Incarnation;
  Result.Listen_ = toAddress(Values.address("tcp-listen"));
  Result.Announce_ = toAddress(Values.address("announce-listen"));
  return Result;
}

/// Returns the description of the local upstream that heartbeats carry.
agent::UpstreamInfo upstreamInfo(const agent::UpstreamStatus &Status) {
  if (!Status.Announced_)
    return agent::UpstreamInfo{{}, 0, Status.InFlight_, false};
  return agent::UpstreamInfo{Status.Service_, Status.Slots_, Status.InFlight_,
                             Status.Leaving_};
}

agent::RequestServerPorts serverPorts() {
  agent::RequestServerPorts Ports = agent::httpPorts();
  Ports.Stopping_ = [](std::uint32_t InFlight) {
    settings::logStateChange("requests_stopping",
                             {{"in_flight", std::to_string(InFlight)}});
  };
  return Ports;
}

/// Connects the agent's control loop with the entry hosts and with the worker
/// runtime or the upstream on this host.
class AgentRole {
public:
  explicit AgentRole(const settings::Settings &Values);
  ~AgentRole() {
    // The receiving thread uses the control loop, so it must end first.
    Udp_.stop();
    Control_.stop();
  }
  void stop();

private:
  agent::ControlPorts makePorts(const settings::Settings &Values);
  void onDatagram(const net::Address &From, const std::string &Bytes);

  const core::Incarnation Incarnation_;
  /// Null unless the setting kind is "upstream".
  std::unique_ptr<agent::RequestServer> Requests_;
  std::atomic<agent::ControlLoop *> ControlPointer_{nullptr};
  metrics::Registry Metrics_;
  metrics::Counter &Received_ = Metrics_.counter(
      "nutmegwell_datagrams_received_total", "Well-formed datagrams received");
  metrics::Counter &Malformed_ = Metrics_.counter(
      "nutmegwell_datagrams_malformed_total", "Datagrams dropped as malformed");
  net::UdpEndpoint Udp_;
  agent::ControlLoop Control_;
  /// Serves /metrics when the setting http-listen is given.
  std::unique_ptr<net::HttpServer> Http_;
};

AgentRole::AgentRole(const settings::Settings &Values)
    : Incarnation_(core::systemRandom().Next_()),
      Requests_(Values.text("kind") == "upstream"
                    ? std::make_unique<agent::RequestServer>(
                          serverSettings(Values, Incarnation_), serverPorts())
                    : nullptr),
      Udp_(toAddress(Values.address("udp-listen")),
           [this](const net::Address &From, const std::string &Bytes) {
             onDatagram(From, Bytes);
           }),
      Control_(agentSettings(Values, Incarnation_), makePorts(Values)) {
  ControlPointer_ = &Control_;
  if (Values.has("http-listen"))
    Http_ = std::make_unique<net::HttpServer>(
        toAddress(Values.address("http-listen")), net::HttpLimits(),
        [this](const net::HttpRequest &Request) -> net::HttpResponse {
          if (Request.Path_ != "/metrics")
            return {404, "text/plain",
                    "unknown path; this server has only /metrics"};
          return {200, "text/plain; version=0.0.4",
                  Metrics_.render(core::steadyClock().Now_())};
        });
  settings::logStateChange("started",
                           {{"role", "agent"}, {"node", Values.text("node")}});
}

agent::ControlPorts AgentRole::makePorts(const settings::Settings &Values) {
  agent::ControlPorts Ports;
  Ports.Clock_ = core::steadyClock();
  Ports.Send_ = [this](const agent::OutgoingDatagram &Message) {
    net::Address To;
    if (net::parseAddress(Message.To_, To))
      Udp_.send(To, wire::encode(Message.Message_));
  };
  Ports.Log_ = [this](const agent::LogEvent &Event) {
    Metrics_
        .counter("nutmegwell_state_changes_total", "Changes of state by event",
                 {{"event", Event.Event_}})
        .add();
    settings::logStateChange(Event.Event_, Event.Fields_);
  };
  if (Requests_)
    Ports.Upstream_ = [this] { return upstreamInfo(Requests_->upstream()); };
  else
    Ports.Runtime_ =
        agent::httpRuntime(toAddress(Values.address("runtime-address")));
  return Ports;
}

void AgentRole::onDatagram(const net::Address &From, const std::string &Bytes) {
  auto Message = wire::decodeDatagram(Bytes);
  agent::ControlLoop *Control = ControlPointer_;
  if (!Message.ok())
    return Malformed_.add();
  Received_.add();
  if (Control)
    Control->post(agent::DatagramReceived{net::toString(From), *Message});
}

void AgentRole::stop() {
  Control_.post(agent::StopRequested());
  if (Requests_) {
    // An entry host that has not acknowledged the leave by then has not
    // received this node's other heartbeats either and treats the node as
    // suspect.
    Control_.waitLeaveAcknowledged(LeaveAckTimeout);
    Requests_->stop();
  }
  if (!Control_.waitDrained(DrainTimeout))
    settings::logStateChange("stopped_with_tasks", {});
}

} // namespace

int runAgent(const settings::Settings &Values) {
  AgentRole Role(Values);
  waitForStopSignal();
  runGracefulStop([&Role] { Role.stop(); },
                  [] { return std::string("tasks"); });
  settings::logStateChange("stopped", {{"role", "agent"}});
  return 0;
}

} // namespace nutmegwell::daemon
