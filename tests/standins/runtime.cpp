#include "nutmegwell/core/time.h"
#include "nutmegwell/net/http.h"
#include "nutmegwell/wire/json.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>

/// Stand-in of the platform's worker runtime. A command is "run:N", which ends
/// after N ms of work, or "fail". Prints one line for each start and end.
namespace {

using namespace nutmegwell;
using cxxtools::SerializationInfo;
using std::chrono::milliseconds;

struct Task {
  std::string State_ = "running";
  core::TimePoint StartedAt_;
  core::TimePoint LeaseUntil_;
  milliseconds Work_{};
  /// Work done before this start, from the checkpoint.
  milliseconds Done_{};
};

class Runtime {
public:
  net::HttpResponse handle(const net::HttpRequest &Request) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    core::TimePoint Now = core::steadyClock().Now_();
    advance(Now);
    if (Request.Method_ == "GET" && Request.Path_ == "/tasks")
      return list(Now);
    auto Body = wire::parseJson(Request.Body_);
    if (!Body.ok())
      return {400, "text/plain", "bad body"};
    if (Request.Path_ == "/tasks")
      return start(*Body, Now);
    const std::string Prefix = "/tasks/";
    auto Slash = Request.Path_.rfind('/');
    if (Request.Path_.compare(0, Prefix.size(), Prefix) != 0 ||
        Slash < Prefix.size())
      return {404, "text/plain", "no such path"};
    std::string Id = Request.Path_.substr(Prefix.size(), Slash - Prefix.size());
    auto Known = Tasks_.find(Id);
    if (Known == Tasks_.end())
      return {404, "text/plain", "no such task"};
    std::string Verb = Request.Path_.substr(Slash + 1);
    if (Verb == "stop" && Known->second.State_ == "running")
      end(Known->first, Known->second, "stopped", Now);
    if (Verb == "renew" && Known->second.State_ == "running")
      Known->second.LeaseUntil_ = Now + lease(*Body);
    return {};
  }

  /// Ends tasks whose work or lease has run out.
  void expire() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    advance(core::steadyClock().Now_());
  }

private:
  static milliseconds lease(const SerializationInfo &Body) {
    std::int64_t Lease = 0;
    wire::numberMember(Body, "lease_ms", 0, INT32_MAX, Lease);
    return milliseconds(Lease);
  }

  static milliseconds doneAt(const Task &Known, core::TimePoint Now) {
    return Known.Done_ +
           std::chrono::duration_cast<milliseconds>(Now - Known.StartedAt_);
  }

  static void print(const std::string &Line, core::TimePoint Now) {
    std::cout << Line << " at_us=" << Now.time_since_epoch().count()
              << std::endl;
  }

  void end(const std::string &Id, Task &Known, const std::string &State,
           core::TimePoint Now) {
    Known.Done_ = doneAt(Known, Now);
    Known.State_ = State;
    print("ended " + Id + " " + State, Now);
  }

  void advance(core::TimePoint Now) {
    for (auto &[Id, Known] : Tasks_) {
      if (Known.State_ != "running")
        continue;
      if (doneAt(Known, Now) >= Known.Work_)
        end(Id, Known, "done", Now);
      else if (Known.LeaseUntil_ <= Now)
        end(Id, Known, "stopped", Now);
    }
  }

  net::HttpResponse start(const SerializationInfo &Body, core::TimePoint Now) {
    std::string Id = wire::textMember(Body, "id");
    std::string Command = wire::textMember(Body, "command");
    if (Command == "fail" || Tasks_.count(Id)) {
      print("refused " + Id, Now);
      return {409, "text/plain", "refused"};
    }
    Task New;
    New.StartedAt_ = Now;
    New.LeaseUntil_ = Now + lease(Body);
    New.Work_ = milliseconds(std::atoll(Command.c_str() + 4));
    New.Done_ = milliseconds(
        std::atoll(wire::textMember(Body, "checkpoint", "0").c_str()));
    Tasks_[Id] = New;
    print("started " + Id + " after " + std::to_string(New.Done_.count()), Now);
    return {};
  }

  net::HttpResponse list(core::TimePoint Now) {
    SerializationInfo Root;
    SerializationInfo &Rows = Root.addMember("tasks");
    Rows.setCategory(SerializationInfo::Array);
    for (const auto &[Id, Known] : Tasks_) {
      SerializationInfo &Row = Rows.addMember();
      Row.addValue("id", Id);
      Row.addValue("state", Known.State_);
      auto Done = Known.State_ == "running" ? doneAt(Known, Now) : Known.Done_;
      Row.addValue("checkpoint", std::to_string(Done.count()));
    }
    return {200, "application/json", wire::formatJson(Root)};
  }

  std::mutex Mutex_;
  std::map<std::string, Task> Tasks_;
};

} // namespace

/// Usage: nutmegwell-standin-runtime IP:PORT
int main(int Argc, char **Argv) {
  net::Address Listen;
  if (Argc != 2 || !net::parseAddress(Argv[1], Listen)) {
    std::cerr << "usage: " << Argv[0] << " IP:PORT\n";
    return 2;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Runtime Tasks;
  net::HttpServer Server(Listen, net::HttpLimits(),
                         [&Tasks](const net::HttpRequest &Request) {
                           return Tasks.handle(Request);
                         });
  std::cout << "ready" << std::endl;
  const timespec Interval{0, 100000000};
  while (sigtimedwait(&Signals, nullptr, &Interval) < 0)
    Tasks.expire();
}
