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

/// Result reported to the caller. NotRun is reported only when the request has
/// certainly not run; an uncertain case is Unknown.
enum class Outcome : std::uint8_t { Answered, NotRun, Unknown };

/// Returns "answered", "not_run" or "unknown".
const char *toString(Outcome Value);

/// Why a request got no answer, and at which step and peer it failed.
struct Failure {
  /// Stable error code, such as "busy".
  std::string Code_;
  std::string Step_;
  std::string Peer_;
  std::string Message_;
};

/// Result of an attempt, or of a query for one.
struct AttemptResult {
  Outcome Outcome_ = Outcome::Unknown;
  /// Set when the attempt was answered.
  model::AnswerFrame Answer_;
  /// Set when it was not.
  Failure Failure_;
};

/// The request was admitted.
struct RequestStarted {
  bool LogAvailable_ = false;
  /// Intent that this entry host already knows for the request's key.
  std::optional<model::Intent> Intent_;
};

/// An upstream was chosen and has a slot for the request.
struct UpstreamChosen {
  core::AttemptId Attempt_;
  model::NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
};

/// No slot of any upstream was obtained; nothing was sent.
struct UpstreamUnavailable {
  Failure Failure_;
};

/// Result of appending a record of this request to the log.
enum class AppendOutcome : std::uint8_t {
  Accepted,
  /// The control state rejected the record.
  Rejected,
  /// Not confirmed as applied; the record may be applied later.
  Failed
};

struct IntentAppended {
  AppendOutcome Outcome_ = AppendOutcome::Failed;
  /// Intent that the key has after a rejection.
  std::optional<model::Intent> Intent_;
};

struct AttemptEnded {
  core::AttemptId Attempt_;
  AttemptResult Result_;
};

using RequestEvent =
    std::variant<RequestStarted, UpstreamChosen, UpstreamUnavailable,
                 IntentAppended, AttemptEnded>;

/// Next action of the driver, which answers each effect except Finish with one
/// event.
enum class EffectKind : std::uint8_t {
  /// Wait for a slot of an upstream that is not in Excluded_.
  ChooseUpstream,
  /// Append IntentRecorded for Attempt_.
  RecordIntent,
  /// Send Attempt_ to Agent_ and wait for its result.
  Dispatch,
  /// Ask Agent_ for the result of Attempt_.
  QueryAttempt,
  /// Append IntentReleased for Attempt_.
  ReleaseIntent,
  /// Report Result_ to the caller; with Settle_, append IntentSettled for
  /// Attempt_.
  Finish
};

struct RequestEffect {
  EffectKind Kind_ = EffectKind::Finish;
  core::AttemptId Attempt_;
  model::NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
  bool Settle_ = false;
  /// Result for the caller; set for Finish.
  AttemptResult Result_;
};

/// Maximum number of attempts of one request, and of queries for attempts of
/// other requests with its key.
constexpr unsigned MaxAttempts = 4;

/// State of one request in progress.
struct RequestState {
  bool Idempotent_ = false;
  model::ServiceName Service_;
  core::TimePoint Deadline_{};
  /// Agents that refused or failed an attempt; they get no further one.
  std::set<model::NodeName> Excluded_;

  unsigned Attempts_ = 0;
  unsigned Queries_ = 0;
  /// True when the result of an earlier attempt is unknown: the request can no
  /// longer be reported as not run.
  bool MayHaveRun_ = false;
  /// Attempt to which the next event refers.
  UpstreamChosen CurrentAttempt_;
  /// True when the intent of CurrentAttempt_ is settled: its attempt has run.
  bool Settled_ = false;
  /// True while CurrentAttempt_ is an attempt of another request whose result
  /// is queried.
  bool Querying_ = false;
  /// Effect that the next event answers.
  EffectKind PendingEffect_ = EffectKind::ChooseUpstream;
  /// Failure of the last attempt.
  Failure Last_;
};

/// Advances a request by one event. The result depends only on the arguments.
RequestEffect advanceRequest(RequestState &State, const RequestEvent &Event,
                             RetryBudget &Budget, core::TimePoint Now);

/// Returns true when \p Frame refers to \p Attempt; the caller drops answers to
/// other attempts.
bool isForAttempt(const model::Frame &Frame, const core::AttemptId &Attempt);

} // namespace nutmegwell::routing
