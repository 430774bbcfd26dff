#pragma once

#include "world.h"

namespace nutmegwell::replay {

/// Figures of a set of jobs; shares of what they were worth.
struct Share {
  double OnTime_ = 0;
  double Late_ = 0;
  double Lost_ = 0;
};

/// What the jobs of some days were worth to their callers.
struct Summary {
  Share All_;
  std::map<std::string, Share> ByKind_;
  /// The largest tenth of each kind, and the fifth below it.
  Share Largest_;
  Share Large_;
  Share WorstAccount_;
  /// Of all spans of five seconds of arrivals.
  Share WorstWindow_;
  /// Credit earned of credit owed, with late jobs at their lower worth.
  double Credit_ = 0;
  /// Core-seconds thrown away for each that counted.
  double ThrownAway_ = 0;
  /// Core-seconds and runs that were lost with workers that left.
  double LostWithWorkers_ = 0;
  std::size_t RunsLostWithWorkers_ = 0;
  core::Duration LongestWait_{0};
  std::size_t Runs_ = 0;
  std::size_t Stops_ = 0;
  std::size_t Appends_ = 0;
  std::size_t Broken_ = 0;
};

Summary summarize(const Day &Table, const std::vector<DayResult> &Days);

/// A policy's name and what it reached.
using NamedSummary = std::pair<std::string, Summary>;

/// Prints one line a figure: NAME value=V baseline=B ratio=R unit=U seed=S. The
/// first summary is the policy, the others are baselines.
void print(const Day &Table, const std::vector<NamedSummary> &Rows,
           const std::string &Seeds);

/// Returns a plot of the shares of each kind under each policy.
std::string plot(const Day &Table, const std::vector<NamedSummary> &Rows);

} // namespace nutmegwell::replay
