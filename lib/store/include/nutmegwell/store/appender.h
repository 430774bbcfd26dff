#pragma once

#include "nutmegwell/store/recordstore.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::store {

/// Number that the caller assigns to an append; results refer to it.
using AppendToken = std::uint64_t;

/// Timeouts and limits of an appender.
struct AppendPolicy {
  /// Timeout of one call. The store usually answers in 4 ms; the site files
  /// allow a slow store to take 80 times as long.
  core::Duration CallTimeout_ = std::chrono::milliseconds(600);
  /// Pause before a failed batch is sent again.
  core::Duration RetryBackoff_ = std::chrono::milliseconds(100);
  /// Most records that are batched together, so that a batch stays far below
  /// the store's limit on a call.
  std::size_t MaxRecords_ = 64;
  /// Largest key and value that the store takes as one record, with one byte
  /// for the length of the key.
  std::size_t MaxRecordBytes_ = 262144;
  /// Most bytes of records in one call.
  std::size_t MaxCallBytes_ = 2097152;
};

/// Returns whether the store takes a record of this size.
bool isStorable(const AppendPolicy &Policy, const KeyedRecord &Record);

/// Appends the records of one writer in order. One batch is in flight and is
/// sent again until its outcome is certain; later appends are queued behind it.
/// A batch that certainly has not taken effect is dissolved, so that its
/// appends can still be cancelled. A batch that the store rejects for what it
/// contains is divided until the records that it does not take are found; these
/// are dropped, so that they hold up no others.
struct Appender {
  AppendPolicy Policy_;
  std::string Producer_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t NextSequence_ = 0;

  /// An append, or a part of one.
  struct Pending {
    AppendToken Token_ = 0;
    std::vector<KeyedRecord> Records_;
    /// The append ends with this part.
    bool Last_ = true;
    /// Part of a rejected batch, which is sent without other appends.
    bool Alone_ = false;
  };
  std::deque<Pending> Waiting_;
  /// A part of the batch in flight and the number of its records.
  struct BatchEntry {
    AppendToken Token_ = 0;
    std::size_t Records_ = 0;
    bool Last_ = true;
    bool Alone_ = false;
  };
  std::vector<BatchEntry> BatchEntries_;
  std::optional<AppendRequest> Batch_;
  /// A call for the batch had an unknown outcome.
  bool MayHaveTakenEffect_ = false;
  /// Time since which no append has been finished although there was one to
  /// make.
  std::optional<core::TimePoint> UnfinishedSince_;
  core::TimePoint CallSentAt_{};
  bool CallInFlight_ = false;
  core::TimePoint RetryAt_{};
  unsigned Attempts_ = 0;
  /// Keys of the records that were dropped from unfinished appends.
  std::map<AppendToken, std::vector<std::string>> RejectedKeys_;
};

/// The next call for a batch.
struct AppendAttempt {
  AppendRequest Request_;
  /// Number of the call for its batch, from 0; the caller chooses by it between
  /// a direct call to the store and one through a peer.
  unsigned Attempt_ = 0;
};

/// A finished append.
struct AppendResult {
  AppendToken Token_ = 0;
  /// Rejected when some records were dropped; the others are appended.
  AppendOutcome Outcome_;
  /// Keys of the records that were dropped.
  std::vector<std::string> RejectedKeys_;
};

/// Returns an appender for the writer \p Producer.
Appender makeAppender(const AppendPolicy &Policy, std::string Producer,
                      std::uint64_t Epoch);

/// Queues records to be appended together, or in several calls in their order
/// when they are too many for one. Drops those that are not storable.
void enqueue(Appender &State, AppendToken Token,
             std::vector<KeyedRecord> Records);

/// Returns the call to make now, if any.
std::optional<AppendAttempt> nextAttempt(Appender &State, core::TimePoint Now);

/// Applies the outcome of the call in flight and returns the finished appends.
/// Unknown and NotAppended finish none, since the records are sent again, and
/// Rejected finishes only an append whose last record it concerns.
std::vector<AppendResult>
onOutcome(Appender &State, const AppendOutcome &Outcome, core::TimePoint Now);

/// Removes an append that is not part of the batch in flight, so that it
/// certainly never takes effect. Returns false for any other append.
bool cancelWaiting(Appender &State, AppendToken Token);

/// Returns true when cancelWaiting would remove the append.
bool isWaiting(const Appender &State, AppendToken Token);

/// Returns how long no append has been finished although there was one to make,
/// or zero without one.
core::Duration unfinishedFor(const Appender &State, core::TimePoint Now);

/// Returns the earliest time at which nextAttempt may return a call, or nothing
/// while a call is in flight or no append is queued.
std::optional<core::TimePoint> nextAttemptAt(const Appender &State);

} // namespace nutmegwell::store
