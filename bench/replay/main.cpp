// Replays days, given as tables, with the decisions of a cell's holder against
// emulated workers, and compares policies. Prints one line a figure.

#include "baselines.h"
#include "decisioncost.h"
#include "report.h"
#include <algorithm>
#include <fstream>
#include <future>
#include <getopt.h>
#include <iostream>
#include <sstream>

namespace {

using namespace nutmegwell;
using namespace nutmegwell::replay;

constexpr const char *Usage =
    "usage: nutmegwell-replay [--seed N] [--seeds K] [--plot FILE] DAY...\n"
    "  DAY           a day as a table, see bench/replay/days\n"
    "  --seed N      first seed (1)\n"
    "  --seeds K     number of seeds, each played under each policy (5)\n"
    "  --threads N   days played at a time (2)\n"
    "  --policy-only leaves the baselines out\n"
    "  --decision-cost prints the processor time of decisions at 533 workers\n"
    "                and 1,000 waiting jobs\n"
    "  --plot FILE   writes a plot of the last day as SVG\n";

struct Options {
  std::uint64_t Seed_ = 1;
  std::uint64_t Seeds_ = 5;
  std::uint64_t Threads_ = 2;
  bool PolicyOnly_ = false;
  bool DecisionCost_ = false;
  std::string Plot_;
  std::vector<std::string> Days_;
};

bool parse(int Argc, char **Argv, Options &Result) {
  const option Long[] = {{"seed", required_argument, nullptr, 's'},
                         {"seeds", required_argument, nullptr, 'n'},
                         {"threads", required_argument, nullptr, 't'},
                         {"policy-only", no_argument, nullptr, 'o'},
                         {"decision-cost", no_argument, nullptr, 'c'},
                         {"plot", required_argument, nullptr, 'p'},
                         {nullptr, 0, nullptr, 0}};
  for (int Flag = 0; (Flag = getopt_long(Argc, Argv, "", Long, nullptr)) != -1;)
    switch (Flag) {
    case 's':
      Result.Seed_ = std::strtoull(optarg, nullptr, 10);
      break;
    case 'n':
      Result.Seeds_ = std::strtoull(optarg, nullptr, 10);
      break;
    case 't':
      Result.Threads_ = std::strtoull(optarg, nullptr, 10);
      break;
    case 'o':
      Result.PolicyOnly_ = true;
      break;
    case 'c':
      Result.DecisionCost_ = true;
      break;
    case 'p':
      Result.Plot_ = optarg;
      break;
    default:
      return false;
    }
  for (int I = optind; I < Argc; ++I)
    Result.Days_.emplace_back(Argv[I]);
  return (Result.DecisionCost_ || !Result.Days_.empty()) && Result.Seeds_ > 0 &&
         Result.Threads_ > 0;
}

using NamedPolicies = std::vector<std::pair<std::string, cell::HolderPolicy>>;

/// Returns the policies to compare, the product's own first.
NamedPolicies policies() {
  cell::HolderPolicy Own;
  cell::HolderPolicy Lost = Own;
  Lost.WorstPreemptingStatus_ = cell::ObjectiveStatus::Expired;
  cell::HolderPolicy Near = Own;
  Near.RemoteMinFreeShare_ = 2;
  cell::HolderPolicy InOrder = Own;
  InOrder.ChooseVictims_ = chooseVictimsInOrder;
  cell::HolderPolicy Fair = Own;
  Fair.FairShares_ = true;
  cell::HolderPolicy Reserving = Own;
  Reserving.ReserveForGangs_ = true;
  // The time of a stop that the user documentation allows for these workers.
  Reserving.Departure_.StopTime_ = std::chrono::milliseconds(200);
  cell::HolderPolicy Both = Reserving;
  Both.FairShares_ = true;
  cell::HolderPolicy None = Own;
  None.ChooseVictims_ = chooseNoVictims;
  return {{"policy", Own},
          {"lost_preempts", Lost},
          {"near_first", Near},
          {"victims_in_order", InOrder},
          {"fair_shares", Fair},
          {"reserve_for_gangs", Reserving},
          {"fair_and_reserving", Both},
          {"no_preemption", None}};
}

/// Returns the policies to compare on a day. On one on which workers leave,
/// only their handling is compared.
NamedPolicies policiesFor(const Day &Table) {
  const bool WorkersLeave =
      std::any_of(Table.Troubles_.begin(), Table.Troubles_.end(),
                  [](const WorkerTrouble &Each) {
                    return Each.Kind_ == WorkerFault::Leave;
                  });
  if (!WorkersLeave)
    return policies();
  const cell::HolderPolicy Own;
  cell::HolderPolicy Vacating = Own;
  Vacating.Departure_.Enabled_ = true;
  return {{"vacating", Vacating}, {"no_vacating", Own}};
}

/// Plays the day once for each seed, some seeds at a time.
std::vector<DayResult> playDays(const Day &Table, const Options &Chosen,
                                const cell::HolderPolicy &Policy) {
  std::vector<DayResult> Days;
  for (std::uint64_t First = 0; First < Chosen.Seeds_;
       First += Chosen.Threads_) {
    std::vector<std::future<DayResult>> Running;
    for (std::uint64_t I = First;
         I < std::min(First + Chosen.Threads_, Chosen.Seeds_); ++I)
      Running.push_back(std::async(std::launch::async, [&, I] {
        return playDay(Table, Chosen.Seed_ + I, Policy);
      }));
    for (std::future<DayResult> &Result : Running)
      Days.push_back(Result.get());
  }
  return Days;
}

bool replayDay(const std::string &Path, const Options &Chosen) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  Day Table;
  const std::string Finding =
      File ? parseDay(Text.str(), Table) : "the file cannot be read";
  if (!Finding.empty()) {
    std::cerr << Path << ": " << Finding << "\n";
    return false;
  }
  std::vector<NamedSummary> Rows;
  auto Policies = policiesFor(Table);
  if (Chosen.PolicyOnly_)
    Policies.resize(1);
  for (const auto &[Name, Policy] : Policies) {
    Rows.emplace_back(Name, summarize(Table, playDays(Table, Chosen, Policy)));
  }
  print(Table, Rows,
        std::to_string(Chosen.Seed_) + "-" +
            std::to_string(Chosen.Seed_ + Chosen.Seeds_ - 1));
  if (!Chosen.Plot_.empty())
    std::ofstream(Chosen.Plot_) << plot(Table, Rows);
  return Rows.front().second.Broken_ == 0;
}

