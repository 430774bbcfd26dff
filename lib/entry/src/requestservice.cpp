#include "nutmegwell/entry/requestservice.h"

#include "intentcloser.h"
#include "responses.h"
#include "slots.h"
#include <algorithm>
#include <atomic>

namespace nutmegwell::entry {

namespace {

constexpr std::size_t MaxKey = 256;

routing::AttemptResult refusal(std::string Code, std::string Message) {
  routing::AttemptResult Result;
  Result.Outcome_ = routing::Outcome::NotRun;
  Result.Failure_ = {std::move(Code), "admit", "", std::move(Message)};
  return Result;
}

routing::AttemptResult unreachable(const model::NodeName &Agent) {
  routing::AttemptResult Result;
  Result.Failure_ = {
      "agent_replaced", "query", Agent,
      "the agent that was to run the request is no longer known"};
  return Result;
}

/// A request with the rows of the routes and pools tables that apply to it.
struct Call {
  model::AccountName Account_;
  std::string Key_;
  model::RouteRow Route_;
  model::PoolRow Pool_;
  bool Idempotent_ = false;

  model::IntentKey intentKey() const { return {Account_, Key_}; }
};

/// Finds the table rows and the key of a request. Returns a refusal when one is
/// missing.
std::optional<routing::AttemptResult>
findRows(const net::HttpRequest &Request,
         const routing::RoutingSnapshot &Snapshot, Call &Result) {
  const model::RouteRow *Route =
      model::findRoute(Snapshot.Routes_, Request.Path_);
  if (!Route)
    return refusal("no_route", "no route matches the path");
  Result.Route_ = *Route;
  Result.Account_ = Request.header("X-Client-Account");
  if (Result.Account_.empty())
    return refusal("account_missing", "X-Client-Account is required");
  const model::PoolRow *Pool =
      routing::findPool(Snapshot.Pools_, Result.Account_, Route->Service_);
  if (!Pool)
    return refusal("account_unknown",
                   "the account has no pool for service " + Route->Service_);
  Result.Pool_ = *Pool;
  Result.Idempotent_ = Route->Idempotent_ || Request.Method_ == "GET";
  if (Result.Idempotent_)
    return std::nullopt;
  Result.Key_ = Request.header("Idempotency-Key");
  if (Result.Key_.empty())
    return refusal("key_required", "the route requires an Idempotency-Key");
  if (Result.Key_.size() > MaxKey)
    return refusal("bad_key", "the Idempotency-Key is longer than 256 bytes");
  return std::nullopt;
}

} // namespace

struct RequestService::Impl {
  Impl(const RequestServiceSettings &Settings, RequestServicePorts Hooks)
      : Settings_(Settings), Hooks_(std::move(Hooks)),
        Slots_(Hooks_.Snapshot_, Hooks_.Clock_, Hooks_.Random_),
        Closer_(Hooks_.Intents_, Settings.AppendTimeout_,
                Settings.MaxUnsettled_) {}

  core::TimePoint now() const { return Hooks_.Clock_.Now_(); }

  routing::AttemptResult serve(const net::HttpRequest &Request, Call &Found) {
    const auto Snapshot = Hooks_.Snapshot_();
    if (!Snapshot || Snapshot->Stopping_)
      return refusal("stopping", "this entry host accepts no new requests");
    if (auto Refused = findRows(Request, *Snapshot, Found))
      return *Refused;
    switch (Slots_.admit(Found.Pool_)) {
    case Admission::Stopping:
      return refusal("stopping", "this entry host accepts no new requests");
    case Admission::Overloaded:
      return refusal("overloaded",
                     "the account has reached its limit of requests in flight");
    case Admission::Admitted:
      break;
    }
    const AdmittedRequest Guard(Slots_, Found.Account_, Found.Route_.Service_);
    return run(Request, Found, Snapshot->LogAvailable_);
  }

  /// Runs the request's state machine until it finishes, and carries out its
  /// effects.
  routing::AttemptResult run(const net::HttpRequest &Request, const Call &Found,
                             bool LogAvailable) {
    routing::RequestState State;
    State.Idempotent_ = Found.Idempotent_;
    State.Service_ = Found.Route_.Service_;
    State.Deadline_ = now() + Found.Route_.Timeout_;
    HeldSlot Slot(Slots_);
    routing::RequestStarted Begun{LogAvailable, std::nullopt};
    if (!Found.Idempotent_)
      Begun.Intent_ = Hooks_.Intents_.Find_(Found.intentKey());
    routing::RequestEvent Event = Begun;
    while (true) {
      routing::RequestEffect Effect = Slots_.step(State, Event);
      switch (Effect.Kind_) {
      case routing::EffectKind::ChooseUpstream:
        Slot.release();
        Event = Slots_.choose(State, Found.Route_, nextAttempt(), Slot);
        break;
      case routing::EffectKind::RecordIntent:
        Event = record(Found, Effect);
        break;
      case routing::EffectKind::Dispatch:
        Event = routing::AttemptEnded{
            Effect.Attempt_, dispatch(Request, Found, State, Effect, Slot)};
        Slot.release();
        break;
      case routing::EffectKind::QueryAttempt:
        Slot.release();
        Event =
            routing::AttemptEnded{Effect.Attempt_, query(Found, State, Effect)};
        break;
      case routing::EffectKind::ReleaseIntent:
        Event = release(Found, Effect);
        break;
      case routing::EffectKind::Finish:
        if (Effect.Settle_)
          Closer_.add(model::IntentSettled{Found.Account_, Found.Key_,
                                           Effect.Attempt_});
        return std::move(Effect.Result_);
      }
    }
  }

