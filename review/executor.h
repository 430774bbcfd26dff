#pragma once

#include "http.h"
#include "record.h"
#include <atomic>
#include <condition_variable>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Place and size of an executor.
struct ExecutorSettings {
  std::string Id_;
  std::string Service_;
  std::string Zone_;
  std::string Rack_;
  std::uint16_t Port_ = 0;
  /// Port of the agent on the executor's machine.
  std::uint16_t AgentPort_ = 0;
  milliseconds MaxHold_{6000};
};

/// What becomes of a run: it ends "done" or "failed" after a time.
struct RunPlan {
  milliseconds Length_{1000};
  bool Fails_ = false;
};

/// A run that was started, and how and when it ended, as the executor sees it.
struct RunHistory {
  std::string Executor_;
  std::string Task_;
  std::uint64_t Run_ = 0;
  milliseconds StartedAt_{0};
  /// Empty while the run goes on.
  std::string How_;
  milliseconds EndedAt_{0};
  /// The end was acknowledged.
  bool Noted_ = false;
};

/// Stand-in of an executor: announces itself to its agent, checks fencing
/// tokens, keeps the lease on its own clock, and lists ends until they are
/// acknowledged.
class Executor {
public:
  /// Returns the plan of a run; called with the task and the task_spec.
  using Planner =
      std::function<RunPlan(const std::string &Executor,
                            const std::string &Task, const std::string &Spec)>;

  Executor(ExecutorSettings Settings, Planner Plan, Record &Log);

  /// Returns all runs that were started here, in order.
  std::vector<RunHistory> runs() const;
  const ExecutorSettings &settings() const { return Settings_; }
  /// Returns the start of this executor in Unix time.
  std::int64_t born() const { return Born_; }

private:
  using Json = nlohmann::json;
  using RunKey = std::pair<std::string, std::uint64_t>;
  struct ActiveRun {
    RunPlan Plan_;
    Clock::time_point Start_{};
    std::size_t History_ = 0;
  };
  struct End {
    std::uint64_t Number_ = 0;
    RunKey Key_;
    std::string How_;
    std::size_t History_ = 0;
  };

  std::optional<HttpResponse> handle(const HttpRequest &Request);
  HttpResponse hold(const Json &Body);
  HttpResponse start(const Json &Body);
  HttpResponse stop(const Json &Body);
  HttpResponse refuse(const char *Reason) const;
  Json stamp() const;
  bool isFenced(const Json &Body);
  void extendLease(const Json &Body);
  void endRun(const RunKey &Key, const std::string &How);
  void tick();
  void announce();
  milliseconds clock() const;

  const ExecutorSettings Settings_;
  const Planner Plan_;
  Record &Log_;
  const Clock::time_point Begin_ = Clock::now();
  const std::int64_t Born_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint64_t Fence_ = 0;
  milliseconds LeaseUntil_{0};
  std::map<RunKey, ActiveRun> Active_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::vector<End> Ends_;
  std::uint64_t NextEnd_ = 1;
  std::vector<RunHistory> History_;
  std::uint64_t Sequence_ = 0;
};

/// Returns the body of an announcement.
nlohmann::json announcement(const ExecutorSettings &Settings, std::int64_t Born,
                            milliseconds ClockTime, std::uint64_t Sequence);

} // namespace review
