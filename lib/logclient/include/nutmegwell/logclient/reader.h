#pragma once

#include "nutmegwell/core/random.h"
#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/records.h"
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace nutmegwell::logclient {

struct ReaderSettings {
  /// Entries of one read.
  std::size_t MaxEntries_ = 256;
  /// Waiting time of one long poll; bounds the age of a quiet log's tail.
  core::Duration Wait_ = std::chrono::milliseconds(300);
  core::Duration BackoffMin_ = std::chrono::milliseconds(50);
  core::Duration BackoffMax_ = std::chrono::seconds(1);
};

/// State from which to apply the log, and the first offset to apply to it.
struct StartPoint {
  model::ControlState State_;
  core::Offset From_ = 0;
  /// True when State_ is from a snapshot; otherwise the log is whole.
  bool FromSnapshot_ = false;
};

/// Returns where to start: the latest snapshot whose following entries are all
/// retained, or the empty state when the log is retained from offset 0.
/// Returns NotFound when neither exists, and the read's error otherwise.
/// Entries that hold no usable snapshot are skipped.
absl::StatusOr<StartPoint> findStart(const LogService &Log,
                                     std::size_t MaxEntries);

struct ReaderEvents {
  /// Called in the log's order for each decodable entry.
  std::function<void(core::Offset, const model::Batch &)> OnBatch_;
  /// Called after every read that reached the tail, with the time at which
  /// that read began.
  std::function<void(core::TimePoint)> OnTail_;
  /// Called when entries were lost to retention: the state so far must be
  /// replaced by this one. Batches follow from StartPoint::From_ on.
  std::function<void(const StartPoint &)> OnRestart_;
};

/// Reads the log from an offset on with long polls, on its own thread, which
/// also calls the events.
class Reader {
public:
  Reader(LogService Log, core::Offset From, const ReaderSettings &Settings,
         ReaderEvents Events, core::Clock Time = core::steadyClock(),
         core::Random Jitter = core::systemRandom());
  Reader(const Reader &) = delete;
  Reader &operator=(const Reader &) = delete;
  ~Reader();

  /// Returns the time of the last OnTail_, or the clock's epoch.
  core::TimePoint lastTail() const;

  /// Returns how many entries could not be decoded.
  std::uint64_t undecodable() const { return Undecodable_; }
  std::uint64_t failedReads() const { return FailedReads_; }
  std::uint64_t restarts() const { return Restarts_; }

  /// Waits for the read in progress and ends the thread.
  void stop();

private:
  void run();
  bool readOnce();
  bool restart();
  void pauseFor(core::Duration Pause);

  const LogService Log_;
  const ReaderSettings Settings_;
  const ReaderEvents Events_;
  const core::Clock Time_;
  const core::Random Jitter_;
  core::Offset Next_;
  std::atomic<core::Duration::rep> LastTail_{0};
  std::atomic<std::uint64_t> Undecodable_{0};
  std::atomic<std::uint64_t> FailedReads_{0};
  std::atomic<std::uint64_t> Restarts_{0};
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace nutmegwell::logclient
