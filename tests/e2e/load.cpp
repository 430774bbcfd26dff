#include "load.h"

#include "nutmegwell/logclient/httplog.h"
#include "nutmegwell/wire/binary.h"
#include <cppunit/TestAssert.h>
#include <sstream>

using namespace nutmegwell;

namespace e2e {

namespace {

/// Returns the time that a stand-in printed at the end of a line.
core::TimePoint timeOf(const std::string &Line) {
  auto At = Line.rfind("at_us=");
  return core::TimePoint(
      core::Duration(At == Line.npos ? 0 : std::stoll(Line.substr(At + 6))));
}

/// Turns "started JOB.ATTEMPT.INDEX ..." and "ended JOB.ATTEMPT.INDEX STATE"
/// into events.
void addTaskLine(const std::string &Worker, const std::string &Domain,
                 const std::string &Line, std::vector<history::Event> &Events) {
  std::istringstream In(Line);
  std::string Verb, Id, State;
  In >> Verb >> Id >> State;
  if (Verb != "started" && Verb != "ended")
    return;
  auto Last = Id.rfind('.');
  auto Middle = Id.rfind('.', Last - 1);
  const std::string Job = Id.substr(0, Middle);
  const auto Attempt = static_cast<std::uint32_t>(
      std::stoul(Id.substr(Middle + 1, Last - Middle - 1)));
  // Tasks are numbered on each worker; the history needs them apart.
  const auto Task = static_cast<std::uint32_t>(
      std::hash<std::string>()(Worker + Id.substr(Last)));
  history::EventBody Body =
      history::TaskStopped{Job, Attempt, Task, State == "done"};
  if (Verb == "started")
    Body = history::TaskStarted{Job, Attempt, Task, Worker, Domain};
  Events.push_back({timeOf(Line), Worker, std::move(Body)});
}

void addRequestLine(const std::string &Upstream, const std::string &Line,
                    std::vector<history::Event> &Events) {
  if (Line.rfind("{\"service\"", 0) != 0)
    return;
  const std::string Call = member(Line, "body");
  const std::string Key = member(Line, "key");
  const core::Duration At(std::stoll(member(Line, "at_us")));
  Events.push_back(
      {core::TimePoint(At), Upstream,
       history::ExecutionBegun{Key.empty() ? member(Line, "path") : Call, Key,
                               Upstream, Line}});
}

std::string textOf(const core::JobId &Job) { return core::toString(Job); }

/// Adds the acceptance of a publication whose publisher did not record it.
void addAccepted(const model::RoutesPublished &Change, core::TimePoint At,
                 std::vector<history::Event> &Events) {
  const auto Version = Change.ExpectedVersion_ + 1;
  for (const history::Event &Each : Events)
    if (auto *Known = std::get_if<history::ConfigAccepted>(&Each.Body_);
        Known && Known->Version_ == Version)
      return;
  Events.push_back(
      {At, "log",
       history::ConfigAccepted{
           "routes", Version,
           std::to_string(Change.Table_.Rows_.front().QueueLimit_)}});
}

/// Adds what an accepted record says of a gang or of the routes.
void addRecord(const model::RecordBody &Body, core::TimePoint At,
               std::vector<history::Event> &Events) {
  if (auto *Commit = std::get_if<model::JobCommitted>(&Body))
    Events.push_back(
        {At, "log",
         history::AttemptCommitted{
             textOf(Commit->Job_), Commit->Attempt_,
             static_cast<std::uint32_t>(Commit->Placement_.size())}});
  else if (auto *Put = std::get_if<model::JobRequeued>(&Body))
    Events.push_back(
        {At, "log", history::AttemptEnded{textOf(Put->Job_), Put->Attempt_}});
  else if (auto *End = std::get_if<model::JobFinished>(&Body))
    Events.push_back(
        {At, "log", history::AttemptEnded{textOf(End->Job_), End->Attempt_}});
  else if (auto *Routes = std::get_if<model::RoutesPublished>(&Body))
    addAccepted(*Routes, At, Events);
}

/// Adds the accepted records of the log with the times of their appends.
void addLog(Cluster &All, std::vector<history::Event> &Events) {
  auto Log = logclient::httpLogService({All.LogAddress_, "nutmegwell"});
  auto Found = Log.Read_(0, 10000, core::Duration::zero());
  CPPUNIT_ASSERT_MESSAGE(core::describe(Found.status()), Found.ok());
  std::map<core::Offset, core::TimePoint> Times;
  for (const std::string &Line : All.Log_->lines())
    if (Line.rfind("appended ", 0) == 0)
      Times[std::stoull(Line.substr(9))] = timeOf(Line);
  model::ControlState State;
  for (const logclient::LogEntry &Entry : Found->Entries_) {
    auto Batch = wire::decodeBatch(Entry.Bytes_);
    CPPUNIT_ASSERT(Batch.ok());
    for (const model::Record &Change : *Batch)
      if (model::applyRecord(State, Change, Entry.At_).Accepted_)
        addRecord(Change.Body_, Times.at(Entry.At_), Events);
  }
}

} // namespace

void Recorder::add(const std::string &Process, history::EventBody Body,
                   core::TimePoint At) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Events_.push_back({At, Process, std::move(Body)});
}

