#include "nutmegwell/membership/quarantine.h"

#include <algorithm>

namespace nutmegwell::membership {

void recordStartResult(Quarantine &Known, bool Succeeded, core::TimePoint Now,
                       const QuarantineSettings &Settings) {
  if (Succeeded) {
    Known = Quarantine();
    return;
  }
  if (++Known.FailedStarts_ < Settings.FailureLimit_ || isActive(Known, Now))
    return;
  Known.Length_ = Known.Length_ == core::Duration::zero()
                      ? Settings.InitialLength_
                      : std::min(Known.Length_ * 2, Settings.MaxLength_);
  Known.Since_ = Now;
}

bool isActive(const Quarantine &Known, core::TimePoint Now) {
  return Known.Length_ != core::Duration::zero() &&
         Now < Known.Since_ + Known.Length_;
}

} // namespace nutmegwell::membership
