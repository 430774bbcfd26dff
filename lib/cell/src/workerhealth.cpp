#include "nutmegwell/cell/workerhealth.h"
#include <algorithm>

namespace nutmegwell::cell {

void recordSuccess(WorkerHealth &Worker) { Worker.ConsecutiveFailures_ = 0; }

bool recordFailure(WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   core::TimePoint Now) {
  ++Worker.ConsecutiveFailures_;
  Worker.LastFailureAt_ = Now;
  if (Worker.ConsecutiveFailures_ < Policy.ConsecutiveFailures_)
    return false;
  const std::uint32_t Doublings = std::min<std::uint32_t>(
      Worker.ConsecutiveFailures_ - Policy.ConsecutiveFailures_, 8);
  Worker.QuarantinedUntil_ =
      Now + std::min(Policy.MaxQuarantine_,
                     Policy.InitialQuarantine_ * (1 << Doublings));
  return true;
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
  if (Worker.ConsecutiveFailures_ == 0 ||
      Now - Worker.LastFailureAt_ > Policy.FailureMemory_)
    return 0;
  return Worker.ConsecutiveFailures_;
}

} // namespace nutmegwell::cell