history::History Recorder::finish(Cluster &All) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<history::Event> Events = Events_;
  for (auto &[Name, Runtime] : All.Runtimes_)
    for (const std::string &Line : Runtime->lines())
      addTaskLine(Name, All.DomainOf_[Name], Line, Events);
  for (auto &[Name, Upstream] : All.Upstreams_)
    for (const std::string &Line : Upstream->lines())
      addRequestLine(Name, Line, Events);
  addLog(All, Events);
  return history::makeHistory(std::move(Events), true);
}

Load::Load(Cluster &All, Recorder &Run, int Callers) : All_(All), Run_(Run) {
  for (int Caller = 0; Caller < Callers; ++Caller)
    Threads_.emplace_back([this, Caller] { callLoop(Caller); });
}

void Load::callLoop(int Caller) {
  const bool Keyed = Caller % 2 == 0;
  for (int Number = 0; !Stopping_; ++Number) {
    const std::string Work =
        std::to_string(Caller) + "-" + std::to_string(Number);
    for (int Try = 0; Try < 50; ++Try) {
      int Entry = 1 + (Caller + Try) % Cluster::Entries;
      if (Avoid_[Entry])
        Entry = Cluster::Entries + 1 - Entry;
      const std::string Call = "/svc/" + Work + "-" + std::to_string(Try);
      if (callOnce(Entry, Call, Keyed ? "k" + Work : ""))
        break;
    }
  }
}

bool Load::callOnce(int Entry, const std::string &Call,
                    const std::string &Key) {
  const std::string Process = "caller";
  const core::TimePoint Began = core::steadyClock().Now_();
  Run_.add(Process, history::CallInvoked{Call, Key, "e" + std::to_string(Entry),
                                         Key.empty()});
  // A keyed request carries its call in the body, since a repeat gets the
  // answer of the call that ran.
  HttpResponse Response =
      Key.empty() ? All_.call(Entry, "GET", Call)
                  : All_.call(Entry, "POST", "/svc/keyed", Call, Key);
  if (Response.Status_ == 200) {
    Run_.add(Process, history::CallAnswered{Call, Response.Body_});
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      ++Answered_;
    }
    Changed_.notify_all();
    return true;
  }
  const std::string Code = member(Response.Body_, "code");
  if (Code == "stopping")
    Avoid_[Entry] = true;
  if (Response.Status_ != 0 && member(Response.Body_, "outcome") == "not_run") {
    Run_.add(Process, history::CallRefused{Call, Code});
  } else {
    ++Unknown_;
    Run_.add(Process, history::CallUnknown{Call, Code, Response.Status_ == 0});
  }
  // A caller that is refused waits before it asks again.
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (!Key.empty())
    Longest_ = std::max(Longest_, core::steadyClock().Now_() - Began);
  Changed_.wait_for(Lock, std::chrono::milliseconds(50),
                    [this] { return Stopping_.load(); });
  return false;
}

