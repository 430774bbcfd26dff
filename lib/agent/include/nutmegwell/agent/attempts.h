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

/// The upstream that announced itself to this agent.
struct UpstreamStatus {
  bool Announced_ = false;
  model::ServiceName Service_;
  std::uint16_t Port_ = 0;
  std::uint32_t Slots_ = 0;
  std::uint32_t InFlight_ = 0;
  bool Leaving_ = false;
  /// End of the announcement's validity.
  core::TimePoint ValidUntil_{};
};

/// Bounds on what is kept about ended attempts.
struct AttemptBounds {
  std::size_t MaxAttempts_ = 65536;
  /// Bytes of stored answers.
  std::size_t MaxBytes_ = 8 << 20;
  core::Duration MaxAge_ = std::chrono::minutes(10);
  /// Entry host incarnations whose attempts are told apart.
  std::size_t MaxWriters_ = 4096;
};

/// What the agent knows of one attempt. Without End_, it is running.
struct KnownAttempt {
  model::IntentKey Key_;
  std::optional<model::Frame> End_;
  std::size_t Bytes_ = 0;
};

/// What is left of the forgotten attempts of one writer.
struct ForgottenAttempts {
  /// Highest sequence number: of an attempt that is not in Known_ and not
  /// above it, nothing is certain.
  std::uint64_t Highest_ = 0;
  /// When the last one was forgotten.
  core::TimePoint Last_{};
};

/// Attempts that this run of the agent has started or refused for good.
struct AttemptTable {
  core::Incarnation Incarnation_ = 0;
  AttemptBounds Bounds_;
  UpstreamStatus Upstream_;
  /// True from the start of the agent's graceful stop.
  bool Leaving_ = false;

  std::map<core::AttemptId, KnownAttempt> Known_;
  std::map<model::IntentKey, core::AttemptId> Keys_;
  /// Ended attempts, oldest first, with the time of their end.
  std::deque<std::pair<core::TimePoint, core::AttemptId>> Ended_;
  std::size_t Bytes_ = 0;
  /// Writers with forgotten attempts.
  std::map<core::Incarnation, ForgottenAttempts> Forgotten_;
  /// Set when Forgotten_ reached its bound and lost the writer unheard of for
  /// the longest time. Every attempt that is not in Known_ then counts as
  /// forgotten for a query; a request starts, since its writer may be new.
  bool ForgotWriters_ = false;
};

/// What to do with a frame of an entry host.
struct AttemptDecision {
  enum class Kind : std::uint8_t {
    /// Call the upstream at Port_, then call finishAttempt().
    Run,
    /// Wait for the end of Attempt_, which is running.
    Wait,
    /// Send Reply_.
    Reply
  };
  Kind Kind_ = Kind::Reply;
  core::AttemptId Attempt_;
  std::uint16_t Port_ = 0;
  model::Frame Reply_;
};

/// Takes up an upstream's announcement, or ends it.
void announceUpstream(AttemptTable &Table, const model::ServiceName &Service,
                      std::uint16_t Port, std::uint32_t Slots,
                      core::TimePoint Until);
void withdrawUpstream(AttemptTable &Table);

/// Returns the upstream as of \p Now; absent after its announcement expired.
UpstreamStatus upstreamAt(const AttemptTable &Table, core::TimePoint Now);

/// Decides on an attempt. An attempt or key that was started is not started
/// again.
AttemptDecision decideRequest(AttemptTable &Table,
                              const model::RequestFrame &Frame,
                              core::TimePoint Now);

/// Decides on a query. An attempt that was not seen is refused from then on.
AttemptDecision decideKeyQuery(AttemptTable &Table,
                               const model::KeyQueryFrame &Frame,
                               core::TimePoint Now);

/// Ends a running attempt with \p End and forgets the oldest ended attempts
/// above the bounds.
void finishAttempt(AttemptTable &Table, const core::AttemptId &Attempt,
                   model::Frame End, core::TimePoint Now);

/// Returns \p Frame with the attempt \p Attempt.
model::Frame addressedTo(model::Frame Frame, const core::AttemptId &Attempt);

} // namespace nutmegwell::agent
