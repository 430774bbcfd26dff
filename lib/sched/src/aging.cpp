#include "aging.h"

#include "region.h"

namespace nutmegwell::sched {

namespace {

using std::chrono::minutes;

/// Minimum run time of a borrowing job before aging may preempt it. With 60 s
/// for stopping and restoring, preemptions cost at most a tenth of the time.
constexpr minutes MinRunTime{10};
/// Results of agingThreshold for the classes that have one.
constexpr minutes NormalAgingThreshold{10};
constexpr minutes PatientAgingThreshold{30};

/// Returns true when the running job may be preempted for \p Job.
bool mayBePreempted(const CellState &State, std::size_t J,
                    const WaitingJob &Job) {
  const RunningJob &Running = State.View_.Running_[J];
  if (Running.Stopping_ || State.Running_.Cost_[J] == 0)
    return true;
  if (Running.MigratableFor_.valid() && Running.MigratableFor_ == Job.Id_)
    return true;
  if (State.Guarantees_.WithinGuarantee_[J])
    return false;
  if (Running.Spec_.Class_ < Job.Spec_.Class_)
    return false;
  if (State.AgingVictimsWaitedLess_ &&
      Running.TotalWait_ >= Job.Waited_ + Job.EarlierWait_)
    return false;
  return Running.RunTime_ >= MinRunTime;
}

/// Returns, for each worker, the accelerators that are free or held by jobs
/// that may be preempted.
std::vector<std::uint64_t> availableBits(const CellState &State,
                                         const WaitingJob &Job) {
  std::vector<std::uint64_t> Result;
  for (std::uint32_t W = 0; W < State.Map_.Usable_.size(); ++W)
    Result.push_back(State.Free_.freeBits(W));
  for (std::size_t J = 0; J < State.View_.Running_.size(); ++J)
    if (mayBePreempted(State, J, Job))
      for (const Slice &Part : State.Running_.Slices_[J])
        Result[Part.Worker_] |= Part.Bits_ & State.Map_.Usable_[Part.Worker_] &
                                ~State.Reserved_[Part.Worker_];
  return Result;
}

/// Returns the groups of workers at a level; the gang must fit into one group.
std::vector<std::vector<std::uint32_t>>
groupsAtLevel(const Topology &Map, model::TopologyLevel Level) {
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

core::Duration agingThreshold(model::JobClass Class) {
  if (Class == model::JobClass::Urgent)
    return core::Duration(0);
  return Class == model::JobClass::Normal ? NormalAgingThreshold
                                          : PatientAgingThreshold;
}

bool isAged(const WaitingJob &Job) {
  return Job.Waited_ >= agingThreshold(Job.Spec_.Class_);
}

std::optional<Claim> findPlaceForAgedJob(const CellState &State,
                                         const WaitingJob &Job) {
  std::vector<std::uint64_t> Bits = availableBits(State, Job);
  CheapestClaim Best;
  for (const auto &Group : groupsAtLevel(State.Map_, Job.Spec_.Level_)) {
    Region Allowed;
    std::uint32_t Tasks = 0;
    for (std::uint32_t W : Group)
      if (Bits[W] != 0) {
        Allowed[W] = Bits[W];
        Tasks += countBits(Bits[W]) / Job.Spec_.AcceleratorsPerTask_;
      }
    if (Tasks >= Job.Spec_.TaskCount_)
      considerRegion(Allowed, {}, State.Free_, State.Running_, Job.Spec_, Best);
  }
  return std::move(Best.Claim_);
}

} // namespace nutmegwell::sched
