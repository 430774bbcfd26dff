#include "deployment.h"
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace testbed {

namespace {

using Json = nlohmann::json;

constexpr const char *Program = "target/apps/nutmegwelld";
constexpr auto RestartDelay = Milliseconds(500);
const char *const Zones[] = {"xixon", "nava", "astigarraga"};

/// Two queues of the service, as the operator writes them.
std::string tables() {
  const auto Queue = [](const char *Name, const char *Prefix, int Priority) {
    return Json{{"name", Name},
                {"host", QueueHost},
                {"path_prefix", Prefix},
                {"kind", "unsafe"},
                {"timeout_ms", 3000},
                {"target_latency_ms", 3000},
                {"priority", Priority},
                {"service", "presses"},
                {"max_attempts", 3},
                {"stretch", 3.0},
                {"allow_anonymous", false}};
  };
  return Json{
      {"version", 7},
      {"routes",
       {Queue("r-pule", "/pule252/", 1), Queue("r-lohu", "/lohu930/", 2)}},
      {"services",
       {{{"name", "presses"},
         {"health_path", "/health"},
         {"max_connections", 64},
         {"protocol", "h1"},
         {"rejects_overload", false}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 262144},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "kaje80"},
         {"api_keys", {AccountKey}},
         {"priority", 1},
         {"guaranteed_gpu", {{"gpu", 8}}}},
        {{"name", "moze41"},
         {"api_keys", {OtherAccountKey}},
         {"priority", 1},
         {"guaranteed_gpu", {{"gpu", 0}}}}}}}
      .dump();
}

