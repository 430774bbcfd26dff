#include "capacityslopes.h"
#include "capacitystates.h"
#include "nutmegwell/sched/migration.h"
#include "nutmegwell/sched/plan.h"
#include "nutmegwell/wire/binary.h"
#include <cstdio>
#include <cstdlib>

namespace nutmegwell::bench {

namespace {

/// Calls in one timed repetition of a short operation.
constexpr int CallsOfRepetition = 100;

void nothing() {}

/// Returns the median microseconds of one call of a short operation.
double callMicros(const Extent &Sizes, const std::function<void()> &Call) {
  return medianMicros(Sizes.Repetitions_, nothing,
                      [&Call] {
                        for (int I = 0; I < CallsOfRepetition; ++I)
                          Call();
                      }) /
         CallsOfRepetition;
}

std::vector<std::size_t> agentCounts(const Extent &Sizes) {
  if (Sizes.Quick_)
    return {8, 16, 32};
  return {66, 133, 266, 533};
}

/// Returns the median time of one event on a copy of the cell's state.
double stepMicros(const Extent &Sizes, const HeldCell &Cell,
                  const entry::Event &What) {
  entry::EntryState Copy;
  return medianMicros(
      Sizes.Repetitions_, [&] { Copy = Cell.State_; },
      [&] { entry::step(Copy, What, Cell.Now_); });
}

/// Ends the program unless the host holds its cell and all its gangs run.
void requireRunning(const HeldCell &Cell) {
  bool Running = entry::holdsCell(Cell.State_, "domain-000001", Cell.Now_);
  for (const auto &[Id, Target] : Cell.State_.Gangs_)
    Running = Running && Target.Phase_ == entry::GangPhase::Running;
  if (Running)
    return;
  std::fprintf(stderr, "the synthetic cell is not held or does not run\n");
  std::exit(1);
}

/// Adds the other cells of the design size as the log tells of them, with a
/// pool of each account, to a cell whose agents alone are heard.
void addOtherCells(HeldCell &Cell) {
  constexpr std::size_t Cells = 30;
  constexpr std::size_t Accounts = 120;
  for (std::size_t C = 2; C <= Cells; ++C) {
    const std::string Domain = nameOf("domain-", C, 13);
    Cell.State_.CellTrackers_[Domain].RenewalReadAt_ = Cell.Now_;
    Cell.State_.ControlState_.Cells_[Domain] = {1, "entry-000002", CapacitySeed,
                                                1};
    for (std::size_t A = 0; A < Accounts; ++A) {
      model::PoolRow Row = poolRowOf(A);
      Row.Domain_ = Domain;
      Cell.State_.ControlState_.Pools_.Rows_.push_back(std::move(Row));
    }
  }
}

void printTick(const Extent &Sizes, const std::string &Name, bool Loaded,
               std::size_t Waiting) {
  std::vector<Point> Points;
  for (std::size_t Agents : agentCounts(Sizes)) {
    HeldCell Cell = heldCell(Agents, Loaded, Sizes.Quick_ ? 0 : Waiting);
    requireRunning(Cell);
    addOtherCells(Cell);
    // Makes the tick decide when jobs wait.
    Cell.State_.LastScheduledAt_ = {};
    Points.push_back(
        {static_cast<double>(Agents), stepMicros(Sizes, Cell, entry::Tick())});
  }
  printSlope("time.entry_tick." + Name, "us", Points);
}

void printHeartbeatStep(const Extent &Sizes, const std::string &Name,
                        bool Loaded) {
  std::vector<Point> Points;
  for (std::size_t Agents : agentCounts(Sizes)) {
    HeldCell Cell = heldCell(Agents, Loaded, 0);
    requireRunning(Cell);
    model::Heartbeat Beat =
        Cell.State_.Membership_.Nodes_.begin()->second.LastHeartbeat_;
    // Each call is a heartbeat of the next sequence number.
    double Micros = callMicros(Sizes, [&] {
      ++Beat.Sequence_;
      entry::step(Cell.State_, entry::DatagramReceived{"10.0.0.1:7000", Beat},
                  Cell.Now_);
    });
    Points.push_back({static_cast<double>(Agents), Micros});
  }
  printSlope("time.entry_heartbeat." + Name, "us", Points);
}

/// Returns a cell that is nine tenths full, with jobs of mixed shapes waiting.
sched::CellView crowdedView(std::size_t Workers, std::size_t Waiting) {
  sched::CellView View;
  View.Domain_ = "domain-000001";
  View.Pools_ = poolsTableOf(120).Rows_;
  for (std::size_t W = 0; W < Workers; ++W) {
    View.Workers_.push_back(
        {nameOf("host-", W), nameOf("rack-", W / 3), 8, true});
    if (W % 10 == 0)
      continue;
    sched::RunningJob Job;
    Job.Id_ = jobIdOf(100000 + W);
    Job.Spec_ = jobSpecOf(W, 8);
    Job.Placement_ = {{nameOf("host-", W), 0xFF}};
    View.Running_.push_back(std::move(Job));
  }
  for (std::size_t J = 0; J < Waiting; ++J) {
    const auto Tasks = static_cast<std::uint32_t>(1U << (J % 7));
    View.Waiting_.push_back({jobIdOf(J),
                             jobSpecOf(J, Tasks),
                             std::chrono::seconds(Waiting - J),
                             {},
                             true});
  }
  return View;
}

void printDecide(const Extent &Sizes) {
  std::vector<Point> Points;
  for (std::size_t Waiting : {100, 300, 1000}) {
    sched::CellView View = crowdedView(Sizes.Quick_ ? 32 : 533, Waiting);
    double Micros = medianMicros(Sizes.Repetitions_, nothing,
                                 [&View] { sched::planCell(View); });
    Points.push_back({static_cast<double>(Waiting), Micros});
  }
  printSlope("time.decide_533_workers.by_waiting", "us", Points);
}

/// All jobs have waited long enough for others to be moved, and none fits.
void printPlanMoves(const Extent &Sizes) {
  std::vector<Point> Points;
  for (std::size_t Cells : {2, 4, 8}) {
    sched::CellView View = crowdedView(Sizes.Quick_ ? 32 : 533, 100);
    // Leaves no room for the gangs.
    for (std::size_t W = 0; W < View.Workers_.size(); W += 10)
      View.Workers_[W].Usable_ = false;
    for (sched::RunningJob &Job : View.Running_)
      Job.RunTime_ = std::chrono::hours(1);
    for (sched::WaitingJob &Job : View.Waiting_)
      Job.EarlierWait_ = std::chrono::hours(1);
    std::vector<sched::CellView> Views(Cells, View);
    double Micros = medianMicros(Sizes.Repetitions_, nothing,
                                 [&Views] { sched::planMigrations(Views); });
    Points.push_back({static_cast<double>(Cells), Micros});
  }
  printSlope("time.plan_moves_533_workers_100_waiting.by_cells", "us", Points);
}

void printAgentSteps(const Extent &Sizes) {
  const core::TimePoint Now(std::chrono::hours(1));
  std::vector<Point> Acks;
  std::vector<Point> Ticks;
  for (std::size_t Shares : {0, 8, 24}) {
    agent::AgentState State = agentOf(Shares, Now);
    agent::step(State, agent::Tick(), Now);
    model::HeartbeatAck Ack;
    Ack.Entry_ = "entry-000001";
    Ack.Sequence_ = State.Sequence_;
    Ack.Term_ = 1;
    Ack.StartPermit_ = std::chrono::seconds(2);
    Ack.TaskLease_ = std::chrono::seconds(15);
    const auto Size = static_cast<double>(Shares);
    Acks.push_back({Size, callMicros(Sizes, [&] {
                      agent::step(State,
                                  agent::DatagramReceived{"10.0.1.1:7000", Ack},
                                  Now);
                    })});
    core::TimePoint At = Now;
    Ticks.push_back({Size, callMicros(Sizes, [&] {
                       // Every tenth tick sends heartbeats, every fifth lists.
                       At += std::chrono::milliseconds(100);
                       agent::step(State, agent::Tick(), At);
                     })});
  }
  printSlope("time.agent_ack.by_shares", "us", Acks);
  printSlope("time.agent_tick.by_shares", "us", Ticks);
}

} // namespace

void printMessageTimes(const Extent &Sizes) {
  std::vector<Point> Encodings;
  std::vector<Point> Decodings;
  for (std::uint32_t Reports : {0, 8, 24}) {
    const model::Datagram Message = heartbeatOf(1, Reports);
    const std::string Bytes = wire::encode(Message);
    Encodings.push_back(
        {static_cast<double>(Reports),
         callMicros(Sizes, [&Message] { wire::encode(Message); })});
    Decodings.push_back(
        {static_cast<double>(Reports), callMicros(Sizes, [&Bytes] {
           if (!wire::decodeDatagram(Bytes).ok())
             std::exit(1);
         })});
  }
  printSlope("time.encode_heartbeat.by_reports", "us", Encodings);
  printSlope("time.decode_heartbeat.by_reports", "us", Decodings);
}

void printControlTimes(const Extent &Sizes) {
  printHeartbeatStep(Sizes, "0_reports.by_agents", false);
  printHeartbeatStep(Sizes, "19_reports.by_agents", true);
  printTick(Sizes, "idle.by_agents", false, 0);
  printTick(Sizes, "19_tasks_a_worker.by_agents", true, 0);
  printTick(Sizes, "19_tasks_a_worker_100_waiting.by_agents", true, 100);
  printDecide(Sizes);
  printPlanMoves(Sizes);
  printAgentSteps(Sizes);
}

} // namespace nutmegwell::bench
