#pragma once

#include "nutmegwell/core/random.h"
#include "nutmegwell/logclient/readercore.h"
#include <condition_variable>
#include <mutex>
#include <thread>

namespace nutmegwell::logclient {

/// Reads the log from an offset on with long polls. Reads and events run on the
/// reader's own thread.
class Reader {
public:
  Reader(LogService Log, core::Offset From, const ReaderSettings &Settings,
         ReaderEvents Events, core::Clock Time = core::steadyClock(),
         core::Random Jitter = core::systemRandom());
  Reader(const Reader &) = delete;
  Reader &operator=(const Reader &) = delete;
  ~Reader();

  /// Returns the time passed to the last OnTail_, or the clock's epoch if there
  /// was none.
  core::TimePoint lastTail() const {
    return core::TimePoint(State_.LastTail_.load());
  }

  /// Returns the number of entries that could not be decoded and were skipped.
  std::uint64_t undecodableEntries() const { return State_.Undecodable_; }
  std::uint64_t failedReads() const { return State_.FailedReads_; }
  std::uint64_t restarts() const { return State_.Restarts_; }

  /// Waits for the read in progress, then ends the thread.
  void stop();

private:
  void run();
  void backOff(core::Duration Pause);

  const LogService Log_;
  const ReaderSettings Settings_;
  const ReaderEvents Events_;
  const core::Clock Time_;
  const core::Random Jitter_;
  ReaderState State_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace nutmegwell::logclient
