#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/jobs/spec.h"
#include "nutmegwell/jobs/tables.h"
#include <string>
#include <vector>

namespace nutmegwell::cell {

struct Holder;
struct HolderContext;

/// Work of one queue, in accelerator-seconds of expected run time. A task that
/// takes a larger share of the workers' cores or memory than of their
/// accelerators counts with that share of the accelerators.
struct QueueLoad {
  std::string Queue_;
  int Priority_ = 0;
  /// Ready work without a run.
  double Waiting_ = 0;
  /// Part of Waiting_ that misses its objective, which starts after the work of
  /// the same priority that does not.
  double Late_ = 0;
  /// Part of Waiting_ that is worth nothing to its callers any more, which
  /// starts last. Not contained in Late_.
  double Expired_ = 0;
  /// Expected rest of the work that runs.
  double Running_ = 0;
};

/// Load of a service as its holder sees it.
struct CellLoad {
  std::string Service_;
  std::vector<QueueLoad> Queues_;
  /// Accelerators of the usable workers without those of long-running tasks,
  /// which is also the work in accelerator-seconds that ends in a second while
  /// all are in use.
  double Accelerators_ = 0;
  /// Resources of the usable workers, and those that are free.
  jobs::Resources Capacity_;
  jobs::Resources Free_;
};

/// Load that the holder of a term sends to the other entry hosts.
struct LoadReport {
  std::string Host_;
  core::Term Term_ = 0;
  /// Some queue's expected wait exceeds its objective.
  bool Overloaded_ = false;
  std::vector<CellLoad> Services_;
};

/// Upper bound of expected waits; the wait of work that cannot start at all.
constexpr core::Duration LongestWait = std::chrono::hours(24 * 365);

/// Returns, for each step, the longest chain of declared work from its start to
/// the end of the job.
std::vector<core::Duration> longestChains(const jobs::JobSpec &Spec);

/// The same with other run times, one for each step.
std::vector<core::Duration>
longestChains(const jobs::JobSpec &Spec,
              const std::vector<core::Duration> &RunTimes);

/// Returns the time after a job's arrival within which it should end.
core::Duration objectiveOf(const jobs::Queue *Queue,
                           const std::vector<core::Duration> &Chains);

/// Returns the accelerators that \p Need counts as among workers with
/// \p Capacity: those of the resource of which it takes the largest share.
double acceleratorsOf(const jobs::Resources &Need,
                      const jobs::Resources &Capacity);

/// Returns the declared work of all tasks of a job in accelerator-seconds.
double acceleratorWork(const jobs::JobSpec &Spec,
                       const jobs::Resources &Capacity);

/// Returns the resources of the largest part of a job that starts as a whole: a
/// gang, or one task.
jobs::Resources largestUnit(const jobs::JobSpec &Spec);

/// Returns how long a job of \p Priority that arrives now is expected to wait
/// for \p Need: the work before it divided by the rate at which work ends, and
/// at least the time in which enough of the running work ends. Zero while
/// enough is free; LongestWait when the usable workers have too little.
///
/// The work before it is that of more urgent priorities and that of its own
/// priority which meets its objective. After \p Slack the job is late itself,
/// and the other late work of its priority is before it as well.
core::Duration expectedWait(const CellLoad &Load, int Priority,
                            const jobs::Resources &Need, core::Duration Slack);

/// Returns the load of the services that have usable workers, as the holder
/// knows it. Without services and not overloaded until all workers that an
/// earlier holder has listed have reported, since they may still run the jobs
/// that seem to wait.
///
/// Load pattern: a burst that exceeds what the workers can end in time. Work
/// that fits on none of the usable workers is left out, because it delays no
/// other work.
LoadReport makeLoadReport(const std::string &Host, const Holder &State,
                          const HolderContext &Context);

/// Returns true when all numbers of a report are within the bounds that a
/// holder keeps.
bool isValid(const LoadReport &Report);

} // namespace nutmegwell::cell
