#pragma once

#include "nutmegwell/cell/placement.h"
#include "nutmegwell/core/time.h"
#include <optional>
#include <vector>

namespace nutmegwell::cell {

/// Resources that a run is expected to free.
struct ExpectedRelease {
  /// Index of the worker.
  std::size_t Target_ = 0;
  jobs::Resources Resources_;
  core::TimePoint At_{};
};

/// Workers kept for a gang that does not fit yet.
struct Reservation {
  /// Indices of the workers, one for each task.
  std::vector<std::size_t> Targets_;
  /// When the gang is expected to fit there.
  core::TimePoint StartAt_{};
};

/// Returns the workers on which \p Request fits earliest when runs end as
/// \p Releases say, or nothing when it does not fit before \p Latest.
///
/// Load pattern: narrow work that takes each gap on a full cell, so that a gang
/// that needs several workers of one rack waits without end.
std::optional<Reservation> reserveForGang(const PlacementRequest &Request,
                                          std::vector<PlacementTarget> Targets,
                                          std::vector<ExpectedRelease> Releases,
                                          core::TimePoint Latest);

/// Returns whether work that is expected to end at \p EndsAt may use the worker
/// \p Target in spite of the reservation.
bool mayBackfill(const Reservation &Kept, std::size_t Target,
                 core::TimePoint EndsAt);

} // namespace nutmegwell::cell
