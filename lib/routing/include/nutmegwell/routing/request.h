#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/model/controlstate.h"
#include "nutmegwell/model/messages.h"
#include "nutmegwell/routing/admission.h"
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace nutmegwell::routing {

/// What a caller is told; the three are never mixed.
enum class Outcome : std::uint8_t { Answered, NotRun, Unknown };

/// Returns "answered", "not_run" or "unknown".
const char *toString(Outcome Value);

/// Why there is no answer, and where that became known.
struct Failure {
  /// Stable code, such as "busy".
  std::string Code_;
  std::string Step_;
  std::string Peer_;
  std::string Message_;
};

/// What became of one attempt, or of a query for one.
struct AttemptResult {
  Outcome Outcome_ = Outcome::Unknown;
  /// Set when the attempt was answered.
  model::AnswerFrame Answer_;
  /// Set otherwise.
  Failure Failure_;
};

/// The request is admitted and starts.
struct RequestStarted {
  bool LogAvailable_ = false;
  /// Intent of the request's key as this entry host knows it.
  std::optional<model::Intent> Intent_;
};

/// An upstream has a slot for the request.
struct UpstreamChosen {
  core::AttemptId Attempt_;
  model::NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
};

/// No upstream got a slot for the request; nothing was sent.
struct UpstreamUnavailable {
  Failure Failure_;
};

/// How the log took a record of this request.
enum class AppendOutcome : std::uint8_t {
  Accepted,
  /// The fold rejected it.
  Rejected,
  /// Not known to be applied; it may be applied later.
  Failed
};

struct IntentAppended {
  AppendOutcome Outcome_ = AppendOutcome::Failed;
  /// Intent of the key after a rejection.
  std::optional<model::Intent> Intent_;
};

struct AttemptEnded {
  core::AttemptId Attempt_;
  AttemptResult Result_;
};

using RequestEvent =
    std::variant<RequestStarted, UpstreamChosen, UpstreamUnavailable,
                 IntentAppended, AttemptEnded>;

/// What the driver does next; it answers each effect but Finish with one event.
enum class EffectKind : std::uint8_t {
  /// Wait for a slot of an upstream that is not in Excluded_.
  ChooseUpstream,
  /// Append IntentRecorded for Attempt_.
  RecordIntent,
  /// Send Attempt_ to Agent_ and wait for its end.
  Dispatch,
  /// Ask Agent_ what became of Attempt_.
  QueryAttempt,
  /// Append IntentReleased for Attempt_.
  ReleaseIntent,
  /// Tell the caller; with Settle_, append IntentSettled for Attempt_.
  Finish
};

struct RequestEffect {
  EffectKind Kind_ = EffectKind::Finish;
  core::AttemptId Attempt_;
  model::NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
  bool Settle_ = false;
  /// What the caller is told; set for Finish.
  AttemptResult Result_;
};

/// Attempts of one request, and appends of intents for one key, at most.
constexpr unsigned MaxAttempts = 4;

/// One request on its way.
struct RequestState {
  bool Idempotent_ = false;
  model::ServiceName Service_;
  core::TimePoint Deadline_{};
  /// Agents that refused or failed an attempt.
  std::set<model::NodeName> Excluded_;

  unsigned Attempts_ = 0;
  unsigned Queries_ = 0;
  /// True when an earlier attempt has an unknown end: the request is not
  /// reported as not run any more.
  bool MayHaveRun_ = false;
  /// The attempt that the next event is about.
  UpstreamChosen Current_;
  /// The intent that Current_ stands for is settled: its attempt has run.
  bool Settled_ = false;
  /// True while a query, not an attempt of this request, is under way.
  bool Querying_ = false;
  EffectKind Expected_ = EffectKind::ChooseUpstream;
  /// Why the last attempt failed.
  Failure Last_;
};

/// Advances a request. Depends on its arguments alone.
RequestEffect advanceRequest(RequestState &State, const RequestEvent &Event,
                             RetryBudget &Budget, core::TimePoint Now);

/// Returns true when \p Frame is about \p Attempt; an answer to another attempt
/// is dropped.
bool isForAttempt(const model::Frame &Frame, const core::AttemptId &Attempt);

} // namespace nutmegwell::routing
