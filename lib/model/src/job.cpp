#include "nutmegwell/model/job.h"

#include "nutmegwell/model/messages.h"

namespace nutmegwell::model {

namespace {

constexpr const char *ClassNames[] = {"urgent", "normal", "patient"};
constexpr const char *StateNames[] = {"waiting",  "running",   "stopping",
                                      "finished", "cancelled", "refused",
                                      "failed"};
constexpr const char *TaskNames[] = {
    "reserved", "starting", "running", "stopping", "done", "failed", "stopped"};

} // namespace

const char *toString(JobClass Value) {
  return ClassNames[static_cast<int>(Value)];
}

bool parseJobClass(const std::string &Text, JobClass &Value) {
  for (int I = 0; I < 3; ++I)
    if (Text == ClassNames[I]) {
      Value = static_cast<JobClass>(I);
      return true;
    }
  return false;
}

const char *toString(JobState Value) {
  return StateNames[static_cast<int>(Value)];
}

const char *toString(TaskState Value) {
  return TaskNames[static_cast<int>(Value)];
}

bool isFinal(JobState Value) {
  return Value == JobState::Finished || Value == JobState::Cancelled ||
         Value == JobState::Refused || Value == JobState::Failed;
}

bool isRunning(JobState Value) {
  return Value == JobState::Running || Value == JobState::Stopping;
}

JobSpecBuilder &JobSpecBuilder::account(AccountName Value) {
  Spec_.Account_ = std::move(Value);
  return *this;
}

JobSpecBuilder &JobSpecBuilder::service(ServiceName Value) {
  Spec_.Service_ = std::move(Value);
  return *this;
}

JobSpecBuilder &JobSpecBuilder::tasks(std::uint32_t Value) {
  Spec_.TaskCount_ = Value;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::acceleratorsPerTask(std::uint32_t Value) {
  Spec_.AcceleratorsPerTask_ = Value;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::level(TopologyLevel Value) {
  Spec_.Level_ = Value;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::jobClass(JobClass Value) {
  Spec_.Class_ = Value;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::declaredTime(core::Duration Value) {
  Spec_.DeclaredRunTime_ = Value;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::command(std::string Value) {
  Spec_.Command_ = std::move(Value);
  return *this;
}

} // namespace nutmegwell::model
