#pragma once

#include "nutmegwell/cell/holder.h"
#include <vector>

namespace nutmegwell::replay {

/// Processor time of single decisions, in ascending order.
using DecisionTimes = std::vector<core::Duration>;

/// Measures decisions of a holder with \p Workers busy workers and
/// \p WaitingJobs jobs of ten accounts that wait: patient tasks, normal gangs
/// and a few urgent gangs. Processor time of the thread is counted, so that
/// other load on the machine matters little.
DecisionTimes measureDecisions(std::size_t Workers, std::size_t WaitingJobs,
                               std::size_t Decisions,
                               const cell::HolderPolicy &Policy);

} // namespace nutmegwell::replay
