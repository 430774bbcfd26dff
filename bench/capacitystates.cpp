#include "capacitystates.h"

namespace nutmegwell::bench {

namespace {

constexpr core::Incarnation SubmitterRun = 0x5AB317ULL;
const char *const CellName = "domain-000001";

/// Feeds the records that a step asked for back, as the reader does.
void applyAppends(HeldCell &Target, entry::Effects Out) {
  if (!Out.Appends_.empty())
    entry::step(Target.State_,
                entry::LogEntry{Target.State_.ControlState_.NextOffset_,
                                std::move(Out.Appends_)},
                Target.Now_);
}

/// Sequence numbers of beats rise by one in this time.
constexpr core::Duration BeatStep = std::chrono::milliseconds(100);

void beat(HeldCell &Target, std::size_t Workers, std::uint32_t Reports,
          std::size_t Jobs) {
  for (std::size_t W = 0; W < Workers; ++W) {
    model::Heartbeat Beat = heartbeatOf(W, 0);
    Beat.Sequence_ =
        static_cast<std::uint64_t>(Target.Now_.time_since_epoch() / BeatStep);
    if (Reports > 0)
      for (std::size_t J = 0; J < Jobs; ++J)
        if ((W + Workers - J * TasksOfJob % Workers) % Workers < TasksOfJob)
          Beat.Tasks_.push_back(reportOf(
              J, static_cast<std::uint32_t>(J * TasksOfJob / Workers)));
    entry::step(Target.State_,
                entry::DatagramReceived{"10.0.0.1:7000", std::move(Beat)},
                Target.Now_);
  }
}

void advance(HeldCell &Target, int Ticks) {
  for (int I = 0; I < Ticks; ++I) {
    Target.Now_ += std::chrono::milliseconds(100);
    entry::step(Target.State_, entry::LogTailReached{Target.Now_}, Target.Now_);
    applyAppends(Target,
                 entry::step(Target.State_, entry::Tick(), Target.Now_));
  }
}

/// Submits jobs and commits the first \p Committed of them.
void addJobs(HeldCell &Target, std::size_t Workers, std::size_t Committed,
             std::size_t Waiting) {
  model::Batch Records;
  auto Add = [&](model::RecordBody Body) {
    Records.push_back(
        {{EntryRun, Target.State_.NextSequence_++}, std::move(Body)});
  };
  for (std::size_t J = 0; J < Committed; ++J) {
    Add(model::JobSubmitted{jobIdOf(J), jobSpecOf(J, TasksOfJob)});
    Add(model::JobCommitted{jobIdOf(J), 1, CellName, Target.Term_,
                            placementOf(J, TasksOfJob, Workers)});
  }
  for (std::size_t J = 0; J < Waiting; ++J) {
    // More adjacent accelerators than a worker has free.
    model::JobSpec Spec = jobSpecOf(Committed + J, 1);
    Spec.AcceleratorsPerTask_ = 24;
    Spec.Level_ = model::TopologyLevel::Worker;
    Add(model::JobSubmitted{jobIdOf(Committed + J), Spec});
  }
  if (!Records.empty())
    entry::step(Target.State_,
                entry::LogEntry{Target.State_.ControlState_.NextOffset_,
                                std::move(Records)},
                Target.Now_);
}

} // namespace

std::string nameOf(const std::string &Prefix, std::size_t Number,
                   std::size_t Length) {
  std::string Digits = std::to_string(Number);
  std::string Result = Prefix;
  while (Result.size() + Digits.size() < Length)
    Result += '0';
  return Result + Digits;
}

core::JobId jobIdOf(std::size_t Number) { return {SubmitterRun, Number + 1}; }

model::JobSpec jobSpecOf(std::size_t Number, std::uint32_t Tasks) {
  return model::JobSpecBuilder()
      .account(nameOf("account-", Number % 120))
      .service(nameOf("service-", Number % 10))
      .tasks(Tasks)
      .level(model::TopologyLevel::Domain)
      .command("train --configuration /data/configurations/model-4711.json")
      .build();
}

model::PoolRow poolRowOf(std::size_t Number) {
  model::PoolRow Row;
  Row.Name_ = nameOf("pool-", Number, 24);
  Row.Account_ = nameOf("account-", Number % 120);
  Row.Service_ = nameOf("service-", Number % 10);
  Row.Domain_ = CellName;
  Row.Guaranteed_ = 8;
  Row.AcceleratorLimit_ = 100000;
  return Row;
}

model::RouteRow routeRowOf(std::size_t Number) {
  model::RouteRow Row;
  Row.PathPrefix_ = nameOf("/v1/path/", Number, 24);
  Row.Service_ = nameOf("service-", Number % 10);
  return Row;
}

model::Intent intentOf(std::size_t Number) {
  model::Intent Result;
  Result.Service_ = nameOf("service-", Number % 10);
  Result.Attempt_ = {EntryRun, Number + 1};
  Result.Agent_ = nameOf("host-", Number % 533);
  Result.AgentIncarnation_ = Number + 1;
  return Result;
}

model::Placement placementOf(std::size_t Job, std::uint32_t Tasks,
                             std::size_t Workers) {
  model::Placement Result;
  const auto Bit = static_cast<std::uint32_t>(Job * TasksOfJob / Workers) % 64;
  for (std::uint32_t T = 0; T < Tasks; ++T)
    Result.push_back({nameOf("host-", (Job * TasksOfJob + T) % Workers),
                      std::uint64_t{1} << Bit});
  return Result;
}

model::TaskReport reportOf(std::size_t Job, std::uint32_t Bit) {
  model::TaskReport Report;
  Report.Job_ = jobIdOf(Job);
  Report.Attempt_ = 1;
  Report.State_ = model::TaskState::Running;
  Report.Accelerators_ = std::uint64_t{1} << (Bit % 64);
  return Report;
}

model::Heartbeat heartbeatOf(std::size_t Number, std::uint32_t Reports) {
  model::Heartbeat Beat;
  Beat.Node_ = nameOf("host-", Number);
  Beat.Incarnation_ = 0x9E3779B97F4A7C15ULL + Number;
  Beat.Sequence_ = 1;
  Beat.Domain_ = CellName;
  Beat.Rack_ = nameOf("rack-", Number / 3);
  Beat.Accelerators_ = 24;
  Beat.RequestAddress_ = "10.100.100.100:7001";
  Beat.HighestTerm_ = 1;
  for (std::uint32_t R = 0; R < Reports; ++R)
    Beat.Tasks_.push_back(reportOf(R, R));
  return Beat;
}

model::PoolsTable poolsTableOf(std::size_t Rows) {
  model::PoolsTable Table;
  for (std::size_t I = 0; I < Rows; ++I)
    Table.Rows_.push_back(poolRowOf(I));
  return Table;
}

model::ControlState stateOfJobs(std::size_t Jobs) {
  model::ControlState State;
  State.Pools_ = poolsTableOf(120);
  State.Cells_[CellName] = {1, "entry-000001", EntryRun, 1};
  for (std::size_t J = 0; J < Jobs; ++J) {
    model::Job &Target = State.Jobs_[jobIdOf(J)];
    Target.Id_ = jobIdOf(J);
    Target.Spec_ = jobSpecOf(J, TasksOfJob);
    Target.State_ = model::JobState::Running;
    Target.Attempt_ = 1;
    Target.Domain_ = CellName;
    Target.Placement_ = placementOf(J, TasksOfJob, 533);
  }
  return State;
}

HeldCell heldCell(std::size_t Workers, bool Loaded, std::size_t Waiting) {
  HeldCell Target;
  entry::EntrySettings Settings;
  Settings.Node_ = "entry-000001";
  Settings.Incarnation_ = EntryRun;
  Settings.EntryAddresses_ = {"10.0.1.1:7000", "10.0.1.2:7000"};
  Target.Now_ = core::TimePoint(std::chrono::hours(1));
  Target.State_ = entry::makeEntryState(Settings, Target.Now_);
  entry::step(Target.State_, entry::LogAvailability{true}, Target.Now_);
  entry::step(Target.State_,
              entry::LogEntry{0,
                              {{{SubmitterRun + 1, 1},
                                model::PoolsPublished{0, poolsTableOf(120)}}}},
              Target.Now_);
  beat(Target, Workers, 0, 0);
  advance(Target, 20);
  Target.Term_ = Target.State_.ControlState_.Cells_[CellName].Term_;
  const std::size_t Committed =
      Loaded ? Workers * ReportsOfWorker / TasksOfJob : 0;
  beat(Target, Workers, Loaded ? 1 : 0, Committed);
  addJobs(Target, Workers, Committed, Waiting);
  advance(Target, 3);
  return Target;
}

agent::AgentState agentOf(std::size_t Shares, core::TimePoint Now) {
  agent::AgentSettings Settings;
  Settings.Node_ = nameOf("host-", 1);
  Settings.Incarnation_ = 11;
  Settings.Domain_ = CellName;
  Settings.Rack_ = nameOf("rack-", 1);
  Settings.Accelerators_ = 64;
  Settings.EntryAddresses_ = {"10.0.1.1:7000", "10.0.1.2:7000",
                              "10.0.1.3:7000"};
  agent::AgentState State = agent::makeAgentState(Settings);
  State.Ready_ = true;
  State.HighestTerm_ = 1;
  State.LeaseUntil_ = Now + std::chrono::hours(1);
  for (std::size_t I = 0; I < Shares; ++I) {
    agent::Share Each;
    Each.Accelerators_ = {std::uint64_t{1} << (I % 64)};
    Each.Command_ = jobSpecOf(I, 1).Command_;
    Each.State_ = model::TaskState::Running;
    Each.Tasks_ = {model::TaskState::Running};
    Each.Checkpoints_ = {""};
    State.Shares_.emplace(agent::ShareKey{jobIdOf(I), 1}, std::move(Each));
  }
  return State;
}

} // namespace nutmegwell::bench
