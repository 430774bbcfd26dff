#include "entrylog.h"
#include "entrymetrics.h"
#include "hostport.h"
#include "nutmegwell/core/random.h"
#include "nutmegwell/daemon/roles.h"
#include "nutmegwell/entry/api.h"
#include "nutmegwell/entry/controlloop.h"
#include "nutmegwell/entry/requestservice.h"
#include "nutmegwell/logclient/httplog.h"
#include "nutmegwell/net/http.h"
#include "nutmegwell/net/udp.h"
#include "nutmegwell/settings/logging.h"
#include "nutmegwell/wire/binary.h"
#include "statetransfer.h"
#include "stopsignals.h"
#include <algorithm>
#include <atomic>

namespace nutmegwell::daemon {

namespace {

/// A stopping host keeps refusing requests until none has arrived for
/// DrainQuietPeriod, for DrainTimeout at most, so that the load balancer sees
/// the refusals and stops sending requests.
constexpr auto DrainQuietPeriod = std::chrono::milliseconds(500);
constexpr auto DrainTimeout = std::chrono::seconds(10);
/// How long a graceful stop waits for its last records to reach the log.
constexpr auto StopAppendTimeout = std::chrono::seconds(2);

entry::EntrySettings entrySettings(const settings::Settings &Values,
                                   core::Incarnation Incarnation) {
  entry::EntrySettings Result;
  Result.Node_ = Values.text("node");
  Result.Incarnation_ = Incarnation;
  for (const settings::HostPort &Peer : Values.addresses("entries"))
    Result.EntryAddresses_.push_back(settings::toString(Peer));
  Result.CellLease_ = Values.duration("cell-lease");
  Result.CellRenewInterval_ = Result.CellLease_ / 3;
  Result.StartPermit_ = Values.duration("start-permit");
  Result.TaskLease_ = Values.duration("task-lease");
  Result.CheckpointGrace_ = Values.duration("checkpoint-grace");
  Result.HeartbeatInterval_ = Values.duration("heartbeat-interval");
  Result.Membership_.SuspectAfter_ = Values.duration("silent-after");
  Result.Membership_.UnreachableAfter_ = Values.duration("lapse-after");
  return Result;
}

metrics::Objective objective(const settings::Settings &Values) {
  // The setting is the number of errors allowed per 100,000 requests.
  constexpr double Requests = 100000;
  metrics::Objective Result;
  Result.AllowedErrors_ = Values.count("objective-errors") / Requests;
  Result.Latency_ = Values.duration("objective-latency");
  return Result;
}

std::vector<net::Address> peerAddresses(const settings::Settings &Values) {
  std::vector<net::Address> Peers;
  for (const settings::HostPort &Peer : Values.addresses("peers"))
    Peers.push_back(toAddress(Peer));
  return Peers;
}

entry::RequestServiceSettings requestSettings(core::Incarnation Incarnation) {
  entry::RequestServiceSettings Result;
  Result.Incarnation_ = Incarnation;
  return Result;
}

logclient::AppenderSettings appenderSettings(const settings::Settings &Values) {
  // A renewal may wait for only 1/24 of the lease: when an append fails, the
  // lease must last through the read-back and a second append.
  constexpr int LeaseDivisor = 24;
  logclient::AppenderSettings Result;
  Result.BatchInterval_ =
      std::min(Values.duration("append-interval"),
               Values.duration("cell-lease") / LeaseDivisor);
  return Result;
}

/// Connects the entry host's control loop with the log, the agents, the peer
/// entry hosts and the HTTP clients.
class EntryRole {
public:
  explicit EntryRole(const settings::Settings &Values);
  ~EntryRole();
  void stop();
  std::string describeInterrupted() const;

private:
  entry::ControlPorts makePorts();
  void onDatagram(const net::Address &From, const std::string &Bytes);
  net::HttpResponse handle(const net::HttpRequest &Request);
  entry::RequestServicePorts requestPorts();
  std::optional<model::Intent> findIntent(const model::IntentKey &Key);

