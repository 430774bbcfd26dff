#pragma once

#include "nutmegwell/sched/plan.h"
#include <map>

namespace nutmegwell::bench {

/// Returns false when two running jobs hold one accelerator or a task holds
/// another number of accelerators than its job asked for.
bool placementsValid(const sched::CellView &View);

/// Measures fragmentation over time.
class FragmentationProbe {
public:
  /// Takes the state of the cells after a decision at \p Now; it holds until
  /// the next call.
  void observe(const std::vector<sched::CellView> &Cells, core::Duration Now);
  /// Returns the mean over the time in which a gang waited.
  double mean() const { return Time_ > 0 ? Sum_ / Time_ : 0; }

private:
  double Share_ = -1;
  core::Duration Since_{};
  double Sum_ = 0;
  double Time_ = 0;
};

/// Follows waiting jobs whose account has a free guarantee of their shape.
class ReclaimProbe {
public:
  explicit ReclaimProbe(core::Duration Grace) : Grace_(Grace) {}
  /// Takes the state of the cells before a decision at \p Now.
  void observe(const std::vector<sched::CellView> &Cells, core::Duration Now);
  void started(std::size_t Job, core::Duration Now);
  const std::vector<double> &times() const { return Times_; }
  std::size_t late() const { return Late_; }

private:
  core::Duration Grace_;
  std::map<std::size_t, core::Duration> Open_;
  std::vector<double> Times_;
  std::size_t Late_ = 0;
};

} // namespace nutmegwell::bench
