#include "platformworker.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr core::Duration TickInterval = milliseconds(20);
constexpr int TicksPerAnnouncement = 15;
constexpr milliseconds MaxLease(3000);
constexpr double ClockRate = 0.98;
constexpr std::uint32_t Accelerators = 8;
/// Share of announcements that one of another writer follows.
constexpr double OtherWriterShare = 0.1;

net::HttpResponse jsonResponse(unsigned Status, const Json &Body) {
  net::HttpResponse Response;
  Response.Status_ = Status;
  Response.Body_ = Body.dump();
  return Response;
}

} // namespace

void HistoryRecorder::add(const std::string &Process, history::EventBody Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Events_.push_back({core::steadyClock().Now_(), Process, std::move(Body)});
}

std::vector<history::Event> HistoryRecorder::events() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Events_;
}

PlatformWorker::PlatformWorker(aio::Loop &Owner, const net::Address &Listen,
                               const net::Address &Agent, std::string Name,
                               std::string Domain, HistoryRecorder &History,
                               std::uint64_t Seed)
    : Loop_(Owner), Name_(std::move(Name)), Domain_(std::move(Domain)),
      History_(History), Random_(Seed), OtherWriterRandom_(Seed + 1),
      StartedAt_(core::steadyClock().Now_()),
      Incarnation_(std::chrono::time_point_cast<core::Duration>(
          std::chrono::system_clock::now())),
      Server_(Owner, Listen, aio::ServerLimits(),
              [this](net::HttpRequest Request, aio::Responder Respond) {
                handle(Request, Respond);
              }),
      Agent_(Owner, Agent, 1, std::chrono::seconds(5)) {
  History_.add(Name_, history::WorkerBorn{Name_, Accelerators});
  Loop_.post([this] { tick(); });
}

milliseconds PlatformWorker::workerClock() const {
  const core::Duration Age = core::steadyClock().Now_() - StartedAt_;
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Age / milliseconds(1)) * ClockRate));
}

void PlatformWorker::tick() {
  const core::TimePoint Now = core::steadyClock().Now_();
  std::vector<std::pair<RunKey, std::string>> EndingRuns;
  for (const auto &[Key, Item] : ActiveRuns_) {
    if (workerClock() > LeaseExpiresAt_)
      EndingRuns.emplace_back(Key, "lapsed");
    else if (Now - Item.Start_ >= Item.RunTime_)
      EndingRuns.emplace_back(Key, Item.Fails_ ? "failed" : "done");
  }
  for (const auto &[Key, Outcome] : EndingRuns)
    endRun(Key, Outcome);
  const bool LeaseExpired = workerClock() > LeaseExpiresAt_;
  if (LeaseExpired && !LeaseExpired_)
    History_.add(Name_, history::WorkerLapsed{Name_});
  LeaseExpired_ = LeaseExpired;
  if (++Sequence_ % TicksPerAnnouncement == 1)
    announce();
  Loop_.after(TickInterval, [this] { tick(); });
}

void PlatformWorker::announce() {
  sendAnnouncement(Name_, "service", Incarnation_);
  std::uniform_real_distribution<double> Share(0, 1);
  if (Share(OtherWriterRandom_) < OtherWriterShare)
    sendAnnouncement("other-" + Name_, "otherservice",
                     std::chrono::time_point_cast<core::Duration>(
                         std::chrono::system_clock::now()));
}

