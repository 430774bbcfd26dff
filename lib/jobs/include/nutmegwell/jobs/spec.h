#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::jobs {

/// Time of day; compared between hosts only for due times.
using WallTime =
    std::chrono::time_point<std::chrono::system_clock, core::Duration>;

/// What a task takes of a worker.
struct Resources {
  /// Thousandths of a core.
  std::int64_t Cpu_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Accelerators_ = 0;

  /// Returns true when \p Other fits into this.
  bool covers(const Resources &Other) const;
  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
  /// Returns this \p Count times.
  Resources times(std::int64_t Count) const;
};

/// A set of equal tasks of a job.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources PerTask_;
  /// Declared run time of a task; a rough hint.
  core::Duration Estimate_{0};
  /// Earlier steps that must be done first.
  std::vector<std::uint32_t> DependsOn_;
  /// Tasks save checkpoints from which a later attempt resumes.
  bool Checkpoints_ = false;
  /// Tasks work only together.
  bool Gang_ = false;
  /// Tasks slow down when they run on more than one rack.
  bool SameRack_ = false;
  /// Label that the worker must have; empty for none.
  std::string RequiredLabel_;
  /// Rack that holds the data; empty for none.
  std::string DataRack_;
  /// Most tasks of the step on one worker; 0 for no bound.
  std::uint32_t SpreadLimit_ = 0;
  /// Copies of a task may run at the same time.
  bool Speculative_ = false;
  /// Tasks run until the job is cancelled.
  bool LongRunning_ = false;
  /// Name of what the tasks run; tasks of one image behave alike.
  std::string Image_;
  /// Largest tail latency of a serving task; zero for none.
  core::Duration TargetLatency_{0};
  /// The processors of the tasks do not count against a worker's capacity.
  bool BestEffort_ = false;
  /// Tasks that may be away at one time through the system's own actions.
  std::optional<std::uint32_t> MaxUnavailable_;
};

struct JobSpec {
  /// Opaque text that the worker gets with each start.
  std::string Command_;
  std::vector<StepSpec> Steps_;
  /// Times that the steps run; 0 for once without a due time.
  std::uint32_t Repetitions_ = 0;
  WallTime FirstDue_{};
  core::Duration Interval_{0};

  bool timed() const { return Repetitions_ > 0; }
  std::uint32_t occurrences() const { return timed() ? Repetitions_ : 1; }
  /// Returns when occurrence \p Index is due.
  WallTime dueAt(std::uint32_t Index) const;
  /// Returns true when a step never ends by itself.
  bool longRunning() const;
};

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
  JobSpecBuilder &repeat(std::uint32_t Times, WallTime First,
                         core::Duration Interval);
  JobSpec build() const { return Spec_; }

private:
  JobSpec Spec_;
};

} // namespace nutmegwell::jobs
