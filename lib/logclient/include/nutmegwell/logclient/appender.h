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
  /// Called on the deciding thread, once for each submitted record.
  std::function<void(const AppendReport &)> OnReport_;
  /// Called on the deciding thread when availability changes. Only appends
  /// change it, so some record must be submitted while it is false.
  std::function<void(bool)> OnAvailable_;
};

/// Appends records in order, one batch at a time. One thread decides and calls
/// the events, the other one waits for the log, so that deadlines hold while an
/// append hangs. The reader of the same log must pass its batches and tails to
/// noteBatch and noteTail; without them an append whose answer is lost is never
/// decided.
class Appender {
public:
  Appender(LogService Log, core::Incarnation Writer,
           const AppenderSettings &Settings, AppenderEvents Events,
           core::Clock Time = core::steadyClock(),
           core::Random Jitter = core::systemRandom());
  Appender(const Appender &) = delete;
  Appender &operator=(const Appender &) = delete;
  ~Appender();

  /// Queues a record that is given up \p Within from now. Returns its id, or
  /// ResourceExhausted when the queue is full. Safe from any thread.
  absl::StatusOr<core::RecordId> submit(model::RecordBody Body,
                                        core::Duration Within);

  /// The same for a record whose id its writer chose.
  absl::Status submit(model::Record Change, core::Duration Within);

  void noteBatch(core::Offset At, const model::Batch &Entry);
  void noteTail(core::TimePoint ReadBegan);

  /// Takes the state of ReaderEvents::OnRestart_.
  void noteRestart(const model::ControlState &State);

  bool available() const;

  /// Waits for the append in flight and reports every record that is left. No
  /// event is called afterwards.
  void stop();

private:
  void decide();
  void append();
  void deliver(std::unique_lock<std::mutex> &Lock);

  const LogService Log_;
  const AppenderEvents Events_;
  const core::Clock Time_;
  const core::Random Jitter_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::condition_variable Sendable_;
  AppenderState State_;
  /// Batch that the appending thread takes next.
  std::optional<model::Batch> Outgoing_;
  bool ReportedAvailable_ = true;
  bool Stopping_ = false;
  std::thread Appending_;
  std::thread Deciding_;
};

} // namespace nutmegwell::logclient
