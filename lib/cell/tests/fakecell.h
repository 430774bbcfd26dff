#pragma once

#include "nutmegwell/cell/holder.h"
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// A holder with a simulated store, tables and agents.
class FakeCell {
public:
  FakeCell();

  jobs::View View_;
  jobs::ServiceTables Tables_;
  std::set<std::string> OutOfServiceDomains_;
  core::TimePoint Now_{std::chrono::seconds(1000)};
  jobs::WallTime Wall_{std::chrono::seconds(5000)};
  /// Policy of the next tenure.
  HolderPolicy Policy_;
  Holder Holder_;
  /// Reports that the agents send next, by host.
  std::map<std::string, AgentReport> Agents_;
  /// Hosts whose agents have seen the end of their worker's process.
  std::set<std::string> EndedWorkers_;
  /// Orders, records and log events since the test last cleared them.
  std::vector<std::pair<std::string, HolderOrders>> Orders_;
  std::vector<jobs::Record> Records_;
  std::vector<core::LogEvent> LogEvents_;
  std::vector<DepartureChoice> Departures_;
  /// Open request to the approval service.
  std::optional<ApprovalRequest> ApprovalRequest_;
  /// Maximum number of ends that a worker lists at a time, the oldest ones.
  std::size_t MaxListedEnds_ = 500;
  /// Workers refuse all starts as unhealthy.
  bool RefusesStarts_ = false;
  /// Stop orders do not reach the workers.
  bool LosesStops_ = false;
  /// Checkpoint that runs save when they are stopped; empty for none.
  std::string StopCheckpoint_;
  /// A read of the store confirms the tenure at each step.
  bool TenureConfirmed_ = true;
  /// Appends become durable at once.
  bool StoreAvailable_ = true;

  /// When the holder asked to be advanced next.
  core::TimePoint WakeAt_{};

  HolderContext context() const;

  /// Begins a tenure with a claim at the next offset.
  void claimCell(std::optional<core::TimePoint> GrantsEnd = std::nullopt,
                 const std::set<std::string> &EmptyWorkers = {});

  /// Adds a worker with 64 cores, 128 GB and 8 accelerators.
  void addWorker(const std::string &Host, const std::string &Rack,
                 const std::string &Domain = "a");

  /// Makes an accepted job durable. \p Queue is "q0", "q1" or "q2"; its digit
  /// is the job's priority.
  void acceptJob(const std::string &Job, const jobs::JobSpec &Spec,
                 const std::string &Queue = "q1",
                 const std::string &Account = "acme");

  /// Delivers the reports of all agents, then advances the holder. The
  /// simulated workers start and stop runs at once.
  void advance(core::Duration After = std::chrono::milliseconds(1));

  /// Advances the time by \p Span in steps of 100 ms; reported progress stays
  /// the same.
  void runFor(core::Duration Span);

  /// Ends a run on its worker.
  void endRun(const RunId &Id, EndKind Kind,
              const std::string &Checkpoint = "");

  /// Sets the percentage of every run of a job.
  void setProgress(const std::string &Job, double Percent);

  /// Sets the tail latency or processor usage that the runs of a job report.
  void setUsage(const std::string &Job, double Value);

  /// Answers the open request with a ticket for each of \p Hosts.
  void approve(const std::vector<std::string> &Hosts);

  /// Returns the pace that was last ordered for a run of a job, or 100.
  unsigned paceOf(const std::string &Job) const;

  /// Returns the runs of a job on all simulated workers.
  std::vector<RunId> runsOf(const std::string &Job) const;
  std::string hostOf(const RunId &Id) const;
  bool hasLogEvent(const std::string &Event) const;
  jobs::JobState stateOf(const std::string &Job) const;

private:
  void applyEffects(Effects &&Out);

  std::uint64_t NextEnd_ = 1;
};

/// Returns a job of one step of \p Count tasks that take 2 s.
jobs::JobSpec oneStep(std::uint32_t Count, jobs::Resources Each);

/// Starts a cell with \p Workers workers, three on a rack.
void startCell(FakeCell &Cell, int Workers);

} // namespace nutmegwell::cell
