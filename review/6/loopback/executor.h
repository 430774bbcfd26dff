#pragma once

#include "http.h"
#include "record.h"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace loopback {

struct ExecutorSettings {
  std::string Id_;
  std::string Service_ = "service";
  std::string Zone_;
  std::vector<std::string> Labels_;
  int Accelerators_ = 8;
};

/// Stand-in of an executor. A task runs for as many milliseconds as its
/// task_spec says, and ends done.
class Executor {
public:
  Executor(boost::asio::io_context &Context, ExecutorSettings Settings,
           Record &Log);

  std::uint16_t port() const { return Port_; }

  /// Begins to send heartbeats to the agent at \p AgentPort.
  void announceTo(std::uint16_t AgentPort);

  /// While unhealthy, the executor answers starts with 503 and does nothing for
  /// them.
  void setUnhealthy(bool Unhealthy);

  /// Leaves the next start without an answer and carries it out \p Delay later,
  /// whatever process of the executor runs then.
  void delayNextStart(Milliseconds Delay);

  /// Returns whether a delayed start was received.
  bool hasDelayedStart() const;

  /// Ends the process: everything on it ends unlisted, and its port is closed.
  void crash();

  /// Starts the executor again under its id.
  void restart();

  /// Returns the tasks that run.
  std::set<std::string> running() const;

  /// Returns how many starts of \p Task were carried out.
  int starts(const std::string &Task) const;

private:
  struct Run {
    std::chrono::steady_clock::time_point EndsAt_;
    std::chrono::steady_clock::time_point BeganAt_;
    Milliseconds Length_{0};
  };
  struct End {
    long Number_ = 0;
    std::string Task_;
    long Run_ = 0;
    std::string How_;
  };
  struct Poll {
    Respond Send_;
    std::chrono::steady_clock::time_point Until_;
  };

  void tick();
  void beat();
  void handle(const Request &Message, const Respond &Send);
  Response start(const std::string &Body, bool Delayed);
  Response stop(const std::string &Body);
  void hold(const std::string &Body, const Respond &Send);
  std::string lists() const;
  void endRun(const std::string &Task, const char *How);
  long clock() const;
  void extendLease(long Deadline);

  boost::asio::io_context &Context_;
  ExecutorSettings Settings_;
  Record &Log_;
  mutable std::recursive_mutex Mutex_;
  boost::asio::steady_timer Timer_;
  std::unique_ptr<HttpServer> Server_;
  std::uint16_t Port_ = 0;
  std::uint16_t AgentPort_ = 0;

  bool Alive_ = true;
  bool Unhealthy_ = false;
  Milliseconds NextStartDelay_{0};
  bool StartDelayed_ = false;
  std::chrono::steady_clock::time_point BornAt_;
  long Born_ = 0;
  long Sequence_ = 0;
  long Fence_ = 0;
  long LeaseEnds_ = 0;
  long NextEnd_ = 1;
  std::chrono::steady_clock::time_point NextBeat_;
  /// Runs by task and run number.
  std::map<std::pair<std::string, long>, Run> Runs_;
  std::map<std::string, long> HighestEnded_;
  std::vector<End> Ends_;
  std::vector<Poll> Polls_;
  std::map<std::string, int> Starts_;
};

} // namespace loopback
