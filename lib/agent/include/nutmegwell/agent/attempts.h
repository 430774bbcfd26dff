#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/messages.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace nutmegwell::agent {

/// The upstream that is announced to this agent, and its requests in flight.
struct UpstreamStatus {
  bool Announced_ = false;
  model::ServiceName Service_;
  std::uint16_t Port_ = 0;
  std::uint32_t Slots_ = 0;
  std::uint32_t InFlight_ = 0;
  bool Leaving_ = false;
  /// Time at which the announcement expires.
  core::TimePoint ValidUntil_{};
};

/// Bounds on the ended attempts that the table keeps.
struct AttemptBounds {
  std::size_t MaxAttempts_ = 65536;
  /// Total size of the stored answers.
  std::size_t MaxBytes_ = 8 << 20;
  core::Duration MaxAge_ = std::chrono::minutes(10);
  /// Entry host incarnations for which the table tracks evicted attempts.
  std::size_t MaxWriters_ = 4096;
};

/// An attempt that the agent started or refused. It is running while End_ is
/// empty.
struct KnownAttempt {
  /// Empty strings for an idempotent request.
  model::IntentKey Key_;
  /// Frame that reports the outcome.
  std::optional<model::Frame> End_;
  std::size_t AnswerBytes_ = 0;
};

/// Summary of the attempts of one writer that were evicted from the table.
struct EvictedAttempts {
  /// Highest sequence number of an evicted attempt. The outcome of an attempt
  /// that is not in Known_ and whose number is not higher is unknown.
  std::uint64_t HighestSequence_ = 0;
  /// Time of the latest eviction.
  core::TimePoint LastEvictedAt_{};
};

/// Attempts that this incarnation of the agent has started or permanently
/// refused.
struct AttemptTable {
  core::Incarnation Incarnation_ = 0;
  AttemptBounds Bounds_;
  UpstreamStatus Upstream_;
  /// True once the agent's graceful stop has begun.
  bool Leaving_ = false;

  std::map<core::AttemptId, KnownAttempt> Known_;
  /// For each key, the attempt that uses it. An attempt that did not run gives
  /// up its key.
  std::map<model::IntentKey, core::AttemptId> AttemptsByKey_;
  /// Ended attempts, oldest first, with the time of their end.
  std::deque<std::pair<core::TimePoint, core::AttemptId>> Ended_;
  std::size_t AnswerBytes_ = 0;
  /// Writers of evicted attempts.
  std::map<core::Incarnation, EvictedAttempts> Evicted_;
  /// True once Evicted_ has reached its bound and dropped the writer whose
  /// latest eviction is the oldest. From then on, a query treats every attempt
  /// that is not in Known_ as evicted. A request still starts, since its writer
  /// may be new.
  bool WriterDropped_ = false;
};

/// How to handle a frame from an entry host.
struct AttemptDecision {
  enum class Kind : std::uint8_t {
    /// Call the upstream at Port_, then call finishAttempt().
    Run,
    /// Wait for the outcome of Attempt_, which is running.
    Wait,
    /// Send Reply_.
    Reply
  };
  Kind Kind_ = Kind::Reply;
  core::AttemptId Attempt_;
  /// Port of the upstream on this host.
  std::uint16_t Port_ = 0;
  model::Frame Reply_;
};

/// Registers the announced upstream until \p ValidUntil.
void announceUpstream(AttemptTable &Table, const model::ServiceName &Service,
                      std::uint16_t Port, std::uint32_t Slots,
                      core::TimePoint ValidUntil);

/// Marks the upstream as leaving. It takes no new requests from then on.
void withdrawUpstream(AttemptTable &Table);

/// Returns the upstream as of \p Now. Announced_ is false once the announcement
/// has expired.
UpstreamStatus currentUpstream(const AttemptTable &Table, core::TimePoint Now);

/// Decides whether to run an attempt. An attempt or key that was started is not
/// started again.
AttemptDecision decideRequest(AttemptTable &Table,
                              const model::RequestFrame &Frame,
                              core::TimePoint Now);

/// Decides how to answer a query for the attempt of a key. An attempt that has
/// not arrived yet is refused from then on, so that the intent can be released.
AttemptDecision decideKeyQuery(AttemptTable &Table,
                               const model::KeyQueryFrame &Frame,
                               core::TimePoint Now);

/// Ends a running attempt with \p FinalFrame and evicts the oldest ended
/// attempts that exceed the bounds.
void finishAttempt(AttemptTable &Table, const core::AttemptId &Attempt,
                   model::Frame FinalFrame, core::TimePoint Now);

/// Returns \p Frame with its attempt replaced by \p Attempt.
model::Frame addressedTo(model::Frame Frame, const core::AttemptId &Attempt);

} // namespace nutmegwell::agent
