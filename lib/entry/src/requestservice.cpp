#include "nutmegwell/entry/requestservice.h"

#include "intentcloser.h"
#include "responses.h"
#include "slots.h"
#include <algorithm>
#include <atomic>

namespace nutmegwell::entry {

namespace {

constexpr std::size_t MaxKeySize = 256;

routing::AttemptResult refusal(std::string Code, std::string Message) {
  routing::AttemptResult Result;
  Result.Outcome_ = routing::Outcome::NotRun;
  Result.Failure_ = {std::move(Code), "admit", "", std::move(Message)};
  return Result;
}

routing::AttemptResult agentReplaced(const model::NodeName &Agent) {
  routing::AttemptResult Result;
  Result.Failure_ = {
      "agent_replaced", "query", Agent,
      "the agent that was to run the request is no longer known"};
  return Result;
}

/// A request with the rows of the routes and pools tables that apply to it.
struct RoutedRequest {
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
resolveRoute(const net::HttpRequest &Request,
             const routing::RoutingSnapshot &Snapshot, RoutedRequest &Result) {
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
  if (Result.Key_.size() > MaxKeySize)
    return refusal("bad_key", "the Idempotency-Key is longer than 256 bytes");
  return std::nullopt;
}

} // namespace

struct RequestService::Impl {
  Impl(const RequestServiceSettings &Settings, RequestServicePorts Ports)
      : Settings_(Settings), Ports_(std::move(Ports)),
        Slots_(Ports_.Snapshot_, Ports_.Clock_, Ports_.Random_),
        IntentCloser_(Ports_.Intents_, Settings.AppendTimeout_,
                      Settings.MaxUnsettled_) {}

  core::TimePoint now() const { return Ports_.Clock_.Now_(); }

  routing::AttemptResult serve(const net::HttpRequest &Request,
                               RoutedRequest &Routed) {
    const auto Snapshot = Ports_.Snapshot_();
    if (!Snapshot || Snapshot->Stopping_)
      return refusal("stopping", "this entry host accepts no new requests");
    if (auto Refused = resolveRoute(Request, *Snapshot, Routed))
      return *Refused;
    switch (Slots_.admit(Routed.Pool_)) {
    case Admission::Stopping:
      return refusal("stopping", "this entry host accepts no new requests");
    case Admission::Overloaded:
      return refusal("overloaded",
                     "the account has reached its limit of requests in flight");
    case Admission::Admitted:
      break;
    }
    const AdmissionGuard Admitted(Slots_, Routed.Account_,
                                  Routed.Route_.Service_);
    return run(Request, Routed, Snapshot->LogAvailable_);
  }

  /// Runs the request's state machine until it finishes, and carries out its
  /// effects.
  routing::AttemptResult run(const net::HttpRequest &Request,
                             const RoutedRequest &Routed, bool LogAvailable) {
    routing::RequestState State;
    State.Idempotent_ = Routed.Idempotent_;
    State.Service_ = Routed.Route_.Service_;
    State.Deadline_ = now() + Routed.Route_.Timeout_;
    SlotGuard Slot(Slots_);
    routing::RequestStarted Started{LogAvailable, std::nullopt};
    if (!Routed.Idempotent_)
      Started.Intent_ = Ports_.Intents_.Find_(Routed.intentKey());
    routing::RequestEvent Event = Started;
    while (true) {
      routing::RequestEffect Effect = Slots_.step(State, Event);
      switch (Effect.Kind_) {
      case routing::EffectKind::ChooseUpstream:
        Slot.release();
        Event =
            Slots_.chooseUpstream(State, Routed.Route_, nextAttempt(), Slot);
        break;
      case routing::EffectKind::RecordIntent:
        Event = recordIntent(Routed, Effect);
        break;
      case routing::EffectKind::Dispatch:
        Event = routing::AttemptEnded{
            Effect.Attempt_,
            dispatchAttempt(Request, Routed, State, Effect, Slot)};
        Slot.release();
        break;
      case routing::EffectKind::QueryAttempt:
        Slot.release();
        Event = routing::AttemptEnded{Effect.Attempt_,
                                      queryAttempt(Routed, State, Effect)};
        break;
      case routing::EffectKind::ReleaseIntent:
        Event = releaseIntent(Routed, Effect);
        break;
      case routing::EffectKind::Finish:
        if (Effect.Settle_)
          IntentCloser_.add(model::IntentSettled{Routed.Account_, Routed.Key_,
                                                 Effect.Attempt_});
        return std::move(Effect.Result_);
      }
    }
  }

  core::AttemptId nextAttempt() {
    return {Settings_.Incarnation_, ++AttemptCount_};
  }