  core::AttemptId nextAttempt() {
    return {Settings_.Incarnation_, ++AttemptCount_};
  }

  routing::IntentAppended record(const Call &Found,
                                 const routing::RequestEffect &Effect) {
    routing::IntentAppended Result = append(
        Found, model::IntentRecorded{Found.Account_, Found.Key_,
                                     Found.Route_.Service_, Effect.Attempt_,
                                     Effect.Agent_, Effect.AgentIncarnation_});
    // The record may still be applied, but its attempt is never sent, so it has
    // to be released.
    if (Result.Outcome_ == routing::AppendOutcome::Failed)
      Closer_.add(
          model::IntentReleased{Found.Account_, Found.Key_, Effect.Attempt_});
    return Result;
  }

  routing::IntentAppended append(const Call &Found, model::RecordBody Body) {
    auto Applied =
        Hooks_.Intents_.Submit_(std::move(Body), Settings_.AppendTimeout_);
    if (!Applied.ok())
      return {routing::AppendOutcome::Failed, std::nullopt};
    if (Applied->Accepted_)
      return {routing::AppendOutcome::Accepted, std::nullopt};
    return {routing::AppendOutcome::Rejected,
            Hooks_.Intents_.Find_(Found.intentKey())};
  }

  routing::IntentAppended release(const Call &Found,
                                  const routing::RequestEffect &Effect) {
    const model::IntentReleased Body{Found.Account_, Found.Key_,
                                     Effect.Attempt_};
    routing::IntentAppended Result = append(Found, Body);
    if (Result.Outcome_ == routing::AppendOutcome::Failed)
      Closer_.add(Body);
    return Result;
  }

  routing::AttemptResult dispatch(const net::HttpRequest &Request,
                                  const Call &Found,
                                  const routing::RequestState &State,
                                  const routing::RequestEffect &Effect,
                                  const HeldSlot &Slot) {
    const core::TimePoint Now = now();
    if (Now >= State.Deadline_)
      return refusal("deadline_exceeded",
                     "the deadline passed before the request was sent");
    model::RequestFrame Frame;
    Frame.Attempt_ = Effect.Attempt_;
    Frame.Account_ = Found.Account_;
    Frame.Service_ = Found.Route_.Service_;
    Frame.Method_ = Request.Method_;
    Frame.Path_ = Request.Path_;
    Frame.Query_ = Request.Query_;
    Frame.ContentType_ = Request.header("Content-Type");
    Frame.Body_ = Request.Body_;
    Frame.Key_ = Found.Key_;
    Frame.Timeout_ = State.Deadline_ - Now;
    Frame.AgentIncarnation_ = Effect.AgentIncarnation_;
    return Hooks_.Transport_.Run_(Slot.address(), Frame, State.Deadline_);
  }

  routing::AttemptResult query(const Call &Found,
                               const routing::RequestState &State,
                               const routing::RequestEffect &Effect) {
    const auto Snapshot = Hooks_.Snapshot_();
    auto Agent =
        std::find_if(Snapshot->Upstreams_.begin(), Snapshot->Upstreams_.end(),
                     [&](const routing::UpstreamView &Each) {
                       return Each.Agent_ == Effect.Agent_ &&
                              Each.Incarnation_ == Effect.AgentIncarnation_;
                     });
    if (Agent == Snapshot->Upstreams_.end())
      return unreachable(Effect.Agent_);
    const model::KeyQueryFrame Frame{Effect.Attempt_, Found.Account_,
                                     Found.Key_, Effect.AgentIncarnation_};
    return Hooks_.Transport_.Query_(Agent->Address_, Frame, State.Deadline_);
  }

  const RequestServiceSettings Settings_;
  const RequestServicePorts Hooks_;
  SlotTable Slots_;
  IntentCloser Closer_;
  std::atomic<std::uint64_t> AttemptCount_{0};
};

RequestService::RequestService(const RequestServiceSettings &Settings,
                               RequestServicePorts Hooks)
    : Impl_(std::make_unique<Impl>(Settings, std::move(Hooks))) {}

RequestService::~RequestService() { stop(core::Duration::zero()); }

net::HttpResponse RequestService::handle(const net::HttpRequest &Request) {
  const core::TimePoint Begin = Impl_->now();
  Call Found;
  const routing::AttemptResult Result = Impl_->serve(Request, Found);
  if (Impl_->Hooks_.Observer_.OnRequestEnd_)
    Impl_->Hooks_.Observer_.OnRequestEnd_(
        {Result.Outcome_, Result.Failure_.Code_, Found.Account_,
         Found.Route_.Service_, Impl_->now() - Begin});
  return toResponse(Result);
}

void RequestService::snapshotChanged() { Impl_->Slots_.wake(); }

std::size_t RequestService::inFlight() const {
  return Impl_->Slots_.inFlight();
}

void RequestService::stop(core::Duration SettleLimit) {
  Impl_->Slots_.stop(Impl_->Hooks_.Observer_.OnStop_);
  Impl_->Closer_.stop(SettleLimit);
}

} // namespace nutmegwell::entry
