#pragma once

#include "holdersteps.h"
#include "nutmegwell/cell/speedneed.h"
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// Speeds of a service's workers in one decision.
struct ServiceSpeeds {
  /// See speedsDiffer; false while speeds are not learned.
  bool Differ_ = false;
  /// Speed that the service's most demanding queue needs.
  double Demanded_ = 0;
};

/// Speed that a unit needs of its workers.
struct SpeedNeed {
  /// Speed with which the unit meets its objective when it starts now, and when
  /// it first waits for the stop of other work.
  double Now_ = 0;
  double AfterStop_ = 0;
  /// Some workers of the service are too slow for the unit, and some are not.
  bool ExcludesWorkers_ = false;
};

ServiceSpeeds serviceSpeeds(const HolderPolicy &Policy,
                            const jobs::ServiceTables &Tables,
                            const std::string &Service,
                            const std::vector<PlacementTarget> &Targets);

/// Returns the speed that \p Work needs; none where speeds do not differ.
SpeedNeed speedNeedOf(const Holder &State, const HolderContext &Context,
                      const Unit &Work, const ServiceSpeeds &Speeds,
                      const std::vector<PlacementTarget> &Targets);

/// Returns which workers \p Work prefers among those that are fast enough. Work
/// that is not urgent goes to slow workers, so that the others stay free, and
/// makes the speed of untried workers known while the service is not busy.
SpeedPreference preferredSpeed(const Unit &Work, const SpeedNeed &Need,
                               const ServiceSpeeds &Speeds,
                               const std::vector<PlacementTarget> &Targets);

/// Excludes the workers that may be too slow for work that needs \p Speed.
void excludeSlower(std::vector<PlacementTarget> &Targets, double Speed);

} // namespace nutmegwell::cell
