#include "snapshotwriter.h"

#include "nutmegwell/settings/logging.h"

namespace nutmegwell::daemon {

namespace {

constexpr auto CheckInterval = std::chrono::seconds(1);
constexpr auto AppendTimeout = std::chrono::seconds(10);

} // namespace

void noteSnapshot(LogProgress &Progress, const model::Batch &Entry) {
  for (const model::Record &Change : Entry)
    if (auto *Taken = std::get_if<model::SnapshotTaken>(&Change.Body_))
      Progress.SnapshotBytes_ = Taken->State_.size();
}

logclient::LogService observeReads(logclient::LogService Log,
                                   LogProgress &Progress) {
  auto Read = Log.Read_;
  Log.Read_ = [Read, &Progress](core::Offset From, std::size_t Max,
                                core::Duration Wait) {
    auto Result = Read(From, Max, Wait);
    if (Result.ok()) {
      Progress.First_ = Result->First_;
      for (const logclient::LogEntry &Entry : Result->Entries_)
        Progress.Bytes_ += Entry.Bytes_.size();
    }
    return Result;
  };
  return Log;
}

SnapshotWriter::SnapshotWriter(entry::ControlLoop &Control,
                               const LogProgress &Progress)
    : Control_(Control), Progress_(Progress) {
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
    writeWhenDue();
    Lock.lock();
  }
}

logclient::SnapshotView SnapshotWriter::view() {
  logclient::SnapshotView View;
  View.First_ = Progress_.First_;
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
    BytesAtSnapshot_ = Progress_.Bytes_;
  }
  View.Covered_ = Covered_;
  View.SnapshotBytes_ = Progress_.SnapshotBytes_;
  View.BytesSince_ = Progress_.Bytes_ - BytesAtSnapshot_;
  return View;
}

void SnapshotWriter::writeWhenDue() {
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
