#pragma once

#include "entrymetrics.h"
#include "nutmegwell/entry/controlloop.h"
#include "nutmegwell/logclient/appender.h"
#include "nutmegwell/logclient/reader.h"
#include "nutmegwell/net/address.h"
#include "snapshotwriter.h"
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace nutmegwell::daemon {

/// Connects the control loop of an entry host with the log, and with the states
/// of its peers while the log is unavailable at the start.
class EntryLog {
public:
  EntryLog(logclient::LogService Log, core::Incarnation Process,
           const logclient::AppenderSettings &Settings,
           std::vector<net::Address> Peers, EntryMetrics &Metrics);
  EntryLog(const EntryLog &) = delete;
  EntryLog &operator=(const EntryLog &) = delete;
  ~EntryLog();

  /// Appends records of the control loop; their verdicts come back as events.
  void append(std::vector<model::Record> Changes);

  /// Starts to read. \p Control must outlive this object's stop.
  void start(entry::ControlLoop &Control);

  /// Ends reading and reports every record that is left.
  void stop();

private:
  /// The state while it is behind the tail; empty once the control loop has it.
  /// Used by the reader's thread alone.
  using CatchUp = std::optional<model::ControlState>;

  logclient::AppenderEvents appenderEvents();
  void findState();
  absl::StatusOr<logclient::StartPoint> findStart();
  /// Reads on from \p Start. The control loop gets a state from the log only
  /// when it holds all up to the tail: a host that restarts must not show or
  /// use an older version than the one that it had in force.
  void read(logclient::StartPoint Start);
  logclient::ReaderEvents readerEvents(const std::shared_ptr<CatchUp> &Behind);
  core::Offset highestKnown();
  std::map<model::NodeName, model::ControlState>
  peerStates(core::Offset AtLeast);
  bool stopping();

  LogProgress Progress_;
  const logclient::LogService Log_;
  const std::vector<net::Address> Peers_;
  EntryMetrics &Metrics_;
  std::atomic<entry::ControlLoop *> Control_{nullptr};
  logclient::Appender Appender_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  std::unique_ptr<logclient::Reader> Reader_;
  std::unique_ptr<SnapshotWriter> Snapshots_;
  std::thread Starter_;
};

} // namespace nutmegwell::daemon
