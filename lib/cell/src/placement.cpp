#include "nutmegwell/cell/placement.h"

#include "nutmegwell/cell/speedneed.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace nutmegwell::cell {

namespace {

/// Weights of the placement score; a lower score is a better fit. Recent
/// failures outweigh any fit. Accelerators are the scarcest resource, so that
/// each one left over counts more than all processors of a worker.
constexpr std::int64_t FailureWeight = 1'000'000'000;
constexpr std::int64_t AcceleratorWeight = 1'000'000;
/// Among equal fits the fuller rack comes first, so that whole racks stay free
/// for gangs that need one.
constexpr std::int64_t RackWeight = 1'000;
constexpr std::int64_t MilliPerCore = 1'000;

/// A preferred speed outweighs the fit, but not recent failures.
constexpr std::int64_t SpeedWeight = 100'000'000;
/// Difference in ln(speed) that counts as one step.
constexpr double SpeedStep = 0.25;

/// Returns how little \p Worker is preferred for its speed, in steps.
std::int64_t speedPenalty(const PlacementRequest &Request,
                          const PlacementTarget &Worker) {
  const bool Slow = isTooSlow(Worker, Request.DemandedSpeed_);
  switch (Request.Speed_) {
  case SpeedPreference::None:
    return 0;
  case SpeedPreference::Sampled:
    return Worker.SpeedSampled_ ? 0 : 1;
  case SpeedPreference::UntriedThenSlow:
    if (isUntried(Worker))
      return 0;
    return Slow ? 1 : 2;
  case SpeedPreference::Slow:
    return Slow ? 0 : 1;
  case SpeedPreference::Fast:
    return -std::lround(std::log(Worker.Speed_) / SpeedStep);
  }
  return 0;
}

std::int64_t scoreOf(const PlacementRequest &Request,
                     const PlacementTarget &Worker, const jobs::Resources &Each,
                     std::int64_t RackFree) {
  return FailureWeight * Worker.FailureScore_ +
         SpeedWeight * speedPenalty(Request, Worker) +
         AcceleratorWeight * (Worker.Free_.Accelerators_ - Each.Accelerators_) +
         RackWeight * RackFree + (Worker.Free_.Cpu_ - Each.Cpu_) / MilliPerCore;
}

/// Returns the free accelerators of each rack.
std::map<std::string, std::int64_t>
freeByRack(const std::vector<PlacementTarget> &Targets) {
  std::map<std::string, std::int64_t> Free;
  for (const PlacementTarget &Worker : Targets)
    Free[Worker.Rack_] += Worker.Free_.Accelerators_;
  return Free;
}

using ChosenTargets = std::vector<std::size_t>;

/// Places all tasks on workers of \p Rack, or of any rack when \p Rack is
/// empty.
std::optional<ChosenTargets> placeWithin(const PlacementRequest &Request,
                                         std::vector<PlacementTarget> &Targets,
                                         const std::string &Rack) {
  const jobs::StepSpec &Step = *Request.Step_;
  const jobs::Resources Each = requiredResources(Step);
  std::map<std::string, std::int64_t> RackFree = freeByRack(Targets);
  ChosenTargets Chosen;
  auto Undo = [&] {
    for (std::size_t I : Chosen) {
      Targets[I].Free_ += Each;
      ++Targets[I].FreeRuns_;
      --Targets[I].StepTaskCount_;
    }
  };
  for (std::uint32_t Task = 0; Task < Request.Count_; ++Task) {
    std::size_t Best = Targets.size();
    std::int64_t BestScore = std::numeric_limits<std::int64_t>::max();
    for (std::size_t I = 0; I < Targets.size(); ++I) {
      if (!Rack.empty() && Targets[I].Rack_ != Rack)
        continue;
      if (!satisfiesConstraints(Targets[I], Step) ||
          !Targets[I].Free_.covers(Each) || Targets[I].FreeRuns_ <= 0)
        continue;
      const std::int64_t Score =
          scoreOf(Request, Targets[I], Each, RackFree[Targets[I].Rack_]);
      if (Score < BestScore) {
        Best = I;
        BestScore = Score;
      }
    }
    if (Best == Targets.size()) {
      Undo();
      return std::nullopt;
    }
    Targets[Best].Free_ -= Each;
    --Targets[Best].FreeRuns_;
    RackFree[Targets[Best].Rack_] -= Each.Accelerators_;
    ++Targets[Best].StepTaskCount_;
    Chosen.push_back(Best);
  }
  return Chosen;
}

/// Returns the racks to try, in order of preference.
std::vector<std::string>
racksToTry(const PlacementRequest &Request,
           const std::vector<PlacementTarget> &Targets) {
  const std::string &Data = Request.Step_->DataRack_;
  std::vector<std::string> Racks;
  if (!Request.PreferredRack_.empty())
    Racks.push_back(Request.PreferredRack_);
  if (!Data.empty() && Data != Request.PreferredRack_)
    Racks.push_back(Data);
  if (!Request.Step_->SameRack_ || (!Data.empty() && rackExists(Targets, Data)))
    return Racks;
  const auto Free = freeByRack(Targets);
  std::vector<std::pair<std::int64_t, std::string>> OtherRacks;
  for (const auto &[Rack, Accelerators] : Free)
    if (std::find(Racks.begin(), Racks.end(), Rack) == Racks.end())
      OtherRacks.emplace_back(Accelerators, Rack);
  std::sort(OtherRacks.begin(), OtherRacks.end());
  for (const auto &[Accelerators, Rack] : OtherRacks)
    Racks.push_back(Rack);
  return Racks;
}

} // namespace

