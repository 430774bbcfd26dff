#include "nutmegwell/store/appender.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::store;
using namespace std::chrono_literals;

class StoreAppenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreAppenderTest);
  CPPUNIT_TEST(unknownOutcomeRepeatsTheSameSequence);
  CPPUNIT_TEST(laterAppendsWaitForCertainty);
  CPPUNIT_TEST(forgottenAnswerCountsAsDone);
  CPPUNIT_TEST(fencedWriterEndsItsAppends);
  CPPUNIT_TEST(onlyUnsentAppendsAreTakenBack);
  CPPUNIT_TEST_SUITE_END();

  Appender Appender_ = makeAppender(AppendPolicy(), "p", 1);
  core::TimePoint Now_{1000s};

  void add(AppendToken Token) { enqueue(Appender_, Token, {{0, "k", "v"}}); }

  std::vector<AppendResult> answer(AppendStatus Status,
                                   std::uint64_t Expected = 0) {
    AppendOutcome Outcome;
    Outcome.Status_ = Status;
    Outcome.ExpectedSequence_ = Expected;
    return onOutcome(Appender_, Outcome, Now_);
  }

public:
  /// Guards against a record that is written twice after a lost answer.
  void unknownOutcomeRepeatsTheSameSequence() {
    add(1);
    const auto First = nextTry(Appender_, Now_);
    CPPUNIT_ASSERT(First);
    CPPUNIT_ASSERT(!nextTry(Appender_, Now_));
    CPPUNIT_ASSERT(answer(AppendStatus::Unknown).empty());
    CPPUNIT_ASSERT(!nextTry(Appender_, Now_));
    Now_ += 100ms;
    const auto Second = nextTry(Appender_, Now_);
    CPPUNIT_ASSERT_EQUAL(First->Request_.Sequence_, Second->Request_.Sequence_);
    CPPUNIT_ASSERT_EQUAL(1u, Second->Try_);
    CPPUNIT_ASSERT_EQUAL(AppendToken(1),
                         answer(AppendStatus::Appended).at(0).Token_);
  }

  /// Guards against gaps in the sequence, which the store refuses.
  void laterAppendsWaitForCertainty() {
    add(1);
    nextTry(Appender_, Now_);
    add(2);
    add(3);
    answer(AppendStatus::NotAppended);
    Now_ += 100ms;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         nextTry(Appender_, Now_)->Request_.Records_.size());
    answer(AppendStatus::Appended);
    const auto Next = nextTry(Appender_, Now_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Next->Request_.Sequence_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Next->Request_.Records_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), answer(AppendStatus::Appended).size());
  }

  /// Guards against an append that is repeated for ever: the store names the
  /// next sequence when it has seen this one.
  void forgottenAnswerCountsAsDone() {
    add(1);
    nextTry(Appender_, Now_);
    const auto Ended = answer(AppendStatus::OutOfSequence, 1);
    CPPUNIT_ASSERT(Ended.at(0).Outcome_.Status_ == AppendStatus::Appended);
    add(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         nextTry(Appender_, Now_)->Request_.Sequence_);
  }

  void fencedWriterEndsItsAppends() {
    add(1);
    nextTry(Appender_, Now_);
    const auto Ended = answer(AppendStatus::Fenced);
    CPPUNIT_ASSERT(Ended.at(0).Outcome_.Status_ == AppendStatus::Fenced);
  }

  /// Guards against a refusal of something that may have been written.
  void onlyUnsentAppendsAreTakenBack() {
    add(1);
    nextTry(Appender_, Now_);
    add(2);
    CPPUNIT_ASSERT(!cancelWaiting(Appender_, 1));
    CPPUNIT_ASSERT(cancelWaiting(Appender_, 2));
    CPPUNIT_ASSERT(!cancelWaiting(Appender_, 2));
    Now_ += 1s;
    CPPUNIT_ASSERT(uncertainFor(Appender_, Now_) == 1s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreAppenderTest);
