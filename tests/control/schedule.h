#pragma once

#include "world.h"

/// Random schedules of work and faults.
namespace nutmegwell::controltest {

struct WantedJob {
  core::JobId Id_;
  model::JobSpec Spec_;
  TimePoint SubmitAt_{};
  bool Cancel_ = false;
  bool Impossible_ = false;
  bool Refused_ = false;
  std::uint64_t CommandId_ = 0;
};

struct Schedule {
  World World_;
  std::vector<WantedJob> Jobs_;
  unsigned Domains_ = 1;
  /// How long faults happen.
  Duration FaultTime_ = seconds(40);
  /// True for a long schedule with a log outage of minutes.
  bool Outage_ = false;
  bool WorkersFailed_ = false;
  std::string Story_;

  explicit Schedule(std::uint64_t Seed) : World_(Seed) {}
};

/// Returns a plan that also preempts for urgent jobs that find no room.
sched::Plan preemptForUrgent(const sched::CellView &View);

/// Publishes a pools table that lets one account use every domain.
void publishPools(Schedule &Target);

model::JobSpec makeSpec(std::uint32_t Tasks, std::uint32_t PerTask,
                        milliseconds Work);

/// Submits and cancels jobs until the log holds what is wanted.
void drive(Schedule &Target);

/// Runs a schedule of faults and then, without faults, up to the bound within
/// which all work must have ended. Violations are in World_.
void runSchedule(Schedule &Target);

} // namespace nutmegwell::controltest