std::string loopbackAddress(int Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace

std::string argument(int Count, char **Values, int Index,
                     const std::string &Default) {
  return Index < Count ? Values[Index] : Default;
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

std::string stateIn(const Answer &Reply) {
  const Json Body = Json::parse(Reply.Body_, nullptr, false);
  return Body.is_object() ? Body.value("state", "") : "";
}

Deployment::Deployment(const DeploymentSettings &Settings, Record &Lines)
    : Settings_(Settings), Record_(Lines), Store_(Lines) {
  char Template[] = "/tmp/nutmegwell-review-XXXXXX";
  if (!::mkdtemp(Template))
    throw std::runtime_error("no temporary folder");
  Folder_ = Template;
  Store_.publish("config", tables());
  std::vector<int> ControlPorts;
  std::string Seeds;
  for (int I = 0; I < Settings_.Entries_; ++I) {
    ControlPorts.push_back(freePort());
    Seeds += (I ? "," : "") + loopbackAddress(ControlPorts.back());
  }
  for (int I = 0; I < Settings_.Entries_; ++I)
    addEntry(I, Seeds, ControlPorts[I]);
  for (int I = 0; I < Settings_.Executors_; ++I)
    addAgent(I, Seeds);
  for (Process &Target : Entries_)
    start(Target);
  for (Process &Target : Agents_)
    start(Target);
  Watch_ = std::thread([this] { watchEntries(); });
}

Deployment::~Deployment() {
  Closing_ = true;
  Watch_.join();
  for (Process &Target : Entries_)
    end(Target);
  for (Process &Target : Agents_)
    end(Target);
  Executors_.clear();
  std::error_code Ignored; // A folder that is left behind does no harm.
  if (const char *Kept = std::getenv("KEEP_LOGS"))
    std::filesystem::copy(Folder_, Kept,
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing,
                          Ignored);
  std::filesystem::remove_all(Folder_, Ignored);
}

void Deployment::addEntry(int Index, const std::string &Seeds,
                          int ControlPort) {
  Process Added;
  Added.Name_ = "entry" + std::to_string(Index);
  Added.SettingsPath_ = Folder_ + "/" + Added.Name_ + ".settings";
  Added.LogPath_ = Folder_ + "/" + Added.Name_ + ".log";
  Added.FrontPort_ = freePort();
  Added.ReadyPort_ = freePort();
  std::ofstream(Added.SettingsPath_)
      << "--role=site-entry\n--node=" << Added.Name_
      << "\n--domain=" << Zones[Index % 3]
      << "\n--callers-listen=" << loopbackAddress(Added.FrontPort_)
      << "\n--ready-listen=" << loopbackAddress(Added.ReadyPort_)
      << "\n--peers-listen=" << loopbackAddress(ControlPort)
      << "\n--store-address=" << loopbackAddress(Store_.port())
      << "\n--seeds=" << Seeds
      << "\n--max-hold=" << Settings_.Executor_.MaxHold_.count() << "ms"
      << "\n--stop-grace=6s\n--remote-penalty=3\n--stop-time=200ms"
      << "\n--learn-run-times\n--memory-limit=" << Settings_.EntryMemoryMb_
      << "\n--descriptor-limit=4100\n--metrics-listen="
      << loopbackAddress(freePort()) << "\n";
  Entries_.push_back(Added);
}

void Deployment::addAgent(int Index, const std::string &Seeds) {
  ExecutorSettings Each = Settings_.Executor_;
  Each.Id_ = "i-" + std::to_string(1000 + Index);
  Each.Zone_ = Zones[Index % 3];
  Each.Rack_ = "r1-" + std::to_string(Index / 3);
  Executors_.push_back(std::make_unique<Executor>(Each, Record_, Ledger_));
  Process Added;
  Added.Name_ = "agent" + std::to_string(Index);
  Added.SettingsPath_ = Folder_ + "/" + Added.Name_ + ".settings";
  Added.LogPath_ = Folder_ + "/" + Added.Name_ + ".log";
  const int ControlPort = freePort();
  std::ofstream(Added.SettingsPath_)
      << "--role=site-agent\n--node=" << Added.Name_
      << "\n--domain=" << Each.Zone_
      << "\n--worker-listen=" << loopbackAddress(ControlPort)
      << "\n--worker-address=" << loopbackAddress(Executors_.back()->port())
      << "\n--seeds=" << Seeds << "\n--max-hold=" << Each.MaxHold_.count()
      << "ms\n--stop-grace=6s\n--memory-limit=128\n--descriptor-limit=4096"
      << "\n--metrics-listen=" << loopbackAddress(freePort()) << "\n";
  Agents_.push_back(Added);
  Executors_.back()->announceTo(ControlPort);
}

void Deployment::start(Process &Target) const {
  std::vector<std::string> Variables = {"NUTMEGWELL_NODE_FILE=" +
                                        Target.SettingsPath_};
  for (const char *Name : {"PATH", "HOME", "LANG"})
    if (const char *Value = std::getenv(Name))
      Variables.push_back(std::string(Name) + "=" + Value);
  std::vector<char *> Environment;
  for (std::string &Variable : Variables)
    Environment.push_back(Variable.data());
  Environment.push_back(nullptr);
  std::string Path = Program;
  char *Arguments[] = {Path.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO,
                                   Target.LogPath_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  const int Error = ::posix_spawn(&Target.Pid_, Program, &Actions, nullptr,
                                  Arguments, Environment.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error(std::string("cannot start ") + Program);
  Record_.add("platform: started " + Target.Name_);
}

void Deployment::end(Process &Target) {
  if (Target.Pid_ <= 0)
    return;
  ::kill(Target.Pid_, SIGKILL);
  ::waitpid(Target.Pid_, nullptr, 0);
  Target.Pid_ = -1;
}

void Deployment::signalProcess(Process &Target, int Signal) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Target.Pid_ <= 0)
    return;
  Record_.add("platform: signal " + std::to_string(Signal) + " to " +
              Target.Name_);
  if (Signal == SIGKILL)
    end(Target);
  else
    ::kill(Target.Pid_, Signal);
}

void Deployment::signalEntry(int Entry, int Signal) {
  signalProcess(Entries_[Entry], Signal);
}

void Deployment::signalAgent(int Agent, int Signal) {
  signalProcess(Agents_[Agent], Signal);
}

void Deployment::restartEntry(int Entry) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Entries_[Entry].Pid_ <= 0)
    start(Entries_[Entry]);
}

void Deployment::restartAgent(int Agent) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Agents_[Agent].Pid_ <= 0)
    start(Agents_[Agent]);
}

bool Deployment::entryReady(int Entry) {
  Request Message;
  Message.Method_ = "GET";
  Message.Path_ = "/readiness";
  Message.Headers_["Host"] = "ready";
  const auto Reply =
      call(Entries_[Entry].ReadyPort_, Message, Milliseconds(1000));
  return Reply && Reply->Status_ == 200;
}

long Deployment::entryMemoryMb(int Entry) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::ifstream Status("/proc/" + std::to_string(Entries_[Entry].Pid_) +
                       "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.rfind("VmRSS:", 0) == 0)
      return std::stol(Line.substr(6)) / 1024;
  return 0;
}

void Deployment::watchEntries() {
  constexpr auto Interval = Milliseconds(50);
  while (!Closing_) {
    std::this_thread::sleep_for(Interval);
    for (int I = 0; I < entryCount(); ++I) {
      restartIfEnded(I);
      if (Settings_.KillOverMemory_)
        killOverMemory(I);
    }
  }
}

