#pragma once

#include "cluster.h"
#include "nutmegwell/history/rules.h"
#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace e2e {

/// Records the events of a run from several threads.
class Recorder {
public:
  void
  add(const std::string &Process, nutmegwell::history::EventBody Body,
      nutmegwell::core::TimePoint At = nutmegwell::core::steadyClock().Now_());

  /// Returns the recorded events with those that the stand-ins of \p All
  /// printed, in order of time.
  nutmegwell::history::History finish(Cluster &All);

private:
  std::mutex Mutex_;
  std::vector<nutmegwell::history::Event> Events_;
};

/// Callers that send requests until they are told to stop.
class Load {
public:
  /// Half of the \p Callers send keyed requests, which they repeat through the
  /// other entry host until they have an answer; the others send GETs.
  Load(Cluster &All, Recorder &Run, int Callers);
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;
  ~Load() { stop(); }

  /// Waits until this many more requests were answered. Returns false after
  /// \p Limit.
  bool waitAnswers(int Count,
                   std::chrono::milliseconds Limit = std::chrono::seconds(30));

  /// Ends the load after the calls in progress.
  void stop();

  int answered() const { return Answered_; }
  int unknown() const { return Unknown_; }
  /// Returns the longest time of a keyed call that got no answer. Call
  /// after stop.
  nutmegwell::core::Duration longestUnknown() const { return Longest_; }

private:
  void callLoop(int Caller);
  bool callOnce(int Entry, const std::string &Call, const std::string &Key);

  Cluster &All_;
  Recorder &Run_;
  std::atomic<bool> Stopping_{false};
  std::atomic<int> Answered_{0};
  std::atomic<int> Unknown_{0};
  nutmegwell::core::Duration Longest_{};
  /// Set for an entry host that said it is stopping; callers avoid it, as a
  /// load balancer does.
  std::array<std::atomic<bool>, Cluster::Entries + 1> Avoid_{};
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<std::thread> Threads_;
};

/// Submits short gangs one after the other, with a pause after each, until it
/// is told to stop.
class JobLoad {
public:
  JobLoad(Cluster &All, int Entry, std::chrono::milliseconds Pause = {});
  ~JobLoad() { stop(); }

  /// Returns the jobs that were accepted.
  std::vector<std::string> stop();

private:
  std::atomic<bool> Stopping_{false};
  std::vector<std::string> Jobs_;
  std::thread Thread_;
};

/// Records the versions of the routes that the entry hosts show, from the first
/// publication on.
class ConfigWatch {
public:
  ConfigWatch(Cluster &All, Recorder &Run);
  ~ConfigWatch() { stop(); }
  void stop();

private:
  std::atomic<bool> Stopping_{false};
  std::vector<std::thread> Threads_;
};

/// Times of the daemons by default, for the rules whose bound is 3 s.
extern const std::vector<std::string> DefaultTimes;

/// Starts the log, both entry hosts, workers "w0" and up and upstreams "u0" and
/// up of domain "a", and publishes the tables. Workers from \p InA on are in
/// domain "b", and those from the third on in rack "rb".
void start(Cluster &All, int Workers, int Upstreams, int InA = 2,
           const std::string &RouteFields = "",
           const std::vector<std::string> &UpstreamFlags = {});

/// Waits for a time that is itself the bound under test.
void pass(std::chrono::milliseconds Time);

void assertFinished(Cluster &All, int Entry,
                    const std::vector<std::string> &Jobs);

/// Fails the test with a description when a rule is broken.
void assertRules(const nutmegwell::history::History &Run,
                 const nutmegwell::history::Bounds &Limits = {});

} // namespace e2e
