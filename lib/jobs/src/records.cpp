#include "nutmegwell/jobs/records.h"

namespace nutmegwell::jobs {

namespace {

struct KeyOf {
  std::string operator()(const JobAccepted &Value) const {
    return "j/" + Value.Job_;
  }
  std::string operator()(const JobCancelled &Value) const {
    return "c/" + Value.Job_;
  }
  std::string operator()(const JobProgressed &Value) const {
    return "p/" + Value.Job_;
  }
  std::string operator()(const FailuresCounted &Value) const {
    return "f/" + Value.Job_ + "." + std::to_string(Value.Occurrence_) + "." +
           std::to_string(Value.Step_);
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

std::string keyOf(const Record &Value) { return std::visit(KeyOf(), Value); }

} // namespace nutmegwell::jobs
