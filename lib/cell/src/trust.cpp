#include "nutmegwell/cell/trust.h"
#include <algorithm>

namespace nutmegwell::cell {

void noteGoodEnd(Trust &Worker) {
  Worker.BadInRow_ = 0;
  Worker.Probing_ = false;
}

bool noteBadEnd(Trust &Worker, const TrustPolicy &Policy, core::TimePoint Now) {
  ++Worker.BadInRow_;
  Worker.LastBad_ = Now;
  if (Worker.BadInRow_ < Policy.BadEndsInRow_)
    return false;
  const std::uint32_t Doublings =
      std::min<std::uint32_t>(Worker.BadInRow_ - Policy.BadEndsInRow_, 8);
  Worker.RestsUntil_ =
      Now + std::min(Policy.LongestRest_, Policy.FirstRest_ * (1 << Doublings));
  Worker.Probing_ = true;
  return true;
}

bool mayGetWork(const Trust &Worker, const TrustPolicy &Policy,
                std::size_t Running, core::TimePoint Now) {
  if (Worker.BadInRow_ < Policy.BadEndsInRow_)
    return true;
  return Now >= Worker.RestsUntil_ && Running == 0;
}

unsigned doubtOf(const Trust &Worker, const TrustPolicy &Policy,
                 core::TimePoint Now) {
  if (Worker.BadInRow_ == 0 || Now - Worker.LastBad_ > Policy.Memory_)
    return 0;
  return Worker.BadInRow_;
}

} // namespace nutmegwell::cell
