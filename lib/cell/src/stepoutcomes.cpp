#include "nutmegwell/cell/stepoutcomes.h"
#include <algorithm>

namespace nutmegwell::cell {

bool isJobAtFault(const StepOutcomes &Outcomes,
                  const std::set<std::string> &OutlivedOn) {
  constexpr std::size_t MinFailedWorkers = 2;
  std::set<std::string> DidWell = Outcomes.SucceededOn_;
  DidWell.insert(OutlivedOn.begin(), OutlivedOn.end());
  const auto Sound = static_cast<std::size_t>(std::count_if(
      DidWell.begin(), DidWell.end(), [&](const std::string &Host) {
        return Outcomes.FailedOn_.count(Host) == 0;
      }));
  return Outcomes.FailedOn_.size() >= MinFailedWorkers &&
         Outcomes.FailedOn_.size() > Sound;
}

} // namespace nutmegwell::cell
