#include "soakcluster.h"
#include <csignal>
#include <iostream>

namespace soak {

namespace {

/// Tables with one queue for each priority and two accounts.
constexpr const char *Tables = R"({"version":1,"routes":[
{"name":"q0","host":"site","path_prefix":"/q0/","service":"service","priority":0,"max_attempts":3,"stretch":2,"target_latency_ms":500},
{"name":"q1","host":"site","path_prefix":"/q1/","service":"service","priority":1,"max_attempts":3,"stretch":3,"target_latency_ms":1000}],
"services":[{"name":"service","health_path":"/health"}],"limits":{},
"tenants":[{"name":"acme","api_keys":["key"],"guaranteed_gpu":{"gpu":8}}]})";

std::string text(const net::Address &Value) { return net::toString(Value); }

} // namespace

net::Address SoakCluster::reserve() {
  return {"127.0.0.1", net::reserveTcpPort()};
}

SoakCluster::SoakCluster(int Entries, int Workers, std::uint64_t Seed)
    : Entries_(static_cast<std::size_t>(Entries)) {
  Store_ = std::make_unique<PlatformStore>(Loop_, reserve());
  Store_->publish("config", Tables);
  for (int I = 0; I < Entries; ++I)
    addEntry(I);
  for (int I = 0; I < Workers; ++I)
    addWorker(I, Seed);
  Thread_ = std::thread([this] { Loop_.run(); });
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    restart(I);
}

SoakCluster::~SoakCluster() {
  for (Node &Each : Nodes_)
    Each.Process_.reset();
  Loop_.stop();
  Thread_.join();
}

void SoakCluster::addEntry(int Index) {
  Node Each;
  const net::Address Peers = reserve();
  Each.Front_ = reserve();
  Each.Ready_ = reserve();
  Each.Proxy_ = std::make_unique<TcpProxy>(Peers);
  const net::Address Public{"127.0.0.1", Each.Proxy_->port()};
  Seeds_ += (Seeds_.empty() ? "" : ",") + text(Public);
  Each.Arguments_ = {"--role=site-entry",
                     "--node=entry" + std::to_string(Index),
                     "--domain=a",
                     "--callers-listen=" + text(Each.Front_),
                     "--ready-listen=" + text(Each.Ready_),
                     "--peers-listen=" + text(Peers),
                     "--peers-address=" + text(Public),
                     "--store-address=127.0.0.1:" +
                         std::to_string(Store_->port()),
                     "--max-hold=3s"};
  Nodes_.push_back(std::move(Each));
}

void SoakCluster::addWorker(int Index, std::uint64_t Seed) {
  Node Each;
  const net::Address Agent = reserve();
  const net::Address Worker = reserve();
  const std::string Domain = Index % 2 == 0 ? "a" : "b";
  Workers_.push_back(std::make_unique<PlatformWorker>(
      Loop_, Worker, Agent, "worker" + std::to_string(Index), Domain, History_,
      Seed + static_cast<std::uint64_t>(Index)));
  Each.Arguments_ = {"--role=site-agent",
                     "--node=agent" + std::to_string(Index),
                     "--domain=" + Domain,
                     "--worker-listen=" + text(Agent),
                     "--worker-address=" + text(Worker),
                     "--max-hold=3s"};
  Nodes_.push_back(std::move(Each));
}

void SoakCluster::restart(std::size_t Index) {
  Node &Of = Nodes_[Index];
  if (Of.Process_)
    return;
  std::vector<std::string> Arguments = Of.Arguments_;
  Arguments.push_back("--seeds=" + Seeds_);
  Of.Process_ = std::make_unique<e2e::Process>(DAEMON_PROGRAM, Arguments);
}

void SoakCluster::end(Node &Of, int Signal) {
  if (!Of.Process_)
    return;
  Of.Process_->signal(SIGCONT);
  Of.Process_->signal(Signal);
  Of.Process_->wait();
  const std::vector<std::string> Lines = Of.Process_->lines();
  Of.OldLines_.insert(Of.OldLines_.end(), Lines.begin(), Lines.end());
  Of.Process_.reset();
}

void SoakCluster::kill(std::size_t Index) { end(Nodes_[Index], SIGKILL); }

void SoakCluster::stop(std::size_t Index) { end(Nodes_[Index], SIGTERM); }

void SoakCluster::pause(std::size_t Index) {
  if (Nodes_[Index].Process_)
    Nodes_[Index].Process_->signal(SIGSTOP);
}

void SoakCluster::resume(std::size_t Index) {
  if (Nodes_[Index].Process_)
    Nodes_[Index].Process_->signal(SIGCONT);
}

bool SoakCluster::waitReady(std::chrono::seconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  Pause Between;
  for (std::size_t I = 0; I < Entries_; ++I) {
    bool Ready = false;
    while (!Ready && std::chrono::steady_clock::now() < End) {
      net::HttpClient Client(Nodes_[I].Ready_);
      net::HttpRequest Request;
      Request.Path_ = "/readiness";
      auto Answer = Client.call(Request, std::chrono::seconds(1));
      Ready = Answer.ok() && Answer->Status_ == 200;
      if (!Ready)
        Between.wait(std::chrono::milliseconds(100));
    }
    if (!Ready)
      return false;
  }
  return true;
}

void SoakCluster::printLogs() {
  for (Node &Each : Nodes_) {
    std::vector<std::string> Lines = Each.OldLines_;
    if (Each.Process_)
      for (std::string &Line : Each.Process_->lines())
        Lines.push_back(std::move(Line));
    for (const std::string &Line : Lines)
      std::cout << Each.Arguments_[1].substr(7) << " " << Line << "\n";
  }
}

} // namespace soak
