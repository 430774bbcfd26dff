#include "cells.h"

#include <algorithm>
#include <map>
#include <set>

namespace nutmegwell::sched::tests {

namespace {

const WorkerView *workerOf(const CellView &View, const model::NodeName &Name) {
  for (const WorkerView &Worker : View.Workers_)
    if (Worker.Name_ == Name)
      return &Worker;
  return nullptr;
}

} // namespace

CellView randomCell() {
  CellView View;
  View.Domain_ = "a";
  auto Count = *rc::gen::inRange<std::uint32_t>(1, 13);
  for (std::uint32_t W = 0; W < Count; ++W)
    View.Workers_.push_back({"w" + std::to_string(W),
                             "r" + std::to_string(W / 3),
                             *rc::gen::element<std::uint32_t>(2, 4, 8),
                             *rc::gen::inRange(0, 8) != 0});
  for (int A = 0; A < 3; ++A) {
    model::PoolRow Row;
    Row.Account_ = "acc" + std::to_string(A);
    Row.Service_ = "svc";
    Row.BlockSize_ = *rc::gen::element<std::uint32_t>(1, 2, 4, 8);
    Row.Guaranteed_ = Row.BlockSize_ * *rc::gen::inRange<std::uint32_t>(0, 3);
    Row.Level_ = *rc::gen::element(model::TopologyLevel::Worker,
                                   model::TopologyLevel::Rack);
    Row.AcceleratorLimit_ =
        Row.Guaranteed_ + *rc::gen::inRange<std::uint32_t>(0, 30);
    View.Pools_.push_back(Row);
  }
  return View;
}

model::JobSpec randomSpec() {
  return model::JobSpecBuilder()
      .account("acc" + std::to_string(*rc::gen::inRange(0, 3)))
      .service("svc")
      .tasks(*rc::gen::inRange<std::uint32_t>(1, 7))
      .acceleratorsPerTask(*rc::gen::element<std::uint32_t>(1, 2, 4))
      .level(*rc::gen::element(model::TopologyLevel::Worker,
                               model::TopologyLevel::Rack,
                               model::TopologyLevel::Domain))
      .jobClass(*rc::gen::element(model::JobClass::Urgent,
                                  model::JobClass::Normal,
                                  model::JobClass::Patient))
      .build();
}

void applyPlan(CellView &View, const Plan &Plan) {
  for (const PreemptDecision &Next : Plan.Preemptions_)
    for (RunningJob &Job : View.Running_)
      if (Job.Id_ == Next.Job_) {
        Job.Stopping_ = true;
        Job.Preemptor_ = Next.Preemptor_;
      }
  for (const StartDecision &Next : Plan.Starts_) {
    auto Found = std::find_if(
        View.Waiting_.begin(), View.Waiting_.end(),
        [&](const WaitingJob &Job) { return Job.Id_ == Next.Job_; });
    RC_ASSERT(Found != View.Waiting_.end());
    View.Running_.push_back(
        {Next.Job_, Found->Spec_, Next.Placement_, {}, {}, false, {}, {}});
    View.Waiting_.erase(Found);
  }
}

std::uint32_t heldBy(const CellView &View, const model::AccountName &Account) {
  std::uint32_t Sum = 0;
  for (const RunningJob &Job : View.Running_)
    if (Job.Spec_.Account_ == Account)
      Sum += Job.Spec_.accelerators();
  return Sum;
}

std::string findViolation(const CellView &View) {
  std::map<model::NodeName, std::uint64_t> Held;
  for (const RunningJob &Job : View.Running_) {
    std::set<std::string> Groups;
    if (Job.Placement_.size() != Job.Spec_.TaskCount_)
      return "a gang is placed only in part";
    for (const model::TaskPlacement &Task : Job.Placement_) {
      const WorkerView *Worker = workerOf(View, Task.Worker_);
      if (!Worker || !Worker->Usable_)
        return "a task is on an unusable worker";
      if ((Held[Task.Worker_] & Task.Accelerators_) != 0)
        return "an accelerator is held twice";
      Held[Task.Worker_] |= Task.Accelerators_;
      if (__builtin_popcountll(Task.Accelerators_) !=
              static_cast<int>(Job.Spec_.AcceleratorsPerTask_) ||
          (Task.Accelerators_ >> Worker->Accelerators_) != 0)
        return "a task does not hold the accelerators that it requested";
      Groups.insert(
          Job.Spec_.Level_ == model::TopologyLevel::Domain ? View.Domain_
          : Job.Spec_.Level_ == model::TopologyLevel::Rack ? Worker->Rack_
                                                           : Worker->Name_);
    }
    if (Groups.size() > 1)
      return "a gang is spread over several groups of its level";
  }
  for (const model::PoolRow &Row : View.Pools_)
    if (heldBy(View, Row.Account_) > Row.AcceleratorLimit_)
      return "account " + Row.Account_ + " is over its limit";
  return std::string();
}

} // namespace nutmegwell::sched::tests
