#include "deployment.h"
#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace loopback {

namespace {

using Json = nlohmann::json;

/// The commands of both roles in the deploy file.
constexpr const char *Program = "target/apps/nutmegwelld";
constexpr const char *ApiKey = "k7b2ex5wa5xwyhks8nbk";
constexpr Milliseconds ClientDeadline(3000);

/// Processes that the case has started and not awaited.
constexpr std::size_t MaxProcesses = 32;
std::array<std::atomic<pid_t>, MaxProcesses> Started;

void replaceStarted(pid_t Old, pid_t New) {
  for (std::atomic<pid_t> &Entry : Started) {
    pid_t Expected = Old;
    if (Entry.compare_exchange_strong(Expected, New))
      return;
  }
}

void endAllAndExit(int) {
  for (const std::atomic<pid_t> &Entry : Started)
    if (Entry != 0)
      kill(Entry, SIGKILL);
  constexpr int CaseNotRun = 2;
  _exit(CaseNotRun);
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    throw std::runtime_error("cannot read " + Path);
  return {std::istreambuf_iterator<char>(In), std::istreambuf_iterator<char>()};
}

std::string makeTemporaryFolder() {
  const char *Base = std::getenv("TMPDIR");
  std::string Pattern =
      std::string(Base && *Base ? Base : "/tmp") + "/review-XXXXXX";
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create a temporary folder");
  return Pattern;
}

std::string loopbackAddress(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Fills in the placeholders and the sections for present values of a settings
/// template.
std::string render(const std::string &Text,
                   const std::map<std::string, std::string> &Values) {
  std::string Result;
  for (std::size_t At = 0; At < Text.size();) {
    const std::size_t Open = Text.find("{{", At);
    if (Open == std::string::npos)
      return Result + Text.substr(At);
    Result += Text.substr(At, Open - At);
    const std::size_t Close = Text.find("}}", Open);
    const std::string Name = Text.substr(Open + 2, Close - Open - 2);
    At = Close + 2;
    if (Name[0] == '#') {
      const std::string EndMark = "{{/" + Name.substr(1) + "}}";
      const std::size_t End = Text.find(EndMark, At);
      if (Values.count(Name.substr(1)) > 0)
        Result += render(Text.substr(At, End - At), Values);
      At = End + EndMark.size();
      continue;
    }
    auto It = Values.find(Name);
    if (It != Values.end())
      Result += It->second;
  }
  return Result;
}

std::string configuration() {
  return Json{{"version", 7},
              {"routes",
               {{{"name", "queue"},
                 {"host", "127.0.0.1"},
                 {"path_prefix", "/queue/"},
                 {"kind", "unsafe"},
                 {"timeout_ms", 3000},
                 {"target_latency_ms", 1000},
                 {"priority", 1},
                 {"service", "service"},
                 {"max_attempts", 3},
                 {"stretch", 3.0},
                 {"allow_anonymous", false}}}},
              {"services",
               {{{"name", "service"},
                 {"health_path", "/health"},
                 {"rejects_overload", false},
                 {"spare", false}}}},
              {"limits", Json::object()},
              {"tenants",
               {{{"name", "tenant"},
                 {"api_keys", {ApiKey}},
                 {"guaranteed_gpu", {{"gpu", 0}}}}}}}
      .dump();
}

} // namespace

void endProcessesOnSignal() {
  std::signal(SIGTERM, endAllAndExit);
  std::signal(SIGINT, endAllAndExit);
}

bool waitUntil(const std::function<bool()> &Condition, Milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return true;
}

Deployment::Deployment(const std::string &Folder)
    : Record_(Folder + "/record.txt"), TemporaryFolder_(makeTemporaryFolder()),
      Work_(boost::asio::make_work_guard(Context_)), Store_(Context_),
      Thread_([this] { Context_.run(); }) {}

Deployment::~Deployment() {
  for (auto *Hosts : {&Entries_, &Agents_})
    for (const std::unique_ptr<Host> &Each : *Hosts)
      if (Each->Pid_ != 0) {
        kill(Each->Pid_, SIGKILL);
        waitForEnd(*Each);
      }
  Context_.stop();
  Thread_.join();
  std::error_code Ignored;
  std::filesystem::remove_all(TemporaryFolder_, Ignored);
}

Host &Deployment::addEntry(const std::string &Name, const std::string &Zone) {
  auto Added = std::make_unique<Host>();
  Added->Name_ = Name;
  Added->Zone_ = Zone;
  Added->Role_ = "entry";
  for (const char *Field : {"front", "ready", "control", "metrics"})
    Added->Ports_[Field] = freePort();
  Entries_.push_back(std::move(Added));
  return *Entries_.back();
}

Executor &Deployment::addExecutor(const std::string &Zone,
                                  std::vector<std::string> Labels) {
  const std::string Number = std::to_string(Executors_.size() + 1);
  ExecutorSettings Settings;
  Settings.Id_ = "i-000000" + Number;
  Settings.Zone_ = Zone;
  Settings.Labels_ = std::move(Labels);
  Executors_.push_back(
      std::make_unique<Executor>(Context_, std::move(Settings), Record_));
  auto Added = std::make_unique<Host>();
  Added->Name_ = "side-" + Number;
  Added->Zone_ = Zone;
  Added->Role_ = "agent";
  for (const char *Field : {"control", "metrics"})
    Added->Ports_[Field] = freePort();
  Added->Ports_["app"] = Executors_.back()->port();
  Executors_.back()->announceTo(Added->Ports_["control"]);
  Agents_.push_back(std::move(Added));
  return *Executors_.back();
}

std::string Deployment::fillTemplate(const Host &Target) const {
  std::string Seeds;
  for (const std::unique_ptr<Host> &Each : Entries_)
    Seeds += (Seeds.empty() ? "" : ",") +
             loopbackAddress(Each->Ports_.at("control"));
  std::map<std::string, std::string> Values = {
      {"node", Target.Name_},
      {"zone", Target.Zone_},
      {"ip", "127.0.0.1"},
      {"internal_ports.0", std::to_string(Target.Ports_.at("metrics"))},
      {"seeds", Seeds},
      {"seeds.0", Seeds},
      {"bounds.max_hold_ms", "10000"},
      {"bounds.grace_period_s", "6"},
      {"bounds.remote_penalty", "3"},
      {"listen.control", loopbackAddress(Target.Ports_.at("control"))}};
  for (const char *Field : {"front", "ready", "store", "app"})
    if (auto It = Target.Ports_.find(Field); It != Target.Ports_.end())
      Values[std::string("listen.") + Field] = loopbackAddress(It->second);
  if (Target.Role_ == "entry")
    Values["platform.address"] = Values["listen.store"];
  else
    Values["app"] = Values["listen.app"];
  return render(readFile("deploy/" + Target.Role_ + ".settings"), Values);
}

void Deployment::launch(Host &Target) {
  Target.SettingsPath_ = TemporaryFolder_ + "/" + Target.Name_ + ".settings";
  Target.LogPath_ = TemporaryFolder_ + "/" + Target.Name_ + ".log";
  if (Target.Role_ == "entry")
    Target.Ports_["store"] = Store_.portOf(Target.Name_);
  std::ofstream(Target.SettingsPath_) << fillTemplate(Target);
  const std::string Variable = "NUTMEGWELL_NODE_FILE=" + Target.SettingsPath_;
  const char *Environment[] = {"PATH=/usr/bin:/bin", "LANG=C.UTF-8",
                               Variable.c_str(), nullptr};
  const char *Arguments[] = {Program, nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO,
                                   Target.LogPath_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // The stand-ins' sockets are not the process's.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  const int Failure = posix_spawn(&Target.Pid_, Program, &Actions, nullptr,
                                  const_cast<char *const *>(Arguments),
                                  const_cast<char *const *>(Environment));
  posix_spawn_file_actions_destroy(&Actions);
  if (Failure != 0)
    throw std::runtime_error(std::string("cannot start ") + Program);
  replaceStarted(0, Target.Pid_);
  Record_.write("platform", "starts " + Target.Name_);
}

void Deployment::signal(Host &Target, int Signal, const char *Word) {
  Record_.write("platform", std::string(Word) + " " + Target.Name_);
  kill(Target.Pid_, Signal);
}

void Deployment::waitForEnd(Host &Target) {
  int Status = 0;
  while (waitpid(Target.Pid_, &Status, 0) < 0 && errno == EINTR) {
  }
  replaceStarted(Target.Pid_, 0);
  Target.Pid_ = 0;
}

bool Deployment::waitReady(Host &Target, Milliseconds Limit) {
  return waitUntil(
      [&] {
        return call(Target.Ports_["ready"], "GET", "/readiness", {}, "",
                    Milliseconds(500))
                   .Status_ == 200;
      },
      Limit);
}

long Deployment::newestTerm(const Host &Target) {
  const std::string Log = readFile(Target.LogPath_);
  const std::string Field = "\"term\":\"";
  const std::size_t Begun = Log.rfind("\"tenure_begun\"");
  const std::size_t Term =
      Begun == std::string::npos ? Begun : Log.find(Field, Begun);
  return Term == std::string::npos
             ? 0
             : std::strtol(Log.c_str() + Term + Field.size(), nullptr, 10);
}

bool Deployment::start() {
  constexpr Milliseconds StartLimit(10000);
  Store_.publish("config", configuration());
  for (auto *Hosts : {&Entries_, &Agents_})
    for (const std::unique_ptr<Host> &Each : *Hosts)
      launch(*Each);
  for (const std::unique_ptr<Host> &Each : Entries_)
    if (!waitReady(*Each, StartLimit))
      return false;
  // Traffic starts 10 s after the machines; by then all executors have sent a
  // heartbeat.
  std::this_thread::sleep_for(Milliseconds(5000));
  return true;
}

Answer Deployment::request(const Host &Target, const std::string &Method,
                           const std::string &Path, const std::string &Body) {
  Record_.write("client", Method + " " + Path + " to " + Target.Name_ +
                              (Body.empty() ? "" : " " + Body));
  const Answer Result = call(
      Target.Ports_.at("front"), Method, Path,
      {{"Api-Key", ApiKey},
       {"X-Nutmegwell-Deadline-Ms", std::to_string(ClientDeadline.count())}},
      Body, ClientDeadline);
  Record_.write(
      "client",
      Method + " " + Path + " to " + Target.Name_ + " gets " +
          (Result.Status_ == 0 ? "no answer" : std::to_string(Result.Status_)) +
          " " + Result.Body_);
  return Result;
}

Answer Deployment::submit(const Host &Target, const std::string &Id,
                          Milliseconds Length,
                          const std::string &MoreStepFields) {
  Json Step = {{"count", 1},
               {"cpu", 1000},
               {"mem_mb", 256},
               {"gpu", 1},
               {"estimated_duration_ms", Length.count()}};
  if (!MoreStepFields.empty())
    Step.update(Json::parse(MoreStepFields));
  const Json Job = {{"task_spec", std::to_string(Length.count())},
                    {"steps", Json::array({Step})}};
  return request(Target, "POST", "/queue/" + Id, Job.dump());
}

std::string Deployment::state(const Host &Target, const std::string &Id) {
  const Answer Result = request(Target, "GET", "/queue/" + Id);
  if (Result.Status_ != 200)
    return std::to_string(Result.Status_);
  return Json::parse(Result.Body_).value("state", "");
}

} // namespace loopback