void printDecisionCost() {
  constexpr std::size_t Workers = 533;
  constexpr std::size_t WaitingJobs = 1000;
  // Few, since each takes about a second.
  constexpr std::size_t Decisions = 5;
  DecisionTimes Baseline;
  for (const auto &[Name, Policy] : policies()) {
    if (Name != "policy" && Name.find("fair") == std::string::npos &&
        Name.find("reserv") == std::string::npos)
      continue;
    const DecisionTimes Times =
        measureDecisions(Workers, WaitingJobs, Decisions, Policy);
    if (Baseline.empty())
      Baseline = Times;
    for (const auto &[Figure, At] :
         {std::pair("p50", Decisions / 2), {"max", Decisions - 1}})
      std::cout << "decision_cost." << Name << "." << Figure
                << " value=" << Times[At].count()
                << " baseline=" << Baseline[At].count() << " unit=us\n";
  }
}

} // namespace

int main(int Argc, char **Argv) {
  Options Chosen;
  if (!parse(Argc, Argv, Chosen)) {
    std::cerr << Usage;
    return 2;
  }
  if (Chosen.DecisionCost_)
    printDecisionCost();
  bool Ok = true;
  for (const std::string &Path : Chosen.Days_)
    Ok = replayDay(Path, Chosen) && Ok;
  return Ok ? 0 : 1;
}
