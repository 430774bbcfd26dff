#include "executor.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <thread>

namespace loopback {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr Milliseconds TickInterval(10);
constexpr Milliseconds BeatInterval(1500);
constexpr Milliseconds MaxLease(10000);

long unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Executor::Executor(boost::asio::io_context &Context, ExecutorSettings Settings,
                   Record &Log)
    : Context_(Context), Settings_(std::move(Settings)), Log_(Log),
      Timer_(Context), Port_(freePort()) {
  restart();
  tick();
}

void Executor::announceTo(std::uint16_t AgentPort) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  AgentPort_ = AgentPort;
}

void Executor::setUnhealthy(bool Unhealthy) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  Unhealthy_ = Unhealthy;
}

void Executor::delayNextStart(Milliseconds Delay) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  NextStartDelay_ = Delay;
}

bool Executor::hasDelayedStart() const {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  return StartDelayed_;
}

void Executor::crash() {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  Log_.write(Settings_.Id_,
             "crashes with " + std::to_string(Runs_.size()) + " tasks running");
  Alive_ = false;
  Server_.reset();
  Runs_.clear();
  Ends_.clear();
  Polls_.clear();
}

void Executor::restart() {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  Alive_ = true;
  BornAt_ = Clock::now();
  Born_ = unixMilliseconds();
  Sequence_ = 0;
  Fence_ = 0;
  LeaseEnds_ = 0;
  NextEnd_ = 1;
  HighestEnded_.clear();
  NextBeat_ = Clock::now();
  Server_ = std::make_unique<HttpServer>(
      Context_, Port_, [this](const Request &Message, const Respond &Send) {
        handle(Message, Send);
      });
  Log_.write(Settings_.Id_, "starts, born " + std::to_string(Born_));
}

std::set<std::string> Executor::running() const {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  std::set<std::string> Tasks;
  for (const auto &[Key, Item] : Runs_)
    Tasks.insert(Key.first);
  return Tasks;
}

int Executor::starts(const std::string &Task) const {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  auto It = Starts_.find(Task);
  return It == Starts_.end() ? 0 : It->second;
}

long Executor::clock() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - BornAt_)
      .count();
}

void Executor::extendLease(long Deadline) {
  LeaseEnds_ = std::max(LeaseEnds_,
                        std::min<long>(Deadline, clock() + MaxLease.count()));
}

void Executor::tick() {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  if (Alive_) {
    const auto Now = Clock::now();
    std::vector<std::pair<std::string, const char *>> Over;
    for (const auto &[Key, Item] : Runs_)
      if (clock() > LeaseEnds_)
        Over.emplace_back(Key.first, "lapsed");
      else if (Now >= Item.EndsAt_)
        Over.emplace_back(Key.first, "done");
    for (const auto &[Task, How] : Over)
      endRun(Task, How);
    for (auto It = Polls_.begin(); It != Polls_.end();) {
      if (Now < It->Until_ && Ends_.empty()) {
        ++It;
        continue;
      }
      It->Send_({200, lists()});
      It = Polls_.erase(It);
    }
    if (AgentPort_ != 0 && Now >= NextBeat_) {
      NextBeat_ = Now + BeatInterval;
      beat();
    }
  }
  Timer_.expires_after(TickInterval);
  Timer_.async_wait([this](const boost::system::error_code &Failure) {
    if (!Failure)
      tick();
  });
}

void Executor::beat() {
  const Json Body = {
      {"service", Settings_.Service_},
      {"address", "127.0.0.1:" + std::to_string(Port_)},
      {"zone", Settings_.Zone_},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"born", Born_},
      {"sequence", ++Sequence_},
      {"clock_ms", clock()},
      {"capacity",
       {{"cpu", 64000}, {"mem_mb", 131072}, {"gpu", Settings_.Accelerators_}}},
      {"labels", Settings_.Labels_}};
  std::thread([Port = AgentPort_, Id = Settings_.Id_, Text = Body.dump()] {
    call(Port, "PUT", "/executors/" + Id, {}, Text, Milliseconds(1000));
  }).detach();
}

void Executor::handle(const Request &Message, const Respond &Send) {
  std::lock_guard<std::recursive_mutex> Lock(Mutex_);
  if (!Alive_)
    return;
  auto Expected = Message.find("X-Nutmegwell-Expected-Instance");
  if (Expected != Message.end() && Expected->value() != Settings_.Id_)
    return Send({421, Json{{"clock_ms", clock()}}.dump()});
  const std::string Path(Message.target());
  const std::string &Body = Message.body();
  if (Path == "/hold")
    return hold(Body, Send);
  if (Path == "/run-stop")
    return Send(stop(Body));
  if (Path != "/run-start")
    return Send({200, Json{{"clock_ms", clock()}}.dump()});
  if (Unhealthy_)
    return Send({503, Json{{"clock_ms", clock()}}.dump()});
  if (NextStartDelay_ == Milliseconds(0))
    return Send(start(Body, false));
  StartDelayed_ = true;
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context_);
  Timer->expires_after(std::exchange(NextStartDelay_, Milliseconds(0)));
  Timer->async_wait([this, Timer, Body](const boost::system::error_code &) {
    std::lock_guard<std::recursive_mutex> Held(Mutex_);
    if (Alive_)
      start(Body, true);
  });
  Log_.write(Settings_.Id_, "leaves a start without an answer: " + Body);
}