void Deployment::restartIfEnded(int Entry) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Process &Target = Entries_[Entry];
    int Status = 0;
    if (Target.Pid_ <= 0 || ::waitpid(Target.Pid_, &Status, WNOHANG) == 0)
      return;
    Target.Pid_ = -1;
    ++Crashes_;
    Record_.say("platform: " + Target.Name_ + " has ended by itself, " +
                (WIFSIGNALED(Status)
                     ? "signal " + std::to_string(WTERMSIG(Status))
                     : "code " + std::to_string(WEXITSTATUS(Status))) +
                ", and is started again");
  }
  std::this_thread::sleep_for(RestartDelay);
  restartEntry(Entry);
}

void Deployment::killOverMemory(int Entry) {
  const long Used = entryMemoryMb(Entry);
  if (Used <= Settings_.EntryMemoryMb_)
    return;
  ++MemoryKills_;
  Record_.say("platform: " + Entries_[Entry].Name_ + " uses " +
              std::to_string(Used) + " MB of " +
              std::to_string(Settings_.EntryMemoryMb_) +
              " MB, killed and started again");
  signalEntry(Entry, SIGKILL);
  std::this_thread::sleep_for(RestartDelay);
  restartEntry(Entry);
}

bool Deployment::waitReady(Milliseconds Limit) {
  const Clock::time_point End = Clock::now() + Limit;
  for (int I = 0; I < entryCount(); ++I)
    while (!entryReady(I)) {
      if (Clock::now() > End)
        return false;
      std::this_thread::sleep_for(Milliseconds(100));
    }
  const std::string Job = "00000000000000ff";
  const Answer Reply =
      persist("POST", "/pule252/", Job,
              R"({"task_spec":"10","steps":[{"count":1,"cpu":100}]})", 4);
  while (Reply.Status_ == 200 && Clock::now() < End) {
    if (stateIn(get(0, "/pule252/", Job, Milliseconds(3000))) == "completed")
      return true;
    std::this_thread::sleep_for(Milliseconds(100));
  }
  return false;
}

Answer Deployment::exchange(const std::string &Method, int Entry,
                            const std::string &Path, const std::string &Body,
                            Milliseconds Timeout, const std::string &Key) {
  Request Message;
  Message.Method_ = Method;
  Message.Path_ = Path;
  Message.Headers_["Host"] = QueueHost;
  Message.Headers_["Api-Key"] = Key;
  Message.Headers_["X-Nutmegwell-Deadline-Ms"] =
      std::to_string(Timeout.count());
  if (!Body.empty())
    Message.Headers_["Content-Type"] = "application/json";
  Message.Body_ = Body;
  const auto Reply = call(Entries_[Entry].FrontPort_, Message, Timeout);
  const std::string Shown = Body.size() > 200
                                ? Body.substr(0, 200) + "... (" +
                                      std::to_string(Body.size()) + " bytes)"
                                : Body;
  Record_.add("client: " + Method + " " + Path + " at " +
              Entries_[Entry].Name_ + " " + Shown + " -> " +
              (Reply ? std::to_string(Reply->Status_) + " " + Reply->Body_
                     : "no answer"));
  return Reply ? Answer{Reply->Status_, Reply->Body_} : Answer();
}

Answer Deployment::post(int Entry, const std::string &Queue,
                        const std::string &Job, const std::string &Body,
                        Milliseconds Timeout, const std::string &Key) {
  return exchange("POST", Entry, Queue + Job, Body, Timeout, Key);
}

Answer Deployment::get(int Entry, const std::string &Queue,
                       const std::string &Job, Milliseconds Timeout) {
  return exchange("GET", Entry, Queue + Job, "", Timeout);
}

Answer Deployment::cancel(int Entry, const std::string &Queue,
                          const std::string &Job, Milliseconds Timeout) {
  return exchange("DELETE", Entry, Queue + Job, "", Timeout);
}

Answer Deployment::persist(const std::string &Method, const std::string &Queue,
                           const std::string &Job, const std::string &Body,
                           int Attempts) {
  constexpr auto Deadline = Milliseconds(3000);
  constexpr auto Pause = Milliseconds(300);
  Answer Reply;
  for (int I = 0; I < Attempts && Reply.Status_ != 200; ++I) {
    if (I > 0)
      std::this_thread::sleep_for(Pause);
    Reply = exchange(Method, I % entryCount(), Queue + Job, Body, Deadline);
  }
  return Reply;
}

} // namespace testbed
