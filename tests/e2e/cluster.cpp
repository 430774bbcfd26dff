#include "cluster.h"

#include "nutmegwell/wire/json.h"
#include <arpa/inet.h>
#include <iostream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

using namespace nutmegwell;

namespace e2e {

const std::vector<std::string> FastTimes = {
    "--heartbeat-interval=200ms", "--silent-after=600ms",
    "--lapse-after=1500ms",       "--cell-lease=1500ms",
    "--start-permit=500ms",       "--task-lease=4s",
    "--checkpoint-grace=1s"};

namespace {

/// Returns a socket bound to \p Port of the loopback address, or -1.
int boundSocket(int Type, std::uint16_t Port) {
  int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  // Lets a daemon listen on the TCP port while it is held here.
  const int On = 1;
  if (Type == SOCK_STREAM)
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Name.sin_port = htons(Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Name), sizeof(Name)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

std::string flag(const std::string &Name, const Address &Value) {
  return "--" + Name + "=" + net::toString(Value);
}

} // namespace

HeldPorts::~HeldPorts() {
  for (const auto &Held : Sockets_) {
    close(Held.second.first);
    if (Held.second.second >= 0)
      close(Held.second.second);
  }
}

Address HeldPorts::hold() {
  while (true) {
    int Tcp = boundSocket(SOCK_STREAM, 0);
    std::uint16_t Port = net::localPort(Tcp);
    int Udp = boundSocket(SOCK_DGRAM, Port);
    if (Udp >= 0) {
      Sockets_[Port] = {Tcp, Udp};
      return {"127.0.0.1", Port};
    }
    close(Tcp);
  }
}

void HeldPorts::releaseUdp(const Address &Held) {
  auto Known = Sockets_.find(Held.Port_);
  if (Known == Sockets_.end() || Known->second.second < 0)
    return;
  close(Known->second.second);
  Known->second.second = -1;
}

std::string member(const std::string &Json, const std::string &Name) {
  auto Root = wire::parseJson(Json);
  return Root.ok() ? wire::textMember(*Root, Name) : std::string();
}

Cluster::Cluster(std::vector<std::string> Times) : Times_(std::move(Times)) {
  LogAddress_ = Ports_.hold();
  for (int I = 1; I <= Entries; ++I)
    Addresses_[I] = {Ports_.hold(), Ports_.hold(), Ports_.hold()};
}

std::unique_ptr<Process> Cluster::launch(const std::string &Program,
                                         const std::vector<std::string> &Flags,
                                         const std::vector<Address> &Listens,
                                         const std::string &ReadyLine) {
  for (const Address &Listen : Listens)
    Ports_.releaseUdp(Listen);
  auto Started = std::make_unique<Process>(Program, Flags);
  if (Started->waitForLine(ReadyLine) >= 0)
    return Started;
  std::string Output;
  for (const std::string &Line : Started->lines())
    Output += Line + "\n";
  throw std::runtime_error(Program + " did not start:\n" + Output);
}

void Cluster::startLog(std::size_t Retention) {
  Log_ = launch(LOG_PROGRAM,
                {"--port", std::to_string(LogAddress_.Port_), "--retention",
                 std::to_string(Retention)},
                {LogAddress_}, "port=");
}

std::string Cluster::entryList(int Except) const {
  std::string List;
  for (const auto &[Number, Known] : Addresses_)
    if (Number != Except)
      List += (List.empty() ? "" : ",") + net::toString(Known.Udp_);
  return List;
}

Process &Cluster::startEntry(int Number) {
  // A killed predecessor holds its addresses until it has ended.
  EntryHosts_.erase(Number);
  const EntryAddresses &Own = Addresses_.at(Number);
  std::vector<std::string> Flags = {"--role=entry",
                                    "--node=e" + std::to_string(Number),
                                    "--domain=a",
                                    flag("log-address", LogAddress_),
                                    flag("http-listen", Own.Http_),
                                    flag("udp-listen", Own.Udp_),
                                    flag("tcp-listen", Own.Tcp_),
                                    "--entries=" + entryList(Number)};
  std::string Peers;
  for (const auto &[Other, Known] : Addresses_)
    if (Other != Number)
      Peers += (Peers.empty() ? "" : ",") + net::toString(Known.Tcp_);
  Flags.push_back("--peers=" + Peers);
  Flags.insert(Flags.end(), Times_.begin(), Times_.end());
  EntryHosts_[Number] = launch(
      DAEMON_PROGRAM, Flags, {Own.Http_, Own.Udp_, Own.Tcp_}, "event=started");
  return *EntryHosts_[Number];
}

std::vector<Address> Cluster::entryAddresses() const {
  std::vector<Address> Result;
  for (const auto &[Number, Known] : Addresses_)
    Result.push_back(Known.Udp_);
  return Result;
}

Process &Cluster::startAgent(const std::string &Name, const std::string &Domain,
                             std::vector<std::string> Flags,
                             const std::string &EntryList) {
  DomainOf_[Name] = Domain;
  const Address Udp = Ports_.hold(), Tcp = Ports_.hold();
  for (const std::string &Flag :
       {std::string("--role=agent"), "--node=" + Name, "--domain=" + Domain,
        flag("udp-listen", Udp), flag("tcp-listen", Tcp),
        "--entries=" + (EntryList.empty() ? entryList(0) : EntryList)})
    Flags.push_back(Flag);
  Flags.insert(Flags.end(), Times_.begin(), Times_.end());
  Agents_[Name] = launch(DAEMON_PROGRAM, Flags, {Udp, Tcp}, "event=started");
  return *Agents_[Name];
}

void Cluster::startWorker(const std::string &Name, const std::string &Domain,
                          const std::string &Rack) {
  RackOf_[Name] = Rack;
  Address Runtime = Ports_.hold();
  Runtimes_[Name] =
      launch(RUNTIME_PROGRAM, {net::toString(Runtime)}, {Runtime}, "ready");
  startAgent(Name, Domain,
             {"--kind=worker", "--rack=" + Rack, "--accelerators=8",
              flag("runtime-address", Runtime)});
}

void Cluster::startUpstream(const std::string &Name, const std::string &Domain,
                            const std::string &Service,
                            std::vector<std::string> Flags,
                            const std::string &Entries) {
  Address Announce = Ports_.hold();
  Ports_.releaseUdp(Announce);
  startAgent(Name, Domain,
             {"--kind=upstream", flag("announce-listen", Announce)}, Entries);
  for (const std::string &Flag :
       {std::string("--agent"), net::toString(Announce),
        std::string("--service"), Service})
    Flags.push_back(Flag);
  Upstreams_[Name] = std::make_unique<Process>(UPSTREAM_PROGRAM, Flags);
}

bool Cluster::waitStatus(int Entry, const std::string &Text,
                         std::chrono::milliseconds Limit) {
  return waitAnswer(Entry, "/v1/status", Text, Limit);
}

bool Cluster::waitAnswer(int Entry, const std::string &Path,
                         const std::string &Text,
                         std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  std::mutex Mutex;
  std::condition_variable Never;
  std::unique_lock<std::mutex> Lock(Mutex);
  while (std::chrono::steady_clock::now() < End) {
    if (call(Entry, "GET", Path).Body_.find(Text) != std::string::npos)
      return true;
    Never.wait_for(Lock, std::chrono::milliseconds(50));
  }
  return false;
}

void Cluster::setLogFaults(const std::string &Faults) {
  net::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/faults";
  Request.Query_ = Faults;
  auto Response = net::HttpClient(LogAddress_).call(Request, timeout());
  if (!Response.ok() || Response->Status_ != 200)
    throw std::runtime_error("the log takes no faults");
}

HttpResponse Cluster::call(int Entry, const std::string &Method,
                           const std::string &Path, const std::string &Body,
                           const std::string &Key) {
  net::HttpRequest Request;
  Request.Method_ = Method;
  auto Query = Path.find('?');
  Request.Path_ = Path.substr(0, Query);
  if (Query != Path.npos)
    Request.Query_ = Path.substr(Query + 1);
  Request.Headers_ = {{"X-Client-Account", "acc"}};
  if (!Key.empty())
    Request.Headers_.emplace_back("Idempotency-Key", Key);
  Request.Body_ = Body;
  auto Response =
      net::HttpClient(Addresses_.at(Entry).Http_).call(Request, timeout());
  if (!Response.ok())
    return {0, "", std::string(Response.status().message())};
  return *Response;
}

bool Cluster::publish(int Entry, const std::string &Table,
                      const std::string &Rows) {
  const HttpResponse Answer =
      call(Entry, "PUT", "/v1/tables/" + Table + "?version=0", Rows);
  if (Answer.Status_ != 200)
    std::cerr << "entry host " << Entry << " did not publish " << Table << ": "
              << Answer.Status_ << " " << Answer.Body_ << "\n";
  return Answer.Status_ == 200;
}

bool Cluster::publishTables(int Entry, const std::vector<std::string> &Domains,
                            const std::string &RouteFields) {
  std::string Rows;
  for (const std::string &Domain : Domains)
    Rows += (Rows.empty() ? "" : ",") +
            (R"({"name":"p-)" + Domain +
             R"(","account":"acc","service":"svc","domain":")" + Domain +
             R"(","guaranteed":8,"block":8,"level":"worker","limit":64,)"
             R"("requests":64})");
  if (!publish(Entry, "pools", R"({"pools":[)" + Rows + "]}") ||
      !publish(Entry, "routes",
               R"({"routes":[{"path":"/svc","service":"svc")" + RouteFields +
                   "}]}"))
    return false;
  // The other entry hosts follow within the 3 s of the rule, not at once.
  for (const auto &[Number, Host] : EntryHosts_)
    if (!waitAnswer(Number, "/v1/tables/routes", R"("version": 1)",
                    std::chrono::seconds(30)))
      return false;
  return true;
}

