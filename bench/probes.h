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
  /// Returns true when the job had a free guarantee.
  bool started(std::size_t Job, core::Duration Now);
  bool isOpen(std::size_t Job) const { return Open_.count(Job) != 0; }
  const std::vector<double> &times() const { return Times_; }
  std::size_t late() const { return Late_; }
  /// Late cases in which another job of the account got the guarantee.
  std::size_t lateToOwn() const { return LateToOwn_; }

private:
  core::Duration Grace_;
  std::map<std::size_t, core::Duration> Open_;
  std::vector<double> Times_;
  std::size_t Late_ = 0;
  std::size_t LateToOwn_ = 0;
};

/// Sums up what accelerators do during an absence besides useful work.
class AbsenceProbe {
public:
  /// Accelerators, or accelerator-seconds when summed up.
  struct Use {
    /// Idle while jobs wait.
    double Idle_ = 0;
    /// Held by jobs that stop or read a checkpoint.
    double Changing_ = 0;
  };

  AbsenceProbe(core::Duration From, core::Duration To) : From_(From), To_(To) {}
  /// Takes the use from \p Now on; it holds until the next call.
  void observe(const Use &Next, core::Duration Now);
  const Use &sum() const { return Sum_; }

private:
  core::Duration From_;
  core::Duration To_;
  core::Duration Since_{};
  Use Current_;
  Use Sum_;
};

} // namespace nutmegwell::bench
