#include "soakcluster.h"
#include <csignal>
#include <iostream>

namespace soak {

namespace {

/// Operator's record with one queue for each priority and one client account.
constexpr const char *Tables = R"({"version":1,"routes":[
{"name":"q0","host":"site","path_prefix":"/q0/","service":"service","priority":0,"max_attempts":3,"stretch":2,"target_latency_ms":500},
{"name":"q1","host":"site","path_prefix":"/q1/","service":"service","priority":1,"max_attempts":3,"stretch":3,"target_latency_ms":1000}],
"services":[{"name":"service","health_path":"/health"}],"limits":{},
"tenants":[{"name":"acme","api_keys":["key"],"guaranteed_gpu":{"gpu":8}}]})";

std::string addressText(const net::Address &Value) {
  return net::toString(Value);
}

} // namespace

net::Address SoakCluster::reserveAddress() {
  return {"127.0.0.1", net::reserveTcpPort()};
}

SoakCluster::SoakCluster(int EntryCount, int WorkerCount, std::uint64_t Seed,
                         std::vector<std::string> ExtraArguments)
    : EntryCount_(static_cast<std::size_t>(EntryCount)),
      ExtraArguments_(std::move(ExtraArguments)) {
  Store_ = std::make_unique<PlatformStore>(Loop_, reserveAddress());
  Store_->publish("config", Tables);
  for (int I = 0; I < EntryCount; ++I)
    addEntry(I);
  for (int I = 0; I < WorkerCount; ++I)
    addWorker(I, Seed);
  Thread_ = std::thread([this] { Loop_.run(); });
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    restart(I);
}

SoakCluster::~SoakCluster() {
  for (Node &ClusterNode : Nodes_)
    ClusterNode.Process_.reset();
  Loop_.stop();
  Thread_.join();
}

void SoakCluster::addEntry(int Index) {
  Node ClusterNode;
  const net::Address Peers = reserveAddress();
  ClusterNode.CallerAddress_ = reserveAddress();
  ClusterNode.ReadinessAddress_ = reserveAddress();
  ClusterNode.PeersAddress_ = Peers;
  ClusterNode.MetricsAddress_ = reserveAddress();
  ClusterNode.Proxy_ = std::make_unique<TcpProxy>(Peers);
  const net::Address Public{"127.0.0.1", ClusterNode.Proxy_->port()};
  SeedAddresses_ += (SeedAddresses_.empty() ? "" : ",") + addressText(Public);
  ClusterNode.Arguments_ = {
      "--role=site-entry",
      "--node=entry" + std::to_string(Index),
      "--domain=a",
      "--callers-listen=" + addressText(ClusterNode.CallerAddress_),
      "--ready-listen=" + addressText(ClusterNode.ReadinessAddress_),
      "--peers-listen=" + addressText(Peers),
      "--peers-address=" + addressText(Public),
      "--store-address=127.0.0.1:" + std::to_string(Store_->port()),
      "--metrics-listen=" + addressText(ClusterNode.MetricsAddress_),
      "--max-hold=3s"};
  Nodes_.push_back(std::move(ClusterNode));
}

void SoakCluster::addWorker(int Index, std::uint64_t Seed) {
  Node ClusterNode;
  const net::Address Agent = reserveAddress();
  const net::Address Worker = reserveAddress();
  ClusterNode.NoticeAddress_ = Agent;
  ClusterNode.MetricsAddress_ = reserveAddress();
  const std::string Domain = Index % 2 == 0 ? "a" : "b";
  Workers_.push_back(std::make_unique<PlatformWorker>(
      Loop_, Worker, Agent, "worker" + std::to_string(Index), Domain, History_,
      Seed + static_cast<std::uint64_t>(Index)));
  ClusterNode.Arguments_ = {"--role=site-agent",
                            "--node=agent" + std::to_string(Index),
                            "--domain=" + Domain,
                            "--worker-listen=" + addressText(Agent),
                            "--worker-address=" + addressText(Worker),
                            "--metrics-listen=" +
                                addressText(ClusterNode.MetricsAddress_),
                            "--max-hold=3s"};
  Nodes_.push_back(std::move(ClusterNode));
}

void SoakCluster::restart(std::size_t Index) {
  Node &Target = Nodes_[Index];
  if (Target.Process_)
    return;
  std::vector<std::string> Arguments = Target.Arguments_;
  Arguments.push_back("--seeds=" + SeedAddresses_);
  Arguments.insert(Arguments.end(), ExtraArguments_.begin(),
                   ExtraArguments_.end());
  Target.Process_ = std::make_unique<e2e::Process>(DAEMON_PROGRAM, Arguments);
}

void SoakCluster::endProcess(Node &Target, int Signal) {
  if (!Target.Process_)
    return;
  Target.Process_->signal(SIGCONT);
  Target.Process_->signal(Signal);
  Target.Process_->wait();
  const std::vector<std::string> Lines = Target.Process_->lines();
  Target.EarlierLines_.insert(Target.EarlierLines_.end(), Lines.begin(),
                              Lines.end());
  Target.Process_.reset();
}

void SoakCluster::kill(std::size_t Index) {
  endProcess(Nodes_[Index], SIGKILL);
}

void SoakCluster::stop(std::size_t Index) {
  endProcess(Nodes_[Index], SIGTERM);
}

void SoakCluster::suspend(std::size_t Index) {
  if (Nodes_[Index].Process_)
    Nodes_[Index].Process_->signal(SIGSTOP);
}

void SoakCluster::resume(std::size_t Index) {
  if (Nodes_[Index].Process_)
    Nodes_[Index].Process_->signal(SIGCONT);
}

bool SoakCluster::waitReady(std::chrono::seconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  InterruptibleWait Between;
  for (std::size_t I = 0; I < EntryCount_; ++I) {
    bool Ready = false;
    while (!Ready && std::chrono::steady_clock::now() < End) {
      net::HttpClient Client(Nodes_[I].ReadinessAddress_);
      net::HttpRequest Request;
      Request.Path_ = "/readiness";
      auto Response = Client.call(Request, std::chrono::seconds(1));
      Ready = Response.ok() && Response->Status_ == 200;
      if (!Ready)
        Between.wait(std::chrono::milliseconds(100));
    }
    if (!Ready)
      return false;
  }
  return true;
}

void SoakCluster::printLogs() {
  for (Node &ClusterNode : Nodes_) {
    std::vector<std::string> Lines = ClusterNode.EarlierLines_;
    if (ClusterNode.Process_)
      for (std::string &Line : ClusterNode.Process_->lines())
        Lines.push_back(std::move(Line));
    for (const std::string &Line : Lines)
      std::cout << ClusterNode.Arguments_[1].substr(7) << " " << Line << "\n";
  }
}

} // namespace soak
