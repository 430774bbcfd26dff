#include "snapshotwriter.h"

#include "nutmegwell/settings/logging.h"

namespace nutmegwell::daemon {

namespace {

constexpr auto CheckInterval = std::chrono::seconds(1);
constexpr auto AppendTimeout = std::chrono::seconds(10);

} // namespace

void recordSnapshotSize(LogReadStats &Stats, const model::Batch &Batch) {
  for (const model::Record &Record : Batch)
    if (auto *Snapshot = std::get_if<model::SnapshotTaken>(&Record.Body_))
      Stats.SnapshotBytes_ = Snapshot->State_.size();
}

logclient::LogService trackReads(logclient::LogService Log,
                                 LogReadStats &Stats) {
  auto Read = Log.Read_;
  Log.Read_ = [Read, &Stats](core::Offset From, std::size_t Max,
                             core::Duration Wait) {
    auto Result = Read(From, Max, Wait);
    if (Result.ok()) {
      Stats.FirstRetained_ = Result->First_;
      for (const logclient::LogEntry &Entry : Result->Entries_)
        Stats.BytesRead_ += Entry.Bytes_.size();
    }
    return Result;
  };
  return Log;
}

SnapshotWriter::SnapshotWriter(entry::ControlLoop &Control,
                               const LogReadStats &Stats)
    : Control_(Control), ReadStats_(Stats) {
  Thread_ = std::thread([this] { run(); });
}

SnapshotWriter::~SnapshotWriter() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopping_ = true;
  }
  Changed_.notify_all();
  Thread_.join();
}

void SnapshotWriter::run() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (
      !Changed_.wait_for(Lock, CheckInterval, [this] { return Stopping_; })) {
    Lock.unlock();
    writeIfDue();
    Lock.lock();
  }
}

logclient::SnapshotView SnapshotWriter::view() {
  logclient::SnapshotView View;
  View.First_ = ReadStats_.FirstRetained_;
  core::Offset LastSnapshot = 0;
  Control_.readState([&](const entry::EntryState &State) {
    View.Next_ = State.ControlState_.NextOffset_;
    LastSnapshot = State.ControlState_.LastSnapshotOffset_;
    for (const auto &[Name, Peer] : State.Peers_)
      View.Rank_ += Name < State.Settings_.Node_ && !Peer.Leaving_ ? 1 : 0;
  });
  const core::Offset Covered = LastSnapshot == 0 ? 0 : LastSnapshot + 1;
  if (Covered != Covered_) {
    Covered_ = Covered;
    BytesAtSnapshot_ = ReadStats_.BytesRead_;
  }
  View.Covered_ = Covered_;
  View.SnapshotBytes_ = ReadStats_.SnapshotBytes_;
  View.BytesSince_ = ReadStats_.BytesRead_ - BytesAtSnapshot_;
  return View;
}

void SnapshotWriter::writeIfDue() {
  if (!logclient::snapshotDue(Policy_, view()))
    return;
  model::ControlState Copy;
  Control_.readState(
      [&](const entry::EntryState &State) { Copy = State.ControlState_; });
  auto Snapshot = logclient::makeSnapshot(Policy_, Copy);
  if (!Snapshot.ok()) {
    settings::logStateChange("snapshot_too_large",
                             {{"error", core::describe(Snapshot.status())}},
                             settings::LogLevel::Error);
    return;
  }
  auto Reply = Control_.submit(*Snapshot, AppendTimeout);
  if (Reply.ok() && Reply->Outcome_ == entry::CommandOutcome::Applied)
    settings::logStateChange(
        "snapshot_written",
        {{"as_of", std::to_string(Snapshot->LastIncludedOffset_)}});
}

} // namespace nutmegwell::daemon
