#include "load.h"

#include "nutmegwell/history/rules.h"
#include <cppunit/TestAssert.h>
#include <sstream>

using namespace nutmegwell;

namespace e2e {

namespace {

core::TimePoint timeOf(std::chrono::steady_clock::time_point Value) {
  return std::chrono::time_point_cast<core::Duration>(Value);
}

/// Turns "started JOB.ATTEMPT.INDEX ..." and "ended JOB.ATTEMPT.INDEX STATE"
/// into events.
void addTaskLine(const std::string &Worker, const std::string &Domain,
                 const Line &Known, std::vector<history::Event> &Events) {
  std::istringstream In(Known.Text_);
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
  if (Verb == "started")
    Events.push_back(
        {timeOf(Known.At_), Worker,
         history::TaskStarted{Job, Attempt, Task, Worker, Domain}});
  else
    Events.push_back(
        {timeOf(Known.At_), Worker,
         history::TaskStopped{Job, Attempt, Task, State == "done"}});
}

void addRequestLine(const std::string &Upstream, const Line &Known,
                    std::vector<history::Event> &Events) {
  if (Known.Text_.rfind("{\"service\"", 0) != 0)
    return;
  const std::string Call = member(Known.Text_, "body");
  const std::string Key = member(Known.Text_, "key");
  const std::string Path = member(Known.Text_, "path");
  Events.push_back({timeOf(Known.At_), Upstream,
                    history::ExecutionBegun{Key.empty() ? Path : Call, Key,
                                            Upstream, Known.Text_}});
}

} // namespace

void Recorder::add(const std::string &Process, history::EventBody Body) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Events_.push_back({core::steadyClock().Now_(), Process, std::move(Body)});
}

history::History Recorder::finish(Cluster &All) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<history::Event> Events = Events_;
  for (auto &[Name, Runtime] : All.Runtimes_)
    for (const Line &Known : Runtime->lines())
      addTaskLine(Name, All.DomainOf_[Name], Known, Events);
  for (auto &[Name, Upstream] : All.Upstreams_)
    for (const Line &Known : Upstream->lines())
      addRequestLine(Name, Known, Events);
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
      const std::string Call = "/svc/" + Work + "-" + std::to_string(Try);
      if (callOnce(1 + (Caller + Try) % Cluster::Entries, Call,
                   Keyed ? "k" + Work : ""))
        break;
    }
  }
}

bool Load::callOnce(int Entry, const std::string &Call,
                    const std::string &Key) {
  const std::string Process = "caller";
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
  if (Response.Status_ != 0 && member(Response.Body_, "outcome") == "not_run") {
    Run_.add(Process, history::CallRefused{Call, Code});
  } else {
    ++Unknown_;
    Run_.add(Process, history::CallUnknown{Call, Code, Response.Status_ == 0});
  }
  // A caller that is refused waits before it asks again.
  std::unique_lock<std::mutex> Lock(Mutex_);
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

void assertRules(const history::History &Run) {
  const auto Found = history::checkAll(Run, history::Bounds());
  CPPUNIT_ASSERT_MESSAGE(history::describe(Run, Found), Found.empty());
}

} // namespace e2e
