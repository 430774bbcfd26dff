#pragma once

#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/metrics/registry.h"
#include <atomic>
#include <thread>
#include <vector>

namespace nutmegwell::sitehost {

/// Writes decisions as log lines on a thread of its own, so that a slow reader
/// of the log delays nothing. Lines beyond the bound are counted and dropped.
class LogWriter {
public:
  LogWriter(std::size_t Bound, metrics::Registry &All);
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;
  /// Writes what is queued and ends the thread.
  ~LogWriter();

  /// Safe from any thread.
  void write(std::vector<core::LogEvent> Lines);

private:
  void run();

  metrics::Registry &All_;
  metrics::Counter &Dropped_;
  std::atomic<std::uint64_t> DroppedSince_{0};
  core::EventQueue<std::vector<core::LogEvent>> Queue_;
  std::thread Thread_;
};

} // namespace nutmegwell::sitehost
