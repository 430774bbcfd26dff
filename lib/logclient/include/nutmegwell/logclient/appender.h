#pragma once

#include "nutmegwell/logclient/appendercore.h"
#include "nutmegwell/logclient/logservice.h"
#include "nutmegwell/model/controlstate.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace nutmegwell::logclient {

struct AppenderEvents {
  /// Called on the decision thread, once for each submitted record.
  std::function<void(const AppendReport &)> OnReport_;
  /// Called on the decision thread when the log becomes available or
  /// unavailable. Only appends change this, so an unavailable log becomes
  /// available again only if records are still submitted.
  std::function<void(bool)> OnAvailable_;
};

/// Appends records in order, one batch at a time. The decision thread forms
/// batches and calls the events; the append thread calls the log. Deadlines
/// therefore hold while an append hangs. The reader of the same log must pass
/// each batch to noteBatch and each tail to noteTail: the appender uses them to
/// find out whether an append with a lost response took effect, and appends
/// nothing more until it knows.
class Appender {
public:
  Appender(LogService Log, core::Incarnation Writer,
           const AppenderSettings &Settings, AppenderEvents Events,
           core::Clock Time = core::steadyClock(),
           core::Random Jitter = core::systemRandom());
  Appender(const Appender &) = delete;
  Appender &operator=(const Appender &) = delete;
  ~Appender();

  /// Queues a record; it is no longer sent once \p Timeout has passed. Returns
  /// the record's id, or ResourceExhausted when the queue is full. May be
  /// called from any thread.
  absl::StatusOr<core::RecordId> submit(model::RecordBody Body,
                                        core::Duration Timeout);

  /// Queues a record whose id was set by the caller.
  absl::Status submit(model::Record Record, core::Duration Timeout);

  void noteBatch(core::Offset At, const model::Batch &Batch);
  void noteTail(core::TimePoint ReadStartedAt);

  /// Must be called from ReaderEvents::OnRestart_ with the new state. Records
  /// that this state may already contain are reported with an unknown outcome.
  void noteRestart(const model::ControlState &State);

  bool available() const;

  /// Waits for the append in flight and reports every pending record. No event
  /// is called afterwards.
  void stop();

private:
  void runDecisions();
  void runAppends();
  void deliverEvents(std::unique_lock<std::mutex> &Lock);

  const LogService Log_;
  const AppenderEvents Events_;
  const core::Clock Time_;
  const core::Random Jitter_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::condition_variable BatchReady_;
  AppenderState State_;
  /// Batch that the append thread sends next.
  std::optional<model::Batch> Outgoing_;
  bool ReportedAvailable_ = true;
  bool Stopping_ = false;
  std::thread AppendThread_;
  std::thread DecisionThread_;
};

} // namespace nutmegwell::logclient
