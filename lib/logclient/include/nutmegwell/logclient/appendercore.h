#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/random.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/records.h"
#include <deque>
#include <optional>
#include <vector>

namespace nutmegwell::logclient {

struct AppenderSettings {
  /// Limits on the pending records and their encoded bytes, those in flight
  /// included. submit refuses records above either limit.
  std::size_t MaxQueued_ = 4096;
  std::size_t MaxQueuedBytes_ = 64 << 20;
  /// Limits of one batch. A record larger than MaxBatchBytes_ is appended
  /// alone.
  std::size_t MaxBatchRecords_ = 256;
  std::size_t MaxBatchBytes_ = 256 << 10;
  /// Minimum time between the starts of two appends, unless a record that is
  /// not deferrable is queued or a batch is full. The first record after an
  /// idle period is appended immediately.
  core::Duration BatchInterval_ = std::chrono::milliseconds(250);
  /// Exponential backoff after a failed append, from BackoffMin_ to
  /// BackoffMax_. A random jitter shortens each pause by up to half.
  core::Duration BackoffMin_ = std::chrono::milliseconds(50);
  core::Duration BackoffMax_ = std::chrono::seconds(1);
  /// An append that takes this long marks the log as unavailable.
  core::Duration SlowAppendThreshold_ = std::chrono::seconds(1);
  /// Minimum time after a failed append in which the read-back may still find a
  /// record, even if the record's deadline is earlier.
  core::Duration MinReadBackTime_ = std::chrono::seconds(1);
};

enum class AppendOutcome : std::uint8_t {
  /// The record is in the log. Whether it was accepted is decided when the
  /// control state applies it.
  Appended,
  /// The record was never sent and never will be.
  Refused,
  /// The record was sent and may still appear in the log.
  Unknown
};

struct AppendReport {
  core::RecordId Id_;
  AppendOutcome Outcome_ = AppendOutcome::Refused;
  /// Offset of the record's entry, if the outcome is Appended.
  core::Offset At_ = 0;
};

enum class AppendPhase : std::uint8_t { Idle, InFlight, ReadBack };

struct PendingRecord {
  model::Record Record_;
  std::size_t Bytes_ = 0;
  core::TimePoint Deadline_;
  /// True once an append of the record may have taken effect.
  bool Sent_ = false;
};

/// State of the appender. A record is in Queue_ until it is sent, and then in
/// Flight_ until the outcome of that append is known.
struct AppenderState {
  AppenderSettings Settings_;
  core::Incarnation Writer_ = 0;
  std::uint64_t LastSequence_ = 0;
  std::deque<PendingRecord> Queue_;
  std::vector<PendingRecord> Flight_;
  std::size_t Bytes_ = 0;
  AppendPhase Phase_ = AppendPhase::Idle;
  core::TimePoint SentAt_;
  core::TimePoint FailedAt_;
  core::TimePoint BackoffUntil_;
  unsigned Failures_ = 0;
  bool Available_ = true;
  std::vector<AppendReport> Reports_;
};

/// Queues a record and returns its id. Returns ResourceExhausted when the
/// queue is full.
absl::StatusOr<core::RecordId>
submit(AppenderState &State, model::RecordBody Body, core::TimePoint Deadline);

/// Queues a record whose id was set by the caller. Its writer must be
/// State.Writer_ and its sequence number higher than that of every earlier
/// record; otherwise returns InvalidArgument. Returns ResourceExhausted when
/// the queue is full.
absl::Status submit(AppenderState &State, model::Record Record,
                    core::TimePoint Deadline);

/// Returns true for records whose append may be delayed to form larger batches:
/// renewals of cells, whose lease must be far longer than the batch interval;
/// intents, whose requests wait for them; and snapshots. Records of jobs,
/// tables, domains, claims and releases have latency bounds of their own or are
/// rare.
bool isDeferrable(const model::RecordBody &Body);

/// Moves the next batch from the queue to the records in flight and returns it.
/// Returns nothing when no append may start now.
std::optional<model::Batch> startAppend(AppenderState &State,
                                        core::TimePoint Now);

/// Handles the result of the append that startAppend began.
void finishAppend(AppenderState &State,
                  const absl::StatusOr<core::Offset> &Outcome,
                  const core::Random &Jitter, core::TimePoint Now);

/// Reports the pending records in a batch that the reader found at \p At.
void noteBatch(AppenderState &State, core::Offset At,
               const model::Batch &Batch);

/// Handles a read that began at \p ReadStartedAt and reached the tail. If the
/// last append failed before that, its records that were not read are not in
/// the log and are queued again.
void noteTail(AppenderState &State, core::TimePoint ReadStartedAt,
              const core::Random &Jitter, core::TimePoint Now);

/// Handles a restart of the reader, which skipped entries and continues from a
/// state in which this writer's highest sequence number is \p Applied. Pending
/// records up to that number may be in the skipped entries, so their outcome is
/// reported as unknown.
void noteRestart(AppenderState &State, std::uint64_t Applied);

/// Reports records whose deadline has passed, and marks the log as unavailable
/// when the append in flight is slow.
void expire(AppenderState &State, core::TimePoint Now);

/// Reports every pending record and refuses all later ones.
void closeAppender(AppenderState &State);

/// Returns the earliest time at which startAppend or expire must be called, or
/// nothing if only another event can change the state.
std::optional<core::TimePoint> nextDue(const AppenderState &State);

} // namespace nutmegwell::logclient
