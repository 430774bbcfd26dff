#include "nutmegwell/site/admission.h"

namespace nutmegwell::site {

Admission admitSubmission(bool StoreUsable, core::Duration Waited,
                          core::Duration Timeout,
                          const AdmissionPolicy &Policy) {
  if (StoreUsable)
    return Admission::Append;
  const bool CanReturn =
      Timeout - Waited >= Policy.RetryAfter_ + Policy.MinTimeAfterReturn_;
  return CanReturn || Waited >= longestHold(Timeout, Policy) ? Admission::Refuse
                                                             : Admission::Hold;
}

core::Duration longestHold(core::Duration Timeout,
                           const AdmissionPolicy &Policy) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(Timeout.count()) * Policy.HoldShare_));
}

} // namespace nutmegwell::site
