#include "nutmegwell/cell/workerhealth.h"
#include <algorithm>

namespace nutmegwell::cell {

void recordSuccess(WorkerHealth &Worker) {
  Worker.ConsecutiveFailures_ = 0;
  Worker.Probing_ = false;
}

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
  Worker.Probing_ = true;
  return true;
}

bool isSchedulable(const WorkerHealth &Worker, const QuarantinePolicy &Policy,
                   std::size_t Running, core::TimePoint Now) {
  if (Worker.ConsecutiveFailures_ < Policy.ConsecutiveFailures_)
    return true;
  return Now >= Worker.QuarantinedUntil_ && Running == 0;
}

unsigned failureScore(const WorkerHealth &Worker,
                      const QuarantinePolicy &Policy, core::TimePoint Now) {
  if (Worker.ConsecutiveFailures_ == 0 ||
      Now - Worker.LastFailureAt_ > Policy.FailureMemory_)
    return 0;
  return Worker.ConsecutiveFailures_;
}

} // namespace nutmegwell::cell
