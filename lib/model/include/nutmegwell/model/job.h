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

/// Specification of a job: a gang of tasks that run at the same time.
struct JobSpec {
  AccountName Account_;
  ServiceName Service_;
  std::uint32_t TaskCount_ = 1;
  std::uint32_t AcceleratorsPerTask_ = 1;
  /// Level of the topology tree within which all tasks must lie.
  TopologyLevel Level_ = TopologyLevel::Domain;
  JobClass Class_ = JobClass::Normal;
  /// Run time that the caller expects; only a hint for the scheduler.
  core::Duration DeclaredRunTime_ = std::chrono::minutes(10);
  std::string Command_;

  /// Returns the number of accelerators of the whole gang.
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

/// Placement of one task of a gang. Bit I of Accelerators_ stands for
/// accelerator I of the worker.
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
  /// Ended after MaxFailedAttempts failed attempts.
  Failed
};

const char *toString(JobState Value);

/// Returns true for states that a job never leaves.
bool isFinal(JobState Value);

/// Returns true while an attempt may hold accelerators.
bool isRunning(JobState Value);

/// Number of failed attempts after which a job is not retried.
constexpr std::uint32_t MaxFailedAttempts = 5;

/// A job in the control state.
struct Job {
  core::JobId Id_;
  JobSpec Spec_;
  JobState State_ = JobState::Waiting;
  /// Number of the latest attempt; 0 before the first.
  std::uint32_t Attempt_ = 0;
  /// Number of attempts that ended because a task failed.
  std::uint32_t FailedAttempts_ = 0;
  DomainName Domain_;
  Placement Placement_;
  /// Checkpoint from which the next attempt resumes. Empty without one.
  std::string Checkpoint_;
  /// Why the job is in its state, as a sentence for a person.
  std::string Reason_;
  bool CancelRequested_ = false;
};

} // namespace nutmegwell::model