std::string Cluster::submit(int Entry, int Tasks, int Accelerators,
                            const std::string &Level,
                            const std::string &Command,
                            const std::string &Class,
                            const std::string &Account) {
  auto Response =
      call(Entry, "POST", "/v1/jobs",
           R"({"account":")" + Account + R"(","service":"svc","tasks":)" +
               std::to_string(Tasks) + R"(,"accelerators_per_task":)" +
               std::to_string(Accelerators) + R"(,"level":")" + Level +
               R"(","class":")" + Class +
               R"(","declared_ms":1000,"command":")" + Command + R"("})");
  if (Response.Status_ == 202)
    return member(Response.Body_, "id");
  if (member(Response.Body_, "outcome") != "not_run")
    ++UnknownJobs_;
  return std::string();
}

std::string Cluster::waitJob(int Entry, const std::string &Id,
                             std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  std::string State;
  while (std::chrono::steady_clock::now() < End) {
    State = member(
        call(Entry, "GET", "/v1/jobs/" + Id + "/wait?timeout_ms=2000").Body_,
        "state");
    if (State == "finished" || State == "cancelled" || State == "failed")
      break;
  }
  return State;
}

std::string Cluster::jobState(int Entry, const std::string &Id) {
  return member(call(Entry, "GET", "/v1/jobs/" + Id).Body_, "state");
}

int Cluster::countStarts(const std::string &Text, const std::string &Domain) {
  int Count = 0;
  for (auto &[Name, Runtime] : Runtimes_)
    if (Domain.empty() || DomainOf_[Name] == Domain)
      Count += Runtime->countLines(Text);
  return Count;
}

int Cluster::countRuns(const std::string &Text) {
  int Count = 0;
  for (auto &[Name, Upstream] : Upstreams_)
    Count += Upstream->countLines(Text);
  return Count;
}

} // namespace e2e
