#include "cost.h"

#include "baselines.h"
#include "measures.h"
#include <algorithm>

namespace nutmegwell::bench {

namespace {

constexpr std::uint64_t Seed = 7;
/// Bounds the time of one point, since a slow policy is measured with few
/// rounds.
constexpr std::chrono::milliseconds LongestPoint{200};

/// Returns a full cell with \p Waiting jobs after it, one fifth of whose
/// running jobs have just ended.
sched::CellView crowdedCell(std::uint32_t Workers, std::size_t Waiting) {
  Deployment Sizes = designCell();
  Sizes.WorkersPerDomain_ = {Workers};
  Sizes.Jobs_ = static_cast<std::uint32_t>(Waiting) + 4 * Workers;
  Workload Load = makeWorkload(Sizes, 0.9, Seed);
  sched::CellView View = Load.Cells_[0];
  for (std::size_t J = 0; J < Load.Jobs_.size(); ++J)
    View.Waiting_.push_back({{1, J + 1},
                             Load.Jobs_[J].Spec_,
                             std::chrono::seconds(Load.Jobs_.size() - J),
                             {},
                             true});
  sched::Plan Filled = decideBackfill(View);
  std::vector<sched::WaitingJob> Rest;
  std::size_t Next = 0;
  for (sched::WaitingJob &Job : View.Waiting_) {
    if (Next < Filled.Starts_.size() && Filled.Starts_[Next].Job_ == Job.Id_) {
      if (Next % 5 != 0)
        View.Running_.push_back({Job.Id_,
                                 Job.Spec_,
                                 Filled.Starts_[Next].Placement_,
                                 {},
                                 {},
                                 false,
                                 {},
                                 {}});
      ++Next;
    } else if (Rest.size() < Waiting) {
      Rest.push_back(std::move(Job));
    }
  }
  View.Waiting_ = std::move(Rest);
  return View;
}

struct Cost {
  double Median_ = 0;
  double P99_ = 0;
};

Cost measure(const Decide &Policy, const sched::CellView &View, int Rounds) {
  std::vector<double> Micros;
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Rounds; ++I) {
    auto Before = std::chrono::steady_clock::now();
    if (I > 0 && Before - Start > LongestPoint)
      break;
    sched::Plan Plan = Policy(View);
    std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Before;
    Micros.push_back(Spent.count());
  }
  return {quantile(Micros, 0.5), quantile(Micros, 0.99)};
}

} // namespace

void printCost(const Decide &Policy, const Decide &Baseline, int Rounds) {
  for (std::size_t Waiting : {100, 300, 1000}) {
    double Last = 0;
    for (std::uint32_t Workers : {66, 133, 266, 533, 1066}) {
      sched::CellView View = crowdedCell(Workers, Waiting);
      Cost Value = measure(Policy, View, Rounds);
      Cost Other = measure(Baseline, View, Rounds);
      std::string Name = "cost.workers" + std::to_string(Workers) + ".waiting" +
                         std::to_string(Waiting);
      std::string Label = std::to_string(Seed);
      printFigure(Name + ".decision_p50/previous", {Value.Median_, "us"},
                  Other.Median_, Label);
      printFigure(Name + ".decision_p99/previous", {Value.P99_, "us"},
                  Other.P99_, Label);
      if (Last > 0)
        printFigure(Name + ".growth_per_doubling/linear",
                    {Value.Median_ / Last, "ratio"}, 2, Label);
      Last = Value.Median_;
    }
  }
}

} // namespace nutmegwell::bench
