#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/names.h"
#include "nutmegwell/model/tables.h"
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegwell::model {

enum class JobClass : std::uint8_t { Urgent, Normal, Patient };

const char *toString(JobClass Value);
bool parseJobClass(const std::string &Text, JobClass &Value);

/// What a caller asks for: a gang of tasks that run together.
struct JobSpec {
  AccountName Account_;
  ServiceName Service_;
  std::uint32_t TaskCount_ = 1;
  std::uint32_t AcceleratorsPerTask_ = 1;
  /// Level of the topology tree within which all tasks must lie.
  TopologyLevel Level_ = TopologyLevel::Domain;
  JobClass Class_ = JobClass::Normal;
  /// Run time that the caller expects; a hint only.
  core::Duration DeclaredRunTime_ = std::chrono::minutes(10);
  std::string Command_;

  std::uint32_t accelerators() const {
    return TaskCount_ * AcceleratorsPerTask_;
  }
};

/// Builds a JobSpec.
class JobSpecBuilder {
public:
  JobSpecBuilder &account(AccountName Value);
  JobSpecBuilder &service(ServiceName Value);
  JobSpecBuilder &tasks(std::uint32_t Value);
  JobSpecBuilder &acceleratorsPerTask(std::uint32_t Value);
  JobSpecBuilder &level(TopologyLevel Value);
  JobSpecBuilder &jobClass(JobClass Value);
  JobSpecBuilder &declaredTime(core::Duration Value);
  JobSpecBuilder &command(std::string Value);
  JobSpec build() const { return Spec_; }

private:
  JobSpec Spec_;
};

/// Where one task of a gang runs. Bit I of Accelerators_ is accelerator I of
/// the worker.
struct TaskPlacement {
  NodeName Worker_;
  std::uint64_t Accelerators_ = 0;
};

using Placement = std::vector<TaskPlacement>;

enum class JobState : std::uint8_t {
  Waiting,
  Running,
  Stopping,
  Finished,
  Cancelled,
  Refused,
  /// Gave up after MaxFailedAttempts.
  Failed
};

const char *toString(JobState Value);

/// Returns true for states that a job never leaves.
bool isFinal(JobState Value);

/// Returns true while an attempt may hold accelerators.
bool isRunning(JobState Value);

/// Failed attempts after which a job is given up.
constexpr std::uint32_t MaxFailedAttempts = 5;

/// A job as the control state keeps it.
struct Job {
  core::JobId Id_;
  JobSpec Spec_;
  JobState State_ = JobState::Waiting;
  /// Counts the gang starts of the job; 0 before the first.
  std::uint32_t Attempt_ = 0;
  /// Attempts that ended because a task failed.
  std::uint32_t FailedAttempts_ = 0;
  DomainName Domain_;
  Placement Placement_;
  /// Checkpoint from which the next attempt continues; empty for none.
  std::string Checkpoint_;
  /// Why the job is in its state, in one plain sentence.
  std::string Reason_;
  bool CancelRequested_ = false;
};

} // namespace nutmegwell::model
