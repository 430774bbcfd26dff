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

/// Collects the events that callers and workers observe, for the checks of
/// lib/history. Safe from any thread.
class HistoryRecorder {
public:
  void add(const std::string &Process, history::EventBody Body);
  std::vector<history::Event> events() const;

private:
  mutable std::mutex Mutex_;
  std::vector<history::Event> Events_;
};

/// Test double of a worker. It checks fencing tokens, keeps its lease on a
/// clock of its own and reports each ended run under a number until that number
/// is acknowledged. A task's spec is its accelerator count, a space and its run
/// time in milliseconds; "fail" before the run time makes the run fail. Orders
/// can be delayed and left unanswered, see setDelayedOrderShare().
/// Announcements of another writer reach its agent now and then; it refuses
/// calls that are meant for another worker.
class PlatformWorker {
public:
  PlatformWorker(aio::Loop &Owner, const net::Address &Listen,
                 const net::Address &Agent, std::string Name,
                 std::string Domain, HistoryRecorder &History,
                 std::uint64_t Seed);

  std::uint16_t port() const { return Server_.port(); }
  /// Sets the share of orders that get no response and are executed 1 to 3 s
  /// after their receipt. Safe from any thread.
  void setDelayedOrderShare(double Share) { DelayedOrderShare_ = Share; }

private:
  struct Run {
    core::TimePoint Start_{};
    core::Duration RunTime_{0};
    bool Fails_ = false;
  };
  using RunKey = std::pair<std::string, std::uint64_t>;

  void tick();
  void announce();
  void sendAnnouncement(const std::string &Id, const std::string &Service,
                        jobs::WallTime Incarnation);
  void handle(const net::HttpRequest &Request, const aio::Responder &Respond);
  net::HttpResponse handleOrder(const net::HttpRequest &Request, bool Delayed);
  void startRun(const RunKey &Key, const std::string &Spec, bool Delayed);
  static history::SiteRun toSiteRun(const RunKey &Key);
  void handlePoll(const net::HttpRequest &Request,
                  const aio::Responder &Respond);
  void endRun(const RunKey &Key, const std::string &Outcome);
  std::string encodeRuns() const;
  /// Returns the time since the start on the worker's clock, which runs 2%
  /// slower than the host's.
  std::chrono::milliseconds workerClock() const;

  aio::Loop &Loop_;
  std::string Name_;
  std::string Domain_;
  HistoryRecorder &History_;
  std::mt19937_64 Random_;
  /// Apart from Random_, so that the order faults of a seed stay the same.
  std::mt19937_64 OtherWriterRandom_;
  std::atomic<double> DelayedOrderShare_{0};
  core::TimePoint StartedAt_;
  jobs::WallTime Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Fence_ = 0;
  std::chrono::milliseconds LeaseExpiresAt_{0};
  bool LeaseExpired_ = true;
  std::map<RunKey, Run> ActiveRuns_;
  /// Highest run number of each task that was stopped or ended here; this run
  /// and earlier ones are refused.
  std::map<std::string, std::uint64_t> HighestClosedRuns_;
  struct EndedRun {
    std::uint64_t EndNumber_;
    RunKey Key_;
    std::string Outcome_;
  };
  std::vector<EndedRun> EndedRuns_;
  std::uint64_t NextEndNumber_ = 1;
  std::vector<std::shared_ptr<std::function<void()>>> PendingPolls_;
  aio::HttpServer Server_;
  aio::HttpClient Agent_;
};

} // namespace soak
