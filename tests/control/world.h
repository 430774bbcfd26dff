#pragma once

#include "nutmegwell/agent/control.h"
#include "nutmegwell/core/random.h"
#include "nutmegwell/entry/control.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// Runs the control steps of entry hosts and agents against fakes: a log, a
/// message network, a worker runtime for each agent, and a clock. Every choice
/// comes from one seed.
namespace nutmegwell::controltest {

using core::Duration;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A task in the worker runtime, which outlives the agent's process.
struct FakeTask {
  model::NodeName Worker_;
  core::JobId Job_;
  std::uint32_t Attempt_ = 0;
  std::uint64_t Accelerators_ = 0;
  model::TaskState State_ = model::TaskState::Running;
  std::string Checkpoint_;
  milliseconds Progress_{};
  TimePoint StartedAt_{};
  TimePoint LeaseEnd_{};
  bool Stopping_ = false;
};

struct Process {
  std::string Name_;
  bool Alive_ = true;
  TimePoint PausedUntil_{};
  /// Changes when the process is replaced.
  core::Incarnation Incarnation_ = 0;
};

struct EntryHost : Process {
  entry::EntryState State_;
  std::deque<entry::Event> Queue_;
  core::Offset ReadNext_ = 0;
  TimePoint ReaderStuckUntil_{};
  TimePoint LogCutUntil_{};
  model::Batch Unsent_;
  bool Appending_ = false;
  /// Versions that the process showed last.
  std::map<std::string, core::Version> Shown_;
};

struct AgentHost : Process {
  agent::AgentState State_;
  std::deque<agent::Event> Queue_;
  std::deque<agent::RuntimeCall> Calls_;
  bool Calling_ = false;
  bool FailsEverything_ = false;
  TimePoint SlowUntil_{};
  std::map<std::string, FakeTask> Tasks_;
};

/// One committed attempt, as the checks follow it.
struct Attempt {
  model::DomainName Domain_;
  model::Placement Placement_;
  std::string Checkpoint_;
  std::set<std::string> Started_;
  std::set<std::string> Running_;
  /// When the attempt became partial; moved on by each new holder.
  TimePoint PartialSince_{};
  bool Partial_ = false;
  /// True once a task ended without success.
  bool Broken_ = false;
};

struct Faults {
  unsigned LossPercent_ = 0;
  unsigned DuplicatePercent_ = 0;
  Duration LongestDelay_ = milliseconds(5);
  unsigned LostAnswerPercent_ = 0;
  Duration LongestAppend_ = milliseconds(20);
  /// Share of runtime calls that take up to 1.9 s.
  unsigned SlowCallPercent_ = 2;
};

struct World {
  core::Random Random_;
  TimePoint Now_{seconds(100)};
  Faults Faults_;
  std::vector<EntryHost> Entries_;
  std::vector<AgentHost> Agents_;
  std::set<std::pair<std::string, std::string>> Cut_;
  bool LogUp_ = true;
  std::vector<model::Batch> Log_;
  /// The fold of the whole log, and snapshots of it.
  model::ControlState Truth_;
  std::vector<model::ControlState> Snapshots_;
  std::map<model::DomainName, TimePoint> OutSince_;
  std::map<std::pair<core::JobId, std::uint32_t>, Attempt> Attempts_;
  std::map<std::uint64_t, entry::CommandReply> Replies_;
  /// Rule and what was seen, first one first.
  std::vector<std::pair<std::string, std::string>> Violations_;
  std::map<std::string, unsigned> Counts_;
  /// Called when the log has taken a commit, before any host reads it.
  std::function<void()> OnCommit_;
  std::uint64_t NextIncarnation_ = 1000;
  std::uint64_t NextCommandId_ = 1;

  struct Due {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Run_;
    bool operator<(const Due &Other) const {
      return At_ != Other.At_ ? At_ > Other.At_ : Order_ > Other.Order_;
    }
  };
  std::priority_queue<Due> Agenda_;
  std::uint64_t NextOrder_ = 0;

  explicit World(std::uint64_t Seed) : Random_(core::seededRandom(Seed)) {}
  World(const World &) = delete;

  std::uint64_t pick(std::uint64_t Bound) {
    return core::randomBelow(Random_, Bound);
  }
  bool percent(unsigned Share) { return Share > 0 && pick(100) < Share; }
  Duration upTo(Duration Longest) {
    return Duration(static_cast<Duration::rep>(
        pick(static_cast<std::uint64_t>(Longest.count()) + 1)));
  }
  void after(Duration Wait, std::function<void()> Run) {
    Agenda_.push({Now_ + Wait, NextOrder_++, std::move(Run)});
  }
  void violate(const std::string &Rule, const std::string &What);
};

/// Adds hosts "e0".. and workers "w0".. spread over \p Domains domains with
/// three workers to a rack, and starts their timers.
void build(World &All, unsigned Entries, unsigned Agents, unsigned Domains);

/// Runs what is due until \p End or until \p Done says so after an event.
void runUntil(World &All, TimePoint End,
              const std::function<bool()> &Done = nullptr);

void post(World &All, EntryHost &To, entry::Event What);
void post(World &All, AgentHost &To, agent::Event What);

/// Appends as another writer would, bypassing the entry hosts.
void appendDirectly(World &All, model::RecordBody Body);

/// Hands a command to an entry host. Returns its ticket.
std::uint64_t command(World &All, EntryHost &To, model::RecordBody Body);

/// Replaces the process by one with an empty state after \p Away.
void replace(World &All, EntryHost &Target, Duration Away);
void replace(World &All, AgentHost &Target, Duration Away);
void pause(World &All, Process &Target, Duration Length);

/// Ends every task of a worker, as the death of its host does.
void killTasks(World &All, AgentHost &Target);

/// Restarts the host's reader from a random snapshot.
void restartReader(World &All, EntryHost &Target);

/// Checks attempts that have been partial for longer than the bound.
void checkPartial(World &All);

/// Returns true when no task runs and no share or gang is left.
bool clean(const World &All);

} // namespace nutmegwell::controltest
