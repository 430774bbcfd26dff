// Decisions on the runs of draining workers.

#include "nutmegwell/cell/departure.h"
#include <algorithm>

namespace nutmegwell::cell {

const char *name(DepartureChoice Choice) {
  switch (Choice) {
  case DepartureChoice::Continue:
    return "continue";
  case DepartureChoice::SaveCheckpoint:
    return "save_checkpoint";
  case DepartureChoice::StartElsewhere:
    return "start_elsewhere";
  }
  return "unknown";
}

void updateNotice(std::optional<DepartureNotice> &Notice, bool Draining,
                  core::Duration Remaining, core::TimePoint Now) {
  if (!Draining) {
    Notice.reset();
    return;
  }
  if (!Notice || Remaining > Notice->Announced_)
    Notice = DepartureNotice{Remaining, Now + Remaining};
  else if (Remaining < Notice->Announced_)
    Notice = DepartureNotice{Remaining,
                             std::min(Notice->LeavesAt_, Now + Remaining)};
}

core::Duration timeLeft(const DepartureNotice &Notice, core::TimePoint Now) {
  return std::max(core::Duration(0), Notice.LeavesAt_ - Now);
}

std::optional<core::Duration> expectedRest(const DeparturePolicy &Policy,
                                           const RestEvidence &Run) {
  if (!Run.TimePerPercent_ && Run.Declared_ <= core::Duration(0))
    return std::nullopt;
  const core::Duration PerPercent =
      Run.TimePerPercent_.value_or(Run.Declared_ / 100);
  const core::Duration AtChange(static_cast<std::int64_t>(
      (100 - Run.Percent_) * static_cast<double>(PerPercent.count())));
  const core::Duration Since =
      std::min(Run.SinceChange_, PerPercent + Policy.OrderMargin_);
  return std::max(core::Duration(0), AtChange - Since);
}

DepartureChoice chooseDeparture(const DeparturePolicy &Policy,
                                const DepartingUnit &Unit,
                                std::optional<core::Duration> &DecideAgainIn) {
  DecideAgainIn.reset();
  if (Unit.LongRunning_)
    return DepartureChoice::StartElsewhere;
  const bool EndsInTime = Unit.Rest_ && *Unit.Rest_ <= Unit.TimeLeft_;
  if (!Unit.Checkpoints_)
    return EndsInTime || !Unit.Rest_ ? DepartureChoice::Continue
                                     : DepartureChoice::StartElsewhere;
  const core::Duration UntilStop =
      Unit.TimeLeft_ - Policy.StopTime_ - Policy.OrderMargin_;
  if (UntilStop > core::Duration(0))
    DecideAgainIn = UntilStop;
  else if (!EndsInTime)
    return DepartureChoice::SaveCheckpoint;
  return DepartureChoice::Continue;
}

} // namespace nutmegwell::cell
