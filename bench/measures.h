#pragma once

#include "simulation.h"
#include <map>
#include <string>

namespace nutmegwell::bench {

struct Figure {
  double Value_ = 0;
  std::string Unit_;
};

/// Figures of one run by name.
using Figures = std::map<std::string, Figure>;

/// Returns the value below which a share \p Quantile of \p Values lies, or 0
/// when there are none.
double quantile(std::vector<double> Values, double Quantile);

Figures figuresOf(const RunResult &Run);

/// Returns the mean of each figure over runs with different seeds.
Figures meanOf(const std::vector<Figures> &Runs);

/// Prints one line for each figure of \p Value against \p Baseline.
void print(const std::string &Prefix, const std::string &BaselineName,
           const Figures &Value, const Figures &Baseline,
           const std::string &Seed);

/// Prints one line for one figure.
void printFigure(const std::string &Name, const Figure &Value, double Baseline,
                 const std::string &Seed);

} // namespace nutmegwell::bench
