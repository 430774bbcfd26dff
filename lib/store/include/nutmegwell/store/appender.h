#pragma once

#include "nutmegwell/store/recordstore.h"
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::store {

/// Number that the owner of an append gives it.
using AppendToken = std::uint64_t;

/// Times of an appender.
struct AppendPolicy {
  /// Time for one call. Longer than 80 times the store's usual 4 ms, which the
  /// site files give for a slow store.
  core::Duration CallTimeout_ = std::chrono::milliseconds(600);
  /// Pause before a failed batch is tried again.
  core::Duration RetryBackoff_ = std::chrono::milliseconds(100);
  /// Records of one batch; a batch stays far below the store's bound on a call.
  std::size_t MaxRecords_ = 64;
};

/// One writer's appends in order: a batch in flight, repeated until its outcome
/// is certain, and those that wait.
struct Appender {
  AppendPolicy Policy_;
  std::string Producer_;
  std::uint64_t Epoch_ = 0;
  std::uint64_t NextSequence_ = 0;

  struct Pending {
    AppendToken Token_ = 0;
    std::vector<KeyedRecord> Records_;
  };
  std::deque<Pending> Waiting_;
  /// Tokens and records of the batch in flight.
  std::vector<AppendToken> BatchTokens_;
  std::optional<AppendRequest> Batch_;
  /// When the batch was first sent, and when its newest call was.
  core::TimePoint BatchSince_{};
  core::TimePoint CallSince_{};
  bool CallInFlight_ = false;
  core::TimePoint RetryAt_{};
  unsigned Tries_ = 0;
};

/// Which way a try of a batch goes.
struct AppendTry {
  AppendRequest Request_;
  /// 0 is the own path to the store; others are those of peers, in turn.
  unsigned Try_ = 0;
};

/// A finished append.
struct AppendResult {
  AppendToken Token_ = 0;
  AppendOutcome Outcome_;
};

/// Starts a writer named \p Producer.
Appender makeAppender(const AppendPolicy &Policy, std::string Producer,
                      std::uint64_t Epoch);

/// Queues records to be appended together.
void enqueue(Appender &State, AppendToken Token,
             std::vector<KeyedRecord> Records);

/// Returns the call to make now, if any.
std::optional<AppendTry> nextTry(Appender &State, core::TimePoint Now);

/// Takes the outcome of the open call. Returns the appends that it ends; an
/// unknown or failed call ends none, since the batch is tried again.
std::vector<AppendResult>
onOutcome(Appender &State, const AppendOutcome &Outcome, core::TimePoint Now);

/// Takes back an append that waits behind the batch in flight, so that it
/// certainly never happens. Returns false for any other.
bool cancelWaiting(Appender &State, AppendToken Token);

/// Returns how long the batch in flight has been waiting for certainty.
core::Duration uncertainFor(const Appender &State, core::TimePoint Now);

/// Returns when nextTry may have a call, or nothing while it waits for an
/// outcome or for work.
std::optional<core::TimePoint> nextTryAt(const Appender &State);

} // namespace nutmegwell::store
