#include "nutmegwell/routing/request.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace std::chrono_literals;
using routing::AppendOutcome;
using routing::EffectKind;
using routing::Outcome;

/// Faults, their expected effects and the cases that produce them:
/// - attempt lost, next one refused: unknown, never not_run
///   (refusalIsTrueAfterLostAttempt)
/// - every attempt fails: bounded by attempts, deadline and retry budget
///   (everyRequestEnds)
/// - answer to another attempt: not delivered to the caller
///   (crossedAnswerIsNotDelivered)
/// - log unavailable before the intent is appended, or its append applied but
///   not confirmed: refused, nothing sent (nothingIsSentWithoutIntent)
/// - key taken by another request: queries its agent; a settled key never runs
///   again (takenKeyIsAskedFor)
/// - agent refuses the attempt: intent released before a retry
///   (releaseComesBeforeRetry)
/// - attempt of a key lost: unknown, no retry (lostKeyedAttemptIsNotRetried)
class RequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTest);
  CPPUNIT_TEST(refusalIsTrueAfterLostAttempt);
  CPPUNIT_TEST(everyRequestEnds);
  CPPUNIT_TEST(crossedAnswerIsNotDelivered);
  CPPUNIT_TEST(nothingIsSentWithoutIntent);
  CPPUNIT_TEST(takenKeyIsAskedFor);
  CPPUNIT_TEST(releaseComesBeforeRetry);
  CPPUNIT_TEST(lostKeyedAttemptIsNotRetried);
  CPPUNIT_TEST_SUITE_END();

  routing::RequestState State_;
  routing::RetryBudget Budget_;
  core::TimePoint Now_{1h};
  std::uint64_t Attempts_ = 0;

public:
  void setUp() override {
    State_.Service_ = "s";
    State_.Deadline_ = Now_ + 30s;
  }

