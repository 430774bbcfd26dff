#include "nutmegwell/agent/attempts.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace nutmegwell;
using namespace std::chrono_literals;
using Kind = agent::AttemptDecision::Kind;

/// Faults, the behaviour that each must lead to, and the test that causes it:
/// - frames repeated, answers lost: each attempt and key runs once
///   (nothingRunsTwice)
/// - query arrives before the attempt: the attempt is refused permanently
///   (refusedAttemptNeverRuns)
/// - answer evicted because of the bounds: outcome unknown, never "not seen"
///   (evictedAttemptIsNotNotSeen)
/// - agent replaced by one with empty state: requests for the other incarnation
///   are refused (otherIncarnationIsRefused)
/// - more requests than slots: busy, not run (slotsAreEnforced)
/// - upstream or agent leaving, or announcement expired: refused, not run
///   (leavingUpstreamTakesNothing)
class AttemptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptsTest);
  CPPUNIT_TEST(nothingRunsTwice);
  CPPUNIT_TEST(refusedAttemptNeverRuns);
  CPPUNIT_TEST(evictedAttemptIsNotNotSeen);
  CPPUNIT_TEST(otherIncarnationIsRefused);
  CPPUNIT_TEST(slotsAreEnforced);
  CPPUNIT_TEST(leavingUpstreamTakesNothing);
  CPPUNIT_TEST(answerIsStoredForItsKey);
  CPPUNIT_TEST_SUITE_END();

  agent::AttemptTable Table_;
  core::TimePoint Now_{1h};

public:
  void setUp() override {
    Table_ = agent::AttemptTable();
    Table_.Incarnation_ = 7;
    agent::announceUpstream(Table_, "s", 80, 4, Now_ + 5s);
  }

