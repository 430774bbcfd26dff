#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::jobs {

/// Wall-clock time; compared between hosts only for due times.
using WallTime =
    std::chrono::time_point<std::chrono::system_clock, core::Duration>;

/// Number of an occurrence of a job.
using OccurrenceNumber = std::uint64_t;

/// Resources of a worker, or those that a task takes of it.
struct Resources {
  /// Thousandths of a core.
  std::int64_t Cpu_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Accelerators_ = 0;

  /// Returns true when \p Other fits into these resources.
  bool covers(const Resources &Other) const;
  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
  /// Returns these resources \p Count times, or amounts that no worker has
  /// where the products are too large.
  Resources times(std::int64_t Count) const;
};

/// A set of identical tasks of a job.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources PerTask_;
  /// Declared run time of a task; a rough estimate.
  core::Duration Estimate_{0};
  /// Earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> DependsOn_;
  /// Tasks save checkpoints from which a later attempt resumes.
  bool Checkpoints_ = false;
  /// Gang scheduling: the tasks can only run all together.
  bool Gang_ = false;
  /// Tasks slow down when they are spread over more than one rack.
  bool SameRack_ = false;
  /// Label that the worker must have; empty for none.
  std::string RequiredLabel_;
  /// Rack that holds the data; empty for none.
  std::string DataRack_;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t SpreadLimit_ = 0;
  /// A slow task may get a copy that runs at the same time.
  bool Speculative_ = false;
  /// Tasks run until the job is cancelled.
  bool LongRunning_ = false;
  /// Image that the tasks run; tasks of one image behave alike.
  std::string Image_;
  /// Target tail latency of a serving task; zero for none.
  core::Duration TargetLatency_{0};
  /// Tasks use idle processors, which do not count against a worker's capacity.
  bool BestEffort_ = false;
  /// Maximum number of tasks that may be down at once because of the system's
  /// own actions.
  std::optional<std::uint32_t> MaxUnavailable_;
};

struct JobSpec {
  /// Opaque text that the worker receives with each start.
  std::string Command_;
  std::vector<StepSpec> Steps_;
  /// Number of times that the steps run; 0 for a single run without a due time.
  OccurrenceNumber Repetitions_ = 0;
  WallTime FirstDue_{};
  core::Duration Interval_{0};

  bool timed() const { return Repetitions_ > 0; }
  OccurrenceNumber occurrences() const { return timed() ? Repetitions_ : 1; }
  /// Returns when occurrence \p Index is due, or WallTime::max() for a time
  /// beyond it. A negative interval counts as none.
  WallTime dueAt(OccurrenceNumber Index) const;
  /// Returns how many occurrences are due at \p Wall, which are the first ones.
  OccurrenceNumber dueCount(WallTime Wall) const;
  /// Returns true when some step runs until the job is cancelled.
  bool longRunning() const;
};

/// Returns whether \p Id can name a job: tasks and records are named by it,
/// with dots between the parts and in keys of limited length.
bool isValidJobId(const std::string &Id);

/// Returns what is wrong with \p Spec, or an empty string.
std::string validationError(const JobSpec &Spec);

/// Builds a JobSpec step by step; calls that refine a step apply to the one
/// added last.
class JobSpecBuilder {
public:
  JobSpecBuilder &command(std::string Text);
  JobSpecBuilder &step(std::uint32_t Count, Resources Each,
                       core::Duration Estimate);
  JobSpecBuilder &after(std::vector<std::uint32_t> Steps);
  JobSpecBuilder &checkpoints();
  JobSpecBuilder &gang(bool SameRack = false);
  JobSpecBuilder &requireLabel(std::string Label);
  JobSpecBuilder &dataRack(std::string Rack);
  JobSpecBuilder &spread(std::uint32_t Limit);
  JobSpecBuilder &longRunning();
  JobSpecBuilder &repeat(OccurrenceNumber Times, WallTime First,
                         core::Duration Interval);
  JobSpec build() const { return Spec_; }

private:
  JobSpec Spec_;
};

} // namespace nutmegwell::jobs
