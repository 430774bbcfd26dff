#include "platformworker.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr core::Duration TickInterval = milliseconds(20);
constexpr int TicksPerBeat = 15;
constexpr std::int64_t MaxHoldMs = 3000;
constexpr double ClockRate = 0.98;
constexpr std::uint32_t Accelerators = 8;

net::HttpResponse reply(unsigned Status, const Json &Body) {
  net::HttpResponse Response;
  Response.Status_ = Status;
  Response.Body_ = Body.dump();
  return Response;
}

} // namespace

void Recorder::add(const std::string &Process, history::EventBody Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Events_.push_back({core::steadyClock().Now_(), Process, std::move(Body)});
}

std::vector<history::Event> Recorder::events() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Events_;
}

PlatformWorker::PlatformWorker(aio::Loop &Owner, const net::Address &Listen,
                               const net::Address &Agent, std::string Name,
                               std::string Domain, Recorder &History,
                               std::uint64_t Seed)
    : Loop_(Owner), Name_(std::move(Name)), Domain_(std::move(Domain)),
      History_(History), Random_(Seed), StartedAt_(core::steadyClock().Now_()),
      BornAt_(std::chrono::time_point_cast<core::Duration>(
          std::chrono::system_clock::now())),
      Server_(Owner, Listen, aio::ServerLimits(),
              [this](net::HttpRequest Request, aio::Responder Respond) {
                handle(Request, Respond);
              }),
      Agent_(Owner, Agent, 1, std::chrono::seconds(5)) {
  History_.add(Name_, history::WorkerBorn{Name_, Accelerators});
  Loop_.post([this] { tick(); });
}

std::int64_t PlatformWorker::clock() const {
  const core::Duration Age = core::steadyClock().Now_() - StartedAt_;
  return static_cast<std::int64_t>(static_cast<double>(Age / milliseconds(1)) *
                                   ClockRate);
}

void PlatformWorker::tick() {
  const core::TimePoint Now = core::steadyClock().Now_();
  std::vector<std::pair<RunKey, std::string>> Over;
  for (const auto &[Key, Row] : Running_) {
    if (clock() > LeaseUntil_)
      Over.emplace_back(Key, "lapsed");
    else if (Now - Row.Start_ >= Row.Length_)
      Over.emplace_back(Key, Row.Fails_ ? "failed" : "done");
  }
  for (const auto &[Key, How] : Over)
    end(Key, How);
  const bool Lapsed = clock() > LeaseUntil_;
  if (Lapsed && !Lapsed_)
    History_.add(Name_, history::WorkerLapsed{Name_});
  Lapsed_ = Lapsed;
  if (++Sequence_ % TicksPerBeat == 1)
    announce();
  Loop_.after(TickInterval, [this] { tick(); });
}

void PlatformWorker::announce() {
  net::HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Path_ = "/executors/" + Name_;
  Request.Body_ = Json{
      {"service", "service"},
      {"address", "127.0.0.1"},
      {"zone", Domain_},
      {"state", "ready"},
      {"born", core::wholeMilliseconds(BornAt_.time_since_epoch()).count()},
      {"sequence", Sequence_},
      {"clock_ms", clock()},
      {"capacity", {{"cpu", 64000}, {"mem_mb", 131072}, {"gpu", Accelerators}}},
      {"labels",
       {"a",
        "rack-" +
            Domain_}}}.dump();
  Agent_.call(std::move(Request), std::chrono::seconds(1),
              [](const absl::StatusOr<net::HttpResponse> &) {});
}

void PlatformWorker::handle(const net::HttpRequest &Request,
                            const aio::Responder &Respond) {
  if (Request.Path_ == "/hold")
    return hold(Request, Respond);
  std::uniform_real_distribution<double> Share(0, 1);
  if (Share(Random_) < LateOrders_) {
    const auto Delay = milliseconds(1000 + Random_() % 2000);
    return Loop_.after(Delay, [this, Request] { carryOut(Request, true); });
  }
  Respond(carryOut(Request, false));
}

net::HttpResponse PlatformWorker::carryOut(const net::HttpRequest &Request,
                                           bool Late) {
  const Json Body = Json::parse(Request.Body_);
  const std::int64_t Now = clock();
  Json Answer = {
      {"clock_ms", Now},
      {"born", core::wholeMilliseconds(BornAt_.time_since_epoch()).count()}};
  auto Refuse = [&](const char *Reason) {
    Answer["reason"] = Reason;
    return reply(409, Answer);
  };
  const std::uint64_t Fence = Body.value("fencing_token", 0ULL);
  if (Fence < Fence_)
    return Refuse("fence");
  Fence_ = Fence;
  const RunKey Key{Body.at("task"), Body.at("run")};
  std::uint64_t &Closed = Closed_[Key.first];
  if (Request.Path_ == "/run-stop") {
    Closed = std::max(Closed, Key.second);
    end(Key, "stopped");
    return reply(200, Answer);
  }
  if (Running_.count(Key))
    return reply(200, Answer);
  if (Body.at("deadline_ms").get<std::int64_t>() < Now)
    return Refuse("late");
  LeaseUntil_ =
      std::max(LeaseUntil_, std::min(Body.at("deadline_ms").get<std::int64_t>(),
                                     Now + MaxHoldMs));
  if (Key.second <= Closed)
    return Refuse("old");
  begin(Key, Body.at("task_spec"), Late);
  return reply(200, Answer);
}

