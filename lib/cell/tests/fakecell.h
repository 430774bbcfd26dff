#pragma once

#include "nutmegwell/cell/holder.h"
#include <string>
#include <vector>

namespace nutmegwell::cell {

/// A holder whose store, tables and agents are played by the test.
class FakeCell {
public:
  FakeCell();

  jobs::View View_;
  jobs::ServiceTables Tables_;
  std::set<std::string> OutOfServiceDomains_;
  core::TimePoint Now_{std::chrono::seconds(1000)};
  jobs::WallTime Wall_{std::chrono::seconds(5000)};
  Holder Holder_;
  /// Reports that the agents send next, by host.
  std::map<std::string, AgentReport> Agents_;
  /// Orders and records since the last clear.
  std::vector<std::pair<std::string, HolderOrders>> Orders_;
  std::vector<jobs::Record> Records_;
  std::vector<core::LogEvent> LogEvents_;
  /// Open question for the approval service.
  std::optional<ApprovalRequest> ApprovalRequest_;
  /// Appends are durable at once.
  bool StoreWorks_ = true;

  HolderContext around() const;

  /// Begins the tenure with the next offset as the claim.
  void claim(std::optional<core::TimePoint> GrantsEnd = std::nullopt,
             const std::set<std::string> &VoidWorkers = {});

  /// Adds a worker with 64 cores, 128 GB and 8 accelerators.
  void addWorker(const std::string &Host, const std::string &Rack,
                 const std::string &Domain = "a");

  /// Makes an accepted job of the queue "q0", "q1" or "q2" durable; the digit
  /// is its priority.
  void accept(const std::string &Job, const jobs::JobSpec &Spec,
              const std::string &Queue = "q1",
              const std::string &Account = "acme");

  /// Reports of all agents, then a tick; starts run on the fake workers at
  /// once and stops end there.
  void step(core::Duration After = std::chrono::milliseconds(1));

  /// Runs \p Span in steps of 100 ms with reports of unchanged work.
  void run(core::Duration Span);

  /// Ends a run on its worker.
  void end(const RunId &Id, EndKind Kind, const std::string &Checkpoint = "");

  /// Sets the percentage of every run of a job.
  void progress(const std::string &Job, double Percent);

  /// Sets the tail latency or processor use that the runs of a job report.
  void usage(const std::string &Job, double Value);

  /// Answers the open question with a ticket for each of \p Hosts.
  void approve(const std::vector<std::string> &Hosts);

  /// Returns the newest pace that was ordered for a run of a job, or 100.
  unsigned paceOf(const std::string &Job) const;

  /// Runs of a job on all fake workers.
  std::vector<RunId> runsOf(const std::string &Job) const;
  std::string hostOf(const RunId &Id) const;
  bool decided(const std::string &Event) const;
  jobs::JobState stateOf(const std::string &Job) const;

private:
  void carryOut(Effects &&Out);

  std::uint64_t NextEnd_ = 1;
};

} // namespace nutmegwell::cell
