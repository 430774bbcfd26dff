#pragma once

#include "http.h"
#include "record.h"
#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>

namespace testbed {

struct ExecutorSettings {
  std::string Id_;
  std::string Service_ = "presses";
  std::string Zone_;
  std::string Rack_;
  long Cpu_ = 64000;
  long MemoryMb_ = 131072;
  long Gpu_ = 8;
  Milliseconds MaxHold_{6000};
  Milliseconds HeartbeatInterval_{1500};
};

/// Stand-in for an executor: fences, leases on its own clock, runs, and the
/// list of ends, of which a response contains 500. A task's text is its run
/// time in milliseconds; "A+B" adds B milliseconds for each index of the task.
class Executor {
public:
  Executor(ExecutorSettings Settings, Record &Lines, RunLedger &Ledger);
  ~Executor();
  Executor(const Executor &) = delete;
  Executor &operator=(const Executor &) = delete;

  int port() const { return Server_.port(); }
  /// Begins to send heartbeats to the agent at \p ControlPort.
  void announceTo(int ControlPort);
  /// Sends the agent a heartbeat for this executor as another writer may: the
  /// fields of its capacity are missing, and it counts on its own.
  void announceAsAnotherWriter();
  /// Leaves one in \p Each start orders unanswered from now on, and carries it
  /// out 2 to 12 s later, also after a restart; 0 ends that for new orders.
  void delayStarts(unsigned Each);
  /// Ends the process with all that it runs and knows. Nothing is answered
  /// until startAgain().
  void crash();
  /// Starts the next process under the same id.
  void startAgain();
  std::size_t runningCount();

private:
  using Json = nlohmann::json;
  using RunKey = std::pair<std::string, std::uint64_t>;

  struct Run {
    Clock::time_point Begin_{};
    Milliseconds Length_{0};
  };
  struct End {
    std::uint64_t Number_ = 0;
    RunKey Key_;
    std::string How_;
  };

  struct DelayedStart {
    Clock::time_point Due_{};
    Json Body_;
  };

  std::optional<Response> handle(const Request &Message);
  bool delaysStart(const Request &Message, const Json &Body);
  void carryOutDelayed();
  Response carryOut(const std::string &Path, const Json &Body);
  Response start(const Json &Body);
  Response stop(const Json &Body);
  Response hold(const Json &Body, std::unique_lock<std::mutex> &Lock);
  void extendLease(const Json &Body);
  void end(const RunKey &Key, const std::string &How);
  void watchRuns();
  void announce();
  Json heartbeat(long Sequence);
  void sendHeartbeat(const Json &Body) const;
  Json basics() const;
  Response refuse(const char *Reason) const;
  long clock() const;

  ExecutorSettings Settings_;
  Record &Record_;
  RunLedger &Ledger_;
  Clock::time_point BeganAt_ = Clock::now();
  long Born_ = 0;
  std::mutex Mutex_;
  std::condition_variable Ended_;
  std::uint64_t Fence_ = 0;
  long LeaseUntil_ = 0;
  std::map<RunKey, Run> Runs_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::deque<End> Ends_;
  std::uint64_t NextEnd_ = 1;
  unsigned DelayEach_ = 0;
  unsigned StartOrders_ = 0;
  std::mt19937 Random_;
  std::vector<DelayedStart> Delayed_;
  std::atomic<bool> Down_{false};
  std::atomic<int> ControlPort_{0};
  std::atomic<long> Sequence_{0};
  std::atomic<bool> Closing_{false};
  Server Server_;
  std::thread Watch_;
  std::thread Heartbeats_;
};

} // namespace testbed
