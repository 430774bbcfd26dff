#include "nutmegwell/cell/preempt.h"
#include <algorithm>
#include <limits>
#include <set>

namespace nutmegwell::cell {

namespace {

/// Factor by which lost work counts more for a victim that is one priority more
/// urgent. Urgent jobs are small, so that their value per core-second is
/// several times that of less urgent work; the site files give ratios of 4 to
/// 6.
constexpr double PriorityWeight = 16;

/// A set of victims and the cost of stopping them.
struct VictimSet {
  std::set<std::size_t> Victims_;
  double Cost_ = 0;
};

/// Finds victims for one request by placing its tasks one after the other where
/// the necessary stops cost least.
class VictimSearch {
public:
  VictimSearch(const PlacementRequest &Request,
               const std::vector<PlacementTarget> &Targets,
               const std::vector<Victim> &Candidates)
      : Step_(*Request.Step_), Each_(requiredResources(Step_)),
        Count_(Request.Count_), Targets_(Targets), Candidates_(Candidates),
        OnWorker_(Targets.size()) {
    int Last = 0;
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      Last = std::max(Last, Candidates[I].Priority_);
      for (const auto &[Worker, Freed] : Candidates[I].FreedResources_)
        if (OnWorker_[Worker].empty() || OnWorker_[Worker].back() != I)
          OnWorker_[Worker].push_back(I);
    }
    for (const Victim &Candidate : Candidates) {
      double Weight = 1;
      for (int Level = Candidate.Priority_; Level < Last; ++Level)
        Weight *= PriorityWeight;
      Costs_.push_back(Candidate.LostWork_ * Weight);
    }
  }

  /// Returns the victims whose stop makes the request fit within \p Rack, or
  /// within all racks together when \p Rack is empty. Returns nothing when no
  /// set of victims suffices.
  std::optional<VictimSet> searchRack(const std::string &Rack) {
    Free_.clear();
    for (const PlacementTarget &Worker : Targets_)
      Free_.push_back(Worker);
    VictimSet Total;
    std::vector<std::optional<VictimSet>> Added(Targets_.size());
    std::vector<bool> UpToDate(Targets_.size(), false);
    for (std::uint32_t Task = 0; Task < Count_; ++Task) {
      std::size_t Best = Targets_.size();
      for (std::size_t I = 0; I < Targets_.size(); ++I) {
        if (!Rack.empty() && Targets_[I].Rack_ != Rack)
          continue;
        if (!UpToDate[I])
          Added[I] = victimsOn(I, Total.Victims_);
        UpToDate[I] = true;
        if (Added[I] &&
            (Best == Targets_.size() || Added[I]->Cost_ < Added[Best]->Cost_))
          Best = I;
      }
      if (Best == Targets_.size())
        return std::nullopt;
      assignTask(Best, *Added[Best], Total, UpToDate);
    }
    return Total;
  }

private:
  /// Returns the cheapest victims whose stop lets one more task run on
  /// \p Worker.
  std::optional<VictimSet>
  victimsOn(std::size_t Worker, const std::set<std::size_t> &Chosen) const {
    if (!satisfiesConstraints(Free_[Worker], Step_))
      return std::nullopt;
    std::vector<std::size_t> Order;
    for (std::size_t I : OnWorker_[Worker])
      if (!Chosen.count(I))
        Order.push_back(I);
    std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
      return Costs_[A] != Costs_[B] ? Costs_[A] < Costs_[B] : A < B;
    });
    jobs::Resources Free = Free_[Worker].Free_;
    std::vector<std::size_t> Needed;
    for (std::size_t I : Order) {
      if (Free.covers(Each_))
        break;
      Free += freedOn(Worker, I);
      Needed.push_back(I);
    }
    if (!Free.covers(Each_))
      return std::nullopt;
    VictimSet Result;
    for (std::size_t At = Needed.size(); At-- > 0;) {
      jobs::Resources Without = Free;
      Without -= freedOn(Worker, Needed[At]);
      if (Without.covers(Each_)) {
        Free = Without;
        continue;
      }
      Result.Victims_.insert(Needed[At]);
      Result.Cost_ += Costs_[Needed[At]];
    }
    return Result;
  }

  jobs::Resources freedOn(std::size_t Worker, std::size_t Candidate) const {
    jobs::Resources Sum;
    for (const auto &[At, Freed] : Candidates_[Candidate].FreedResources_)
      if (At == Worker)
        Sum += Freed;
    return Sum;
  }

  /// Places one task on \p Worker, and adds the victims for it to \p Total.
  void assignTask(std::size_t Worker, const VictimSet &Added, VictimSet &Total,
                  std::vector<bool> &UpToDate) {
    for (std::size_t I : Added.Victims_) {
      Total.Victims_.insert(I);
      for (const auto &[At, Freed] : Candidates_[I].FreedResources_) {
        Free_[At].Free_ += Freed;
        UpToDate[At] = false;
      }
    }
    Total.Cost_ += Added.Cost_;
    Free_[Worker].Free_ -= Each_;
    ++Free_[Worker].StepTaskCount_;
    UpToDate[Worker] = false;
  }

  const jobs::StepSpec &Step_;
  const jobs::Resources Each_;
  const std::uint32_t Count_;
  const std::vector<PlacementTarget> &Targets_;
  const std::vector<Victim> &Candidates_;
  std::vector<std::vector<std::size_t>> OnWorker_;
  std::vector<double> Costs_;
  std::vector<PlacementTarget> Free_;
};

} // namespace

double discardableWork(const PreemptionLimits &Limits, double OwnWork,
                       double MeanWork, bool OnTime) {
  const double Factor = OnTime ? Limits.OnTimeFactor_ : Limits.LateFactor_;
  return Factor * (Limits.FixedWorthShare_ * MeanWork +
                   (1 - Limits.FixedWorthShare_) * OwnWork);
}

bool isNearlyDone(core::Duration Rest, core::Duration Ran,
                  core::Duration StopTime) {
  /// Part of the run time from which the work that a repeat costs outweighs the
  /// time that the urgent unit gains.
  constexpr int LastPart = 5;
  return Rest <= StopTime || Rest * LastPart <= Ran + Rest;
}

std::vector<std::size_t>
chooseVictims(const PlacementRequest &Request,
              const std::vector<PlacementTarget> &Targets,
              const std::vector<Victim> &Candidates) {
  VictimSearch Search(Request, Targets, Candidates);
  std::optional<VictimSet> Best;
  for (const std::string &Scope : candidateRacks(Request, Targets)) {
    // Tasks that run far from one another or from their data take several times
    // as long, so that all racks together are the last resort.
    if (Scope.empty() && Best)
      break;
    auto Found = Search.searchRack(Scope);
    if (Found && (!Best || Found->Cost_ < Best->Cost_))
      Best = std::move(Found);
  }
  if (!Best)
    return {};
  return {Best->Victims_.begin(), Best->Victims_.end()};
}

} // namespace nutmegwell::cell