private:
  static model::RequestFrame makeFrame(const core::AttemptId &Attempt,
                                       const std::string &Key) {
    model::RequestFrame Frame;
    Frame.Attempt_ = Attempt;
    Frame.Account_ = "a";
    Frame.Service_ = "s";
    Frame.Key_ = Key;
    Frame.AgentIncarnation_ = 7;
    return Frame;
  }

  agent::AttemptDecision request(const core::AttemptId &Attempt,
                                 const std::string &Key = "") {
    return agent::decideRequest(Table_, makeFrame(Attempt, Key), Now_);
  }

  agent::AttemptDecision query(const core::AttemptId &Attempt,
                               const std::string &Key,
                               core::Incarnation Incarnation = 7) {
    return agent::decideKeyQuery(Table_, {Attempt, "a", Key, Incarnation},
                                 Now_);
  }

  static bool isNotRun(const agent::AttemptDecision &Decision) {
    return Decision.Kind_ == Kind::Reply &&
           std::holds_alternative<model::NotRunFrame>(Decision.Reply_);
  }

  static bool isUnknown(const agent::AttemptDecision &Decision) {
    return Decision.Kind_ == Kind::Reply &&
           std::holds_alternative<model::OutcomeUnknownFrame>(Decision.Reply_);
  }

  /// Guards against a second run of an attempt or key, and against "not run"
  /// for an attempt that ran or runs later. The bounds are so small that most
  /// ended attempts are evicted.
  void nothingRunsTwice() {
    CPPUNIT_ASSERT(rc::check("nothing runs twice", [this] {
      setUp();
      Table_.Bounds_.MaxAttempts_ = 3;
      Table_.Bounds_.MaxBytes_ = 30;
      Table_.Bounds_.MaxWriters_ = *rc::gen::element<std::size_t>(2, 3);
      std::set<core::AttemptId> Ran;
      std::set<core::AttemptId> Running;
      std::set<core::AttemptId> Refused;
      std::set<std::string> RunningKeys;
      const auto Steps =
          *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1000));
      for (const int Step : Steps) {
        const core::AttemptId Attempt{1 + Step / 8 % 3u, 1 + Step / 24 % 6u};
        // An attempt always has the same key; several attempts share a key.
        const std::string Key = "k" + std::to_string(Attempt.Sequence_ % 3);
        Now_ += 10ms;
        if (Step % 8 < 3) {
          const bool Ended = Ran.count(Attempt) + Refused.count(Attempt) != 0;
          const auto Decision = request(Attempt, Key);
          // The table drops a writer only after AttemptBounds::MaxWriters_
          // later ones, which are thousands in operation. It cannot decide on a
          // frame that is delayed for so long.
          const bool Strict = !Table_.WriterDropped_;
          if (Decision.Kind_ == Kind::Run) {
            RC_ASSERT(!Ended || !Strict);
            Ran.insert(Attempt);
            RC_ASSERT(RunningKeys.insert(Key).second);
            Running.insert(Attempt);
          } else {
            RC_ASSERT(!isNotRun(Decision) || Ran.count(Attempt) == 0 ||
                      !Strict);
          }
        } else if (Step % 8 < 6) {
          const auto Decision = query(Attempt, Key);
          if (isNotRun(Decision)) {
            RC_ASSERT(Ran.count(Attempt) == 0);
            Refused.insert(Attempt);
          }
        } else if (!Running.empty()) {
          const core::AttemptId Ended = *Running.begin();
          Running.erase(Ended);
          RunningKeys.erase("k" + std::to_string(Ended.Sequence_ % 3));
          agent::finishAttempt(Table_, Ended,
                               model::AnswerFrame{Ended, 200, "", "0123456789"},
                               Now_);
        }
        agent::announceUpstream(Table_, "s", 80, 4, Now_ + 5s);
        RC_ASSERT(Table_.Upstream_.InFlight_ == Running.size());
        RC_ASSERT(Table_.Known_.size() <= 3 + Running.size());
        RC_ASSERT(Table_.AnswerBytes_ <= 30u);
        RC_ASSERT(Table_.Evicted_.size() <= Table_.Bounds_.MaxWriters_);
      }
    }));
  }

  /// Guards against an attempt that runs after a query was answered with "not
  /// run" and its intent was released.
  void refusedAttemptNeverRuns() {
    CPPUNIT_ASSERT(isNotRun(query({1, 1}, "k")));
    CPPUNIT_ASSERT(isNotRun(request({1, 1}, "k")));
    CPPUNIT_ASSERT(request({1, 2}, "k").Kind_ == Kind::Run);
  }

  /// Guards against the release of a key whose attempt ran, when the attempt
  /// has been evicted by age or by number.
  void evictedAttemptIsNotNotSeen() {
    auto Run = [this](const core::AttemptId &Attempt, const char *Key) {
      request(Attempt, Key);
      agent::finishAttempt(Table_, Attempt,
                           model::AnswerFrame{Attempt, 200, "", "x"}, Now_);
    };
    for (const bool ByAge : {true, false}) {
      setUp();
      Run({1, 5}, "k");
      for (std::uint64_t I = 1; !ByAge && I <= Table_.Bounds_.MaxAttempts_; ++I)
        Run({2, I}, std::to_string(I).c_str());
      if (ByAge)
        Now_ += Table_.Bounds_.MaxAge_ + 1s;
      CPPUNIT_ASSERT(isUnknown(query({1, 5}, "k")));
      CPPUNIT_ASSERT(isUnknown(request({1, 5}, "k")));
      CPPUNIT_ASSERT_EQUAL(ByAge ? 0 : Table_.Bounds_.MaxAttempts_,
                           Table_.Known_.size());
      CPPUNIT_ASSERT(isNotRun(query({1, 6}, "k")));
    }
  }

  /// Guards against a run on an agent that has restarted and lost the list of
  /// attempts that it refused.
  void otherIncarnationIsRefused() {
    Table_.Incarnation_ = 8;
    CPPUNIT_ASSERT(isNotRun(request({1, 1}, "k")));
    CPPUNIT_ASSERT(isUnknown(query({1, 1}, "k")));
  }

  /// Guards against more requests in flight at the upstream than it has slots.
  void slotsAreEnforced() {
    for (std::uint64_t I = 1; I <= 4; ++I)
      CPPUNIT_ASSERT(request({1, I}).Kind_ == Kind::Run);
    CPPUNIT_ASSERT(isNotRun(request({1, 5})));
    agent::finishAttempt(Table_, {1, 1},
                         model::OutcomeUnknownFrame{{1, 1}, "x"}, Now_);
    CPPUNIT_ASSERT(request({1, 6}).Kind_ == Kind::Run);
  }

  /// Guards against requests for an upstream that is leaving or whose
  /// announcement has expired.
  void leavingUpstreamTakesNothing() {
    agent::withdrawUpstream(Table_);
    CPPUNIT_ASSERT(isNotRun(request({1, 1})));
    CPPUNIT_ASSERT(agent::currentUpstream(Table_, Now_).Leaving_);
    setUp();
    Table_.Leaving_ = true;
    CPPUNIT_ASSERT(isNotRun(request({1, 1})));
    setUp();
    Now_ += 5s;
    CPPUNIT_ASSERT(isNotRun(request({1, 1})));
    CPPUNIT_ASSERT(!agent::currentUpstream(Table_, Now_).Announced_);
  }

  /// Guards against a repeated request that gets no answer, or the answer of
  /// another key.
  void answerIsStoredForItsKey() {
    request({1, 1}, "k");
    CPPUNIT_ASSERT(query({1, 1}, "k").Kind_ == Kind::Wait);
    request({1, 2}, "l");
    agent::finishAttempt(Table_, {1, 1},
                         model::AnswerFrame{{1, 1}, 200, "", "kk"}, Now_);
    agent::finishAttempt(Table_, {1, 2},
                         model::AnswerFrame{{1, 2}, 200, "", "ll"}, Now_);
    // A repeated request queries the key with a later attempt.
    const auto Decision = query({2, 9}, "k");
    const auto &Answer = std::get<model::AnswerFrame>(Decision.Reply_);
    CPPUNIT_ASSERT_EQUAL(std::string("kk"), Answer.Body_);
    CPPUNIT_ASSERT(Answer.Attempt_ == core::AttemptId({2, 9}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptsTest);
