// Measures the scheduling policy against baselines. Prints one line a figure:
// NAME value=V baseline=B ratio=R unit=U seed=S

#include "baselines.h"
#include "cost.h"
#include "measures.h"
#include <cstdio>
#include <cstring>

namespace {

using namespace nutmegwell;
using namespace nutmegwell::bench;

struct NamedPolicy {
  std::string Name_;
  Decide Decide_;
};

/// The policy that was in force before the last change to it.
sched::Policy previousPolicy() {
  sched::Policy Result;
  Result.SpareUnowned_ = false;
  return Result;
}

/// The policy first, then the baselines.
std::vector<NamedPolicy> policies() {
  Decide Current = [](const sched::CellView &View) {
    return sched::decide(View);
  };
  return {{"policy", Current},
          {"first_come", decideFirstCome},
          {"backfill", decideBackfill},
          {"previous", [](const sched::CellView &View) {
             return sched::decide(View, previousPolicy());
           }}};
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
      RunResult Run = simulate(Input, Policies[P].Decide_);
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

} // namespace

int main(int Argc, char **Argv) {
  bool Quick = Argc == 2 && std::strcmp(Argv[1], "--quick") == 0;
  if (Argc > 1 && !Quick) {
    std::fprintf(stderr, "usage: nutmegwell-bench [--quick]\n");
    return 2;
  }
  std::vector<std::uint64_t> Seeds = {1, 2, 3};
  std::vector<double> Loads = {0.6, 0.9, 1.1};
  std::vector<Deployment> Sizes = {deploymentA(), deploymentB(), designCell()};
  if (Quick) {
    Seeds = {1};
    Loads = {0.9};
    for (Deployment &One : Sizes)
      One.Jobs_ = 100;
  }
  std::size_t Broken = 0;
  for (const Deployment &One : Sizes) {
    for (double Load : Loads)
      Broken += runConfiguration(One, Load, false, Seeds);
    if (!One.DesignSize_)
      Broken += runConfiguration(One, 0.9, true, Seeds);
  }
  std::vector<NamedPolicy> Policies = policies();
  printCost(Policies.front().Decide_, Policies.back().Decide_, Quick ? 3 : 30);
  if (Broken > 0)
    std::fprintf(stderr, "broken placements: %zu\n", Broken);
  return Broken > 0 ? 1 : 0;
}
