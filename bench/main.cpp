// Measures the scheduling policy against baselines. Prints one line a figure:
// NAME value=V baseline=B ratio=R unit=U seed=S

#include "baselines.h"
#include "cost.h"
#include "estimates.h"
#include "measures.h"
#include "nutmegwell/sched/migration.h"
#include "nutmegwell/sched/prefer.h"
#include "options.h"
#include <algorithm>
#include <cstdio>

namespace {

using namespace nutmegwell;
using namespace nutmegwell::bench;

/// The policy that was in force before the last change to it.
sched::Policy previousPolicy() {
  sched::Policy Result;
  Result.CountEarlierWaits_ = false;
  Result.AgingWithinAccount_ = false;
  Result.AgingVictimsWaitedLess_ = false;
  Result.Migrations_ = false;
  Result.WeightWaitBySize_ = false;
  return Result;
}

NamedPolicy makePolicy(const std::string &Name, const sched::Policy &Choices) {
  return {Name,
          [Choices](const sched::CellView &View) {
            return sched::planCell(View, Choices);
          },
          [Choices](std::vector<sched::CellView> &Cells) {
            std::vector<std::size_t> Preferred =
                sched::preferredCells(Cells, Choices);
            for (std::size_t C = 0; C < Cells.size(); ++C)
              for (std::size_t J = 0; J < Preferred.size(); ++J)
                Cells[C].Waiting_[J].Preferred_ = Preferred[J] == C;
            sched::planMigrations(Cells, Choices);
          }};
}

/// The policy first, then the baselines.
std::vector<NamedPolicy> policies() {
  return {makePolicy("policy", sched::Policy()),
          {"first_come", decideFirstCome, {}},
          {"backfill", decideBackfill, {}},
          makePolicy("previous", previousPolicy())};
}

std::size_t runConfiguration(const Deployment &Sizes, double Load, bool Absence,
                             const std::vector<std::uint64_t> &Seeds) {
  std::vector<NamedPolicy> Policies = policies();
  std::vector<std::vector<Figures>> Runs(Policies.size());
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%s.load%.1f%s", Sizes.Name_.c_str(), Load,
                Absence ? ".absence" : "");
  std::size_t Broken = 0;
  for (std::uint64_t Seed : Seeds) {
    Workload Input = makeWorkload(Sizes, Load, Seed);
    if (Absence)
      addAbsence(Input);
    for (std::size_t P = 0; P < Policies.size(); ++P) {
      RunResult Run = simulate(Input, Policies[P]);
      Broken += Run.PartialGangs_ + Run.Invalid_;
      Runs[P].push_back(figuresOf(Run));
    }
    for (std::size_t P = 1; P < Policies.size(); ++P)
      print(Text, Policies[P].Name_, Runs[0].back(), Runs[P].back(),
            std::to_string(Seed));
  }
  for (std::size_t P = 1; P < Policies.size(); ++P)
    print(Text, Policies[P].Name_, meanOf(Runs[0]), meanOf(Runs[P]), "mean");
  std::fflush(stdout);
  return Broken;
}

/// Returns the deployments to run.
std::vector<Deployment> deploymentsOf(const Options &Chosen) {
  std::vector<Deployment> Result;
  for (Deployment &One :
       std::vector<Deployment>{deploymentA(), deploymentB(), designCell()}) {
    if (std::find(Chosen.Deployments_.begin(), Chosen.Deployments_.end(),
                  One.Name_) == Chosen.Deployments_.end())
      continue;
    if (Chosen.Quick_)
      One.Jobs_ = 100;
    Result.push_back(std::move(One));
  }
  return Result;
}

/// Runs the configurations and returns the number of broken placements.
std::size_t runAll(const Options &Chosen) {
  constexpr double AbsenceLoad = 0.9;
  std::size_t Broken = 0;
  for (const Deployment &One : deploymentsOf(Chosen)) {
    if (Chosen.Presence_)
      for (double Load : Chosen.Loads_)
        Broken += runConfiguration(One, Load, false, Chosen.Seeds_);
    if (Chosen.Absence_ && !One.DesignSize_)
      Broken += runConfiguration(One, AbsenceLoad, true, Chosen.Seeds_);
  }
  return Broken;
}

} // namespace

int main(int Argc, char **Argv) {
  Options Chosen;
  if (!parseOptions(Argc, Argv, Chosen)) {
    std::fputs(usage(), stderr);
    return 2;
  }
  if (Chosen.Help_) {
    std::fputs(usage(), stdout);
    return 0;
  }
  if (Chosen.Quick_) {
    Chosen.Seeds_ = {1};
    Chosen.Loads_ = {0.9};
  }
  std::size_t Broken = runAll(Chosen);
  std::vector<NamedPolicy> Policies = policies();
  if (Chosen.Cost_)
    printCost(Policies.front().Decide_, Policies.back().Decide_,
              Chosen.Quick_ ? 3 : 30);
  if (Chosen.Estimates_)
    printEstimates(Chosen.Seeds_);
  if (Broken > 0)
    std::fprintf(stderr, "broken placements: %zu\n", Broken);
  return Broken > 0 ? 1 : 0;
}
