#include "capacityslopes.h"
#include "capacitystates.h"
#include "nutmegwell/wire/binary.h"

namespace nutmegwell::bench {

namespace {

/// Headers of UDP and IPv4.
constexpr std::size_t DatagramHeaders = 28;

/// Prints the bytes on the wire of a message for each of \p Sizes.
template <typename Make>
void wireSlope(const std::string &Name, const std::vector<std::size_t> &Sizes,
               Make Build) {
  std::vector<Point> Points;
  for (std::size_t Size : Sizes)
    Points.push_back(
        {static_cast<double>(Size),
         static_cast<double>(wire::encode(model::Datagram(Build(Size))).size() +
                             DatagramHeaders)});
  printSlope("wire." + Name, "B", Points);
}

/// Prints the bytes in the log of a batch of as many equal records.
template <typename Make> void recordSlope(const std::string &Name, Make Build) {
  std::vector<Point> Points;
  for (std::size_t Count : {1, 16, 64}) {
    model::Batch Records;
    for (std::size_t I = 0; I < Count; ++I)
      Records.push_back({{CapacitySeed, I + 1}, Build(I)});
    Points.push_back({static_cast<double>(Count),
                      static_cast<double>(wire::encode(Records).size())});
  }
  printSlope("log." + Name, "B", Points);
}

std::string keyOf(std::size_t Number) { return nameOf("key-", Number, 36); }

} // namespace

void printWireSlopes() {
  const std::vector<std::size_t> Tasks = {1, 8, 64};
  const std::vector<std::size_t> NameLengths = {8, 12, 24};
  const std::vector<std::size_t> Numbers = {1, 1000, 1000000};
  wireSlope("heartbeat.by_reports", {0, 8, 24}, [](std::size_t Count) {
    return heartbeatOf(1, static_cast<std::uint32_t>(Count));
  });
  wireSlope("heartbeat.by_name_length", NameLengths, [](std::size_t Length) {
    model::Heartbeat Beat = heartbeatOf(1, 0);
    Beat.Node_ = nameOf("h", 1, Length);
    return Beat;
  });
  wireSlope("heartbeat_ack.by_name_length", NameLengths,
            [](std::size_t Length) {
              model::HeartbeatAck Ack;
              Ack.Entry_ = nameOf("e", 1, Length);
              return Ack;
            });
  wireSlope("reserve.by_tasks", Tasks, [](std::size_t Count) {
    model::Reserve Wanted;
    Wanted.Job_ = jobIdOf(1);
    Wanted.TaskAccelerators_.assign(Count, 1);
    Wanted.Command_ = jobSpecOf(1, 1).Command_;
    return Wanted;
  });
  wireSlope("reserve_answer.by_name_length", NameLengths,
            [](std::size_t Length) {
              return model::ReserveAnswer{nameOf("h", 1, Length), jobIdOf(1), 1,
                                          true, ""};
            });
  wireSlope("start.by_number", Numbers, [](std::size_t Number) {
    return model::Start{1, jobIdOf(Number), 1};
  });
  // Any time has the same size on the wire.
  static constexpr core::Duration Grace = std::chrono::seconds(5);
  wireSlope("stop.by_number", Numbers, [](std::size_t Number) {
    return model::Stop{1, jobIdOf(Number), 1, Grace};
  });
  wireSlope("entry_heartbeat.by_name_length", NameLengths,
            [](std::size_t Length) {
              return model::EntryHeartbeat{nameOf("e", 1, Length), 1, 1, false};
            });
}

void printRecordSlopes() {
  const std::string Domain = "domain-000001";
  recordSlope("cell_claimed", [&](std::size_t) {
    return model::CellClaimed{Domain, 1, "entry-000001", 1};
  });
  recordSlope("cell_renewed", [&](std::size_t) {
    return model::CellRenewed{Domain, 1};
  });
  recordSlope("cell_released", [&](std::size_t) {
    return model::CellReleased{Domain, 1};
  });
  recordSlope("domain_changed", [&](std::size_t) {
    return model::DomainChanged{0, Domain, false};
  });
  recordSlope("routes_published_120_rows", [](std::size_t) {
    model::RoutesPublished Change;
    for (std::size_t R = 0; R < 120; ++R)
      Change.Table_.Rows_.push_back(routeRowOf(R));
    return Change;
  });
  recordSlope("pools_published_120_rows", [](std::size_t) {
    return model::PoolsPublished{0, poolsTableOf(120)};
  });
  recordSlope("pools_published_1200_rows", [](std::size_t) {
    return model::PoolsPublished{0, poolsTableOf(1200)};
  });
  recordSlope("job_submitted", [](std::size_t I) {
    return model::JobSubmitted{jobIdOf(I), jobSpecOf(I, TasksOfJob)};
  });
  recordSlope("job_cancelled",
              [](std::size_t I) { return model::JobCancelled{jobIdOf(I)}; });
  recordSlope("job_committed_37_tasks", [&](std::size_t I) {
    return model::JobCommitted{jobIdOf(I), 1, Domain, 1,
                               placementOf(I, TasksOfJob, 533)};
  });
  recordSlope("job_committed_64_tasks", [&](std::size_t I) {
    return model::JobCommitted{jobIdOf(I), 1, Domain, 1,
                               placementOf(I, 64, 533)};
  });
  recordSlope("job_stopping", [&](std::size_t I) {
    return model::JobStopping{jobIdOf(I), 1, Domain, 1, "worker lost"};
  });
  recordSlope("job_requeued", [&](std::size_t I) {
    return model::JobRequeued{jobIdOf(I),    1,    Domain, 1, "step-000100",
                              "worker lost", false};
  });
  recordSlope("job_finished", [&](std::size_t I) {
    return model::JobFinished{
        jobIdOf(I), 1, Domain, 1, model::JobState::Finished, ""};
  });
  recordSlope("intent_recorded", [](std::size_t I) {
    return model::IntentRecorded{nameOf("account-", 1), keyOf(I),
                                 nameOf("service-", 1), {1, I + 1},
                                 nameOf("host-", 1),    1};
  });
  recordSlope("intent_released", [](std::size_t I) {
    return model::IntentReleased{nameOf("account-", 1), keyOf(I), {1, I + 1}};
  });
  recordSlope("intent_settled", [](std::size_t I) {
    return model::IntentSettled{nameOf("account-", 1), keyOf(I), {1, I + 1}};
  });
}

} // namespace nutmegwell::bench
