#pragma once

#include "nutmegwell/aio/httpclient.h"
#include "nutmegwell/aio/httpserver.h"
#include "nutmegwell/history/event.h"
#include "nutmegwell/jobs/progress.h"
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace soak {

using namespace nutmegwell;

/// What callers and workers saw, for lib/history. Safe from any thread.
class Recorder {
public:
  void add(const std::string &Process, history::EventBody Body);
  std::vector<history::Event> events() const;

private:
  mutable std::mutex Mutex_;
  std::vector<history::Event> Events_;
};

/// Stand-in of a worker: runs with fences, leases on a clock of its own, stops,
/// numbered ends that stay listed until acknowledged, lost and late orders. The
/// text of a task is its accelerators, a blank and its run time in
/// milliseconds; "fail" before it lets the run fail.
class PlatformWorker {
public:
  PlatformWorker(aio::Loop &Owner, const net::Address &Listen,
                 const net::Address &Agent, std::string Name,
                 std::string Domain, Recorder &History, std::uint64_t Seed);

  std::uint16_t port() const { return Server_.port(); }
  /// Share of orders without an answer that are carried out 1 to 3 s later.
  /// Safe from any thread.
  void setLateOrders(double Share) { LateOrders_ = Share; }

private:
  struct Run {
    core::TimePoint Start_{};
    core::Duration Length_{0};
    bool Fails_ = false;
  };
  using RunKey = std::pair<std::string, std::uint64_t>;

  void tick();
  void announce();
  void handle(const net::HttpRequest &Request, const aio::Responder &Respond);
  net::HttpResponse carryOut(const net::HttpRequest &Request, bool Late);
  void begin(const RunKey &Key, const std::string &Text, bool Late);
  static history::SiteRun recorded(const RunKey &Key);
  void hold(const net::HttpRequest &Request, const aio::Responder &Respond);
  void end(const RunKey &Key, const std::string &How);
  std::string lists() const;
  /// Time on the worker's clock, 2% slower than the host's.
  std::int64_t clock() const;

  aio::Loop &Loop_;
  std::string Name_;
  std::string Domain_;
  Recorder &History_;
  std::mt19937_64 Random_;
  std::atomic<double> LateOrders_{0};
  core::TimePoint StartedAt_;
  jobs::WallTime BornAt_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Fence_ = 0;
  std::int64_t LeaseUntil_ = 0;
  bool Lapsed_ = true;
  std::map<RunKey, Run> Running_;
  /// Highest run of each task that was stopped or ended here.
  std::map<std::string, std::uint64_t> Closed_;
  struct End {
    std::uint64_t Number_;
    RunKey Key_;
    std::string How_;
  };
  std::vector<End> Ended_;
  std::uint64_t NextEnd_ = 1;
  std::vector<std::shared_ptr<std::function<void()>>> Waiters_;
  aio::HttpServer Server_;
  aio::HttpClient Agent_;
};

} // namespace soak
