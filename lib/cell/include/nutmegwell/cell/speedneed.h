#pragma once

#include "nutmegwell/cell/placement.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/expect/speeds.h"
#include <vector>

namespace nutmegwell::cell {

/// Sets the speed of a placement target from what is known of its worker.
void setSpeed(PlacementTarget &Target, const expect::WorkerSpeed &Known,
              double UnknownError);

/// Returns the lowest speed at which work of \p RunTime on a worker of ordinary
/// speed still meets its objective when it starts now and \p Slack is left at
/// ordinary speed, or 0 when no speed does.
double requiredSpeed(core::Duration RunTime, core::Duration Slack);

/// Returns the speed that a queue's work needs when it starts at once, however
/// long it takes: its objective is \p Stretch times its work.
double demandedSpeed(double Stretch);

/// Returns true when a worker may be too slow for work that needs \p Speed.
bool isTooSlow(const PlacementTarget &Worker, double Speed);

/// Returns true when the speeds of workers certainly differ so much that one of
/// unknown speed may be too slow for urgent work.
bool speedsDiffer(const std::vector<PlacementTarget> &Targets);

/// Returns true when a worker without runs has an unknown speed.
bool isUntried(const PlacementTarget &Worker);

} // namespace nutmegwell::cell
