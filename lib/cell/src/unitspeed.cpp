// The speed that units need of their workers.

#include "unitspeed.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Share of a service's accelerators that must be free for work to try workers
/// of unknown speed, since it then spreads over more workers than it needs.
constexpr double MinFreeShareForTrials = 0.5;

/// Returns the speed with which \p Work meets its objective with \p Slack, or 0
/// when none does. The declared time may be far too short, so that the speed is
/// at least the one that long work of the queue needs.
double speedFor(const Holder &State, const HolderContext &Context,
                const Unit &Work, core::Duration Slack) {
  const double Speed = requiredSpeed(
      expectedRunTime(State, Work.Job_->Accepted_, Work.spec()), Slack);
  const jobs::Queue *Queue = Context.Tables_.queue(Work.Job_->Accepted_.Queue_);
  return Speed > 0 && Queue ? std::max(Speed, demandedSpeed(Queue->Stretch_))
                            : Speed;
}

} // namespace

ServiceSpeeds serviceSpeeds(const HolderPolicy &Policy,
                            const jobs::ServiceTables &Tables,
                            const std::string &Service,
                            const std::vector<PlacementTarget> &Targets) {
  ServiceSpeeds Speeds;
  Speeds.Differ_ = Policy.LearnRunTimes_ && speedsDiffer(Targets);
  for (const jobs::Queue &Queue : Tables.Queues_)
    if (Queue.Service_ == Service)
      Speeds.Demanded_ =
          std::max(Speeds.Demanded_, demandedSpeed(Queue.Stretch_));
  return Speeds;
}

SpeedNeed speedNeedOf(const Holder &State, const HolderContext &Context,
                      const Unit &Work, const ServiceSpeeds &Speeds,
                      const std::vector<PlacementTarget> &Targets) {
  SpeedNeed Need;
  if (!Speeds.Differ_ || Work.spec().LongRunning_)
    return Need;
  Need.Now_ = speedFor(State, Context, Work, Work.Slack_);
  Need.AfterStop_ = speedFor(State, Context, Work,
                             Work.Slack_ - State.Policy_.Departure_.StopTime_);
  const auto Slow = std::count_if(Targets.begin(), Targets.end(),
                                  [&](const PlacementTarget &Worker) {
                                    return isTooSlow(Worker, Need.Now_);
                                  });
  Need.ExcludesWorkers_ =
      Slow > 0 && Slow < static_cast<std::ptrdiff_t>(Targets.size());
  return Need;
}

SpeedPreference preferredSpeed(const Unit &Work, const SpeedNeed &Need,
                               const ServiceSpeeds &Speeds,
                               const std::vector<PlacementTarget> &Targets) {
  if (!Speeds.Differ_ || Work.spec().LongRunning_)
    return SpeedPreference::None;
  if (Work.Priority_ == 0)
    return SpeedPreference::Sampled;
  const bool EndsInTimeAnywhere = Need.Now_ < Speeds.Demanded_;
  if (EndsInTimeAnywhere && !Work.spec().Gang_ &&
      freeShare(Targets) >= MinFreeShareForTrials)
    return SpeedPreference::UntriedThenSlow;
  return SpeedPreference::Slow;
}

void excludeSlower(std::vector<PlacementTarget> &Targets, double Speed) {
  for (PlacementTarget &Target : Targets)
    Target.Excluded_ |= isTooSlow(Target, Speed);
}

} // namespace nutmegwell::cell