  const core::Incarnation Incarnation_;
  std::atomic<entry::ControlLoop *> ControlPointer_{nullptr};
  std::atomic<entry::RequestService *> RequestsPointer_{nullptr};
  std::shared_ptr<const routing::RoutingSnapshot> Snapshot_;
  EntryMetrics Metrics_;
  EntryLog Log_;
  net::UdpEndpoint Udp_;
  entry::ControlLoop Control_;
  entry::HttpApi Api_;
  entry::RequestService Requests_;
  net::FrameServer StateServer_;
  net::HttpServer Http_;
};

net::HttpLimits httpLimits(const settings::Settings &Values) {
  net::HttpLimits Limits;
  Limits.MaxBody_ = static_cast<std::size_t>(Values.count("max-body"));
  Limits.MaxBodies_ = std::max(Limits.MaxBodies_, Limits.MaxBody_);
  Limits.MaxThreads_ = static_cast<unsigned>(Values.count("max-connections"));
  return Limits;
}

EntryRole::EntryRole(const settings::Settings &Values)
    : Incarnation_(core::systemRandom().Next_()),
      Metrics_(core::steadyClock(), objective(Values)),
      Log_(logclient::httpLogService({toAddress(Values.address("log-address")),
                                      Values.text("log-stream")}),
           Incarnation_, appenderSettings(Values), peerAddresses(Values),
           Metrics_),
      Udp_(toAddress(Values.address("udp-listen")),
           [this](const net::Address &From, const std::string &Bytes) {
             onDatagram(From, Bytes);
           }),
      Control_(entrySettings(Values, Incarnation_), makePorts(),
               static_cast<std::size_t>(Values.count("max-queue"))),
      Api_(Control_), Requests_(requestSettings(Incarnation_), requestPorts()),
      StateServer_(toAddress(Values.address("tcp-listen")), stateFrameLimits(),
                   serveState(Control_)),
      Http_(
          toAddress(Values.address("http-listen")), httpLimits(Values),
          [this](const net::HttpRequest &Request) { return handle(Request); }) {
  RequestsPointer_ = &Requests_;
  ControlPointer_ = &Control_;
  Log_.start(Control_);
  settings::logStateChange("started",
                           {{"role", "entry"}, {"node", Values.text("node")}});
}

EntryRole::~EntryRole() {
  // Threads that use other members must end before those are destroyed.
  Http_.stop();
  StateServer_.stop();
  Udp_.stop();
  Log_.stop();
  Control_.stop();
}

entry::ControlPorts EntryRole::makePorts() {
  entry::ControlPorts Ports;
  Ports.Clock_ = core::steadyClock();
  Ports.Send_ = [this](const entry::OutgoingDatagram &Message) {
    net::Address To;
    if (!net::parseAddress(Message.To_, To))
      return;
    Udp_.send(To, wire::encode(Message.Message_));
    Metrics_.SentDatagrams_.add();
  };
  Ports.Append_ = [this](std::vector<model::Record> Records) {
    Log_.append(std::move(Records));
  };
  Ports.Publish_ = [this](auto Snapshot) {
    std::atomic_store(&Snapshot_, std::move(Snapshot));
    if (entry::RequestService *Requests = RequestsPointer_)
      Requests->snapshotChanged();
  };
  Ports.RecordStepTime_ = [this](core::Duration Elapsed) {
    Metrics_.recordStepTime(Elapsed);
  };
  Ports.Log_ = [this](const entry::LogEvent &Event) {
    Metrics_.recordLogEvent(Event);
    settings::logStateChange(Event.Event_, Event.Fields_);
  };
  return Ports;
}

void EntryRole::onDatagram(const net::Address &From, const std::string &Bytes) {
  auto Message = wire::decodeDatagram(Bytes);
  entry::ControlLoop *Control = ControlPointer_;
  if (!Message.ok())
    Metrics_.MalformedDatagrams_.add();
  else if (Control && Control->post(entry::DatagramReceived{net::toString(From),
                                                            *Message}))
    Metrics_.ReceivedDatagrams_.add();
  else
    Metrics_.DroppedEvents_.add();
}

net::HttpResponse EntryRole::handle(const net::HttpRequest &Request) {
  if (Request.Path_ == "/metrics")
    return {200, "text/plain; version=0.0.4", Metrics_.render()};
  if (Request.Path_ == "/v1/burn")
    return {200, "application/json", Metrics_.burn()};
  if (entry::HttpApi::handlesPath(Request.Path_))
    return Api_.handle(Request);
  return Requests_.handle(Request);
}

entry::RequestServicePorts EntryRole::requestPorts() {
  entry::RequestServicePorts Ports;
  Ports.Snapshot_ = [this] { return std::atomic_load(&Snapshot_); };
  Ports.Observer_.OnRequestEnd_ =
      [this](const entry::CompletedRequest &Request) {
        Metrics_.recordRequest(Request);
      };
  Ports.Observer_.OnStop_ = [](std::size_t InFlight) {
    settings::logStateChange("requests_stopping",
                             {{"in_flight", std::to_string(InFlight)}});
  };
  Ports.Transport_ = entry::tcpTransport(entry::TransportSettings());
  Ports.Intents_.Submit_ =
      [this](model::RecordBody Body,
             core::Duration Timeout) -> absl::StatusOr<model::FoldResult> {
    auto Reply = Control_.submit(std::move(Body), Timeout);
    if (!Reply.ok())
      return Reply.status();
    // The record was applied or rejected only if the reply says that the
    // control state did so. With any other reply the append has no known
    // outcome.
    if (Reply->Outcome_ == entry::CommandOutcome::Unknown ||
        Reply->Code_ == "log_unavailable" || Reply->Code_ == "stopping")
      return core::makeError(absl::StatusCode::kUnavailable, "append", "log",
                             Reply->Reason_);
    model::FoldResult Result;
    Result.Accepted_ = Reply->Outcome_ == entry::CommandOutcome::Applied;
    Result.Code_ = Reply->Code_;
    Result.Reason_ = Reply->Reason_;
    return Result;
  };
  Ports.Intents_.Find_ = [this](const model::IntentKey &Key) {
    return findIntent(Key);
  };
  return Ports;
}

std::optional<model::Intent>
EntryRole::findIntent(const model::IntentKey &Key) {
  std::optional<model::Intent> Found;
  Control_.readState([&](const entry::EntryState &State) {
    auto Known = State.ControlState_.Intents_.find(Key);
    if (Known != State.ControlState_.Intents_.end())
      Found = Known->second;
  });
  return Found;
}

void EntryRole::stop() {
  Control_.post(entry::StopRequested());
  Requests_.stop();
  Http_.waitUntilIdle(DrainQuietPeriod, DrainTimeout);
  Http_.stop();
  // Waits until this host has read back all its records, the releases of its
  // cells among them.
  Control_.waitUntil(
      [](const entry::EntryState &State) {
        return State.PendingRecords_.empty();
      },
      StopAppendTimeout);
  Log_.stop();
  StateServer_.stop();
}

std::string EntryRole::describeInterrupted() const {
  return std::to_string(Requests_.inFlight()) + " requests";
}

} // namespace

int runEntry(const settings::Settings &Values) {
  EntryRole Role(Values);
  waitForStopSignal();
  runGracefulStop([&Role] { Role.stop(); },
                  [&Role] { return Role.describeInterrupted(); });
  settings::logStateChange("stopped", {{"role", "entry"}});
  return 0;
}

} // namespace nutmegwell::daemon
