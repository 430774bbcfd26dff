#pragma once

#include "nutmegwell/jobs/spec.h"
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// A task is small on a worker that has each resource this many times as much.
/// The resources bound the number of other runs.
constexpr std::int64_t SmallTaskRatio = 1024;

/// Maximum number of runs of small tasks on a worker, of one job and of all.
constexpr std::int64_t MaxSmallRunsOfJob = 256;
constexpr std::int64_t MaxSmallRuns = 2048;

/// Resources and constraints of one worker, as seen by placement.
struct PlacementTarget {
  std::string Host_;
  std::string Rack_;
  std::vector<std::string> Labels_;
  jobs::Resources Capacity_;
  jobs::Resources Free_;
  /// Number of further runs of the step being placed; set by the caller.
  std::int64_t FreeRuns_ = MaxSmallRuns;
  /// Consecutive failures on the worker; 0 when the last one is not recent.
  unsigned FailureScore_ = 0;
  /// Tasks of the step being placed that already run on the worker; set by the
  /// caller.
  std::uint32_t StepTaskCount_ = 0;
  /// Speed relative to the ordinary speed, and the standard error of its
  /// logarithm.
  double Speed_ = 1;
  double SpeedError_ = 0;
  bool SpeedSampled_ = false;
  /// The step being placed must not run on the worker; set by the caller.
  bool Excluded_ = false;

  bool hasLabel(const std::string &Label) const;
};

/// Which workers a placement prefers by their speed, among those that are fast
/// enough.
enum class SpeedPreference : std::uint8_t {
  None,
  /// Workers of which a sample exists.
  Sampled,
  /// Workers that are too slow for the most demanding work, so that the others
  /// stay free for it.
  Slow,
  /// Untried workers first, whose speed becomes known, then as Slow.
  UntriedThenSlow,
  /// The fastest workers, for work that no worker is fast enough for.
  Fast
};

/// Tasks of one step that are to be placed together.
struct PlacementRequest {
  const jobs::StepSpec *Step_ = nullptr;
  std::uint32_t Count_ = 1;
  /// Rack that the tasks should share with those already running; empty for
  /// none.
  std::string PreferredRack_;
  /// Allows workers that are far from the data, and placement across racks.
  bool AllowRemote_ = false;
  SpeedPreference Speed_ = SpeedPreference::None;
  /// Speed below which a worker is too slow for the most demanding work.
  double DemandedSpeed_ = 0;
};

/// Chooses the best-fitting worker for each task and takes its resources out of
/// \p Targets, or returns nothing when not all tasks fit. Linear in workers
/// times tasks.
std::optional<std::vector<std::size_t>>
placeTasks(const PlacementRequest &Request,
           std::vector<PlacementTarget> &Targets);

/// Returns true when the constraints of the step allow one more of its tasks on
/// \p Worker, regardless of the worker's free resources.
bool satisfiesConstraints(const PlacementTarget &Worker,
                          const jobs::StepSpec &Step);

/// Returns the racks in which to try the request, the preferred one first; an
/// empty name stands for all racks together.
std::vector<std::string>
candidateRacks(const PlacementRequest &Request,
               const std::vector<PlacementTarget> &Targets);

/// Returns whether a task that takes \p Each is small on a worker with
/// \p Capacity.
bool isSmall(const jobs::Resources &Each, const jobs::Resources &Capacity);

/// Returns the resources that a task of \p Step takes of its worker.
jobs::Resources requiredResources(const jobs::StepSpec &Step);

/// Returns true when some worker of \p Targets is in \p Rack, however little of
/// it is free.
bool rackExists(const std::vector<PlacementTarget> &Targets,
                const std::string &Rack);

/// Returns the share of the accelerators of \p Targets that is free.
double freeShare(const std::vector<PlacementTarget> &Targets);

} // namespace nutmegwell::cell
