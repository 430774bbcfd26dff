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

/// Connects the control loop of an entry host with the log. When the log cannot
/// supply a state to start from, the state is fetched from a peer entry host.
class EntryLog {
public:
  EntryLog(logclient::LogService Log, core::Incarnation Incarnation,
           const logclient::AppenderSettings &Settings,
           std::vector<net::Address> Peers, EntryMetrics &Metrics);
  EntryLog(const EntryLog &) = delete;
  EntryLog &operator=(const EntryLog &) = delete;
  ~EntryLog();

  /// Queues records of the control loop for appending. A record that was not
  /// appended is reported to the control loop as entry::AppendFailed.
  void append(std::vector<model::Record> Records);

  /// Starts reading the log. \p Control must stay alive until stop() returns.
  void start(entry::ControlLoop &Control);

  /// Stops reading and appending; reports the outcome of every pending record.
  void stop();

private:
  /// Control state built from the log until the reader reaches the tail; empty
  /// once it was passed to the control loop. Only the reader's thread uses it.
  using CatchUpState = std::optional<model::ControlState>;

  logclient::AppenderEvents appenderEvents();
  void startReading();
  absl::StatusOr<logclient::StartPoint> findStart();
  /// Reads the log from \p Start on. A state from the log is passed to the
  /// control loop only when it is complete up to the tail: a restarted host
  /// must not report or apply older table versions than before its restart.
  void readFrom(logclient::StartPoint Start);
  logclient::ReaderEvents
  readerEvents(const std::shared_ptr<CatchUpState> &CatchUp);
  core::Offset highestKnownOffset();
  std::map<model::NodeName, model::ControlState>
  peerStates(core::Offset MinOffset);
  bool isStopping();

  LogReadStats ReadStats_;
  const logclient::LogService Log_;
  const std::vector<net::Address> Peers_;
  EntryMetrics &Metrics_;
  std::atomic<entry::ControlLoop *> Control_{nullptr};
  logclient::Appender Appender_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopping_ = false;
  std::unique_ptr<logclient::Reader> Reader_;
  std::unique_ptr<SnapshotWriter> SnapshotWriter_;
  std::thread StartThread_;
};

} // namespace nutmegwell::daemon