private:
  routing::RequestEffect step(const routing::RequestEvent &Event) {
    return routing::advanceRequest(State_, Event, Budget_, Now_);
  }

  routing::RequestEffect startRequest(bool LogAvailable = true) {
    return step(routing::RequestStarted{LogAvailable, std::nullopt});
  }

  routing::RequestEffect chooseUpstream(const std::string &Agent = "u") {
    return step(routing::UpstreamChosen{{1, ++Attempts_}, Agent, 7});
  }

  routing::RequestEffect endAttempt(Outcome Value,
                                    const std::string &Code = "x") {
    routing::AttemptResult Result;
    Result.Outcome_ = Value;
    Result.Failure_.Code_ = Code;
    return step(routing::AttemptEnded{State_.CurrentAttempt_.Attempt_, Result});
  }

  routing::RequestEffect appendIntent(AppendOutcome Value) {
    return step(routing::IntentAppended{Value, std::nullopt});
  }

  static void assertKind(EffectKind Kind,
                         const routing::RequestEffect &Effect) {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(Kind),
                         static_cast<int>(Effect.Kind_));
  }

  static void assertOutcome(Outcome Value,
                            const routing::RequestEffect &Effect) {
    assertKind(EffectKind::Finish, Effect);
    CPPUNIT_ASSERT_EQUAL(
        std::string(routing::toString(Value)),
        std::string(routing::toString(Effect.Result_.Outcome_)));
  }

  /// Guards against "not run" for a request whose first attempt may have run.
  void refusalIsTrueAfterLostAttempt() {
    State_.Idempotent_ = true;
    startRequest();
    assertKind(EffectKind::Dispatch, chooseUpstream());
    assertKind(EffectKind::ChooseUpstream, endAttempt(Outcome::Unknown));
    assertOutcome(Outcome::Unknown, step(routing::UpstreamUnavailable{}));
  }

  /// Guards against a request that is retried forever, and against "not run"
  /// after an attempt with an unknown result, for any order of failures.
  void everyRequestEnds() {
    CPPUNIT_ASSERT(rc::check("every request ends", [this] {
      State_ = routing::RequestState();
      State_.Idempotent_ = true;
      State_.Deadline_ = Now_ + 30s;
      Budget_ = routing::RetryBudget();
      bool Lost = false;
      unsigned Dispatched = 0;
      routing::RequestEffect Effect = startRequest();
      while (Effect.Kind_ != EffectKind::Finish) {
        Now_ += *rc::gen::inRange(0, 10) * 1s;
        if (Effect.Kind_ == EffectKind::ChooseUpstream) {
          Effect = chooseUpstream();
          continue;
        }
        ++Dispatched;
        const Outcome Value =
            *rc::gen::element(Outcome::NotRun, Outcome::Unknown);
        Lost = Lost || Value == Outcome::Unknown;
        Effect =
            endAttempt(Value, *rc::gen::element<std::string>("busy", "lost"));
      }
      RC_ASSERT(Dispatched <= routing::MaxAttempts);
      RC_ASSERT(Effect.Result_.Outcome_ ==
                (Lost ? Outcome::Unknown : Outcome::NotRun));
    }));
  }

  /// Guards against a late answer that is delivered to another caller.
  void crossedAnswerIsNotDelivered() {
    State_.Idempotent_ = true;
    startRequest();
    chooseUpstream();
    routing::AttemptResult Late;
    Late.Outcome_ = Outcome::Answered;
    assertOutcome(Outcome::Unknown, step(routing::AttemptEnded{{9, 9}, Late}));
    CPPUNIT_ASSERT(
        routing::isForAttempt(model::AnswerFrame{{1, 2}, 0, "", ""}, {1, 2}));
    CPPUNIT_ASSERT(
        !routing::isForAttempt(model::AnswerFrame{{1, 2}, 0, "", ""}, {2, 2}));
    CPPUNIT_ASSERT(!routing::isForAttempt(model::StateFrame(), {0, 0}));
  }

  /// Guards against sending a non-idempotent attempt without a confirmed
  /// intent.
  void nothingIsSentWithoutIntent() {
    assertOutcome(Outcome::NotRun, startRequest(false));
    setUp();
    assertKind(EffectKind::ChooseUpstream, startRequest());
    assertKind(EffectKind::RecordIntent, chooseUpstream());
    const routing::RequestEffect Refused = appendIntent(AppendOutcome::Failed);
    assertOutcome(Outcome::NotRun, Refused);
    CPPUNIT_ASSERT_EQUAL(std::string("log_unavailable"),
                         Refused.Result_.Failure_.Code_);
  }

  /// Guards against a second run of a request whose key another request holds.
  void takenKeyIsAskedFor() {
    const model::Intent Known{
        "s", {5, 1}, "v", 8, model::IntentState::Dispatched};
    startRequest();
    chooseUpstream();
    const routing::RequestEffect Query =
        step(routing::IntentAppended{AppendOutcome::Rejected, Known});
    assertKind(EffectKind::QueryAttempt, Query);
    CPPUNIT_ASSERT(Query.Attempt_ == Known.Attempt_ && Query.Agent_ == "v" &&
                   Query.AgentIncarnation_ == 8);
    const routing::RequestEffect Answered = endAttempt(Outcome::Answered);
    assertOutcome(Outcome::Answered, Answered);
    CPPUNIT_ASSERT(Answered.Settle_);
    // The request of a settled key has run, even if its agent no longer knows
    // the attempt.
    for (const Outcome Lost : {Outcome::NotRun, Outcome::Unknown}) {
      State_ = routing::RequestState();
      setUp();
      model::Intent Settled = Known;
      Settled.State_ = model::IntentState::Settled;
      assertKind(EffectKind::QueryAttempt,
                 step(routing::RequestStarted{true, Settled}));
      assertOutcome(Outcome::Unknown, endAttempt(Lost));
    }
  }

  /// Guards against a second dispatch before the first intent is released.
  void releaseComesBeforeRetry() {
    startRequest();
    chooseUpstream();
    assertKind(EffectKind::Dispatch, appendIntent(AppendOutcome::Accepted));
    assertKind(EffectKind::ReleaseIntent, endAttempt(Outcome::NotRun));
    assertKind(EffectKind::ChooseUpstream,
               appendIntent(AppendOutcome::Accepted));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, State_.Excluded_.count("u"));
    assertKind(EffectKind::RecordIntent, chooseUpstream("v"));
  }

  /// Guards against a second run after an attempt that may have run.
  void lostKeyedAttemptIsNotRetried() {
    startRequest();
    chooseUpstream();
    appendIntent(AppendOutcome::Accepted);
    assertOutcome(Outcome::Unknown, endAttempt(Outcome::Unknown));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);
