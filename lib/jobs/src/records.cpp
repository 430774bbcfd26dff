#include "nutmegwell/jobs/records.h"

namespace nutmegwell::jobs {

namespace {

std::string positionName(const std::string &Job, OccurrenceNumber Occurrence,
                         std::uint32_t Step) {
  return Job + "." + std::to_string(Occurrence) + "." + std::to_string(Step);
}

struct KeyOf {
  std::string operator()(const JobAccepted &Value) const {
    return "j/" + Value.Job_;
  }
  std::string operator()(const LargeJobAccepted &Value) const {
    return (*this)(Value.Job_);
  }
  std::string operator()(const JobCancelled &Value) const {
    return "c/" + Value.Job_;
  }
  std::string operator()(const JobProgressed &Value) const {
    return "p/" + Value.Job_;
  }
  std::string operator()(const FailuresCounted &Value) const {
    return "f/" + positionName(Value.Job_, Value.Occurrence_, Value.Step_);
  }
  std::string operator()(const ProgressSummarized &Value) const {
    return "q/" + Value.Job_;
  }
  std::string operator()(const PartsDone &Value) const {
    return "u/" + positionName(Value.Job_, Value.Occurrence_, Value.Step_);
  }
  std::string operator()(const TasksProgressed &Value) const {
    return "t/" + positionName(Value.Job_, Value.Occurrence_, Value.Step_) +
           "." + std::to_string(Value.Part_);
  }
  std::string operator()(const RecordRemoved &Value) const {
    return Value.Key_;
  }
  std::string operator()(const CellClaimed &) const { return "h"; }
  std::string operator()(const TenureSettled &) const { return "s"; }
  std::string operator()(const WorkerListed &Value) const {
    return "w/" + Value.Host_;
  }
  std::string operator()(const EntryHostListed &Value) const {
    return "e/" + Value.Host_;
  }
  std::string operator()(const LearnedSpeeds &Value) const {
    return "l/" + std::to_string(Value.Number_);
  }
};

} // namespace

const JobAccepted *acceptedJob(const Record &Value) {
  if (const auto *Large = std::get_if<LargeJobAccepted>(&Value))
    return &Large->Job_;
  return std::get_if<JobAccepted>(&Value);
}

std::string keyOf(const Record &Value) { return std::visit(KeyOf(), Value); }

} // namespace nutmegwell::jobs
