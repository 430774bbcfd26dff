#include "executor.h"
#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr milliseconds TickInterval(5);
constexpr milliseconds AnnouncementInterval(1500);

std::string text(const std::pair<std::string, std::uint64_t> &Key) {
  return Key.first + " run " + std::to_string(Key.second);
}

} // namespace

nlohmann::json announcement(const ExecutorSettings &Settings, std::int64_t Born,
                            milliseconds ClockTime, std::uint64_t Sequence) {
  return {{"service", Settings.Service_},
          {"address", "127.0.0.1:" + std::to_string(Settings.Port_)},
          {"zone", Settings.Zone_},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"capacity", {{"cpu", 64000}, {"mem_mb", 131072}, {"gpu", 8}}},
          {"labels", {"a", Settings.Rack_}},
          {"born", Born},
          {"clock_ms", ClockTime.count()},
          {"sequence", Sequence}};
}

Executor::Executor(ExecutorSettings Settings, Planner Plan, Record &Log)
    : Settings_(std::move(Settings)), Plan_(std::move(Plan)), Log_(Log),
      Born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  HttpServer(Settings_.Port_,
             [this](const HttpRequest &Request) { return handle(Request); });
  std::thread([this] {
    for (;;) {
      tick();
      std::this_thread::sleep_for(TickInterval);
    }
  }).detach();
  std::thread([this] {
    for (;;) {
      announce();
      std::this_thread::sleep_for(AnnouncementInterval);
    }
  }).detach();
}

std::vector<RunHistory> Executor::runs() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return History_;
}

milliseconds Executor::clock() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Begin_);
}

Executor::Json Executor::stamp() const {
  return {{"clock_ms", clock().count()}, {"born", Born_}};
}

HttpResponse Executor::refuse(const char *Reason) const {
  Json Body = stamp();
  Body["reason"] = Reason;
  return {409, Body.dump()};
}

void Executor::announce() {
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Path_ = "/executors/" + Settings_.Id_;
  Request.Body_ = announcement(Settings_, Born_, clock(), ++Sequence_).dump();
  sendRequest(Settings_.AgentPort_, Request, std::chrono::seconds(1));
}

std::optional<HttpResponse> Executor::handle(const HttpRequest &Request) {
  auto Expected = Request.Headers_.find("x-nutmegwell-expected-instance");
  if (Expected != Request.Headers_.end() && Expected->second != Settings_.Id_) {
    Log_.add(Settings_.Id_,
             "answers 421 to " + Request.Path_ + " for " + Expected->second);
    return HttpResponse{421, stamp().dump()};
  }
  const Json Body = Json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return HttpResponse{400, "{}"};
  if (Request.Path_ == "/hold")
    return hold(Body);
  if (Request.Path_ == "/run-start")
    return start(Body);
  if (Request.Path_ == "/run-stop")
    return stop(Body);
  if (Request.Path_ == "/pace")
    return HttpResponse{200, stamp().dump()};
  return HttpResponse{404, "{}"};
}

bool Executor::isFenced(const Json &Body) {
  const std::uint64_t Token = Body.value("fencing_token", std::uint64_t(0));
  if (Token < Fence_)
    return true;
  Fence_ = Token;
  return false;
}

void Executor::extendLease(const Json &Body) {
  if (Body.contains("deadline_ms"))
    LeaseUntil_ =
        std::max(LeaseUntil_,
                 std::min(milliseconds(Body["deadline_ms"].get<std::int64_t>()),
                          clock() + Settings_.MaxHold_));
}

