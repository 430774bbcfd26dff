#pragma once

#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/metrics/registry.h"
#include <atomic>
#include <thread>
#include <vector>

namespace nutmegwell::sitehost {

/// Writes events as log lines on its own thread, so that a slow reader of the
/// log blocks no other thread. Events beyond the queue's bound are dropped and
/// counted.
class LogWriter {
public:
  LogWriter(std::size_t MaxQueued, metrics::Registry &Metrics);
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;
  /// Writes the queued events and joins the thread.
  ~LogWriter();

  /// Queues events without waiting. Thread-safe.
  void write(std::vector<core::LogEvent> Events);

private:
  void run();

  metrics::Registry &Metrics_;
  metrics::Counter &Dropped_;
  /// Drops that no log_lines_dropped line has reported yet.
  std::atomic<std::uint64_t> UnreportedDrops_{0};
  core::EventQueue<std::vector<core::LogEvent>> Queue_;
  std::thread Thread_;
};

} // namespace nutmegwell::sitehost
