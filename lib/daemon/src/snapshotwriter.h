#pragma once

#include "nutmegwell/entry/controlloop.h"
#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/logclient/snapshots.h"
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace nutmegwell::daemon {

/// What the reads of the log have shown.
struct LogProgress {
  /// Oldest retained offset.
  std::atomic<core::Offset> First_{0};
  /// Bytes read since the start.
  std::atomic<std::uint64_t> Bytes_{0};
  /// Size of the snapshot that was read last; 0 before.
  std::atomic<std::uint64_t> SnapshotBytes_{0};
};

/// Notes the size of a snapshot in \p Entry.
void noteSnapshot(LogProgress &Progress, const model::Batch &Entry);

/// Returns \p Log with its reads noted in \p Progress.
logclient::LogService observeReads(logclient::LogService Log,
                                   LogProgress &Progress);

/// Writes a snapshot of the control state when the policy asks for one, on its
/// own thread: encoding a large state must not hold up the control thread.
class SnapshotWriter {
public:
  SnapshotWriter(entry::ControlLoop &Control, const LogProgress &Progress);
  SnapshotWriter(const SnapshotWriter &) = delete;
  SnapshotWriter &operator=(const SnapshotWriter &) = delete;
  ~SnapshotWriter();

private:
  void run();
  void writeWhenDue();
  logclient::SnapshotView view();

  entry::ControlLoop &Control_;
  const LogProgress &Progress_;
  const logclient::SnapshotPolicy Policy_;
  core::Offset Covered_ = 0;
  std::uint64_t BytesAtSnapshot_ = 0;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace nutmegwell::daemon