bool Load::waitAnswers(int Count, std::chrono::milliseconds Limit) {
  const int Wanted = Answered_ + Count;
  std::unique_lock<std::mutex> Lock(Mutex_);
  return Changed_.wait_for(Lock, Limit, [&] { return Answered_ >= Wanted; });
}

void Load::stop() {
  Stopping_ = true;
  Changed_.notify_all();
  for (std::thread &Caller : Threads_)
    if (Caller.joinable())
      Caller.join();
}

const std::vector<std::string> DefaultTimes = {"--checkpoint-grace=1s"};

JobLoad::JobLoad(Cluster &All, int Entry, std::chrono::milliseconds Pause)
    : Thread_([this, &All, Entry, Pause] {
        while (!Stopping_ && Jobs_.size() < 200) {
          std::string Job = All.submit(Entry, 2, 4, "rack", "run:300");
          if (!Job.empty())
            Jobs_.push_back(Job);
          if (Pause > Pause.zero())
            pass(Pause);
        }
      }) {}

std::vector<std::string> JobLoad::stop() {
  Stopping_ = true;
  if (Thread_.joinable())
    Thread_.join();
  return Jobs_;
}

ConfigWatch::ConfigWatch(Cluster &All, Recorder &Run) {
  for (int Entry : {1, 2})
    Threads_.emplace_back([this, &All, &Run, Entry] {
      while (!Stopping_) {
        auto Response = All.call(Entry, "GET", "/v1/tables/routes");
        // A host that has not read the log yet shows version 0.
        const std::string Version = member(Response.Body_, "version");
        if (Response.Status_ == 200 && Version != "0")
          Run.add("e" + std::to_string(Entry),
                  history::ConfigObserved{"routes", std::stoull(Version), ""});
        pass(std::chrono::milliseconds(20));
      }
    });
}

void ConfigWatch::stop() {
  Stopping_ = true;
  for (std::thread &Watcher : Threads_)
    if (Watcher.joinable())
      Watcher.join();
}

void start(Cluster &All, int Workers, int Upstreams, int InA,
           const std::string &RouteFields,
           const std::vector<std::string> &UpstreamFlags) {
  All.startLog();
  All.startEntry(1);
  All.startEntry(2);
  for (int I = 0; I < Workers; ++I)
    All.startWorker("w" + std::to_string(I), I < InA ? "a" : "b",
                    I < 2 ? "ra" : "rb");
  for (int I = 0; I < Upstreams; ++I)
    All.startUpstream("u" + std::to_string(I), "a", "svc", UpstreamFlags);
  for (int Entry : {1, 2}) {
    for (int I = 0; I < Workers; ++I)
      CPPUNIT_ASSERT(All.waitStatus(Entry, "\"w" + std::to_string(I) + "\""));
    for (int I = 0; I < Upstreams; ++I)
      CPPUNIT_ASSERT(All.waitStatus(Entry, "\"u" + std::to_string(I) + "\""));
    CPPUNIT_ASSERT(All.waitStatus(Entry, R"("log_available":true)"));
  }
  std::vector<std::string> Domains = {"a"};
  if (Workers > InA)
    Domains.push_back("b");
  CPPUNIT_ASSERT(All.publishTables(1, Domains, RouteFields));
}

void pass(std::chrono::milliseconds Time) {
  std::mutex Mutex;
  std::condition_variable Never;
  std::unique_lock<std::mutex> Lock(Mutex);
  Never.wait_for(Lock, Time);
}

void assertFinished(Cluster &All, int Entry,
                    const std::vector<std::string> &Jobs) {
  for (const std::string &Job : Jobs)
    CPPUNIT_ASSERT_EQUAL(std::string("finished"),
                         All.waitJob(Entry, Job, std::chrono::seconds(120)));
}

void assertRules(const history::History &Run, const history::Bounds &Limits) {
  const auto Found = history::checkAll(Run, Limits);
  CPPUNIT_ASSERT_MESSAGE(history::describe(Run, Found), Found.empty());
}

} // namespace e2e
