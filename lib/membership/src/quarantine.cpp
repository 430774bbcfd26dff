#include "nutmegwell/membership/quarantine.h"

#include <algorithm>

namespace nutmegwell::membership {

void recordStartResult(Quarantine &State, bool Succeeded, core::TimePoint Now,
                       const QuarantineSettings &Settings) {
  if (Succeeded) {
    State = Quarantine();
    return;
  }
  if (++State.FailedStarts_ < Settings.FailureLimit_ || isActive(State, Now))
    return;
  State.Length_ = State.Length_ == core::Duration::zero()
                      ? Settings.InitialLength_
                      : std::min(State.Length_ * 2, Settings.MaxLength_);
  State.Since_ = Now;
}

bool isActive(const Quarantine &State, core::TimePoint Now) {
  return State.Length_ != core::Duration::zero() &&
         Now < State.Since_ + State.Length_;
}

} // namespace nutmegwell::membership
