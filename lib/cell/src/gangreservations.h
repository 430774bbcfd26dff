#pragma once

#include "holdersteps.h"
#include "nutmegwell/cell/reservation.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// Reservation of one service in one decision.
struct GangReservation {
  /// First task of the gang.
  TaskId Gang_;
  Reservation Kept_;
};

/// Reservations of one decision.
struct GangReservations {
  std::map<std::string, GangReservation> ByService_;
  /// Gangs for which no reservation could be made, by service.
  std::map<std::string, unsigned> Failed_;
};

/// Returns the last time at which a start of \p Work is still worth anything to
/// its caller; a reservation for later would only keep workers idle.
core::TimePoint latestUsefulStart(const HolderPolicy &Policy, const Unit &Work,
                                  core::TimePoint Now);

/// Returns whether this decision is to look for a reservation for \p Work, a
/// unit that does not fit. Only the first gang in order for which there is one
/// gets it.
bool wantsReservation(const HolderPolicy &Policy,
                      const GangReservations &Reserved, const Unit &Work,
                      core::TimePoint Now);

/// Records the result of the search for a reservation for \p Work.
void recordReservation(GangReservations &Reserved, const Unit &Work,
                       std::optional<Reservation> Found);

/// Excludes the workers that are reserved for a gang, unless \p Work is
/// expected to end before the gang can start. Work runs on the rack of its data
/// in any case.
void excludeReserved(const GangReservations &Reserved, const Unit &Work,
                     core::TimePoint Now,
                     std::vector<PlacementTarget> &Targets);

/// Logs the reservations that were made for a gang for the first time, and
/// those of the decision before whose gang has started.
void logReservations(Holder &State, const GangReservations &Reserved,
                     const HolderContext &Context, Effects &Out);

} // namespace nutmegwell::cell
