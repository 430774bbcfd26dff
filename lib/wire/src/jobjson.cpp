#include "jobinfo.h"

#include "nutmegwell/wire/apijson.h"
#include "nutmegwell/wire/json.h"
#include "rowreader.h"

namespace nutmegwell::wire {

using cxxtools::SerializationInfo;

namespace {

/// Tasks of the largest gang that the design covers; see "Sizes" in
/// docs/design.md.
constexpr std::int64_t MaxTasks = 64;
/// A placement stores the accelerators of a task as the bits of a 64-bit
/// integer.
constexpr std::int64_t MaxAcceleratorsPerTask = 64;
constexpr std::int64_t MaxDeclaredMs = 30LL * 24 * 60 * 60 * 1000;
constexpr std::size_t MaxNameBytes = 64;
/// A command must fit into one datagram together with the rest of its message;
/// see MaxDatagramSize.
constexpr std::size_t MaxCommandBytes = 1024;

bool parseJobState(const std::string &Text, model::JobState &Value) {
  for (int I = 0; I <= static_cast<int>(model::JobState::Failed); ++I)
    if (Text == model::toString(static_cast<model::JobState>(I))) {
      Value = static_cast<model::JobState>(I);
      return true;
    }
  return false;
}

void addSpec(SerializationInfo &Out, const model::JobSpec &Spec) {
  using std::chrono::milliseconds;
  Out.addValue("account", Spec.Account_);
  Out.addValue("service", Spec.Service_);
  Out.addValue("tasks", Spec.TaskCount_);
  Out.addValue("accelerators_per_task", Spec.AcceleratorsPerTask_);
  Out.addValue("level", model::toString(Spec.Level_));
  Out.addValue("class", model::toString(Spec.Class_));
  Out.addValue(
      "declared_ms",
      std::chrono::duration_cast<milliseconds>(Spec.DeclaredRunTime_).count());
}

/// Reads all members of a job specification except the command.
void readSpec(RowReader &Reader, model::JobSpec &Spec) {
  Reader.text("account", Spec.Account_, MaxNameBytes);
  Reader.text("service", Spec.Service_, MaxNameBytes);
  Reader.number("tasks", Spec.TaskCount_, 1, MaxTasks);
  Reader.number("accelerators_per_task", Spec.AcceleratorsPerTask_, 1,
                MaxAcceleratorsPerTask);
  Reader.level("level", Spec.Level_);
  Reader.choice("class", Spec.Class_, model::parseJobClass,
                "must be 'urgent', 'normal' or 'patient'");
  Reader.milliseconds("declared_ms", Spec.DeclaredRunTime_, 1, MaxDeclaredMs);
}

void addPlacement(SerializationInfo &Out, const model::Placement &Placement) {
  SerializationInfo &Tasks = Out.addMember("placement");
  Tasks.setCategory(SerializationInfo::Array);
  for (const model::TaskPlacement &Task : Placement) {
    SerializationInfo &Row = Tasks.addMember();
    Row.addValue("worker", Task.Worker_);
    SerializationInfo &Accelerators = Row.addMember("accelerators");
    Accelerators.setCategory(SerializationInfo::Array);
    for (unsigned I = 0; I < 64; ++I)
      if (Task.Accelerators_ >> I & 1)
        Accelerators.addMember().setValue(I);
  }
}

bool readPlacement(const SerializationInfo &Object,
                   model::Placement &Placement) {
  const SerializationInfo *Tasks = Object.findMember("placement");
  if (!Tasks)
    return true;
  if (Tasks->category() != SerializationInfo::Array)
    return false;
  for (const SerializationInfo &Row : *Tasks) {
    model::TaskPlacement Task;
    Task.Worker_ = textMember(Row, "worker");
    const SerializationInfo *Accelerators = Row.findMember("accelerators");
    if (Task.Worker_.empty() || !Accelerators)
      return false;
    for (const SerializationInfo &Number : *Accelerators) {
      std::uint64_t Index = 0;
      Number.getValue(Index);
      if (Index >= 64)
        return false;
      Task.Accelerators_ |= std::uint64_t{1} << Index;
    }
    Placement.push_back(std::move(Task));
  }
  return true;
}

absl::Status invalid(const std::string &Message) {
  return core::makeError(absl::StatusCode::kInvalidArgument, "parse job", "",
                         Message);
}

} // namespace

void addJob(SerializationInfo &Out, const model::Job &Job) {
  Out.addValue("id", core::toString(Job.Id_));
  Out.addValue("state", model::toString(Job.State_));
  Out.addValue("attempt", Job.Attempt_);
  Out.addValue("domain", Job.Domain_);
  Out.addValue("reason", Job.Reason_);
  addSpec(Out, Job.Spec_);
  addPlacement(Out, Job.Placement_);
}

absl::StatusOr<model::Job> readJob(const SerializationInfo &Object) {
  model::Job Job;
  if (!core::parseId(textMember(Object, "id"), Job.Id_.Writer_,
                     Job.Id_.Sequence_))
    return invalid("id is missing or malformed");
  if (!parseJobState(textMember(Object, "state"), Job.State_))
    return invalid("unknown state '" + textMember(Object, "state") + "'");
  std::vector<model::ValidationError> Errors;
  RowReader Reader(Object, "job", 0, Errors);
  Reader.number("attempt", Job.Attempt_);
  // The response to a submission may contain only the id and the state.
  if (Object.findMember("account"))
    readSpec(Reader, Job.Spec_);
  if (!Errors.empty())
    return invalid(Errors.front().Field_ + " " + Errors.front().Message_);
  Job.Domain_ = textMember(Object, "domain");
  Job.Reason_ = textMember(Object, "reason");
  try {
    if (readPlacement(Object, Job.Placement_))
      return Job;
  } catch (const std::exception &) {
    // getValue throws when an accelerator is not a number.
  }
  return invalid("placement must be an array of objects with a worker and its "
                 "accelerators from 0 to 63");
}

std::vector<model::ValidationError> parseJobSpec(const std::string &Text,
                                                 model::JobSpec &Spec) {
  auto Root = parseJson(Text);
  if (!Root.ok())
    return {{"job", 0, "", std::string(Root.status().message())}};
  if (Root->category() != SerializationInfo::Object)
    return {{"job", 0, "", "must be a JSON object"}};
  std::vector<model::ValidationError> Errors;
  RowReader Reader(*Root, "job", 0, Errors);
  readSpec(Reader, Spec);
  Reader.text("command", Spec.Command_, MaxCommandBytes);
  Reader.rejectUnknownFields();
  return Errors;
}

std::string formatJobSpec(const model::JobSpec &Spec) {
  SerializationInfo Root;
  addSpec(Root, Spec);
  Root.addValue("command", Spec.Command_);
  return formatJson(Root);
}

std::string formatJob(const model::Job &Job) {
  SerializationInfo Root;
  addJob(Root, Job);
  return formatJson(Root);
}

absl::StatusOr<model::Job> parseJob(const std::string &Text) {
  auto Root = parseJson(Text);
  if (!Root.ok())
    return Root.status();
  return readJob(*Root);
}

} // namespace nutmegwell::wire
