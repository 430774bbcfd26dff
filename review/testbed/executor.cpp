#include "executor.h"

namespace testbed {

namespace {

constexpr std::size_t MaxListedEnds = 500;
constexpr auto WatchInterval = Milliseconds(5);

Response jsonResponse(int Status, const nlohmann::json &Body) {
  Response Answer;
  Answer.Status_ = Status;
  Answer.Body_ = Body.dump();
  return Answer;
}

long unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Milliseconds lengthOf(const std::string &Spec, const std::string &Task) {
  if (Spec.empty())
    return Milliseconds(0);
  std::size_t At = 0;
  long Length = std::stol(Spec, &At);
  if (At < Spec.size() && Spec[At] == '+')
    Length += std::stol(Spec.substr(At + 1)) *
              std::stol(Task.substr(Task.rfind('.') + 1));
  return Milliseconds(Length);
}

} // namespace

Executor::Executor(ExecutorSettings Settings, Record &Lines, RunLedger &Ledger)
    : Settings_(std::move(Settings)), Record_(Lines), Ledger_(Ledger),
      Born_(unixMilliseconds()),
      Server_([this](const Request &Message) { return handle(Message); }),
      Watch_([this] { watchRuns(); }) {}

Executor::~Executor() {
  Closing_ = true;
  Watch_.join();
  if (Heartbeats_.joinable())
    Heartbeats_.join();
  Ended_.notify_all();
}

void Executor::announceTo(int ControlPort) {
  ControlPort_ = ControlPort;
  Heartbeats_ = std::thread([this] { announce(); });
}

std::size_t Executor::runningCount() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_.size();
}

long Executor::clock() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - BeganAt_)
      .count();
}

Executor::Json Executor::basics() const {
  return {{"clock_ms", clock()}, {"born", Born_}};
}

Response Executor::refuse(const char *Reason) const {
  Json Body = basics();
  Body["reason"] = Reason;
  return jsonResponse(409, Body);
}

std::optional<Response> Executor::handle(const Request &Message) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (Down_)
    return std::nullopt;
  const std::string Expected = Message.header("x-nutmegwell-expected-instance");
  if (!Expected.empty() && Expected != Settings_.Id_)
    return jsonResponse(421, basics());
  const Json Body = Json::parse(Message.Body_, nullptr, false);
  if (!Body.is_object())
    return jsonResponse(400, basics());
  if (delaysStart(Message, Body))
    return std::nullopt;
  if (Message.Path_ != "/hold")
    return carryOut(Message.Path_, Body);
  const Response Answer = hold(Body, Lock);
  return Down_ ? std::nullopt : std::optional<Response>(Answer);
}

bool Executor::delaysStart(const Request &Message, const Json &Body) {
  if (Message.Path_ != "/run-start" || DelayEach_ == 0 ||
      ++StartOrders_ % DelayEach_ != 0)
    return false;
  const auto Delay = Milliseconds(2000 + Random_() % 10000);
  Delayed_.push_back({Clock::now() + Delay, Body});
  Record_.add(Settings_.Id_ + ": leaves the start of " +
              Body.at("task").get<std::string>() + " run " +
              std::to_string(Body.at("run").get<std::uint64_t>()) +
              " unanswered for " + std::to_string(Delay.count()) + " ms");
  return true;
}

void Executor::carryOutDelayed() {
  for (auto It = Delayed_.begin(); It != Delayed_.end();) {
    if (Clock::now() < It->Due_) {
      ++It;
      continue;
    }
    const Response Answer = carryOut("/run-start", It->Body_);
    Record_.add(Settings_.Id_ + ": carries out the late start of " +
                It->Body_.at("task").get<std::string>() + ": " +
                std::to_string(Answer.Status_) + " " + Answer.Body_);
    It = Delayed_.erase(It);
  }
}

Response Executor::carryOut(const std::string &Path, const Json &Body) {
  const auto Fence = Body.value("fencing_token", std::uint64_t(0));
  if (Fence < Fence_)
    return refuse("fence");
  Fence_ = Fence;
  if (Path == "/run-start")
    return start(Body);
  if (Path == "/run-stop")
    return stop(Body);
  return jsonResponse(Path == "/pace" ? 200 : 404, basics());
}

void Executor::delayStarts(unsigned Each) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  DelayEach_ = Each;
}

void Executor::crash() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Down_ = true;
  for (const auto &[Key, Active] : Runs_)
    Ledger_.ended(Key.first, Key.second, "lost with its executor");
  Record_.add(Settings_.Id_ + ": crashes with " + std::to_string(Runs_.size()) +
              " runs");
  Runs_.clear();
  Ends_.clear();
  HighestEnded_.clear();
  Ended_.notify_all();
}

void Executor::startAgain() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Fence_ = 0;
    LeaseUntil_ = 0;
    NextEnd_ = 1;
    BeganAt_ = Clock::now();
    Born_ = unixMilliseconds();
    Sequence_ = 0;
    Down_ = false;
    Record_.add(Settings_.Id_ + ": started again");
  }
  sendHeartbeat(heartbeat(++Sequence_));
}

void Executor::extendLease(const Json &Body) {
  if (Body.contains("deadline_ms"))
    LeaseUntil_ =
        std::max(LeaseUntil_, std::min(Body["deadline_ms"].get<long>(),
                                       clock() + Settings_.MaxHold_.count()));
}

