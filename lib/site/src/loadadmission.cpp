#include "nutmegwell/site/loadadmission.h"
#include <algorithm>
#include <cstdint>

namespace nutmegwell::site {

namespace {

/// Returns a number in [0, 1) that depends only on \p Job and differs widely
/// between similar names.
double spreadOf(const std::string &Job) {
  // FNV-1a, then the finalizer of SplitMix64: the high bits of FNV-1a alone are
  // alike for names that differ in their last characters.
  std::uint64_t Hash = 0xcbf29ce484222325;
  for (unsigned char Byte : Job)
    Hash = (Hash ^ Byte) * 0x100000001b3;
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111eb;
  Hash ^= Hash >> 31;
  constexpr int MantissaBits = 53;
  return static_cast<double>(Hash >> (64 - MantissaBits)) /
         static_cast<double>(std::uint64_t(1) << MantissaBits);
}

core::Duration scaled(core::Duration Value, double Factor) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(Value.count()) * Factor));
}

/// Returns the reported load with the work that the entry hosts have admitted
/// since.
cell::CellLoad presentLoad(const LoadAdmissionInput &Submission) {
  cell::CellLoad Load = *Submission.Load_;
  Load.Free_ -= Submission.AdmittedNeeds_.times(Submission.EntryHosts_);
  cell::QueueLoad Admitted;
  Admitted.Priority_ = Submission.Priority_;
  Admitted.Waiting_ = Submission.AdmittedWork_ * Submission.EntryHosts_;
  Load.Queues_.push_back(Admitted);
  return Load;
}

core::Duration retryAfter(const LoadAdmissionPolicy &Policy,
                          core::Duration Excess, const std::string &Job) {
  const core::Duration LongestBase =
      scaled(Policy.MaxRetryAfter_, 1 / (1 + Policy.RetrySpread_));
  const core::Duration Base =
      std::max(std::min(Excess, LongestBase), Policy.MinRetryAfter_);
  return std::min(scaled(Base, 1 + Policy.RetrySpread_ * spreadOf(Job)),
                  Policy.MaxRetryAfter_);
}

} // namespace

std::optional<core::Duration>
refuseForLoad(const LoadAdmissionPolicy &Policy,
              const LoadAdmissionInput &Submission) {
  if (!Policy.Enabled_ || !Submission.Load_ ||
      Submission.ReportAge_ > Policy.MaxReportAge_ ||
      (Submission.Priority_ == 0 && Submission.Guaranteed_))
    return std::nullopt;
  // Without an objective, no end is too late.
  if (Submission.Objective_ <= core::Duration(0))
    return std::nullopt;
  const core::Duration Spent = Submission.Waited_ + Submission.RunTime_;
  const core::Duration Wait =
      cell::expectedWait(presentLoad(Submission), Submission.Priority_,
                         Submission.Needs_, Submission.Objective_ - Spent);
  const core::Duration Excess =
      Spent + Wait - Submission.Objective_ * Policy.LateFactor_;
  if (Excess <= core::Duration(0))
    return std::nullopt;
  return retryAfter(Policy, Excess, Submission.Job_);
}

} // namespace nutmegwell::site
