#include "capacityslopes.h"
#include "capacitystates.h"
#include "nutmegwell/logclient/appendercore.h"
#include "nutmegwell/logclient/snapshots.h"
#include <algorithm>
#include <map>

namespace nutmegwell::bench {

namespace {

/// Time of an append, as docs/CAPACITY.md assumes it.
constexpr auto AppendTime = std::chrono::milliseconds(100);
constexpr auto Simulated = std::chrono::seconds(60);
constexpr auto Step = std::chrono::milliseconds(1);

struct AppendLoad {
  double AppendsPerSecond_ = 0;
  /// From the submission of a record until its append has ended.
  double MeanMillis_ = 0;
  double LongestMillis_ = 0;
};

/// Runs the appender's decisions in simulated time under evenly spread intents.
AppendLoad appendLoad(core::Duration Interval, std::size_t RecordsPerSecond) {
  logclient::AppenderState State;
  State.Writer_ = CapacitySeed;
  State.Settings_.BatchInterval_ = Interval;
  const core::Random Jitter = core::seededRandom(CapacitySeed);
  const core::TimePoint Start(std::chrono::hours(1));
  std::map<core::RecordId, core::TimePoint> Submitted;
  std::chrono::duration<double, std::milli> Total{};
  std::chrono::duration<double, std::milli> Longest{};
  std::size_t Appends = 0;
  std::size_t Records = 0;
  for (core::TimePoint Now = Start; Now < Start + Simulated; Now += Step) {
    // Appends that end now report before new records come.
    if (State.Phase_ == logclient::AppendPhase::InFlight &&
        Now - State.SentAt_ >= AppendTime)
      logclient::finishAppend(State, core::Offset{Appends}, Jitter, Now);
    for (const auto &Report : State.Reports_) {
      Total += Now - Submitted.at(Report.Id_);
      Longest =
          std::max<decltype(Longest)>(Longest, Now - Submitted.at(Report.Id_));
    }
    State.Reports_.clear();
    while (Records < static_cast<std::size_t>((Now - Start) / Step) *
                         RecordsPerSecond / 1000) {
      auto Id = logclient::submit(
          State,
          model::IntentSettled{
              nameOf("account-", 1), nameOf("key-", Records, 36), {1, Records}},
          Now + Simulated);
      Submitted[*Id] = Now;
      ++Records;
    }
    if (logclient::startAppend(State, Now))
      ++Appends;
  }
  const double Count = std::max<double>(1, static_cast<double>(Records));
  return {static_cast<double>(Appends) /
              std::chrono::duration<double>(Simulated).count(),
          Total.count() / Count, Longest.count()};
}

/// Returns the bytes a second that snapshots of \p Size add to a log of the
/// design size, by the default policy.
double snapshotLoad(std::uint64_t Size) {
  // Entries and their bytes a second, from docs/CAPACITY.md, "Reader".
  constexpr std::uint64_t Entries = 16;
  constexpr std::uint64_t Bytes = 40200;
  const logclient::SnapshotPolicy Policy;
  logclient::SnapshotView View;
  View.SnapshotBytes_ = Size;
  std::uint64_t Seconds = 0;
  while (!logclient::snapshotDue(Policy, View)) {
    ++Seconds;
    View.Next_ += Entries;
    View.BytesSince_ += Bytes;
  }
  return static_cast<double>(Size) / static_cast<double>(Seconds);
}

} // namespace

void printAppends() {
  std::vector<Point> Snapshots;
  for (std::uint64_t Size : {100000, 1000000, 9800000})
    Snapshots.push_back({static_cast<double>(Size), snapshotLoad(Size)});
  printSlope("log.snapshots_a_second.by_size", "B/s", Snapshots);
  for (int Interval : {0, 250}) {
    std::vector<Point> Appends;
    std::vector<Point> Means;
    std::vector<Point> Longest;
    for (std::size_t Rate : {1, 8, 64}) {
      const AppendLoad Load =
          appendLoad(std::chrono::milliseconds(Interval), Rate);
      const auto Size = static_cast<double>(Rate);
      Appends.push_back({Size, Load.AppendsPerSecond_});
      Means.push_back({Size, Load.MeanMillis_});
      Longest.push_back({Size, Load.LongestMillis_});
    }
    const std::string Suffix =
        ".interval_" + std::to_string(Interval) + "ms.by_records_a_second";
    printSlope("appender.appends_a_second" + Suffix, "1/s", Appends);
    printSlope("appender.mean_wait" + Suffix, "ms", Means);
    printSlope("appender.longest_wait" + Suffix, "ms", Longest);
  }
}

} // namespace nutmegwell::bench
