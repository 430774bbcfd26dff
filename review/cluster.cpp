#include "cluster.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr char QueueHost[] = "desk.example";
constexpr char QueuePrefix[] = "/jobs/";
constexpr char Key[] = "key-1";
constexpr char Service[] = "entradas";
constexpr char DeadlineMs[] = "3000";

std::string local(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    throw std::runtime_error("cannot read " + Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

/// Fills in a template of the deploy folder: placeholders, and sections that
/// are rendered once when their value is present.
std::string fillIn(std::string Text,
                   const std::map<std::string, std::string> &Values) {
  for (std::size_t At = 0; (At = Text.find("{{#")) != std::string::npos;) {
    const std::size_t NameEnd = Text.find("}}", At);
    const std::string Name = Text.substr(At + 3, NameEnd - At - 3);
    const std::string Close = "{{/" + Name + "}}";
    const std::size_t End = Text.find(Close);
    const std::string Inner = Text.substr(NameEnd + 2, End - NameEnd - 2);
    Text.replace(At, End + Close.size() - At,
                 Values.count(Name) ? Inner : std::string());
  }
  for (std::size_t At = 0; (At = Text.find("{{")) != std::string::npos;) {
    const std::size_t End = Text.find("}}", At);
    auto Value = Values.find(Text.substr(At + 2, End - At - 2));
    Text.replace(At, End + 2 - At,
                 Value == Values.end() ? std::string() : Value->second);
  }
  return Text;
}

/// Returns the command of a role in the deploy file.
std::vector<std::string> commandOf(const std::string &Role) {
  const std::string Text = readFile("deploy/system.toml");
  const std::size_t Section = Text.find("[roles." + Role + "]");
  const std::string Name = "run = \"";
  const std::size_t Begin = Text.find(Name, Section) + Name.size();
  std::istringstream Words(Text.substr(Begin, Text.find('"', Begin) - Begin));
  std::vector<std::string> Command;
  std::string Word;
  while (Words >> Word)
    Command.push_back(Word);
  return Command;
}

std::string tables(int MaxAttempts) {
  return Json{
      {"version", 1},
      {"routes",
       {{{"name", "queue"},
         {"host", QueueHost},
         {"path_prefix", QueuePrefix},
         {"service", Service},
         {"priority", 0},
         {"max_attempts", MaxAttempts},
         {"stretch", 3},
         {"target_latency_ms", 1000}}}},
      {"services", {{{"name", Service}, {"rejects_overload", false}}}},
      {"limits", Json::object()},
      {"tenants",
       {{{"name", "tenant"}, {"api_keys", {Key}}, {"guaranteed_gpu", 8}}}}}
      .dump();
}

} // namespace

bool waitUntil(const std::function<bool()> &Condition, milliseconds Limit) {
  const auto End = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

Cluster::Cluster(Record &Log, int Entries, int Executors, int MaxAttempts,
                 Executor::Planner Plan)
    : Log_(Log), EntryCount_(static_cast<std::size_t>(Entries)) {
  char Name[] = "/tmp/nutmegwell-review-XXXXXX";
  if (!mkdtemp(Name))
    throw std::runtime_error("cannot create a temporary folder");
  Folder_ = Name;
  std::vector<std::uint16_t> StorePorts;
  for (std::size_t I = 0; I < EntryCount_; ++I) {
    StorePorts.push_back(reservePort());
    StorePaths_.push_back(std::make_unique<Proxy>(StorePorts.back()));
  }
  Store_ = std::make_unique<Store>(StorePorts, Log);
  Store_->publish("config", tables(MaxAttempts));
  std::vector<std::uint16_t> ControlPorts;
  std::string Seeds;
  for (std::size_t I = 0; I < EntryCount_; ++I) {
    ControlPorts.push_back(reservePort());
    Seeds += (I == 0 ? "" : ",") + local(ControlPorts.back());
  }
  for (std::size_t I = 0; I < EntryCount_; ++I)
    addEntry(I, Seeds, ControlPorts[I]);
  for (std::size_t I = 0; I < static_cast<std::size_t>(Executors); ++I) {
    ExecutorSettings Settings;
    Settings.Id_ = "i-executor" + std::to_string(I);
    Settings.Service_ = Service;
    Settings.Zone_ = I % 2 == 0 ? "xixon" : "nava";
    Settings.Rack_ = "r-" + Settings.Zone_;
    Settings.Port_ = reservePort();
    Settings.AgentPort_ = reservePort();
    addAgent(I, Seeds, Settings);
    Executors_.push_back(std::make_unique<Executor>(Settings, Plan, Log));
  }
  for (Node &Each : Nodes_)
    startProcess(Each);
}

Cluster::~Cluster() {
  Store_->onAppended(nullptr);
  for (Node &Each : Nodes_)
    endProcess(Each);
  // The threads of the stand-ins run until the end of the test.
  static_cast<void>(Store_.release());
  for (auto &Each : Executors_)
    static_cast<void>(Each.release());
  for (const Node &Each : Nodes_)
    unlink(Each.SettingsPath_.c_str());
  rmdir(Folder_.c_str());
}

void Cluster::addEntry(std::size_t Index, const std::string &Seeds,
                       std::uint16_t ControlPort) {
  Node Added;
  Added.Name_ = "frontend-" + std::to_string(Index);
  Added.FrontPort_ = reservePort();
  Added.ReadyPort_ = reservePort();
  writeSettings(Added, "deploy/entry.settings",
                {{"node", Added.Name_},
                 {"zone", Index % 2 == 0 ? "xixon" : "nava"},
                 {"listen.front", local(Added.FrontPort_)},
                 {"listen.ready", local(Added.ReadyPort_)},
                 {"listen.control", local(ControlPort)},
                 {"platform.address", local(StorePaths_[Index]->port())},
                 {"seeds", Seeds},
                 {"seeds.0", Seeds},
                 {"bounds.max_hold_ms", "6000"},
                 {"bounds.grace_period_s", "6"},
                 {"bounds.remote_penalty", "3"},
                 {"ip", "127.0.0.1"},
                 {"internal_ports.0", std::to_string(reservePort())}});
  Nodes_.push_back(Added);
}

void Cluster::addAgent(std::size_t Index, const std::string &Seeds,
                       const ExecutorSettings &Settings) {
  Node Added;
  Added.Name_ = "side-" + std::to_string(Index);
  writeSettings(Added, "deploy/agent.settings",
                {{"node", Added.Name_},
                 {"zone", Settings.Zone_},
                 {"listen.control", local(Settings.AgentPort_)},
                 {"app", local(Settings.Port_)},
                 {"seeds", Seeds},
                 {"seeds.0", Seeds},
                 {"bounds.max_hold_ms", "6000"},
                 {"bounds.grace_period_s", "6"},
                 {"ip", "127.0.0.1"},
                 {"internal_ports.0", std::to_string(reservePort())}});
  Nodes_.push_back(Added);
}

void Cluster::writeSettings(
    Node &Target, const std::string &Template,
    const std::map<std::string, std::string> &Values) const {
  Target.SettingsPath_ = Folder_ + "/" + Target.Name_ + ".settings";
  std::ofstream(Target.SettingsPath_) << fillIn(readFile(Template), Values);
}

void Cluster::startProcess(Node &Target) {
  const bool Entry = Target.FrontPort_ != 0;
  std::vector<std::string> Words =
      commandOf(Entry ? "site-entry" : "site-agent");
  std::vector<char *> Arguments;
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  std::string Setting = "NUTMEGWELL_NODE_FILE=" + Target.SettingsPath_;
  std::string SearchPath = "PATH=/usr/bin:/bin";
  char *Environment[] = {Setting.data(), SearchPath.data(), nullptr};
  const char *LogFolder = std::getenv("REVIEW_LOGS");
  const std::string LogPath =
      LogFolder ? std::string(LogFolder) + "/" + Target.Name_ + ".log"
                : std::string("/dev/null");
  const pid_t Parent = getpid();
  Target.Pid_ = fork();
  if (Target.Pid_ != 0) {
    Log_.add("test", "starts " + Target.Name_);
    return;
  }
  // The process must not outlive the test.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(1);
  const int Output =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  execve(Arguments[0], Arguments.data(), Environment);
  _exit(127);
}

void Cluster::endProcess(Node &Target) {
  if (Target.Pid_ <= 0)
    return;
  kill(Target.Pid_, SIGKILL);
  waitpid(Target.Pid_, nullptr, 0);
  Target.Pid_ = 0;
}

bool Cluster::waitReady() {
  constexpr milliseconds Limit(20000);
  for (const Node &Each : Nodes_) {
    if (Each.ReadyPort_ == 0)
      continue;
    const bool Ready = waitUntil(
        [&] {
          HttpRequest Request;
          Request.Path_ = "/readiness";
          const auto Response =
              sendRequest(Each.ReadyPort_, Request, milliseconds(500));
          return Response && Response->Status_ == 200;
        },
        Limit);
    if (!Ready)
      return false;
  }
  // One heartbeat interval of the executors and some time for their listing.
  std::this_thread::sleep_for(milliseconds(4000));
  return true;
}

std::vector<RunHistory> Cluster::runsOf(const std::string &Job) const {
  std::vector<RunHistory> Runs;
  for (const auto &Each : Executors_)
    for (const RunHistory &Run : Each->runs())
      if (Run.Task_.rfind(Job + ".", 0) == 0)
        Runs.push_back(Run);
  std::sort(Runs.begin(), Runs.end(),
            [](const RunHistory &A, const RunHistory &B) {
              return A.StartedAt_ < B.StartedAt_;
            });
  return Runs;
}

void Cluster::killEntry(std::size_t Entry, milliseconds Pause) {
  Node &Target = Nodes_[Entry];
  Log_.add("test", "kills " + Target.Name_);
  endProcess(Target);
  std::this_thread::sleep_for(Pause);
  startProcess(Target);
}

std::optional<HttpResponse> Cluster::call(std::size_t Entry,
                                          const std::string &Method,
                                          const std::string &Job,
                                          const std::string &Body) {
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Path_ = QueuePrefix + Job;
  Request.Body_ = Body;
  Request.Headers_ = {{"Host", QueueHost},
                      {"Api-Key", Key},
                      {"X-Nutmegwell-Deadline-Ms", DeadlineMs}};
  const auto Response = sendRequest(Nodes_[Entry].FrontPort_, Request,
                                    milliseconds(std::atoi(DeadlineMs)));
  Log_.add("client", Method + " " + Job + " at " + Nodes_[Entry].Name_ + ": " +
                         (Response ? std::to_string(Response->Status_) + " " +
                                         Response->Body_
                                   : std::string("no answer")));
  return Response;
}

unsigned Cluster::submit(std::size_t Entry, const std::string &Job,
                         const std::string &Body) {
  const auto Response = call(Entry, "POST", Job, Body);
  return Response ? Response->Status_ : 0;
}

unsigned Cluster::cancel(std::size_t Entry, const std::string &Job) {
  const auto Response = call(Entry, "DELETE", Job, "");
  return Response ? Response->Status_ : 0;
}

std::string Cluster::state(std::size_t Entry, const std::string &Job) {
  const auto Response = call(Entry, "GET", Job, "");
  if (!Response || Response->Status_ != 200)
    return UnknownState;
  const Json Body = Json::parse(Response->Body_, nullptr, false);
  return Body.is_object() ? Body.value("state", std::string(UnknownState))
                          : std::string(UnknownState);
}

int runCase(int Argc, char **Argv,
            const std::function<std::optional<bool>(Record &, bool)> &Case) {
  constexpr int Held = 0;
  constexpr int Broken = 1;
  constexpr int CouldNotRun = 2;
  std::signal(SIGPIPE, SIG_IGN);
  const std::string Disruption = Argc == 3 ? Argv[2] : "";
  if (Disruption != "with" && Disruption != "without") {
    std::cerr << "usage: " << Argv[0] << " FOLDER with|without\n";
    return CouldNotRun;
  }
  Record Log(Argv[1]);
  int Code = CouldNotRun;
  try {
    const auto Result = Case(Log, Disruption == "with");
    if (Result)
      Code = *Result ? Held : Broken;
  } catch (const std::exception &Error) {
    Log.add("test", Error.what());
  }
  Log.add("test", Code == Held     ? "the rule held"
                  : Code == Broken ? "the rule was broken"
                                   : "the case could not run");
  // The threads of the stand-ins still run.
  std::cout.flush();
  _exit(Code);
}

} // namespace review
