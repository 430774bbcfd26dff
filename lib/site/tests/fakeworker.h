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

/// Takes what happens, for the checks of lib/history.
using Recorder = std::function<void(history::EventBody)>;

/// A worker as the platform describes it: numbered ends, leases on a clock of
/// its own, fences, orders that are carried out late. A command is the task's
/// run time in milliseconds; "fail" before it lets every run fail.
class FakeWorker {
public:
  using Responder = std::function<void(const WorkerResponse &)>;

  /// \p ClockRate is the rate of its clock against the host's, up to 2% slow.
  FakeWorker(std::string Host, std::string Domain, double ClockRate,
             core::TimePoint Now, Recorder Record);

  /// Returns what it says of itself now; the sequence rises.
  WorkerAnnouncement announce(core::TimePoint Now);
  /// Carries a call out. A look may be answered later, by tick.
  void take(const WorkerCall &Call, bool Late, core::TimePoint Now,
            Responder Reply);
  /// Ends the runs that are over and answers the looks that are due.
  void tick(core::TimePoint Now);
  /// Forgets everything and starts as a new incarnation.
  void restart(core::TimePoint Now);

  void drain() { Draining_ = true; }
  /// Notes that its agent knows of the drain; returns true the first time.
  bool noteDrain() { return !std::exchange(DrainNoted_, true); }
  std::int64_t born() const { return Incarnation_; }
  /// Runs make no progress while set.
  void setHanging(bool Value) { Hanging_ = Value; }

private:
  struct Run {
    std::uint32_t Accelerators_ = 0;
    core::Duration Length_{0};
    core::Duration Worked_{0};
    bool Fails_ = false;
  };
  struct OpenLook {
    WorkerCall Call_;
    core::TimePoint Until_;
    Responder Reply_;
  };

  WorkerTime clockAt(core::TimePoint Now) const;
  WorkerResponse answerTo(const WorkerCall &Call, core::TimePoint Now) const;
  void look(const WorkerCall &Call, core::TimePoint Now, Responder Reply);
  void start(const StartCall &Call, bool Late, WorkerResponse &Answer);
  void stop(const StopCall &Call);
  void extend(WorkerTime Until);
  void end(const cell::RunId &Id, cell::EndKind Kind);
  void answerLooks(core::TimePoint Now);
  bool obeys(core::Term Term);
  history::SiteRun recorded(const cell::RunId &Id) const;

  std::string Host_;
  std::string Domain_;
  double ClockRate_;
  Recorder Record_;
  std::int64_t Incarnation_ = 0;
  core::TimePoint BornAt_{};
  core::TimePoint Now_{};
  std::uint64_t Sequence_ = 0;
  bool Draining_ = false;
  bool DrainNoted_ = false;
  bool Hanging_ = false;
  core::Term Term_ = 0;
  WorkerTime LeaseUntil_{0};
  bool Lapsed_ = true;
  std::map<cell::RunId, Run> Running_;
  std::vector<cell::EndedTask> Ended_;
  std::uint64_t LastEnd_ = 0;
  /// Highest run of each task that was stopped or has ended.
  std::map<cell::TaskId, cell::RunNumber> Closed_;
  std::vector<OpenLook> Looks_;
};

/// Accelerators that a task of every fake job takes.
constexpr std::uint32_t FakeTaskAccelerators = 2;
constexpr std::uint32_t FakeWorkerAccelerators = 8;

} // namespace nutmegwell::site
