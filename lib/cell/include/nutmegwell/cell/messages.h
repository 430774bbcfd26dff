#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/jobs/progress.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::cell {

using jobs::RunNumber;
using jobs::TaskId;

/// One run of a task.
struct RunId {
  TaskId Task_;
  RunNumber Run_ = 0;

  friend bool operator<(const RunId &A, const RunId &B) {
    return std::tie(A.Task_, A.Run_) < std::tie(B.Task_, B.Run_);
  }
  friend bool operator==(const RunId &A, const RunId &B) {
    return A.Task_ == B.Task_ && A.Run_ == B.Run_;
  }
};

/// Properties that a worker announces.
struct WorkerInfo {
  std::string Id_;
  /// Start of the worker's process. A new value means that no run of an earlier
  /// incarnation is left.
  std::int64_t WorkerIncarnation_ = 0;
  std::string Service_;
  std::string FailureDomain_;
  bool Draining_ = false;
  /// Minimum time for which a draining worker stays.
  core::Duration DrainRemaining_{0};
  jobs::Resources Capacity_;
  /// Kind and rack, as announced by the worker.
  std::vector<std::string> Labels_;
  std::string Rack_;
};

/// A run that a worker lists as running.
struct RunningTask {
  RunId Id_;
  std::string Checkpoint_;
  /// Progress in percent, 0 to 100.
  double Percent_ = 0;
  /// Tail latency in ms for a serving task, thousandths of a core for any other
  /// task.
  double Usage_ = 0;
};

enum class EndKind : std::uint8_t {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  /// Another member of the gang ended.
  GangMemberEnded,
  /// The other members of the gang did not join.
  GangIncomplete
};

const char *name(EndKind Kind);

/// The end of a run, which the worker lists until it is acknowledged.
struct EndedTask {
  std::uint64_t Number_ = 0;
  RunId Id_;
  EndKind Kind_ = EndKind::Failed;
  std::string Checkpoint_;
};

/// Why a worker did not start a run.
enum class RefusalKind : std::uint8_t {
  Fenced,
  SupersededRun,
  Late,
  InsufficientCapacity,
  NoTicket,
  Unhealthy,
  Invalid,
  Draining,
  OtherIncarnation
};

const char *name(RefusalKind Kind);

struct RefusedStart {
  RunId Id_;
  RefusalKind Kind_ = RefusalKind::Invalid;
};

/// State of a worker as its agent knows it. Each report is complete, except for
/// the ends of a worker that lists only some of them.
struct AgentReport {
  std::string Host_;
  core::Incarnation AgentIncarnation_ = 0;
  std::uint64_t Sequence_ = 0;
  /// Term that the worker has adopted and under which the lists were made; 0
  /// before the first adoption. Without a worker, the term that the agent has
  /// adopted since the worker's process ended, or 0 when it does not know that
  /// nothing runs.
  core::Term Term_ = 0;
  /// Absent until a worker has announced itself, and after it has ended.
  std::optional<WorkerInfo> Worker_;
  /// False while the worker does not respond to its agent; the lists are
  /// outdated then.
  bool WorkerReachable_ = true;
  /// Sequence number up to which orders have been carried out or are in
  /// Pending_.
  std::uint64_t ProcessedOrders_ = 0;
  std::vector<RunningTask> Running_;
  std::vector<EndedTask> Ended_;
  /// False while the worker may have ends that it does not list yet. A run that
  /// no list contains may then have ended in any way.
  bool EndsComplete_ = true;
  /// Starts whose outcome is not known yet. Without a worker, those that its
  /// next process may still carry out.
  std::vector<RunId> Pending_;
  std::vector<RefusedStart> Refused_;
};

struct StartOrder {
  RunId Id_;
  std::string Command_;
  std::string Checkpoint_;
  std::string Ticket_;
};

struct PaceOrder {
  RunId Id_;
  unsigned Percent_ = 100;
};

/// Orders of the holder to an agent. A message with a grant also renews the
/// leases of the worker's tasks.
struct HolderOrders {
  core::Term Term_ = 0;
  std::uint64_t Sequence_ = 0;
  /// Newest report that the holder has processed; the granted lease counts from
  /// the time at which the agent sent it.
  std::uint64_t ReportSequence_ = 0;
  /// False while the holder's tenure is not confirmed or the worker does not
  /// respond to its agent.
  bool GrantsLease_ = false;
  /// Incarnation of the worker that the orders are for.
  std::int64_t WorkerIncarnation_ = 0;
  /// Ends up to this number are durable, so that the worker need not list them
  /// any more.
  std::uint64_t AcknowledgedUpTo_ = 0;
  std::vector<StartOrder> Starts_;
  std::vector<RunId> Stops_;
  std::vector<PaceOrder> Paces_;
};

} // namespace nutmegwell::cell
