#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace nutmegwell::cell {

/// A step of a job. Its occurrences run the same tasks.
struct JobStep {
  std::string Job_;
  std::uint32_t Step_ = 0;

  friend bool operator<(const JobStep &A, const JobStep &B) {
    return std::tie(A.Job_, A.Step_) < std::tie(B.Job_, B.Step_);
  }
};

/// How the runs of one step have ended on the workers.
struct StepOutcomes {
  std::set<std::string> FailedOn_;
  std::set<std::string> SucceededOn_;
  /// Longest time from the order to the failure of a run.
  core::Duration LongestFailure_{0};
  /// Runs that were stopped as stalled, by the index of the task, or at 0 for a
  /// gang.
  std::map<std::uint32_t, unsigned> Stalls_;
  /// The failures were last attributed to the job.
  bool JobAtFault_ = false;
};

/// Returns true when the failures of a step say more about its job than about
/// the workers: runs failed on several workers, and on more of them than did
/// well. A worker did well where runs succeeded, or are among \p OutlivedOn,
/// the workers on which a run lasts longer than the failed ones did.
bool isJobAtFault(const StepOutcomes &Outcomes,
                  const std::set<std::string> &OutlivedOn);

} // namespace nutmegwell::cell
