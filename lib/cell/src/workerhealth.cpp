#include "nutmegwell/cell/workerhealth.h"
#include <algorithm>

namespace nutmegwell::cell {

void recordSuccess(WorkerHealth &Worker) { Worker = {}; }

void recordFailure(WorkerHealth &Worker, const JobStep &Step,
                   core::TimePoint Now) {
  StepFailures &Failures = Worker.Failures_[Step];
  ++Failures.Count_;
  Failures.LastAt_ = Worker.LastFailureAt_ = Now;
}

void updateQuarantine(WorkerHealth &Worker, const QuarantinePolicy &Policy,
                      const std::set<JobStep> &JobsAtFault) {
  StepFailures Counted;
  for (const auto &[Step, Failures] : Worker.Failures_) {
    if (JobsAtFault.count(Step) > 0)
      continue;
    Counted.Count_ += Failures.Count_;
    Counted.LastAt_ = std::max(Counted.LastAt_, Failures.LastAt_);
  }
  Worker.ConsecutiveFailures_ = Counted.Count_;
  Worker.QuarantinedUntil_ = {};
  if (!isOnProbation(Worker, Policy))
    return;
  /// Limits the shift; MaxQuarantine_ is reached earlier.
  constexpr std::uint32_t MaxDoublings = 8;
  const std::uint32_t Doublings =
      std::min(Counted.Count_ - Policy.ConsecutiveFailures_, MaxDoublings);
  Worker.QuarantinedUntil_ =
      Counted.LastAt_ + std::min(Policy.MaxQuarantine_,
                                 Policy.InitialQuarantine_ * (1 << Doublings));
}

void settleFailures(WorkerHealth &Worker, const JobStep &Step,
                    bool JobAtFault) {
  auto It = Worker.Failures_.find(Step);
  if (It == Worker.Failures_.end())
    return;
  if (!JobAtFault) {
    StepFailures &Own = Worker.Failures_[JobStep()];
    Own.Count_ += It->second.Count_;
    Own.LastAt_ = std::max(Own.LastAt_, It->second.LastAt_);
  }
  Worker.Failures_.erase(It);
}

bool isQuarantined(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   core::TimePoint Now) {
  return isOnProbation(Worker, Policy) && Now < Worker.QuarantinedUntil_;
}

bool isOnProbation(const WorkerHealth &Worker, const QuarantinePolicy &Policy) {
  return Worker.ConsecutiveFailures_ >= Policy.ConsecutiveFailures_;
}

bool isOpenProbe(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                 core::TimePoint OrderedAt, bool Listed, core::TimePoint Now) {
  return isOnProbation(Worker, Policy) &&
         OrderedAt >= Worker.QuarantinedUntil_ &&
         (!Listed || Now - OrderedAt < Policy.ProbeTime_);
}

bool isProofOfHealth(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                     core::TimePoint OrderedAt, core::TimePoint Now) {
  return isOnProbation(Worker, Policy) &&
         OrderedAt >= Worker.QuarantinedUntil_ &&
         Now - OrderedAt >= Policy.MaxQuarantine_;
}

unsigned failureScore(const WorkerHealth &Worker,
                      const QuarantinePolicy &Policy, core::TimePoint Now) {
  if (Now - Worker.LastFailureAt_ > Policy.FailureMemory_)
    return 0;
  unsigned Sum = 0;
  for (const auto &[Step, Failures] : Worker.Failures_)
    Sum += Failures.Count_;
  return Sum;
}

} // namespace nutmegwell::cell
