#pragma once

#include "nutmegwell/jobs/spec.h"
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// Room on one worker.
struct PlacementTarget {
  std::string Host_;
  std::string Rack_;
  std::vector<std::string> Labels_;
  jobs::Resources Capacity_;
  jobs::Resources Free_;
  /// 0 for a worker without recent bad ends.
  unsigned FailureScore_ = 0;
  /// Tasks of the step at hand that run here; set by the caller.
  std::uint32_t StepTaskCount_ = 0;
  /// The step at hand must not run here; set by the caller.
  bool Excluded_ = false;

  bool hasLabel(const std::string &Label) const;
};

/// What is to be placed together.
struct PlacementRequest {
  const jobs::StepSpec *Step_ = nullptr;
  std::uint32_t Count_ = 1;
  /// Rack that the tasks should share with those already running; empty for
  /// none.
  std::string PreferredRack_;
  /// Allows workers that are far from the data, or more than one rack.
  bool AllowRemote_ = false;
};

/// Chooses a worker for each task by best fit, or nothing when not all of them
/// fit. Takes the room of the chosen ones out of \p Rooms. Linear in workers
/// times tasks.
std::optional<std::vector<std::size_t>>
placeTasks(const PlacementRequest &Request,
           std::vector<PlacementTarget> &Rooms);

/// Returns true when the constraints of the step allow one more of its tasks on
/// \p Worker, whatever room is free there.
bool satisfiesConstraints(const PlacementTarget &Worker,
                          const jobs::StepSpec &Step);

/// Returns the racks within which the request may be placed, the preferred one
/// first; an empty name stands for all racks together.
std::vector<std::string>
candidateRacks(const PlacementRequest &Request,
               const std::vector<PlacementTarget> &Rooms);

/// Returns what a task of \p Step takes of its worker.
jobs::Resources requiredResources(const jobs::StepSpec &Step);

/// Returns true when some worker of \p Rooms, were it empty of other work,
/// would be near the data of the step.
bool rackExists(const std::vector<PlacementTarget> &Rooms,
                const std::string &Rack);

} // namespace nutmegwell::cell
