#pragma once

#include "nutmegwell/cell/load.h"
#include "nutmegwell/core/time.h"
#include <optional>
#include <string>

namespace nutmegwell::site {

struct LoadAdmissionPolicy {
  bool Enabled_ = false;
  /// Oldest load report by which a job may be refused. Four heartbeats.
  core::Duration MaxReportAge_ = std::chrono::seconds(1);
  /// A job that ends after this many times its objective is worth nothing to
  /// its caller.
  int LateFactor_ = 3;
  /// Bounds of the time after which a refused caller should return.
  core::Duration MinRetryAfter_ = std::chrono::seconds(1);
  core::Duration MaxRetryAfter_ = std::chrono::seconds(10);
  /// Share of that time over which the returns are spread.
  double RetrySpread_ = 0.25;
};

/// What an entry host knows of a submission and of the load.
struct LoadAdmissionInput {
  std::string Job_;
  int Priority_ = 0;
  /// The account's guarantee covers the job.
  bool Guaranteed_ = false;
  /// Expected run time of the job and its objective, both from its arrival.
  core::Duration RunTime_{0};
  core::Duration Objective_{0};
  /// Resources of the largest part of the job that starts as a whole.
  jobs::Resources Needs_;
  /// Time since the caller's first attempt.
  core::Duration Waited_{0};
  /// Absent without a report of the newest term, and while that term's holder
  /// is not overloaded.
  std::optional<cell::CellLoad> Load_;
  core::Duration ReportAge_{0};
  /// Work that this host has admitted and that the report lacks, of the job's
  /// and more urgent priorities, in accelerator-seconds.
  double AdmittedWork_ = 0;
  /// Resources that all work needs which this host has admitted and the report
  /// lacks.
  jobs::Resources AdmittedNeeds_;
  /// Entry hosts that admit work, this one included.
  unsigned EntryHosts_ = 1;
};

/// Returns the time after which the caller should return when the job is to be
/// refused, or nothing when it is to be admitted.
///
/// Load pattern: more work than the cell can end in time, for longer than
/// callers wait. Work that would end too late is refused before it waits, and
/// callers come back spread over the time in which room gets free. Every entry
/// host has the same report, so that each assumes that the others admit as much
/// as it does itself, and takes one part in EntryHosts_ of the room.
std::optional<core::Duration>
refuseForLoad(const LoadAdmissionPolicy &Policy,
              const LoadAdmissionInput &Submission);

} // namespace nutmegwell::site
