#include "nutmegwell/routing/request.h"

namespace nutmegwell::routing {

namespace {

RequestEffect makeEffect(RequestState &State, EffectKind Kind) {
  State.PendingEffect_ = Kind;
  RequestEffect Result;
  Result.Kind_ = Kind;
  Result.Attempt_ = State.CurrentAttempt_.Attempt_;
  Result.Agent_ = State.CurrentAttempt_.Agent_;
  Result.AgentIncarnation_ = State.CurrentAttempt_.AgentIncarnation_;
  return Result;
}

RequestEffect finish(RequestState &State, Outcome FinalOutcome,
                     Failure Reason) {
  if (FinalOutcome == Outcome::NotRun && State.MayHaveRun_)
    FinalOutcome = Outcome::Unknown;
  RequestEffect Result = makeEffect(State, EffectKind::Finish);
  Result.Result_.Outcome_ = FinalOutcome;
  Result.Result_.Failure_ = std::move(Reason);
  return Result;
}

RequestEffect finishAnswered(RequestState &State,
                             const AttemptResult &Answered) {
  RequestEffect Result = makeEffect(State, EffectKind::Finish);
  Result.Result_ = Answered;
  Result.Settle_ = !State.Idempotent_ && !State.Settled_;
  return Result;
}

/// Queries the agent of \p Known, the intent of another request with the same
/// key.
RequestEffect queryIntent(RequestState &State, const model::Intent &Known) {
  if (Known.Service_ != State.Service_)
    return finish(State, Outcome::NotRun,
                  {"key_reused", "intent", "",
                   "the key was used for a request to another service"});
  State.CurrentAttempt_ = {Known.Attempt_, Known.Agent_,
                           Known.AgentIncarnation_};
  State.Settled_ = Known.State_ == model::IntentState::Settled;
  if (++State.Queries_ > MaxAttempts)
    return finish(State, Outcome::Unknown,
                  {"key_contended", "intent", Known.Agent_,
                   "too many other requests with the same key"});
  State.Querying_ = true;
  return makeEffect(State, EffectKind::QueryAttempt);
}

/// Returns true for refusals that cost the agent no work and are expected in
/// normal operation; a retry after one takes nothing from the budget.
bool isFreeRefusal(const std::string &Code) {
  return Code == "busy" || Code == "leaving";
}

/// Starts another attempt when the attempt limit, the deadline and the retry
/// budget allow it.
RequestEffect retry(RequestState &State, Outcome FinalOutcome,
                    RetryBudget &Budget, core::TimePoint Now) {
  if (State.Attempts_ >= MaxAttempts || Now >= State.Deadline_ ||
      (!isFreeRefusal(State.Last_.Code_) && !takeRetry(Budget, Now)))
    return finish(State, FinalOutcome, State.Last_);
  return makeEffect(State, EffectKind::ChooseUpstream);
}

RequestEffect onEvent(RequestState &State, const RequestStarted &Event,
                      RetryBudget &Budget, core::TimePoint Now) {
  countRequest(Budget, Now);
  if (State.Idempotent_)
    return makeEffect(State, EffectKind::ChooseUpstream);
  if (Event.Intent_)
    return queryIntent(State, *Event.Intent_);
  if (!Event.LogAvailable_)
    return finish(
        State, Outcome::NotRun,
        {"log_unavailable", "intent", "", "the log does not accept appends"});
  return makeEffect(State, EffectKind::ChooseUpstream);
}

RequestEffect onEvent(RequestState &State, const UpstreamChosen &Event,
                      RetryBudget &, core::TimePoint) {
  ++State.Attempts_;
  State.CurrentAttempt_ = Event;
  State.Settled_ = false;
  State.Querying_ = false;
  return makeEffect(State, State.Idempotent_ ? EffectKind::Dispatch
                                             : EffectKind::RecordIntent);
}

RequestEffect onEvent(RequestState &State, const UpstreamUnavailable &Event,
                      RetryBudget &, core::TimePoint) {
  // The failure of the last attempt says more than the lack of another
  // upstream.
  return finish(State, Outcome::NotRun,
                State.Last_.Code_.empty() ? Event.Failure_ : State.Last_);
}

RequestEffect onRecorded(RequestState &State, const IntentAppended &Event,
                         RetryBudget &Budget, core::TimePoint Now) {
  switch (Event.Outcome_) {
  case AppendOutcome::Accepted:
    return makeEffect(State, EffectKind::Dispatch);
  case AppendOutcome::Failed:
    // The attempt is never sent, even if the record is applied later. A
    // repeated request then learns from the agent that the attempt was not
    // seen, and releases the intent.
    return finish(State, Outcome::NotRun,
                  {"log_unavailable", "intent", "",
                   "the log did not confirm the request's intent"});
  case AppendOutcome::Rejected:
    break;
  }
  if (Event.Intent_ &&
      Event.Intent_->Attempt_ == State.CurrentAttempt_.Attempt_)
    return makeEffect(State, EffectKind::Dispatch);
  if (Event.Intent_)
    return queryIntent(State, *Event.Intent_);
  State.Last_ = {"key_contended", "intent", "",
                 "another request with the key has just released it"};
  return retry(State, Outcome::NotRun, Budget, Now);
}

RequestEffect onReleased(RequestState &State, const IntentAppended &Event,
                         RetryBudget &Budget, core::TimePoint Now) {
  // After a query, the key may have a later intent that this host has not read
  // yet.
  if (Event.Outcome_ == AppendOutcome::Failed)
    return State.Querying_
               ? finish(State, Outcome::Unknown,
                        {"log_unavailable", "intent", "",
                         "the log did not confirm the release of the key"})
               : finish(State, Outcome::NotRun, State.Last_);
  if (Event.Outcome_ == AppendOutcome::Rejected && Event.Intent_)
    return queryIntent(State, *Event.Intent_);
  if (State.Querying_)
    return makeEffect(State, EffectKind::ChooseUpstream);
  return retry(State, Outcome::NotRun, Budget, Now);
}

RequestEffect onEvent(RequestState &State, const IntentAppended &Event,
                      RetryBudget &Budget, core::TimePoint Now) {
  return State.PendingEffect_ == EffectKind::RecordIntent
             ? onRecorded(State, Event, Budget, Now)
             : onReleased(State, Event, Budget, Now);
}

RequestEffect onEvent(RequestState &State, const AttemptEnded &Event,
                      RetryBudget &Budget, core::TimePoint Now) {
  const AttemptResult &Result = Event.Result_;
  if (Event.Attempt_ != State.CurrentAttempt_.Attempt_)
    return finish(State, Outcome::Unknown,
                  {"crossed_answer", "receive", State.CurrentAttempt_.Agent_,
                   "the answer belongs to another attempt"});
  if (Result.Outcome_ == Outcome::Answered)
    return finishAnswered(State, Result);
  State.Last_ = Result.Failure_;
  if (!State.Querying_)
    State.Excluded_.insert(State.CurrentAttempt_.Agent_);
  if (State.Idempotent_) {
    State.MayHaveRun_ =
        State.MayHaveRun_ || Result.Outcome_ == Outcome::Unknown;
    return retry(State, Result.Outcome_, Budget, Now);
  }
  if (Result.Outcome_ == Outcome::Unknown || State.Settled_)
    return finish(State, Outcome::Unknown, State.Last_);
  return makeEffect(State, EffectKind::ReleaseIntent);
}

} // namespace

const char *toString(Outcome Value) {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

RequestEffect advanceRequest(RequestState &State, const RequestEvent &Event,
                             RetryBudget &Budget, core::TimePoint Now) {
  return std::visit(
      [&](const auto &Each) { return onEvent(State, Each, Budget, Now); },
      Event);
}

bool isForAttempt(const model::Frame &Frame, const core::AttemptId &Attempt) {
  return std::visit(
      [&](const auto &Each) {
        using Type = std::decay_t<decltype(Each)>;
        if constexpr (std::is_same_v<Type, model::StateQueryFrame> ||
                      std::is_same_v<Type, model::StateFrame>)
          return false;
        else
          return Each.Attempt_ == Attempt;
      },
      Frame);
}

} // namespace nutmegwell::routing