void PlatformWorker::begin(const RunKey &Key, const std::string &Text,
                           bool Late) {
  const std::size_t Blank = Text.find(' ');
  const std::string Time = Text.substr(Blank + 1);
  Run Row;
  Row.Start_ = core::steadyClock().Now_();
  Row.Fails_ = Time.rfind("fail", 0) == 0;
  Row.Length_ = milliseconds(std::stoi(Row.Fails_ ? Time.substr(4) : Time));
  Running_[Key] = Row;
  const auto Takes =
      static_cast<std::uint32_t>(std::stoul(Text.substr(0, Blank)));
  History_.add(Name_, history::RunStarted{recorded(Key), Name_, Domain_, Takes,
                                          Fence_, Late});
}

history::SiteRun PlatformWorker::recorded(const RunKey &Key) {
  jobs::TaskId Task;
  if (!jobs::parseTaskId(Key.first, Task))
    return {Key.first, 0, 0, Key.second};
  return {Task.Job_, Task.Step_, Task.Index_, Key.second};
}

void PlatformWorker::end(const RunKey &Key, const std::string &How) {
  if (Running_.erase(Key) == 0)
    return;
  Closed_[Key.first] = std::max(Closed_[Key.first], Key.second);
  Ended_.push_back({NextEnd_++, Key, How});
  History_.add(Name_, history::RunEnded{recorded(Key), Name_, How});
  auto Waiting = std::move(Waiters_);
  Waiters_.clear();
  for (const auto &Answer : Waiting)
    (*Answer)();
}

std::string PlatformWorker::lists() const {
  Json Running = Json::array();
  for (const auto &[Key, Row] : Running_) {
    const double Part =
        static_cast<double>((core::steadyClock().Now_() - Row.Start_).count()) /
        static_cast<double>(Row.Length_.count() + 1);
    Running.push_back({Key.first, Key.second, "",
                       static_cast<int>(std::min(100.0, 100 * Part)), 0});
  }
  Json Ended = Json::array();
  for (const End &Row : Ended_)
    Ended.push_back(
        {Row.Number_, Row.Key_.first, Row.Key_.second, Row.How_, ""});
  return Json{
      {"clock_ms", clock()},
      {"born", core::wholeMilliseconds(BornAt_.time_since_epoch()).count()},
      {"running", Running},
      {"ended", Ended}}
      .dump();
}

void PlatformWorker::hold(const net::HttpRequest &Request,
                          const aio::Responder &Respond) {
  const Json Body = Json::parse(Request.Body_);
  const std::uint64_t Fence = Body.value("fencing_token", 0ULL);
  if (Fence < Fence_)
    return Respond(reply(409, {{"reason", "fence"}, {"clock_ms", clock()}}));
  Fence_ = Fence;
  if (Body.contains("deadline_ms"))
    LeaseUntil_ =
        std::max(LeaseUntil_, std::min(Body["deadline_ms"].get<std::int64_t>(),
                                       clock() + MaxHoldMs));
  const std::uint64_t Seen = Body.value("last_seen", 0ULL);
  for (const End &Row : Ended_)
    if (Row.Number_ <= Seen)
      History_.add(Name_, history::RunEndNoted{recorded(Row.Key_), Name_});
  Ended_.erase(
      std::remove_if(Ended_.begin(), Ended_.end(),
                     [&](const End &Row) { return Row.Number_ <= Seen; }),
      Ended_.end());
  auto Answer = [this, Respond] {
    net::HttpResponse Response;
    Response.Body_ = lists();
    Respond(std::move(Response));
  };
  const auto Wait = milliseconds(Body.value("wait_ms", 0));
  if (!Ended_.empty() || Wait.count() == 0)
    return Answer();
  auto Waiting = std::make_shared<std::function<void()>>(Answer);
  Waiters_.push_back(Waiting);
  Loop_.after(Wait, [this, Waiting] {
    auto It = std::find(Waiters_.begin(), Waiters_.end(), Waiting);
    if (It == Waiters_.end())
      return;
    Waiters_.erase(It);
    (*Waiting)();
  });
}

} // namespace soak