Response Executor::start(const std::string &Body, bool Delayed) {
  const Json Order = Json::parse(Body);
  const std::string Task = Order.at("task");
  const long Number = Order.at("run");
  const std::string Name = Task + " run " + std::to_string(Number);
  auto Refuse = [&](const char *Reason) -> Response {
    Log_.write(Settings_.Id_, "refuses " + Name + ": " + Reason);
    return {409, Json{{"clock_ms", clock()}, {"reason", Reason}}.dump()};
  };
  const long Fence = Order.value("fencing_token", 0L);
  if (Fence < Fence_)
    return Refuse("fence");
  Fence_ = Fence;
  const long Deadline = Order.at("deadline_ms");
  if (Deadline < clock())
    return Refuse("late");
  extendLease(Deadline);
  if (Runs_.count({Task, Number}) > 0)
    return {200, Json{{"clock_ms", clock()}}.dump()};
  auto Highest = HighestEnded_.find(Task);
  if (Highest != HighestEnded_.end() && Number <= Highest->second)
    return Refuse("old");
  const Milliseconds Length(
      std::stol(Order.at("task_spec").get<std::string>()));
  Runs_[{Task, Number}] = {Clock::now() + Length, Clock::now(), Length};
  ++Starts_[Task];
  Log_.write(Settings_.Id_,
             "starts " + Name + (Delayed ? " on the delayed order" : ""));
  return {200, Json{{"clock_ms", clock()}}.dump()};
}

Response Executor::stop(const std::string &Body) {
  const Json Order = Json::parse(Body);
  const std::string Task = Order.at("task");
  const long Number = Order.at("run");
  const long Fence = Order.value("fencing_token", 0L);
  if (Fence < Fence_)
    return {409, Json{{"clock_ms", clock()}, {"reason", "fence"}}.dump()};
  Fence_ = Fence;
  if (Runs_.count({Task, Number}) > 0)
    endRun(Task, "stopped");
  long &Highest = HighestEnded_[Task];
  Highest = std::max(Highest, Number);
  return {200, Json{{"clock_ms", clock()}}.dump()};
}

void Executor::hold(const std::string &Body, const Respond &Send) {
  const Json Order = Json::parse(Body);
  const long Fence = Order.value("fencing_token", 0L);
  if (Fence < Fence_)
    return Send({409, Json{{"clock_ms", clock()}, {"reason", "fence"}}.dump()});
  Fence_ = Fence;
  if (Order.contains("deadline_ms"))
    extendLease(Order["deadline_ms"]);
  const long Seen = Order.value("last_seen", 0L);
  Ends_.erase(
      std::remove_if(Ends_.begin(), Ends_.end(),
                     [&](const End &Item) { return Item.Number_ <= Seen; }),
      Ends_.end());
  const Milliseconds Wait(Order.value("wait_ms", 0L));
  if (!Ends_.empty() || Wait == Milliseconds(0))
    return Send({200, lists()});
  Polls_.push_back({Send, Clock::now() + Wait});
}

std::string Executor::lists() const {
  Json Running = Json::array();
  Json Ended = Json::array();
  for (const auto &[Key, Item] : Runs_) {
    const double Share =
        std::chrono::duration<double>(Clock::now() - Item.BeganAt_) /
        std::chrono::duration<double>(Item.Length_);
    Running.push_back({Key.first, Key.second, "",
                       static_cast<int>(std::min(99.0, 100 * Share)), 0});
  }
  for (const End &Item : Ends_)
    Ended.push_back({Item.Number_, Item.Task_, Item.Run_, Item.How_, ""});
  return Json{{"clock_ms", clock()},
              {"born", Born_},
              {"running", Running},
              {"ended", Ended}}
      .dump();
}

void Executor::endRun(const std::string &Task, const char *How) {
  for (auto It = Runs_.begin(); It != Runs_.end(); ++It)
    if (It->first.first == Task) {
      const long Number = It->first.second;
      Log_.write(Settings_.Id_, "ends " + Task + " run " +
                                    std::to_string(Number) + ": " + How);
      long &Highest = HighestEnded_[Task];
      Highest = std::max(Highest, Number);
      Ends_.push_back({NextEnd_++, Task, Number, How});
      Runs_.erase(It);
      return;
    }
}

} // namespace loopback
