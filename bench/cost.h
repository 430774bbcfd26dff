#pragma once

#include "simulation.h"

namespace nutmegwell::bench {

/// Prints the time of one decision as workers and waiting jobs grow, and the
/// growth for each doubling. Runs each point at most \p Rounds times.
void printCost(const Decide &Policy, const Decide &Baseline, int Rounds);

} // namespace nutmegwell::bench
