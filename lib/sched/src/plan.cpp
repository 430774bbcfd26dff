#include "nutmegwell/sched/plan.h"

#include "place.h"
#include <map>
#include <set>
#include <tuple>

namespace nutmegwell::sched {

namespace {

using AccountHeld = std::map<model::AccountName, std::uint32_t>;

AccountHeld heldByAccount(const CellView &View) {
  AccountHeld Held;
  for (const RunningJob &Job : View.Running_)
    Held[Job.Spec_.Account_] += Job.Spec_.accelerators();
  return Held;
}

const model::PoolRow *findPool(const std::vector<model::PoolRow> &Pools,
                               const model::JobSpec &Spec) {
  for (const model::PoolRow &Row : Pools)
    if (Row.Account_ == Spec.Account_ && Row.Service_ == Spec.Service_)
      return &Row;
  return nullptr;
}

/// Shapes that found no place. Starts only take accelerators, so that a shape
/// that once found none finds none for the rest of the decision.
using ShapeSet =
    std::set<std::tuple<std::uint32_t, std::uint32_t, model::Level>>;

ShapeSet::value_type shapeOf(const model::JobSpec &Spec) {
  return {Spec.Tasks_, Spec.AcceleratorsPerTask_, Spec.Level_};
}

} // namespace

Plan decide(const CellView &View, const Policy &Choices) {
  Plan Result;
  Topology Map = makeTopology(View);
  FreeIndex Free(Map);
  for (const RunningJob &Job : View.Running_)
    Free.take(toSlices(Map, Job.Placement_));
  AccountHeld Held = heldByAccount(View);
  ShapeSet NoPlace;
  for (const WaitingJob &Job : View.Waiting_) {
    const model::PoolRow *Pool = findPool(View.Pools_, Job.Spec_);
    if (!View.MayStart_) {
      Result.Waits_.push_back(
          {Job.Id_, "domain " + View.Domain_ + " starts nothing at present"});
      continue;
    }
    std::uint32_t Wanted = Job.Spec_.accelerators();
    if (!Pool || Held[Job.Spec_.Account_] + Wanted > Pool->Limit_) {
      Result.Waits_.push_back(
          {Job.Id_, "account " + Job.Spec_.Account_ +
                        " has reached its limit in domain " + View.Domain_});
      continue;
    }
    std::optional<Slices> Found;
    if (NoPlace.count(shapeOf(Job.Spec_)) == 0)
      Found = findPlace(Free, Job.Spec_, Choices.Fit_);
    if (!Found) {
      NoPlace.insert(shapeOf(Job.Spec_));
      Result.Waits_.push_back({Job.Id_, "no " + std::to_string(Wanted) +
                                            " free accelerators within one " +
                                            model::toString(Job.Spec_.Level_) +
                                            " of domain " + View.Domain_});
      continue;
    }
    Free.take(*Found);
    Held[Job.Spec_.Account_] += Wanted;
    Result.Starts_.push_back({Job.Id_, toPlacement(View, *Found)});
  }
  return Result;
}

std::string impossibleReason(const model::JobSpec &Spec,
                             const model::PoolsTable &Pools,
                             const model::DomainCapacity &Capacity) {
  std::uint32_t Wanted = Spec.accelerators();
  bool HasPool = false;
  for (const model::PoolRow &Row : Pools.Rows_) {
    if (Row.Account_ != Spec.Account_ || Row.Service_ != Spec.Service_)
      continue;
    HasPool = true;
    auto Known = Capacity.find(Row.Domain_);
    std::uint32_t Total = Known == Capacity.end() ? 0 : Known->second;
    if (Wanted <= Row.Limit_ && Wanted <= Total)
      return std::string();
  }
  if (!HasPool)
    return "account " + Spec.Account_ + " has no pool for service " +
           Spec.Service_;
  return "the job needs " + std::to_string(Wanted) +
         " accelerators, more than any failure domain may give account " +
         Spec.Account_;
}

} // namespace nutmegwell::sched
