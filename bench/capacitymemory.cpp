#include "capacityalloc.h"
#include "capacityslopes.h"
#include "capacitystates.h"
#include "nutmegwell/routing/snapshot.h"
#include "nutmegwell/wire/binary.h"

namespace nutmegwell::bench {

namespace {

std::vector<std::size_t> sizesOf(const Extent &Sizes) {
  if (Sizes.Quick_)
    return {50, 100, 200};
  return {1000, 4000, 16000};
}

/// Prints the live bytes that \p Make adds, with as many elements as its size.
template <typename Make>
void memorySlope(const Extent &Sizes, const std::string &Name, Make Build) {
  std::vector<Point> Points;
  for (std::size_t Size : sizesOf(Sizes)) {
    const std::size_t Before = liveBytes();
    auto Kept = Build(Size);
    Points.push_back(
        {static_cast<double>(Size), static_cast<double>(liveBytes() - Before)});
  }
  printSlope("memory." + Name, "B", Points);
}

/// Prints memory and encoded bytes of a control state.
template <typename Make>
void stateSlope(const Extent &Sizes, const std::string &Name, Make Build) {
  memorySlope(Sizes, Name, Build);
  std::vector<Point> Points;
  for (std::size_t Size : sizesOf(Sizes))
    Points.push_back({static_cast<double>(Size),
                      static_cast<double>(wire::encode(Build(Size)).size())});
  printSlope("snapshot." + Name, "B", Points);
}

membership::MembershipState nodesOf(std::size_t Count, std::uint32_t Reports) {
  membership::MembershipState State;
  for (std::size_t I = 0; I < Count; ++I)
    membership::applyHeartbeat(State, heartbeatOf(I, Reports),
                               "10.100.100.100:7000", core::TimePoint{});
  return State;
}

model::ControlState stateOf(std::size_t Jobs, std::uint32_t Tasks) {
  model::ControlState State;
  for (std::size_t J = 0; J < Jobs; ++J) {
    model::Job Target;
    Target.Id_ = jobIdOf(J);
    Target.Spec_ = jobSpecOf(J, Tasks);
    Target.Domain_ = "domain-000001";
    Target.Placement_ = placementOf(J, Tasks, 533);
    State.Jobs_.emplace(Target.Id_, std::move(Target));
  }
  return State;
}

routing::RoutingSnapshot upstreamsOf(std::size_t Count) {
  routing::RoutingSnapshot Snapshot;
  for (std::size_t I = 0; I < Count; ++I)
    Snapshot.Upstreams_.push_back({nameOf("host-", I), I, "domain-000001",
                                   nameOf("service-", 1), "10.100.100.100:7001",
                                   8, 0, true});
  return Snapshot;
}

void printFoldMemory(const Extent &Sizes) {
  stateSlope(Sizes, "job.without_tasks",
             [](std::size_t Count) { return stateOf(Count, 0); });
  stateSlope(Sizes, "job.with_37_tasks",
             [](std::size_t Count) { return stateOf(Count, TasksOfJob); });
  stateSlope(Sizes, "intent", [](std::size_t Count) {
    model::ControlState State;
    for (std::size_t I = 0; I < Count; ++I)
      State.Intents_.emplace(
          model::IntentKey{nameOf("account-", I % 120), nameOf("key-", I, 36)},
          intentOf(I));
    return State;
  });
  stateSlope(Sizes, "pools_row", [](std::size_t Count) {
    model::ControlState State;
    State.Pools_.Rows_.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      State.Pools_.Rows_.push_back(poolRowOf(I));
    return State;
  });
  stateSlope(Sizes, "routes_row", [](std::size_t Count) {
    model::ControlState State;
    State.Routes_.Rows_.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      State.Routes_.Rows_.push_back(routeRowOf(I));
    return State;
  });
}

} // namespace

void printMemorySlopes(const Extent &Sizes) {
  memorySlope(Sizes, "worker.0_reports",
              [](std::size_t Count) { return nodesOf(Count, 0); });
  memorySlope(Sizes, "worker.19_reports", [](std::size_t Count) {
    return nodesOf(Count, ReportsOfWorker);
  });
  memorySlope(Sizes, "upstream_in_routing_snapshot", upstreamsOf);
  printFoldMemory(Sizes);
  memorySlope(Sizes, "gang_of_37_tasks", [](std::size_t Count) {
    std::map<core::JobId, entry::Gang> Gangs;
    for (std::size_t J = 0; J < Count; ++J) {
      entry::Gang &Target = Gangs[jobIdOf(J)];
      Target.Spec_ = jobSpecOf(J, TasksOfJob);
      Target.Placement_ = placementOf(J, TasksOfJob, 533);
      for (const model::TaskPlacement &Task : Target.Placement_)
        Target.WorkerIncarnations_[Task.Worker_] = 1;
    }
    return Gangs;
  });
  memorySlope(Sizes, "agent_share", [](std::size_t Count) {
    return agentOf(Count, core::TimePoint{});
  });
}

} // namespace nutmegwell::bench