void PlatformWorker::sendAnnouncement(const std::string &Id,
                                      const std::string &Service,
                                      jobs::WallTime Incarnation) {
  net::HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Path_ = "/executors/" + Id;
  Request.Body_ = Json{
      {"service", Service},
      {"address", "127.0.0.1"},
      {"zone", Domain_},
      {"state", "ready"},
      {"born", core::wholeMilliseconds(Incarnation.time_since_epoch()).count()},
      {"sequence", Sequence_},
      {"clock_ms", workerClock().count()},
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
  const std::string Expected = Request.header("X-Nutmegwell-Expected-Instance");
  if (!Expected.empty() && Expected != Name_)
    return Respond(jsonResponse(421, {{"clock_ms", workerClock().count()}}));
  if (Request.Path_ == "/hold")
    return handlePoll(Request, Respond);
  std::uniform_real_distribution<double> Share(0, 1);
  if (Share(Random_) < DelayedOrderShare_) {
    const auto Delay = milliseconds(1000 + Random_() % 2000);
    return Loop_.after(Delay, [this, Request] { handleOrder(Request, true); });
  }
  Respond(handleOrder(Request, false));
}

net::HttpResponse PlatformWorker::handleOrder(const net::HttpRequest &Request,
                                              bool Delayed) {
  const Json Body = Json::parse(Request.Body_);
  const milliseconds Now = workerClock();
  Json Answer = {
      {"clock_ms", Now.count()},
      {"born",
       core::wholeMilliseconds(Incarnation_.time_since_epoch()).count()}};
  auto Refuse = [&](const char *Reason) {
    Answer["reason"] = Reason;
    return jsonResponse(409, Answer);
  };
  const std::uint64_t Fence = Body.value("fencing_token", 0ULL);
  if (Fence < Fence_)
    return Refuse("fence");
  Fence_ = Fence;
  const RunKey Key{Body.at("task"), Body.at("run")};
  std::uint64_t &HighestClosedRun = HighestClosedRuns_[Key.first];
  if (Request.Path_ == "/run-stop") {
    HighestClosedRun = std::max(HighestClosedRun, Key.second);
    endRun(Key, "stopped");
    return jsonResponse(200, Answer);
  }
  if (ActiveRuns_.count(Key))
    return jsonResponse(200, Answer);
  const milliseconds Deadline(Body.at("deadline_ms").get<std::int64_t>());
  if (Deadline < Now)
    return Refuse("late");
  LeaseExpiresAt_ =
      std::max(LeaseExpiresAt_, std::min(Deadline, Now + MaxLease));
  if (Key.second <= HighestClosedRun)
    return Refuse("old");
  startRun(Key, Body.at("task_spec"), Delayed);
  return jsonResponse(200, Answer);
}

void PlatformWorker::startRun(const RunKey &Key, const std::string &Spec,
                              bool Delayed) {
  const std::size_t Separator = Spec.find(' ');
  const std::string RunTime = Spec.substr(Separator + 1);
  Run Item;
  Item.Start_ = core::steadyClock().Now_();
  Item.Fails_ = RunTime.rfind("fail", 0) == 0;
  Item.RunTime_ =
      milliseconds(std::stoi(Item.Fails_ ? RunTime.substr(4) : RunTime));
  ActiveRuns_[Key] = Item;
  const auto UsedAccelerators =
      static_cast<std::uint32_t>(std::stoul(Spec.substr(0, Separator)));
  History_.add(Name_, history::RunStarted{toSiteRun(Key), Name_, Domain_,
                                          UsedAccelerators, Fence_, Delayed});
}

history::SiteRun PlatformWorker::toSiteRun(const RunKey &Key) {
  jobs::TaskId Task;
  if (!jobs::parseTaskId(Key.first, Task))
    return {Key.first, 0, 0, Key.second};
  return {Task.Job_, Task.Step_, Task.Index_, Key.second};
}

void PlatformWorker::endRun(const RunKey &Key, const std::string &Outcome) {
  if (ActiveRuns_.erase(Key) == 0)
    return;
  HighestClosedRuns_[Key.first] =
      std::max(HighestClosedRuns_[Key.first], Key.second);
  EndedRuns_.push_back({NextEndNumber_++, Key, Outcome});
  History_.add(Name_, history::RunEnded{toSiteRun(Key), Name_, Outcome});
  auto Waiting = std::move(PendingPolls_);
  PendingPolls_.clear();
  for (const auto &Answer : Waiting)
    (*Answer)();
}

std::string PlatformWorker::encodeRuns() const {
  Json Running = Json::array();
  for (const auto &[Key, Item] : ActiveRuns_) {
    const double Progress =
        static_cast<double>(
            (core::steadyClock().Now_() - Item.Start_).count()) /
        static_cast<double>(Item.RunTime_.count() + 1);
    Running.push_back({Key.first, Key.second, "",
                       static_cast<int>(std::min(100.0, 100 * Progress)), 0});
  }
  Json Ended = Json::array();
  for (const EndedRun &Item : EndedRuns_)
    Ended.push_back({Item.EndNumber_, Item.Key_.first, Item.Key_.second,
                     Item.Outcome_, ""});
  return Json{
      {"clock_ms", workerClock().count()},
      {"born",
       core::wholeMilliseconds(Incarnation_.time_since_epoch()).count()},
      {"running", Running},
      {"ended", Ended}}
      .dump();
}

void PlatformWorker::handlePoll(const net::HttpRequest &Request,
                                const aio::Responder &Respond) {
  const Json Body = Json::parse(Request.Body_);
  const std::uint64_t Fence = Body.value("fencing_token", 0ULL);
  if (Fence < Fence_)
    return Respond(jsonResponse(
        409, {{"reason", "fence"}, {"clock_ms", workerClock().count()}}));
  Fence_ = Fence;
  if (Body.contains("deadline_ms"))
    LeaseExpiresAt_ =
        std::max(LeaseExpiresAt_,
                 std::min(milliseconds(Body["deadline_ms"].get<std::int64_t>()),
                          workerClock() + MaxLease));
  const std::uint64_t AcknowledgedUpTo = Body.value("last_seen", 0ULL);
  for (const EndedRun &Item : EndedRuns_)
    if (Item.EndNumber_ <= AcknowledgedUpTo)
      History_.add(Name_, history::RunEndNoted{toSiteRun(Item.Key_), Name_});
  EndedRuns_.erase(std::remove_if(EndedRuns_.begin(), EndedRuns_.end(),
                                  [&](const EndedRun &Item) {
                                    return Item.EndNumber_ <= AcknowledgedUpTo;
                                  }),
                   EndedRuns_.end());
  auto Answer = [this, Respond] {
    net::HttpResponse Response;
    Response.Body_ = encodeRuns();
    Respond(std::move(Response));
  };
  const auto Wait = milliseconds(Body.value("wait_ms", 0));
  if (!EndedRuns_.empty() || Wait.count() == 0)
    return Answer();
  auto Waiting = std::make_shared<std::function<void()>>(Answer);
  PendingPolls_.push_back(Waiting);
  Loop_.after(Wait, [this, Waiting] {
    auto It = std::find(PendingPolls_.begin(), PendingPolls_.end(), Waiting);
    if (It == PendingPolls_.end())
      return;
    PendingPolls_.erase(It);
    (*Waiting)();
  });
}

} // namespace soak
