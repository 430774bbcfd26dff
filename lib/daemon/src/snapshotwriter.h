#pragma once

#include "nutmegwell/entry/controlloop.h"
#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/logclient/snapshots.h"
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace nutmegwell::daemon {

/// Figures that the reader's thread collects from the log.
struct LogReadStats {
  /// Oldest retained offset.
  std::atomic<core::Offset> FirstRetained_{0};
  /// Bytes of log entries read since the process started.
  std::atomic<std::uint64_t> BytesRead_{0};
  /// Size in bytes of the snapshot read last; 0 if none was read.
  std::atomic<std::uint64_t> SnapshotBytes_{0};
};

/// Stores the size of the snapshot in \p Batch, if there is one.
void recordSnapshotSize(LogReadStats &Stats, const model::Batch &Batch);

/// Returns \p Log with its reads counted in \p Stats.
logclient::LogService trackReads(logclient::LogService Log,
                                 LogReadStats &Stats);

/// Writes a snapshot of the control state when the policy requires one. Has its
/// own thread, because encoding a large state must not block the control
/// thread.
class SnapshotWriter {
public:
  SnapshotWriter(entry::ControlLoop &Control, const LogReadStats &Stats);
  SnapshotWriter(const SnapshotWriter &) = delete;
  SnapshotWriter &operator=(const SnapshotWriter &) = delete;
  ~SnapshotWriter();

private:
  void run();
  void writeIfDue();
  logclient::SnapshotView view();

  entry::ControlLoop &Control_;
  const LogReadStats &ReadStats_;
  const logclient::SnapshotPolicy Policy_;
  core::Offset Covered_ = 0;
  std::uint64_t BytesAtSnapshot_ = 0;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace nutmegwell::daemon
