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
  /// Records and encoded bytes that may wait; beyond them submit refuses.
  std::size_t MaxQueued_ = 4096;
  std::size_t MaxQueuedBytes_ = 64 << 20;
  /// Bounds of one batch. A larger record goes alone.
  std::size_t MaxBatchRecords_ = 256;
  std::size_t MaxBatchBytes_ = 256 << 10;
  /// Least time between the starts of two batches, unless a record that may not
  /// wait is queued or a batch is full. A record after a pause goes at once.
  core::Duration BatchInterval_ = std::chrono::milliseconds(250);
  /// Pause after a failure: doubles from the first to the second, less up to
  /// half of it at random.
  core::Duration BackoffMin_ = std::chrono::milliseconds(50);
  core::Duration BackoffMax_ = std::chrono::seconds(1);
  /// An append that takes this long makes the log count as unavailable.
  core::Duration SlowAnswer_ = std::chrono::seconds(1);
  /// Least time for the read-back to decide, counted from the failure.
  core::Duration ReadBack_ = std::chrono::seconds(1);
};

enum class AppendOutcome : std::uint8_t {
  /// The record is in the log. The fold tells whether it was accepted.
  Appended,
  /// The record was never sent and never will be.
  Refused,
  /// The record was sent and may still appear in the log.
  InDoubt
};

struct AppendReport {
  core::RecordId Id_;
  AppendOutcome Outcome_ = AppendOutcome::Refused;
  /// Where the record is, when it was appended.
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

/// State of the appender's decisions. A record stays in Queue_ until it is
/// sent, and in Flight_ until the outcome of that append is known.
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
  core::TimePoint NotBefore_;
  unsigned Failures_ = 0;
  bool Available_ = true;
  std::vector<AppendReport> Reports_;
};

/// Queues a record and returns its id. Returns ResourceExhausted when the
/// queue is full.
absl::StatusOr<core::RecordId>
submit(AppenderState &State, model::RecordBody Body, core::TimePoint Deadline);

/// Queues a record whose id its writer chose; the sequence number must be above
/// that of every earlier record. Returns ResourceExhausted when the queue is
/// full, and InvalidArgument for another id.
absl::Status submit(AppenderState &State, model::Record Change,
                    core::TimePoint Deadline);

/// Returns true for records that may wait for a batch: renewals of cells, whose
/// lease must be far longer than the interval, intents, whose requests wait,
/// and snapshots. Jobs, tables, domains, claims and releases have bounds of
/// their own or are rare.
bool mayWait(const model::RecordBody &Body);

/// Returns the batch to append now, or nothing.
std::optional<model::Batch> startAppend(AppenderState &State,
                                        core::TimePoint Now);

/// Takes the outcome of the append that startAppend began.
void finishAppend(AppenderState &State,
                  const absl::StatusOr<core::Offset> &Outcome,
                  const core::Random &Jitter, core::TimePoint Now);

/// Notes a batch that the reader found at \p At.
void noteBatch(AppenderState &State, core::Offset At,
               const model::Batch &Entry);

/// Notes that the reader reached the tail by a read begun at \p ReadBegan, so
/// that an append which failed before and was not seen is not in the log.
void noteTail(AppenderState &State, core::TimePoint ReadBegan,
              const core::Random &Jitter, core::TimePoint Now);

/// Notes that the reader skipped entries and continues from a snapshot in which
/// this writer's highest sequence number is \p Applied. Pending records up to
/// it may be in the skipped entries; they are reported as in doubt.
void noteRestart(AppenderState &State, std::uint64_t Applied);

/// Reports records whose deadline has passed and notices a slow append.
void expire(AppenderState &State, core::TimePoint Now);

/// Reports every pending record and refuses further ones.
void abandon(AppenderState &State);

/// Returns when startAppend or expire has work next, if nothing else happens.
std::optional<core::TimePoint> nextDue(const AppenderState &State);

} // namespace nutmegwell::logclient