Response Executor::start(const Json &Body) {
  const RunKey Key{Body.at("task"), Body.at("run")};
  if (Runs_.count(Key))
    return jsonResponse(200, basics());
  if (Body.at("deadline_ms").get<long>() < clock())
    return refuse("late");
  extendLease(Body);
  const auto Highest = HighestEnded_.find(Key.first);
  if (Highest != HighestEnded_.end() && Key.second <= Highest->second)
    return refuse("old");
  Runs_[Key] = {Clock::now(), lengthOf(Body.at("task_spec"), Key.first)};
  Ledger_.started(Key.first, Key.second, Settings_.Id_);
  Record_.add(Settings_.Id_ + ": started " + Key.first + " run " +
              std::to_string(Key.second));
  return jsonResponse(200, basics());
}

Response Executor::stop(const Json &Body) {
  const RunKey Key{Body.at("task"), Body.at("run")};
  std::uint64_t &Highest = HighestEnded_[Key.first];
  Highest = std::max(Highest, Key.second);
  if (Runs_.count(Key))
    end(Key, "stopped");
  return jsonResponse(200, basics());
}

Response Executor::hold(const Json &Body, std::unique_lock<std::mutex> &Lock) {
  const auto Fence = Body.value("fencing_token", std::uint64_t(0));
  if (Fence < Fence_)
    return refuse("fence");
  Fence_ = Fence;
  extendLease(Body);
  const auto LastSeen = Body.value("last_seen", std::uint64_t(0));
  while (!Ends_.empty() && Ends_.front().Number_ <= LastSeen) {
    Ledger_.noted(Ends_.front().Key_.first, Ends_.front().Key_.second);
    Ends_.pop_front();
  }
  Ended_.wait_for(Lock, Milliseconds(Body.value("wait_ms", 0)),
                  [this] { return !Ends_.empty() || Closing_ || Down_; });
  Json Answer = basics();
  Answer["running"] = Json::array();
  Answer["ended"] = Json::array();
  for (const auto &[Key, Active] : Runs_) {
    const auto Age =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - Active.Begin_);
    const long Percent =
        std::min(99L, 100 * Age.count() / (Active.Length_.count() + 1));
    Answer["running"].push_back({Key.first, Key.second, "", Percent, 0});
  }
  for (const End &Known : Ends_) {
    if (Answer["ended"].size() == MaxListedEnds)
      break;
    Answer["ended"].push_back(
        {Known.Number_, Known.Key_.first, Known.Key_.second, Known.How_, ""});
  }
  return jsonResponse(200, Answer);
}

void Executor::end(const RunKey &Key, const std::string &How) {
  Runs_.erase(Key);
  std::uint64_t &Highest = HighestEnded_[Key.first];
  Highest = std::max(Highest, Key.second);
  Ends_.push_back({NextEnd_++, Key, How});
  Ledger_.ended(Key.first, Key.second, How);
  Record_.add(Settings_.Id_ + ": ended " + Key.first + " run " +
              std::to_string(Key.second) + " " + How);
  Ended_.notify_all();
}

void Executor::watchRuns() {
  while (!Closing_) {
    std::this_thread::sleep_for(WatchInterval);
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Down_)
      continue;
    carryOutDelayed();
    std::vector<std::pair<RunKey, std::string>> Ending;
    const bool Lapsed = clock() > LeaseUntil_;
    for (const auto &[Key, Active] : Runs_)
      if (Lapsed)
        Ending.emplace_back(Key, "lapsed");
      else if (Clock::now() - Active.Begin_ >= Active.Length_)
        Ending.emplace_back(Key, "done");
    for (const auto &[Key, How] : Ending)
      end(Key, How);
  }
}

Executor::Json Executor::heartbeat(long Sequence) {
  return {{"service", Settings_.Service_},
          {"address", "127.0.0.1:" + std::to_string(port())},
          {"zone", Settings_.Zone_},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"capacity",
           {{"cpu", Settings_.Cpu_},
            {"mem_mb", Settings_.MemoryMb_},
            {"gpu", Settings_.Gpu_}}},
          {"labels", {"a", Settings_.Rack_}},
          {"clock_ms", clock()},
          {"born", Born_},
          {"sequence", Sequence}};
}

void Executor::sendHeartbeat(const Json &Body) const {
  Request Message;
  Message.Method_ = "PUT";
  Message.Path_ = "/executors/" + Settings_.Id_;
  Message.Headers_["Host"] = "agent";
  Message.Headers_["Content-Type"] = "application/json";
  Message.Body_ = Body.dump();
  call(ControlPort_, Message, Milliseconds(1000));
}

void Executor::announceAsAnotherWriter() {
  constexpr long OwnSequence = 90210;
  Json Body = heartbeat(OwnSequence);
  Body["capacity"] = Json::object();
  Record_.add("another writer: PUT /executors/" + Settings_.Id_ + " " +
              Body.dump());
  sendHeartbeat(Body);
}

void Executor::announce() {
  while (!Closing_) {
    if (!Down_)
      sendHeartbeat(heartbeat(++Sequence_));
    for (Milliseconds Waited(0);
         Waited < Settings_.HeartbeatInterval_ && !Closing_;
         Waited += Milliseconds(50))
      std::this_thread::sleep_for(Milliseconds(50));
  }
}

} // namespace testbed