HttpResponse Executor::hold(const Json &Body) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (isFenced(Body))
    return refuse("fence");
  extendLease(Body);
  const std::uint64_t LastSeen = Body.value("last_seen", std::uint64_t(0));
  for (const End &Item : Ends_)
    if (Item.Number_ <= LastSeen) {
      History_[Item.History_].Noted_ = true;
      Log_.add(Settings_.Id_, "end of " + text(Item.Key_) + " is noted");
    }
  Ends_.erase(
      std::remove_if(Ends_.begin(), Ends_.end(),
                     [&](const End &Item) { return Item.Number_ <= LastSeen; }),
      Ends_.end());
  Changed_.wait_for(Lock, milliseconds(Body.value("wait_ms", 0)),
                    [&] { return !Ends_.empty(); });
  Json Answer = stamp();
  Answer["running"] = Json::array();
  Answer["ended"] = Json::array();
  for (const auto &[Key, Item] : Active_) {
    const auto Age =
        std::chrono::duration_cast<milliseconds>(Clock::now() - Item.Start_);
    const std::int64_t Percent =
        Item.Plan_.Length_.count() == 0
            ? 0
            : 100 * Age.count() / Item.Plan_.Length_.count();
    Answer["running"].push_back(
        {Key.first, Key.second, "", std::min<std::int64_t>(Percent, 100), 0});
  }
  for (const End &Item : Ends_)
    Answer["ended"].push_back(
        {Item.Number_, Item.Key_.first, Item.Key_.second, Item.How_, ""});
  return {200, Answer.dump()};
}

HttpResponse Executor::start(const Json &Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (isFenced(Body))
    return refuse("fence");
  const RunKey Key{Body.at("task").get<std::string>(),
                   Body.at("run").get<std::uint64_t>()};
  if (milliseconds(Body.at("deadline_ms").get<std::int64_t>()) < clock())
    return refuse("late");
  extendLease(Body);
  if (Active_.count(Key))
    return {200, stamp().dump()};
  if (Key.second <= HighestEnded_[Key.first])
    return refuse("old");
  ActiveRun Item;
  Item.Plan_ =
      Plan_(Settings_.Id_, Key.first, Body.at("task_spec").get<std::string>());
  Item.Start_ = Clock::now();
  Item.History_ = History_.size();
  RunHistory Started;
  Started.Executor_ = Settings_.Id_;
  Started.Task_ = Key.first;
  Started.Run_ = Key.second;
  Started.StartedAt_ = Log_.elapsed();
  History_.push_back(Started);
  Active_[Key] = Item;
  Log_.add(Settings_.Id_,
           "starts " + text(Key) + ", token " + std::to_string(Fence_));
  return {200, stamp().dump()};
}

HttpResponse Executor::stop(const Json &Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (isFenced(Body))
    return refuse("fence");
  const RunKey Key{Body.at("task").get<std::string>(),
                   Body.at("run").get<std::uint64_t>()};
  std::uint64_t &Highest = HighestEnded_[Key.first];
  Highest = std::max(Highest, Key.second);
  endRun(Key, "stopped");
  return {200, stamp().dump()};
}

void Executor::endRun(const RunKey &Key, const std::string &How) {
  auto It = Active_.find(Key);
  if (It == Active_.end())
    return;
  RunHistory &Past = History_[It->second.History_];
  Past.How_ = How;
  Past.EndedAt_ = Log_.elapsed();
  Ends_.push_back({NextEnd_++, Key, How, It->second.History_});
  Active_.erase(It);
  std::uint64_t &Highest = HighestEnded_[Key.first];
  Highest = std::max(Highest, Key.second);
  Log_.add(Settings_.Id_, text(Key) + " ends " + How);
  Changed_.notify_all();
}

void Executor::tick() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<std::pair<RunKey, std::string>> Ending;
  for (const auto &[Key, Item] : Active_) {
    if (clock() > LeaseUntil_)
      Ending.emplace_back(Key, "lapsed");
    else if (Clock::now() - Item.Start_ >= Item.Plan_.Length_)
      Ending.emplace_back(Key, Item.Plan_.Fails_ ? "failed" : "done");
  }
  for (const auto &[Key, How] : Ending)
    endRun(Key, How);
}

} // namespace review
