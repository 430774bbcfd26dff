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
struct Choice {
  std::set<std::size_t> Victims_;
  double Cost_ = 0;
};

/// Finds victims for one request by placing its tasks one after the other where
/// the necessary stops cost least.
class VictimSearch {
public:
  VictimSearch(const PlacementRequest &Request,
               const std::vector<PlacementTarget> &Rooms,
               const std::vector<Victim> &Candidates)
      : Step_(*Request.Step_), Each_(requiredResources(Step_)),
        Count_(Request.Count_), Rooms_(Rooms), Candidates_(Candidates),
        OnWorker_(Rooms.size()) {
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
  std::optional<Choice> within(const std::string &Rack) {
    Free_.clear();
    for (const PlacementTarget &Worker : Rooms_)
      Free_.push_back(Worker);
    Choice Total;
    std::vector<std::optional<Choice>> Added(Rooms_.size());
    std::vector<bool> Known(Rooms_.size(), false);
    for (std::uint32_t Task = 0; Task < Count_; ++Task) {
      std::size_t Best = Rooms_.size();
      for (std::size_t I = 0; I < Rooms_.size(); ++I) {
        if (!Rack.empty() && Rooms_[I].Rack_ != Rack)
          continue;
        if (!Known[I])
          Added[I] = victimsOn(I, Total.Victims_);
        Known[I] = true;
        if (Added[I] &&
            (Best == Rooms_.size() || Added[I]->Cost_ < Added[Best]->Cost_))
          Best = I;
      }
      if (Best == Rooms_.size())
        return std::nullopt;
      take(Best, *Added[Best], Total, Known);
    }
    return Total;
  }

private:
  /// Returns the cheapest victims whose stop lets one more task run on
  /// \p Worker.
  std::optional<Choice> victimsOn(std::size_t Worker,
                                  const std::set<std::size_t> &Chosen) const {
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
    Choice Result;
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

  /// Places one task on \p Worker and adds the victims that this takes to \p
  /// Total.
  void take(std::size_t Worker, const Choice &Added, Choice &Total,
            std::vector<bool> &Known) {
    for (std::size_t I : Added.Victims_) {
      Total.Victims_.insert(I);
      for (const auto &[At, Freed] : Candidates_[I].FreedResources_) {
        Free_[At].Free_ += Freed;
        Known[At] = false;
      }
    }
    Total.Cost_ += Added.Cost_;
    Free_[Worker].Free_ -= Each_;
    ++Free_[Worker].StepTaskCount_;
    Known[Worker] = false;
  }

  const jobs::StepSpec &Step_;
  const jobs::Resources Each_;
  const std::uint32_t Count_;
  const std::vector<PlacementTarget> &Rooms_;
  const std::vector<Victim> &Candidates_;
  std::vector<std::vector<std::size_t>> OnWorker_;
  std::vector<double> Costs_;
  std::vector<PlacementTarget> Free_;
};

} // namespace

std::vector<std::size_t>
chooseVictims(const PlacementRequest &Request,
              const std::vector<PlacementTarget> &Rooms,
              const std::vector<Victim> &Candidates) {
  VictimSearch Search(Request, Rooms, Candidates);
  std::optional<Choice> Best;
  for (const std::string &Scope : candidateRacks(Request, Rooms)) {
    // Tasks that run far from one another or from their data take several times
    // as long, so that all racks together are the last resort.
    if (Scope.empty() && Best)
      break;
    auto Found = Search.within(Scope);
    if (Found && (!Best || Found->Cost_ < Best->Cost_))
      Best = std::move(Found);
  }
  if (!Best)
    return {};
  return {Best->Victims_.begin(), Best->Victims_.end()};
}

} // namespace nutmegwell::cell
