#include "aging.h"

#include "region.h"

namespace nutmegwell::sched {

namespace {

using std::chrono::minutes;

/// The shortest turn of a borrower. At 60 s for stopping and restoring, at most
/// a tenth of the time goes into changes.
constexpr minutes ShortestTurn{10};
constexpr minutes NormalPatience{10};
constexpr minutes PatientPatience{30};

/// Returns true when the running job may make way for \p Job.
bool mayMakeWay(const CellState &State, std::size_t J, const WaitingJob &Job) {
  const RunningJob &Running = State.View_.Running_[J];
  if (Running.Stopping_ || State.Running_.Cost_[J] == 0)
    return true;
  if (Running.MigratableFor_.valid() && Running.MigratableFor_ == Job.Id_)
    return true;
  if (State.Guarantees_.Within_[J])
    return false;
  if (Running.Spec_.Class_ < Job.Spec_.Class_)
    return false;
  if (State.TurnsByWait_ &&
      Running.TotalWait_ >= Job.Waited_ + Job.EarlierWait_)
    return false;
  return Running.RunTime_ >= ShortestTurn;
}

/// Returns, for each worker, what is free or may make way.
std::vector<std::uint64_t> available(const CellState &State,
                                     const WaitingJob &Job) {
  std::vector<std::uint64_t> Result;
  for (std::uint32_t W = 0; W < State.Map_.Usable_.size(); ++W)
    Result.push_back(State.Free_.freeBits(W));
  for (std::size_t J = 0; J < State.View_.Running_.size(); ++J)
    if (mayMakeWay(State, J, Job))
      for (const Slice &Part : State.Running_.Slices_[J])
        Result[Part.Worker_] |= Part.Bits_ & State.Map_.Usable_[Part.Worker_] &
                                ~State.Claimed_[Part.Worker_];
  return Result;
}

/// Returns the groups of workers of which one must hold the gang.
std::vector<std::vector<std::uint32_t>> groupsAt(const Topology &Map,
                                                 model::TopologyLevel Level) {
  if (Level == model::TopologyLevel::Rack)
    return Map.Racks_;
  std::vector<std::vector<std::uint32_t>> Result;
  if (Level == model::TopologyLevel::Domain)
    Result.emplace_back();
  for (std::uint32_t W = 0; W < Map.Usable_.size(); ++W) {
    if (Level == model::TopologyLevel::Worker)
      Result.push_back({W});
    else
      Result.front().push_back(W);
  }
  return Result;
}

} // namespace

core::Duration patienceOf(model::JobClass Class) {
  if (Class == model::JobClass::Urgent)
    return core::Duration(0);
  return Class == model::JobClass::Normal ? NormalPatience : PatientPatience;
}

bool isAged(const WaitingJob &Job) {
  return Job.Waited_ >= patienceOf(Job.Spec_.Class_);
}

std::optional<Claim> agedPlace(const CellState &State, const WaitingJob &Job) {
  std::vector<std::uint64_t> Bits = available(State, Job);
  Cheapest Best;
  for (const auto &Group : groupsAt(State.Map_, Job.Spec_.Level_)) {
    Region Where;
    std::uint32_t Tasks = 0;
    for (std::uint32_t W : Group)
      if (Bits[W] != 0) {
        Where[W] = Bits[W];
        Tasks += countBits(Bits[W]) / Job.Spec_.AcceleratorsPerTask_;
      }
    if (Tasks >= Job.Spec_.TaskCount_)
      offerRegion(Where, {}, State.Free_, State.Running_, Job.Spec_, Best);
  }
  return std::move(Best.Claim_);
}

} // namespace nutmegwell::sched
