#pragma once

#include "host.h"
#include "oracle.h"
#include <functional>

namespace nutmegwell::schedules {

enum class AppendFault : std::uint8_t {
  None,
  /// The connection fails, so the append is certainly not written.
  NotSent,
  /// The request is lost; the sender cannot tell whether it was written.
  LostBeforeEffect,
  /// The append is written, but its response is lost.
  LostAfterEffect,
  /// The append is written after the sender has given up on it.
  LateEffect,
  /// The append is written in time, but its response is late.
  Slow
};
constexpr unsigned AppendFaultCount = 6;

/// The kind of operations that the hosts perform in a schedule.
enum class Workload : std::uint8_t {
  /// All kinds of operations.
  Mixed,
  /// Tasks start while domains are taken out of service and holders are
  /// partitioned from the log.
  DomainChanges
};

/// One simulated schedule: entry hosts, the log, two cells with one agent each,
/// and the agents that execute non-idempotent requests. The seed determines the
/// whole schedule.
class World {
public:
  World(std::uint64_t Seed, Workload Kind);

  /// Runs \p Steps steps with faults, then clears all faults and checks that
  /// the hosts agree. Returns the first property violation, or an empty string.
  std::string run(unsigned Steps);

  const Oracle &oracle() const { return Oracle_; }
  /// The number of events by kind; tests check that the schedules reach them.
  const std::map<std::string, std::size_t> &counts() const { return Counts_; }

private:
  struct CellAgent {
    core::TimePoint PermitUntil_;
    core::TimePoint NextHeartbeatAt_;
    core::Term HighestTerm_ = 0;
  };

  void expect(bool Condition, const std::string &Message);
  bool chance(unsigned Percent);
  core::Duration randomDuration(core::Duration Bound);
  void runAfter(core::Duration Delay, std::function<void()> Action);
  void advanceTime(core::Duration By);
  void fail(const std::string &Message);

  // Log.
  core::Offset appendEntry(std::string Bytes);
  bool reachesLog(const Host &From) const;
  absl::StatusOr<logclient::ReadResult> read(const Host &By, core::Offset From,
                                             std::size_t Max);
  void send(Host &From, const model::Batch &Entry);
  void applyRetention();

  // Hosts.
  Host &randomHost();
  void crash(Host &Target);
  void stepHost(Host &Target);
  void start(Host &Target);
  logclient::StartPeers startPeersFor(Host &Target);
  void adoptState(Host &Target, const logclient::StartPoint &Point);
  void readStep(Host &Target);
  void applyBatch(Host &Target, core::Offset At, const model::Batch &Entry);
  void onOwnVerdict(Host &Target, const model::Record &Change,
                    const model::FoldResult &Result);
  void collectReports(Host &Target);
  void recordObservedVersions(const Host &Target);
  void checkFold(const Host &Target);
  core::RecordId submit(Host &From, model::RecordBody Body);

  // Operations of the hosts.
  void runOperation();
  void runDomainOperation();
  void partitionFromLog(Host &Target);
  void publish(Host &By, core::Version RoutesExpected,
               core::Version PoolsExpected);
  void changeDomain(Host &By);
  void changeCell(Host &By);
  void changeJob(Host &Chosen);
  void recordIntent(Host &By);
  void corruptLog();
  void injectFault();

  // Agents.
  void sendHeartbeats(const model::DomainName &Domain, CellAgent &Agent);
  void startTask(const model::JobCommitted &Commit);
  void executeAttempt(const std::string &Key, const core::AttemptId &Attempt);
  void queryAttempt(Host &By, const std::string &Key);

  void heal();
  void checkFinalState();

  const Workload Workload_;
  core::Random Random_;
  core::TimePoint Now_{std::chrono::hours(1)};
  std::multimap<core::TimePoint, std::function<void()>> PendingActions_;
  std::vector<std::string> Entries_;
  core::Offset First_ = 0;
  bool Outage_ = false;
  bool FaultsDisabled_ = false;
  bool EnforceBounds_ = false;
  AppendFault LastFault_ = AppendFault::None;
  std::vector<Host> Hosts_;
  core::Incarnation LastIncarnation_ = 100;
  std::uint64_t NextId_ = 0;
  std::map<model::DomainName, CellAgent> Agents_;
  std::set<core::AttemptId> ExecutedAttempts_;
  std::set<core::AttemptId> RefusedAttempts_;
  std::map<core::RecordId, std::vector<logclient::AppendReport>> Reports_;
  std::vector<history::Event> Events_;
  /// Events after the faults were cleared, for which the regular bounds hold.
  std::vector<history::Event> EventsAfterHeal_;
  std::map<std::string, core::Version> ObservedVersions_;
  Oracle Oracle_;
  std::map<std::string, std::size_t> Counts_;
  std::string Failure_;
};

} // namespace nutmegwell::schedules
