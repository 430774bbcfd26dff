#pragma once

#include "nutmegwell/history/event.h"
#include "nutmegwell/site/agent.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::site {

/// Records an event for the checks of lib/history.
using Recorder = std::function<void(history::EventBody)>;

/// Simulates a worker as the platform specifies it: numbered ends of runs,
/// leases on the worker's own clock, fencing by term, and orders that are
/// carried out late. A command is the task's run time in milliseconds; with the
/// prefix "fail" every run fails.
class FakeWorker {
public:
  using Responder = std::function<void(const WorkerResponse &)>;

  /// \p ClockRate is the rate of the worker's clock relative to the host's; it
  /// may be up to 2% slow.
  FakeWorker(std::string Host, std::string Domain, double ClockRate,
             core::TimePoint Now, Recorder Record);

  /// Returns the current announcement and increases its sequence.
  WorkerAnnouncement announce(core::TimePoint Now);
  /// Carries out a call. The response to a poll may follow in a later
  /// call of advance.
  void handleCall(const WorkerCall &Call, bool Late, core::TimePoint Now,
                  Responder Reply);
  /// Ends the runs that are due and responds to the polls that are due.
  void advance(core::TimePoint Now);
  /// Discards all state and starts as a new incarnation. The time of day, which
  /// names the incarnation, has been set back by \p SetBack meanwhile.
  void restart(core::TimePoint Now, core::Duration SetBack = {});

  /// Announces from now on that the worker leaves at \p LeavesAt.
  void drain(core::TimePoint LeavesAt = {}) {
    Draining_ = true;
    LeavesAt_ = LeavesAt;
  }
  /// Withdraws the announcement that the worker leaves.
  void endDrain() { Draining_ = DrainRecorded_ = false; }
  /// Returns the number of runs.
  std::size_t runs() const { return Running_.size(); }
  /// Records that the agent knows of the drain. Returns true the first time.
  bool recordDrain() { return !std::exchange(DrainRecorded_, true); }
  std::int64_t incarnation() const { return Incarnation_; }
  /// While set, runs make no progress.
  void setStalled(bool Value) { Stalled_ = Value; }

private:
  struct Run {
    std::uint32_t Accelerators_ = 0;
    core::Duration RunTime_{0};
    core::Duration Progress_{0};
    bool Fails_ = false;
  };
  struct OpenPoll {
    WorkerCall Call_;
    core::TimePoint Until_;
    Responder Reply_;
  };

  WorkerTime clockAt(core::TimePoint Now) const;
  WorkerResponse makeResponse(const WorkerCall &Call,
                              core::TimePoint Now) const;
  void poll(const WorkerCall &Call, core::TimePoint Now, Responder Reply);
  void start(const StartCall &Call, bool Late, WorkerResponse &Response);
  void stop(const StopCall &Call);
  void extendLease(WorkerTime Until);
  void endRun(const cell::RunId &Id, cell::EndKind Kind);
  void answerDuePolls(core::TimePoint Now);
  bool acceptsTerm(core::Term Term);
  history::SiteRun historyRun(const cell::RunId &Id) const;

  std::string Host_;
  std::string Domain_;
  double ClockRate_;
  Recorder Record_;
  std::int64_t Incarnation_ = 0;
  core::TimePoint StartedAt_{};
  core::TimePoint Now_{};
  std::uint64_t Sequence_ = 0;
  bool Draining_ = false;
  bool DrainRecorded_ = false;
  core::TimePoint LeavesAt_{};
  bool Stalled_ = false;
  core::Term Term_ = 0;
  WorkerTime LeaseUntil_{0};
  bool LeaseExpired_ = true;
  std::map<cell::RunId, Run> Running_;
  std::vector<cell::EndedTask> Ended_;
  std::uint64_t LastEndNumber_ = 0;
  /// Highest run of each task that was stopped or has ended; the worker refuses
  /// starts up to it.
  std::map<cell::TaskId, cell::RunNumber> HighestClosedRun_;
  std::vector<OpenPoll> OpenPolls_;
};

/// Accelerators that each task of a simulated job takes.
constexpr std::uint32_t FakeTaskAccelerators = 2;
constexpr std::uint32_t FakeWorkerAccelerators = 8;
/// Maximum number of ends that a worker lists at a time, the oldest ones. Fewer
/// than the tasks of a worker, so that lists are often partial.
constexpr std::size_t FakeListedEnds = 2;

} // namespace nutmegwell::site
