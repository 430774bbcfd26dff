#pragma once

#include "day.h"
#include "nutmegwell/cell/holder.h"

namespace nutmegwell::replay {

/// What became of one job.
struct JobResult {
  std::size_t Kind_ = 0;
  std::string Account_;
  core::Duration At_{0};
  /// Core-seconds that the job needs.
  double Size_ = 0;
  core::Duration Objective_{0};
  /// Absent for a job without any start.
  std::optional<core::Duration> StartedAfter_;
  /// Absent for a job that did not complete.
  std::optional<core::Duration> CompletedAfter_;
  bool Hopeless_ = false;
};

/// A day as it went.
struct DayResult {
  std::vector<JobResult> Jobs_;
  /// Core-seconds of work that counted, and that was thrown away.
  double Done_ = 0;
  double ThrownAway_ = 0;
  /// Of that, core-seconds and runs that were lost with workers that left.
  double LostWithWorkers_ = 0;
  std::size_t RunsLostWithWorkers_ = 0;
  std::size_t Runs_ = 0;
  std::size_t Stops_ = 0;
  /// Appends of the holder.
  std::size_t Appends_ = 0;
  /// Records that break a rule, such as two runs of a task; must stay empty.
  std::vector<std::string> Broken_;
};

/// Runs the decisions of a cell's holder against emulated workers in simulated
/// time, with the day's figures of the workers in \p Policy. Depends on its
/// arguments alone.
DayResult playDay(const Day &Table, std::uint64_t Seed,
                  cell::HolderPolicy Policy);

} // namespace nutmegwell::replay
