#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// Work of one queue, in accelerator-seconds of expected run time.
struct QueueLoad {
  std::string Queue_;
  int Priority_ = 0;
  /// Ready work without a run.
  double Waiting_ = 0;
  /// Expected rest of the work that runs.
  double Running_ = 0;
};

/// Load of a service as its holder sees it.
struct CellLoad {
  std::string Service_;
  std::vector<QueueLoad> Queues_;
  /// Accelerators of the usable workers, which is also the work in
  /// accelerator-seconds that ends in a second while all are in use.
  double Accelerators_ = 0;
  /// Accelerators that are free.
  double Free_ = 0;
};

/// Load that the holder of a term sends to the other entry hosts.
struct LoadReport {
  std::string Host_;
  core::Term Term_ = 0;
  /// Some queue's expected wait exceeds its objective.
  bool Overloaded_ = false;
  std::vector<CellLoad> Services_;
};

/// Returns how long a job of \p Priority that arrives now is expected to wait
/// for \p Accelerators accelerators: the waiting work of its own and of more
/// urgent priorities, divided by the rate at which work ends. Zero while enough
/// accelerators are free.
core::Duration expectedWait(const CellLoad &Load, int Priority,
                            double Accelerators);

} // namespace nutmegwell::cell
