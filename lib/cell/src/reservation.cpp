// Places kept for a gang until the runs there end.

#include "nutmegwell/cell/reservation.h"
#include <algorithm>
#include <map>

namespace nutmegwell::cell {

namespace {

/// Returns how many tasks of \p Step fit on \p Worker, at most \p Count.
std::int64_t tasksThatFit(const PlacementTarget &Worker,
                          const jobs::StepSpec &Step,
                          const jobs::Resources &Each, std::int64_t Count) {
  if (!satisfiesConstraints(Worker, Step) || !Worker.Free_.covers(Each))
    return 0;
  std::int64_t Tasks = Count;
  if (Step.SpreadLimit_ > 0)
    Tasks = std::min<std::int64_t>(Tasks,
                                   Step.SpreadLimit_ - Worker.StepTaskCount_);
  auto Limit = [&](std::int64_t Free, std::int64_t Need) {
    if (Need > 0)
      Tasks = std::min(Tasks, Free / Need);
  };
  Limit(Worker.Free_.Cpu_, Each.Cpu_);
  Limit(Worker.Free_.MemoryMb_, Each.MemoryMb_);
  Limit(Worker.Free_.Accelerators_, Each.Accelerators_);
  return Tasks;
}

/// Counts the tasks of a gang that fit on each worker and rack while runs end.
/// A release changes the counts of one worker and its rack alone, so that the
/// search is linear in workers and releases.
class RoomCount {
public:
  RoomCount(const PlacementRequest &Request,
            std::vector<PlacementTarget> &Targets)
      : Step_(*Request.Step_), Each_(requiredResources(Step_)),
        Count_(Request.Count_), Targets_(Targets), Tasks_(Targets.size()) {
    for (std::size_t I = 0; I < Targets_.size(); ++I)
      InRack_.push_back(&Racks_[Targets_[I].Rack_]);
    for (const std::string &Scope : candidateRacks(Request, Targets)) {
      Scopes_.push_back(Scope);
      if (Scope.empty())
        AllRacksCount_ = true;
      else if (auto It = Racks_.find(Scope); It != Racks_.end())
        It->second.Counts_ = true;
    }
    for (std::size_t I = 0; I < Targets_.size(); ++I)
      update(I);
  }

  void release(const ExpectedRelease &Freed) {
    Targets_[Freed.Target_].Free_ += Freed.Resources_;
    update(Freed.Target_);
  }

  /// Returns whether the gang fits into one of the scopes tried by placement.
  bool fits() const { return Fits_; }

  /// Returns workers for all tasks in the first scope with enough room, those
  /// with the fewest free accelerators first, so that others stay free.
  std::vector<std::size_t> choose() const {
    auto Enough = std::find_if(
        Scopes_.begin(), Scopes_.end(),
        [&](const std::string &Scope) { return tasksIn(Scope) >= Count_; });
    std::vector<std::size_t> Order;
    for (std::size_t I = 0; I < Targets_.size(); ++I)
      if (Tasks_[I] > 0 && (Enough->empty() || Targets_[I].Rack_ == *Enough))
        Order.push_back(I);
    std::stable_sort(Order.begin(), Order.end(),
                     [&](std::size_t A, std::size_t B) {
                       return Targets_[A].Free_.Accelerators_ <
                              Targets_[B].Free_.Accelerators_;
                     });
    std::vector<std::size_t> Chosen;
    for (std::size_t I : Order)
      for (std::int64_t Task = 0;
           Task < Tasks_[I] &&
           static_cast<std::int64_t>(Chosen.size()) < Count_;
           ++Task)
        Chosen.push_back(I);
    return Chosen;
  }

private:
  struct RackRoom {
    std::int64_t Tasks_ = 0;
    /// The rack is one of the scopes.
    bool Counts_ = false;
  };

  std::int64_t tasksIn(const std::string &Scope) const {
    if (Scope.empty())
      return AllTasks_;
    auto It = Racks_.find(Scope);
    return It == Racks_.end() ? 0 : It->second.Tasks_;
  }

  void update(std::size_t I) {
    const std::int64_t Now = tasksThatFit(Targets_[I], Step_, Each_, Count_);
    RackRoom &Rack = *InRack_[I];
    Rack.Tasks_ += Now - Tasks_[I];
    AllTasks_ += Now - Tasks_[I];
    Tasks_[I] = Now;
    Fits_ = Fits_ || (Rack.Counts_ && Rack.Tasks_ >= Count_) ||
            (AllRacksCount_ && AllTasks_ >= Count_);
  }

  const jobs::StepSpec &Step_;
  const jobs::Resources Each_;
  const std::int64_t Count_;
  std::vector<PlacementTarget> &Targets_;
  /// Tasks that fit, by worker.
  std::vector<std::int64_t> Tasks_;
  std::map<std::string, RackRoom> Racks_;
  std::vector<RackRoom *> InRack_;
  std::vector<std::string> Scopes_;
  std::int64_t AllTasks_ = 0;
  bool AllRacksCount_ = false;
  bool Fits_ = false;
};

} // namespace

std::optional<Reservation> reserveForGang(const PlacementRequest &Request,
                                          std::vector<PlacementTarget> Targets,
                                          std::vector<ExpectedRelease> Releases,
                                          core::TimePoint Latest) {
  std::stable_sort(Releases.begin(), Releases.end(),
                   [](const ExpectedRelease &A, const ExpectedRelease &B) {
                     return A.At_ < B.At_;
                   });
  RoomCount Room(Request, Targets);
  if (Room.fits())
    return Reservation{Room.choose(), core::TimePoint()};
  for (auto It = Releases.begin(); It != Releases.end();) {
    const core::TimePoint At = It->At_;
    if (At > Latest)
      return std::nullopt;
    for (; It != Releases.end() && It->At_ == At; ++It)
      Room.release(*It);
    if (Room.fits())
      return Reservation{Room.choose(), At};
  }
  return std::nullopt;
}

bool mayBackfill(const Reservation &Kept, std::size_t Target,
                 core::TimePoint EndsAt) {
  return EndsAt <= Kept.StartAt_ ||
         std::find(Kept.Targets_.begin(), Kept.Targets_.end(), Target) ==
             Kept.Targets_.end();
}

} // namespace nutmegwell::cell
