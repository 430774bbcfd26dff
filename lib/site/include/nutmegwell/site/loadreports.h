#pragma once

#include "nutmegwell/cell/load.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/jobs/spec.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace nutmegwell::site {

/// First attempt of a caller whose job was refused because of the load.
struct FirstArrival {
  core::TimePoint At_{};
  jobs::WallTime Wall_{};
};

/// Entries of jobs, by a hash of the account and the id, so that their size
/// does not depend on callers. Bounded in number and age.
template <typename Value> struct RecentJobs {
  std::map<std::uint64_t, Value> Entries_;
  /// Keys with the time when they were added, the oldest first.
  std::deque<std::pair<core::TimePoint, std::uint64_t>> Ages_;
};

/// A job that this host has admitted and that a load report may lack.
struct AdmittedJob {
  std::string Job_;
  core::TimePoint At_{};
  std::string Service_;
  int Priority_ = 0;
  /// Declared work in accelerator-seconds.
  double Work_ = 0;
  jobs::Resources Needs_;
};

/// Load of the cell as an entry host knows it.
struct KnownLoad {
  /// Newest valid report of the newest term, and when it arrived.
  std::optional<cell::LoadReport> Report_;
  core::TimePoint ReceivedAt_{};
  /// Term in which this host, as holder, has sent a report of an overload that
  /// none of the end of the overload has followed; 0 for none.
  core::Term OverloadSentIn_ = 0;
  std::deque<AdmittedJob> Admitted_;
  RecentJobs<FirstArrival> FirstArrivals_;
  /// Jobs whose submission was answered with an unknown outcome. They may have
  /// been accepted, so that a refusal could be untrue.
  RecentJobs<bool> UnknownOutcomes_;
};

} // namespace nutmegwell::site
