#include "options.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <sstream>

namespace nutmegwell::bench {

namespace {

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Source(Text);
  for (std::string Part; std::getline(Source, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

/// Reads positive numbers; returns false when one is not.
template <typename Number>
bool readNumbers(const std::string &Text, std::vector<Number> &Result) {
  Result.clear();
  for (const std::string &Part : splitAtCommas(Text)) {
    char *End = nullptr;
    double Value = std::strtod(Part.c_str(), &End);
    if (Part.empty() || *End != '\0' || !(Value > 0) || Value > 1e9)
      return false;
    Result.push_back(static_cast<Number>(Value));
  }
  return !Result.empty();
}

bool readDeployments(const std::string &Text, Options &Result) {
  const std::vector<std::string> Known = Options().Deployments_;
  Result.Deployments_ = splitAtCommas(Text);
  return !Result.Deployments_.empty() &&
         std::all_of(Result.Deployments_.begin(), Result.Deployments_.end(),
                     [&](const std::string &Name) {
                       return std::find(Known.begin(), Known.end(), Name) !=
                              Known.end();
                     });
}

/// Takes one option; returns false when its value is not usable.
bool take(int Flag, const std::string &Value, bool &Filtered, bool &Cost,
          Options &Result) {
  Filtered = Filtered || Flag == 'd' || Flag == 'l' || Flag == 'a' ||
             Flag == 'p' || Flag == 's' || Flag == 'e';
  switch (Flag) {
  case 'd':
    return readDeployments(Value, Result);
  case 'l':
    return readNumbers(Value, Result.Loads_);
  case 's':
    return readNumbers(Value, Result.Seeds_);
  case 'a':
    Result.Presence_ = false;
    return true;
  case 'p':
    Result.Absence_ = false;
    return true;
  case 'c':
    Cost = true;
    return true;
  case 'e':
    Result.Estimates_ = true;
    Result.Deployments_.clear();
    return true;
  case 'q':
    Result.Quick_ = true;
    return true;
  case 'h':
    Result.Help_ = true;
    return true;
  default:
    return false;
  }
}

} // namespace

bool parseOptions(int Argc, char **Argv, Options &Result) {
  static const option Long[] = {{"deployment", required_argument, nullptr, 'd'},
                                {"load", required_argument, nullptr, 'l'},
                                {"seeds", required_argument, nullptr, 's'},
                                {"absence", no_argument, nullptr, 'a'},
                                {"no-absence", no_argument, nullptr, 'p'},
                                {"cost", no_argument, nullptr, 'c'},
                                {"estimates", no_argument, nullptr, 'e'},
                                {"quick", no_argument, nullptr, 'q'},
                                {"help", no_argument, nullptr, 'h'},
                                {nullptr, 0, nullptr, 0}};
  bool Filtered = false;
  bool Cost = false;
  Result.Estimates_ = false;
  int Flag = 0;
  while ((Flag = getopt_long(Argc, Argv, "", Long, nullptr)) != -1) {
    if (take(Flag, optarg ? optarg : "", Filtered, Cost, Result))
      continue;
    if (Flag != '?')
      std::fprintf(stderr, "nutmegwell-bench: unusable value '%s'\n",
                   optarg ? optarg : "");
    return false;
  }
  if (optind < Argc) {
    std::fprintf(stderr, "nutmegwell-bench: unexpected argument '%s'\n",
                 Argv[optind]);
    return false;
  }
  Result.Cost_ = Cost || !Filtered;
  Result.Estimates_ |= !Filtered;
  return true;
}

const char *usage() {
  return "usage: nutmegwell-bench [options]\n"
         "  --deployment=A,B,design  deployments to run\n"
         "  --load=0.6,0.9,1.1       loads, as shares of the capacity\n"
         "  --seeds=1,2,3            seeds of jobs and faults\n"
         "  --absence                only runs with the absence of a domain\n"
         "  --no-absence             only runs without it\n"
         "  --cost                   decision times too, when filters are set\n"
         "  --estimates              only the estimates of run times\n"
         "  --quick                  one seed, one load, 100 jobs\n"
         "  --help                   this text\n";
}

} // namespace nutmegwell::bench
