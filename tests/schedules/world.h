#pragma once

#include "host.h"
#include "oracle.h"
#include <functional>

namespace nutmegwell::schedules {

enum class AppendFault : std::uint8_t {
  None,
  /// Refused before effect.
  NotSent,
  LostBeforeEffect,
  LostAfterEffect,
  /// The caller gives up before the append takes effect.
  LateEffect,
  Slow
};
constexpr unsigned AppendFaults = 6;

/// What the hosts do in a schedule.
enum class Focus : std::uint8_t {
  Everything,
  /// Work starts while domains go out and holders are cut off from the log.
  Domains
};

/// One schedule: entry hosts, the log, two cells with an agent each, and the
/// agents of non-idempotent requests. Everything follows from the seed.
class World {
public:
  World(std::uint64_t Seed, Focus Chosen);

  /// Runs \p Steps steps with faults, then heals and checks that all hosts
  /// agree. Returns the first broken property, or an empty text.
  std::string run(unsigned Steps);

  const Oracle &oracle() const { return Oracle_; }
  /// How often each kind of event happened, for tests of the schedules.
  const std::map<std::string, std::size_t> &counts() const { return Counts_; }

private:
  struct CellAgent {
    core::TimePoint PermitUntil_;
    core::TimePoint NextHeartbeatAt_;
    core::Term HighestTerm_ = 0;
  };

  void expect(bool Holds, const std::string &Message);
  bool chance(unsigned Percent);
  core::Duration upTo(core::Duration Bound);
  void after(core::Duration Delay, std::function<void()> Action);
  void advance(core::Duration By);
  void fail(const std::string &Message);

  // Log.
  core::Offset write(std::string Bytes);
  bool reachesLog(const Host &From) const;
  absl::StatusOr<logclient::ReadResult> read(const Host &By, core::Offset From,
                                             std::size_t Max);
  void send(Host &From, const model::Batch &Entry);
  void applyRetention();

  // Hosts.
  Host &someHost();
  void crash(Host &Target);
  void pump(Host &Target);
  void start(Host &Target);
  logclient::StartPeers peersOf(Host &Target);
  void takeState(Host &Target, const logclient::StartPoint &Point);
  void readStep(Host &Target);
  void applyBatch(Host &Target, core::Offset At, const model::Batch &Entry);
  void onOwnVerdict(Host &Target, const model::Record &Change,
                    const model::FoldResult &Result);
  void takeReports(Host &Target);
  void observe(const Host &Target);
  void checkFold(const Host &Target);
  core::RecordId submit(Host &From, model::RecordBody Body);

  // What hosts do.
  void operate();
  void operateDomains();
  void cutOff(Host &Target);
  void publish(Host &By, core::Version RoutesExpected,
               core::Version PoolsExpected);
  void changeDomain(Host &By);
  void changeCell(Host &By);
  void changeJob(Host &Chosen);
  void recordIntent(Host &By);
  void corruptLog();
  void disturb();

  // Agents.
  void beat(const model::DomainName &Domain, CellAgent &Agent);
  void startTask(const model::JobCommitted &Commit);
  void dispatch(const std::string &Key, const core::AttemptId &Attempt);
  void query(Host &By, const std::string &Key);

  void heal();
  void checkEnd();

  const Focus Focus_;
  core::Random Random_;
  core::TimePoint Now_{std::chrono::hours(1)};
  std::multimap<core::TimePoint, std::function<void()>> Actions_;
  std::vector<std::string> Entries_;
  core::Offset First_ = 0;
  bool Outage_ = false;
  bool Calm_ = false;
  bool Judged_ = false;
  AppendFault LastFault_ = AppendFault::None;
  std::vector<Host> Hosts_;
  core::Incarnation LastIncarnation_ = 100;
  std::uint64_t Next_ = 0;
  std::map<model::DomainName, CellAgent> Agents_;
  std::set<core::AttemptId> Executed_;
  std::set<core::AttemptId> RefusedAttempts_;
  std::map<core::RecordId, std::vector<logclient::AppendReport>> Reports_;
  std::vector<history::Event> Events_;
  /// Events of the time after healing, in which all bounds hold.
  std::vector<history::Event> JudgedEvents_;
  std::map<std::string, core::Version> Observed_;
  Oracle Oracle_;
  std::map<std::string, std::size_t> Counts_;
  std::string Failure_;
};

} // namespace nutmegwell::schedules
