#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegwell::bench {

/// What a run of the measuring program covers. The defaults are the whole
/// program.
struct Options {
  std::vector<std::string> Deployments_ = {"A", "B", "design"};
  std::vector<double> Loads_ = {0.6, 0.9, 1.1};
  std::vector<std::uint64_t> Seeds_ = {1, 2, 3};
  /// Whether to run without and with the absence of a domain.
  bool Presence_ = true;
  bool Absence_ = true;
  /// Whether to measure the time of single decisions.
  bool Cost_ = true;
  /// Whether to measure the estimates of run times.
  bool Estimates_ = true;
  bool Quick_ = false;
  bool Help_ = false;
};

/// Reads the command line. A filter of configurations leaves out the times of
/// decisions and the estimates unless they are asked for. Returns false after a
/// message on standard error when an option is unknown or its value is not
/// usable.
bool parseOptions(int Argc, char **Argv, Options &Result);

/// Returns the text of --help.
const char *usage();

} // namespace nutmegwell::bench
