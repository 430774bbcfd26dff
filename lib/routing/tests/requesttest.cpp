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
/// - attempts fail without end: bounded by attempts, time, budget
///   (everyRequestEnds)
/// - answer to another attempt: not given to the caller
///   (crossedAnswerIsNotDelivered)
/// - log out before the intent, or append lost after effect: refused, nothing
///   sent (nothingIsSentWithoutIntent)
/// - key taken by another request: asks its agent; a settled key never runs
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

  routing::RequestEffect begin(bool LogAvailable = true) {
    return step(routing::RequestStarted{LogAvailable, std::nullopt});
  }

  routing::RequestEffect choose(const std::string &Agent = "u") {
    return step(routing::UpstreamChosen{{1, ++Attempts_}, Agent, 7});
  }

  routing::RequestEffect end(Outcome End, const std::string &Code = "x") {
    routing::AttemptResult Result;
    Result.Outcome_ = End;
    Result.Failure_.Code_ = Code;
    return step(routing::AttemptEnded{State_.Current_.Attempt_, Result});
  }

  routing::RequestEffect append(AppendOutcome End) {
    return step(routing::IntentAppended{End, std::nullopt});
  }

  static void assertKind(EffectKind Kind,
                         const routing::RequestEffect &Effect) {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(Kind),
                         static_cast<int>(Effect.Kind_));
  }

  static void assertEnd(Outcome End, const routing::RequestEffect &Effect) {
    assertKind(EffectKind::Finish, Effect);
    CPPUNIT_ASSERT_EQUAL(
        std::string(routing::toString(End)),
        std::string(routing::toString(Effect.Result_.Outcome_)));
  }

  /// Guards against "not run" for a request whose first attempt may have run.
  void refusalIsTrueAfterLostAttempt() {
    State_.Idempotent_ = true;
    begin();
    assertKind(EffectKind::Dispatch, choose());
    assertKind(EffectKind::ChooseUpstream, end(Outcome::Unknown));
    assertEnd(Outcome::Unknown, step(routing::UpstreamUnavailable{}));
  }

  /// Guards against a request that is tried for ever, and against a refusal
  /// after an attempt with an unknown end, in any order of failures.
  void everyRequestEnds() {
    CPPUNIT_ASSERT(rc::check("every request ends", [this] {
      State_ = routing::RequestState();
      State_.Idempotent_ = true;
      State_.Deadline_ = Now_ + 30s;
      Budget_ = routing::RetryBudget();
      bool Lost = false;
      unsigned Dispatched = 0;
      routing::RequestEffect Effect = begin();
      while (Effect.Kind_ != EffectKind::Finish) {
        Now_ += *rc::gen::inRange(0, 10) * 1s;
        if (Effect.Kind_ == EffectKind::ChooseUpstream) {
          Effect = choose();
          continue;
        }
        ++Dispatched;
        const Outcome End =
            *rc::gen::element(Outcome::NotRun, Outcome::Unknown);
        Lost = Lost || End == Outcome::Unknown;
        Effect = end(End, *rc::gen::element<std::string>("busy", "lost"));
      }
      RC_ASSERT(Dispatched <= routing::MaxAttempts);
      RC_ASSERT(Effect.Result_.Outcome_ ==
                (Lost ? Outcome::Unknown : Outcome::NotRun));
    }));
  }

  /// Guards against a late answer that reaches another caller.
  void crossedAnswerIsNotDelivered() {
    State_.Idempotent_ = true;
    begin();
    choose();
    routing::AttemptResult Late;
    Late.Outcome_ = Outcome::Answered;
    assertEnd(Outcome::Unknown, step(routing::AttemptEnded{{9, 9}, Late}));
    CPPUNIT_ASSERT(
        routing::isForAttempt(model::AnswerFrame{{1, 2}, 0, "", ""}, {1, 2}));
    CPPUNIT_ASSERT(
        !routing::isForAttempt(model::AnswerFrame{{1, 2}, 0, "", ""}, {2, 2}));
    CPPUNIT_ASSERT(!routing::isForAttempt(model::StateFrame(), {0, 0}));
  }

  /// Guards against a non-idempotent attempt without a confirmed intent.
  void nothingIsSentWithoutIntent() {
    assertEnd(Outcome::NotRun, begin(false));
    setUp();
    assertKind(EffectKind::ChooseUpstream, begin());
    assertKind(EffectKind::RecordIntent, choose());
    const routing::RequestEffect Refused = append(AppendOutcome::Failed);
    assertEnd(Outcome::NotRun, Refused);
    CPPUNIT_ASSERT_EQUAL(std::string("log_unavailable"),
                         Refused.Result_.Failure_.Code_);
  }

  /// Guards against a second run of a key that another request has.
  void takenKeyIsAskedFor() {
    const model::Intent Known{
        "s", {5, 1}, "v", 8, model::IntentState::Dispatched};
    begin();
    choose();
    const routing::RequestEffect Query =
        step(routing::IntentAppended{AppendOutcome::Rejected, Known});
    assertKind(EffectKind::QueryAttempt, Query);
    CPPUNIT_ASSERT(Query.Attempt_ == Known.Attempt_ && Query.Agent_ == "v" &&
                   Query.AgentIncarnation_ == 8);
    const routing::RequestEffect Answered = end(Outcome::Answered);
    assertEnd(Outcome::Answered, Answered);
    CPPUNIT_ASSERT(Answered.Settle_);
    // A settled key has run, whatever its agent still knows of it.
    for (const Outcome Lost : {Outcome::NotRun, Outcome::Unknown}) {
      State_ = routing::RequestState();
      setUp();
      model::Intent Settled = Known;
      Settled.State_ = model::IntentState::Settled;
      assertKind(EffectKind::QueryAttempt,
                 step(routing::RequestStarted{true, Settled}));
      assertEnd(Outcome::Unknown, end(Lost));
    }
  }

  /// Guards against a second dispatch while the first intent stands.
  void releaseComesBeforeRetry() {
    begin();
    choose();
    assertKind(EffectKind::Dispatch, append(AppendOutcome::Accepted));
    assertKind(EffectKind::ReleaseIntent, end(Outcome::NotRun));
    assertKind(EffectKind::ChooseUpstream, append(AppendOutcome::Accepted));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, State_.Excluded_.count("u"));
    assertKind(EffectKind::RecordIntent, choose("v"));
  }

  /// Guards against a second run after an attempt that may have run.
  void lostKeyedAttemptIsNotRetried() {
    begin();
    choose();
    append(AppendOutcome::Accepted);
    assertEnd(Outcome::Unknown, end(Outcome::Unknown));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);