bool PlacementTarget::hasLabel(const std::string &Label) const {
  return std::find(Labels_.begin(), Labels_.end(), Label) != Labels_.end();
}

bool rackExists(const std::vector<PlacementTarget> &Targets,
                const std::string &Rack) {
  return std::any_of(
      Targets.begin(), Targets.end(),
      [&](const PlacementTarget &Worker) { return Worker.Rack_ == Rack; });
}

bool satisfiesConstraints(const PlacementTarget &Worker,
                          const jobs::StepSpec &Step) {
  if (Worker.Excluded_)
    return false;
  if (!Step.RequiredLabel_.empty() && !Worker.hasLabel(Step.RequiredLabel_))
    return false;
  return Step.SpreadLimit_ == 0 || Worker.StepTaskCount_ < Step.SpreadLimit_;
}

bool isSmall(const jobs::Resources &Each, const jobs::Resources &Capacity) {
  return Capacity.covers(Each.times(SmallTaskRatio));
}

jobs::Resources requiredResources(const jobs::StepSpec &Step) {
  jobs::Resources Uses = Step.PerTask_;
  if (Step.BestEffort_)
    Uses.Cpu_ = 0;
  return Uses;
}

std::vector<std::string>
candidateRacks(const PlacementRequest &Request,
               const std::vector<PlacementTarget> &Targets) {
  std::vector<std::string> Result = racksToTry(Request, Targets);
  const jobs::StepSpec &Step = *Request.Step_;
  const bool NeedsLocality = !Step.DataRack_.empty() ||
                             (Step.SameRack_ && Request.Count_ > 1) ||
                             !Request.PreferredRack_.empty();
  if (!NeedsLocality || Request.AllowRemote_)
    Result.emplace_back();
  return Result;
}

std::optional<std::vector<std::size_t>>
placeTasks(const PlacementRequest &Request,
           std::vector<PlacementTarget> &Targets) {
  for (const std::string &Scope : candidateRacks(Request, Targets))
    if (auto Chosen = placeWithin(Request, Targets, Scope))
      return Chosen;
  return std::nullopt;
}

double freeShare(const std::vector<PlacementTarget> &Targets) {
  std::int64_t Free = 0;
  std::int64_t Total = 0;
  for (const PlacementTarget &Target : Targets) {
    Free += Target.Free_.Accelerators_;
    Total += Target.Capacity_.Accelerators_;
  }
  return Total > 0 ? static_cast<double>(Free) / static_cast<double>(Total) : 1;
}

} // namespace nutmegwell::cell
