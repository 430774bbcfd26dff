#pragma once

#include "nutmegwell/jobs/tables.h"
#include "nutmegwell/jobs/view.h"
#include <map>
#include <string>
#include <vector>

namespace nutmegwell::replay {

/// Mean and shape of a value that is drawn for each job.
struct Spread {
  double Mean_ = 1;
  /// Standard deviation of the logarithm.
  double Sigma_ = 0;
  double Max_ = 1e9;
};

/// A kind of job that callers submit.
struct JobKind {
  std::string Name_;
  int Priority_ = 1;
  /// Jobs a second.
  double Rate_ = 0;
  Spread Width_;
  Spread WorkSeconds_;
  std::int64_t Cpu_ = 1000;
  std::int64_t MemoryMb_ = 1000;
  /// One of these is drawn for each job.
  std::vector<std::int64_t> Accelerators_ = {1};
  bool Gang_ = false;
  /// Share of the gangs that must share a rack, and of the other jobs whose
  /// data is on one.
  double NearShare_ = 0;
  double CheckpointShare_ = 0;
  /// Declared work is off by a factor of up to one plus this, either way.
  double EstimateOff_ = 0;
  /// Share of the runs that fail by their own fault.
  double FailShare_ = 0;
  /// Share of the jobs that fail whenever they run.
  double HopelessShare_ = 0;
  std::uint32_t Attempts_ = 3;
  double Stretch_ = 3;
  core::Duration Allowance_{0};
  double Worth_ = 1;
  double LateWorth_ = 0.5;
};

/// Times as many jobs of a kind for a while.
struct Burst {
  std::string Kind_;
  core::Duration At_{0};
  core::Duration For_{0};
  double Times_ = 1;
};

enum class WorkerFault : std::uint8_t {
  Errors,
  Hang,
  Slow,
  Gone,
  /// The worker announces that it leaves, and ends when its notice is over.
  Leave
};

/// Trouble of a share of the workers.
struct WorkerTrouble {
  WorkerFault Kind_ = WorkerFault::Errors;
  core::Duration At_{0};
  core::Duration For_{0};
  double Share_ = 0;
  /// Time between the announcement and the end of a worker that leaves.
  core::Duration Notice_ = std::chrono::seconds(2);
};

/// A day as a table: the workers, what is asked of them, and what goes wrong.
struct Day {
  std::string Name_;
  core::Duration Length_ = std::chrono::seconds(34);
  /// Time after the last arrival in which jobs may still end.
  core::Duration Finish_ = std::chrono::seconds(14);
  std::size_t Racks_ = 4;
  std::size_t WorkersPerRack_ = 3;
  /// Speed of the workers, dealt in turn; work takes 1 / speed as long.
  std::vector<double> Speeds_ = {1};
  jobs::Resources Capacity_{64000, 131072, 8};
  core::Duration MaxLease_ = std::chrono::seconds(6);
  double RemotePenalty_ = 3;
  /// Reported percentages are the true share of a task's work, not that of its
  /// declared work.
  bool TrueProgress_ = false;
  /// Work between two checkpoints.
  core::Duration CheckpointEvery_ = std::chrono::milliseconds(500);
  std::vector<jobs::Account> Accounts_;
  std::vector<JobKind> Kinds_;
  std::vector<Burst> Bursts_;
  std::vector<WorkerTrouble> Troubles_;
};

/// Reads a day from lines of a word and "name=value" pairs; see days/. Returns
/// what is wrong with it, or an empty string.
std::string parseDay(const std::string &Text, Day &Result);

/// A job that arrives, with what only the emulator knows of it.
struct Arrival {
  core::Duration At_{0};
  std::size_t Kind_ = 0;
  jobs::JobAccepted Job_;
  /// Real work in seconds of each task of the only step.
  std::vector<double> Work_;
  bool Hopeless_ = false;
};

/// Returns the jobs of a day in the order of their arrival. Depends on the day
/// and the seed alone.
std::vector<Arrival> arrivals(const Day &Table, std::uint64_t Seed);

/// Returns the tables that a holder sees on the day.
jobs::ServiceTables tablesOf(const Day &Table);

} // namespace nutmegwell::replay
