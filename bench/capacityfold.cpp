#include "capacityslopes.h"
#include "capacitystates.h"
#include "nutmegwell/wire/binary.h"
#include <cstdio>
#include <cstdlib>

namespace nutmegwell::bench {

namespace {

std::vector<std::size_t> jobCounts(const Extent &Sizes) {
  if (Sizes.Quick_)
    return {20, 40, 80};
  return {1000, 4000, 8000};
}

/// Ends the program when the fold rejects a record, since the time of a
/// rejection says nothing.
void requireAccepted(const model::FoldResult &Result) {
  if (Result.Accepted_)
    return;
  std::fprintf(stderr, "the fold rejected a record: %s\n",
               Result.Reason_.c_str());
  std::exit(1);
}

/// Prints the time of applying one record to a copy of a state of some jobs.
template <typename Make>
void printApply(const Extent &Sizes, const std::string &Name, Make Body) {
  std::vector<Point> Points;
  for (std::size_t Jobs : jobCounts(Sizes)) {
    const model::ControlState State = stateOfJobs(Jobs);
    const model::Record Change{{EntryRun, 1}, Body(Jobs)};
    model::ControlState Copy;
    double Micros = medianMicros(
        Sizes.Repetitions_, [&] { Copy = State; },
        [&] { requireAccepted(model::applyRecord(Copy, Change, 1)); });
    Points.push_back({static_cast<double>(Jobs), Micros});
  }
  printSlope("time.apply." + Name + ".by_jobs", "us", Points);
}

/// Prints the time that an entry host's control takes for one entry of the log.
void printLogEntryStep(const Extent &Sizes) {
  std::vector<Point> Points;
  for (std::size_t Jobs : jobCounts(Sizes)) {
    entry::EntryState State =
        entry::makeEntryState(entry::EntrySettings(), core::TimePoint{});
    State.ControlState_ = stateOfJobs(Jobs);
    std::uint64_t Sequence = 0;
    double Micros = medianMicros(
        Sizes.Repetitions_, [&] { ++Sequence; },
        [&] {
          entry::step(
              State,
              entry::LogEntry{State.ControlState_.NextOffset_,
                              {{{EntryRun, Sequence},
                                model::CellRenewed{"domain-000001", 1}}}},
              core::TimePoint{});
        });
    if (State.ControlState_.Cells_["domain-000001"].RenewalCount_ <= Sequence)
      std::exit(1);
    Points.push_back({static_cast<double>(Jobs), Micros});
  }
  printSlope("time.entry_log_entry.by_jobs", "us", Points);
}

void printConfiguration(const Extent &Sizes) {
  std::vector<Point> Folds;
  std::vector<Point> Snapshots;
  for (std::size_t Rows : {10, 120, 1200}) {
    entry::EntryState State =
        entry::makeEntryState(entry::EntrySettings(), core::TimePoint{});
    for (std::size_t I = 0; I < 533; ++I) {
      model::Heartbeat Beat = heartbeatOf(I, 0);
      Beat.Kind_ = model::NodeKind::Upstream;
      Beat.Service_ = nameOf("service-", I % 10);
      membership::applyHeartbeat(State.Membership_, Beat, "10.100.100.100:7000",
                                 core::TimePoint{});
    }
    std::uint64_t Sequence = 0;
    model::Record Change;
    auto Prepare = [&] {
      Change = {{CapacitySeed, ++Sequence},
                model::PoolsPublished{State.ControlState_.PoolsVersion_,
                                      poolsTableOf(Rows)}};
    };
    const auto Size = static_cast<double>(Rows);
    Folds.push_back(
        {Size, medianMicros(Sizes.Repetitions_, Prepare, [&] {
           if (!model::applyRecord(State.ControlState_, Change, Sequence)
                    .Accepted_)
             std::exit(1);
         })});
    Snapshots.push_back(
        {Size, medianMicros(
                   Sizes.Repetitions_, [] {},
                   [&] { entry::makeRoutingSnapshot(State); })});
  }
  printSlope("time.fold_pools.by_rows", "us", Folds);
  printSlope("time.routing_snapshot_533_upstreams.by_rows", "us", Snapshots);
}

void printStateCoding(const Extent &Sizes) {
  std::vector<Point> Encodings;
  std::vector<Point> Decodings;
  std::vector<Point> Copies;
  for (std::size_t Jobs : jobCounts(Sizes)) {
    const model::ControlState State = stateOfJobs(Jobs);
    const std::string Bytes = wire::encode(State);
    const auto Size = static_cast<double>(Jobs);
    Encodings.push_back(
        {Size, medianMicros(
                   Sizes.Repetitions_, [] {}, [&] { wire::encode(State); })});
    Decodings.push_back({Size, medianMicros(
                                   Sizes.Repetitions_, [] {},
                                   [&] {
                                     if (!wire::decodeState(Bytes).ok())
                                       std::exit(1);
                                   })});
    // The snapshot writer has the control thread copy the state.
    model::ControlState Copy;
    Copies.push_back(
        {Size, medianMicros(
                   Sizes.Repetitions_, [&] { Copy = model::ControlState(); },
                   [&] { Copy = State; })});
  }
  printSlope("time.copy_state.by_jobs", "us", Copies);
  printSlope("time.encode_state.by_jobs", "us", Encodings);
  printSlope("time.decode_state.by_jobs", "us", Decodings);
}

} // namespace

void printFoldTimes(const Extent &Sizes) {
  printConfiguration(Sizes);
  printApply(Sizes, "job_submitted", [](std::size_t Jobs) {
    return model::RecordBody(
        model::JobSubmitted{jobIdOf(Jobs), jobSpecOf(Jobs, TasksOfJob)});
  });
  printApply(Sizes, "job_requeued", [](std::size_t) {
    return model::RecordBody(model::JobRequeued{jobIdOf(0), 1, "domain-000001",
                                                1, "", "worker lost", false});
  });
  printApply(Sizes, "job_finished", [](std::size_t) {
    return model::RecordBody(model::JobFinished{
        jobIdOf(0), 1, "domain-000001", 1, model::JobState::Finished, ""});
  });
  printLogEntryStep(Sizes);
  printStateCoding(Sizes);
}

} // namespace nutmegwell::bench