  routing::IntentAppended recordIntent(const RoutedRequest &Routed,
                                       const routing::RequestEffect &Effect) {
    routing::IntentAppended Result = appendIntent(
        Routed, model::IntentRecorded{Routed.Account_, Routed.Key_,
                                      Routed.Route_.Service_, Effect.Attempt_,
                                      Effect.Agent_, Effect.AgentIncarnation_});
    // The record may still be applied, but its attempt is never sent, so it has
    // to be released.
    if (Result.Outcome_ == routing::AppendOutcome::Failed)
      IntentCloser_.add(
          model::IntentReleased{Routed.Account_, Routed.Key_, Effect.Attempt_});
    return Result;
  }

  routing::IntentAppended appendIntent(const RoutedRequest &Routed,
                                       model::RecordBody Body) {
    auto Applied =
        Ports_.Intents_.Submit_(std::move(Body), Settings_.AppendTimeout_);
    if (!Applied.ok())
      return {routing::AppendOutcome::Failed, std::nullopt};
    if (Applied->Accepted_)
      return {routing::AppendOutcome::Accepted, std::nullopt};
    return {routing::AppendOutcome::Rejected,
            Ports_.Intents_.Find_(Routed.intentKey())};
  }

  routing::IntentAppended releaseIntent(const RoutedRequest &Routed,
                                        const routing::RequestEffect &Effect) {
    const model::IntentReleased Body{Routed.Account_, Routed.Key_,
                                     Effect.Attempt_};
    routing::IntentAppended Result = appendIntent(Routed, Body);
    if (Result.Outcome_ == routing::AppendOutcome::Failed)
      IntentCloser_.add(Body);
    return Result;
  }

  routing::AttemptResult dispatchAttempt(const net::HttpRequest &Request,
                                         const RoutedRequest &Routed,
                                         const routing::RequestState &State,
                                         const routing::RequestEffect &Effect,
                                         const SlotGuard &Slot) {
    const core::TimePoint Now = now();
    if (Now >= State.Deadline_)
      return refusal("deadline_exceeded",
                     "the deadline passed before the request was sent");
    model::RequestFrame Frame;
    Frame.Attempt_ = Effect.Attempt_;
    Frame.Account_ = Routed.Account_;
    Frame.Service_ = Routed.Route_.Service_;
    Frame.Method_ = Request.Method_;
    Frame.Path_ = Request.Path_;
    Frame.Query_ = Request.Query_;
    Frame.ContentType_ = Request.header("Content-Type");
    Frame.Body_ = Request.Body_;
    Frame.Key_ = Routed.Key_;
    Frame.Timeout_ = State.Deadline_ - Now;
    Frame.AgentIncarnation_ = Effect.AgentIncarnation_;
    return Ports_.Transport_.SendAttempt_(Slot.address(), Frame,
                                          State.Deadline_);
  }

  routing::AttemptResult queryAttempt(const RoutedRequest &Routed,
                                      const routing::RequestState &State,
                                      const routing::RequestEffect &Effect) {
    const auto Snapshot = Ports_.Snapshot_();
    auto Agent =
        std::find_if(Snapshot->Upstreams_.begin(), Snapshot->Upstreams_.end(),
                     [&](const routing::UpstreamView &Each) {
                       return Each.Agent_ == Effect.Agent_ &&
                              Each.Incarnation_ == Effect.AgentIncarnation_;
                     });
    if (Agent == Snapshot->Upstreams_.end())
      return agentReplaced(Effect.Agent_);
    const model::KeyQueryFrame Frame{Effect.Attempt_, Routed.Account_,
                                     Routed.Key_, Effect.AgentIncarnation_};
    return Ports_.Transport_.QueryAttempt_(Agent->Address_, Frame,
                                           State.Deadline_);
  }

  const RequestServiceSettings Settings_;
  const RequestServicePorts Ports_;
  SlotTable Slots_;
  IntentCloser IntentCloser_;
  std::atomic<std::uint64_t> AttemptCount_{0};
};

RequestService::RequestService(const RequestServiceSettings &Settings,
                               RequestServicePorts Ports)
    : Impl_(std::make_unique<Impl>(Settings, std::move(Ports))) {}

RequestService::~RequestService() { stop(core::Duration::zero()); }

net::HttpResponse RequestService::handle(const net::HttpRequest &Request) {
  const core::TimePoint Begin = Impl_->now();
  RoutedRequest Routed;
  const routing::AttemptResult Result = Impl_->serve(Request, Routed);
  if (Impl_->Ports_.Observer_.OnRequestEnd_)
    Impl_->Ports_.Observer_.OnRequestEnd_(
        {Result.Outcome_, Result.Failure_.Code_, Routed.Account_,
         Routed.Route_.Service_, Impl_->now() - Begin});
  return toResponse(Result);
}

void RequestService::snapshotChanged() { Impl_->Slots_.wakeWaiters(); }

std::size_t RequestService::inFlight() const {
  return Impl_->Slots_.inFlight();
}

void RequestService::stop(core::Duration SettleTimeout) {
  Impl_->Slots_.stop(Impl_->Ports_.Observer_.OnStop_);
  Impl_->IntentCloser_.stop(SettleTimeout);
}

} // namespace nutmegwell::entry
