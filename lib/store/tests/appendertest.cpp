#include "nutmegwell/store/appender.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::store;
using namespace std::chrono_literals;

class StoreAppenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreAppenderTest);
  CPPUNIT_TEST(unknownOutcomeRepeatsTheSameSequence);
  CPPUNIT_TEST(laterAppendsWaitForTheBatchInFlight);
  CPPUNIT_TEST(repeatedSequenceCountsAsAppended);
  CPPUNIT_TEST(fencedWriterFinishesItsAppends);
  CPPUNIT_TEST(onlyUnsentAppendsAreCancelled);
  CPPUNIT_TEST(refusedBatchIsDissolved);
  CPPUNIT_TEST(batchOfUnknownOutcomeIsNotDissolved);
  CPPUNIT_TEST(rejectedAppendHoldsUpNoOther);
  CPPUNIT_TEST(rejectedRecordIsFoundWithinItsAppend);
  CPPUNIT_TEST(oversizedRecordsAreNotSent);
  CPPUNIT_TEST(callsStayBelowTheLimit);
  CPPUNIT_TEST(fencedWriterFinishesADividedAppend);
  CPPUNIT_TEST_SUITE_END();

  Appender Appender_ = makeAppender(AppendPolicy(), "p", 1);
  core::TimePoint Now_{1000s};

  void enqueueAppend(AppendToken Token) {
    enqueue(Appender_, Token, {{0, "k", "v"}});
  }

  std::vector<AppendResult> finishCall(AppendStatus Status,
                                       std::uint64_t Expected = 0) {
    AppendOutcome Outcome;
    Outcome.Status_ = Status;
    Outcome.ExpectedSequence_ = Expected;
    return onOutcome(Appender_, Outcome, Now_);
  }

public:
  /// Guards against a record that is appended twice because the response to the
  /// first call was lost.
  void unknownOutcomeRepeatsTheSameSequence() {
    enqueueAppend(1);
    const auto First = nextAttempt(Appender_, Now_);
    CPPUNIT_ASSERT(First);
    CPPUNIT_ASSERT(!nextAttempt(Appender_, Now_));
    CPPUNIT_ASSERT(finishCall(AppendStatus::Unknown).empty());
    CPPUNIT_ASSERT(!nextAttempt(Appender_, Now_));
    Now_ += 100ms;
    const auto Second = nextAttempt(Appender_, Now_);
    CPPUNIT_ASSERT_EQUAL(First->Request_.Sequence_, Second->Request_.Sequence_);
    CPPUNIT_ASSERT_EQUAL(1u, Second->Attempt_);
    CPPUNIT_ASSERT_EQUAL(AppendToken(1),
                         finishCall(AppendStatus::Appended).at(0).Token_);
  }

  /// Guards against gaps in the sequence, which the store refuses: later
  /// appends are sent only once the batch before them is appended.
  void laterAppendsWaitForTheBatchInFlight() {
    enqueueAppend(1);
    nextAttempt(Appender_, Now_);
    enqueueAppend(2);
    enqueueAppend(3);
    finishCall(AppendStatus::Unknown);
    Now_ += 100ms;
    nextAttempt(Appender_, Now_);
    finishCall(AppendStatus::NotAppended);
    Now_ += 100ms;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1), nextAttempt(Appender_, Now_)->Request_.Records_.size());
    finishCall(AppendStatus::Appended);
    const auto Next = nextAttempt(Appender_, Now_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Next->Request_.Sequence_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Next->Request_.Records_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         finishCall(AppendStatus::Appended).size());
  }

  /// Guards against an append that is repeated forever: when the store already
  /// has a sequence, it answers OutOfSequence and names the next one.
  void repeatedSequenceCountsAsAppended() {
    enqueueAppend(1);
    nextAttempt(Appender_, Now_);
    const auto Finished = finishCall(AppendStatus::OutOfSequence, 1);
    CPPUNIT_ASSERT(Finished.at(0).Outcome_.Status_ == AppendStatus::Appended);
    enqueueAppend(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         nextAttempt(Appender_, Now_)->Request_.Sequence_);
  }

  /// Guards against a fenced writer that sends its batch again forever.
  void fencedWriterFinishesItsAppends() {
    enqueueAppend(1);
    nextAttempt(Appender_, Now_);
    const auto Finished = finishCall(AppendStatus::Fenced);
    CPPUNIT_ASSERT(Finished.at(0).Outcome_.Status_ == AppendStatus::Fenced);
  }

  /// Guards against a refusal of an append that may have taken effect.
  void onlyUnsentAppendsAreCancelled() {
    enqueueAppend(1);
    nextAttempt(Appender_, Now_);
    enqueueAppend(2);
    CPPUNIT_ASSERT(!cancelWaiting(Appender_, 1));
    CPPUNIT_ASSERT(cancelWaiting(Appender_, 2));
    CPPUNIT_ASSERT(!cancelWaiting(Appender_, 2));
    Now_ += 1s;
    CPPUNIT_ASSERT(unfinishedFor(Appender_, Now_) == 1s);
  }

  /// Guards against an unknown outcome for an append that certainly has not
  /// taken effect: the store answered that it did nothing. The records are sent
  /// again under the same sequence, together with later ones.
  void refusedBatchIsDissolved() {
    enqueueAppend(1);
    enqueueAppend(2);
    const auto First = nextAttempt(Appender_, Now_);
    enqueueAppend(3);
    finishCall(AppendStatus::NotAppended);
    CPPUNIT_ASSERT(!nextAttempt(Appender_, Now_));
    CPPUNIT_ASSERT(cancelWaiting(Appender_, 2));
    Now_ += 100ms;
    CPPUNIT_ASSERT(unfinishedFor(Appender_, Now_) == 100ms);
    const auto Second = nextAttempt(Appender_, Now_);
    CPPUNIT_ASSERT_EQUAL(First->Request_.Sequence_, Second->Request_.Sequence_);
    CPPUNIT_ASSERT_EQUAL(1u, Second->Attempt_);
    const auto Finished = finishCall(AppendStatus::Appended);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Finished.size());
    CPPUNIT_ASSERT_EQUAL(AppendToken(1), Finished[0].Token_);
    CPPUNIT_ASSERT_EQUAL(AppendToken(3), Finished[1].Token_);
    CPPUNIT_ASSERT(unfinishedFor(Appender_, Now_) == 0s);
  }

  /// Guards against a refusal that is not true: after one call of unknown
  /// outcome, a later refusal says nothing about the first.
  void batchOfUnknownOutcomeIsNotDissolved() {
    enqueueAppend(1);
    nextAttempt(Appender_, Now_);
    finishCall(AppendStatus::Unknown);
    Now_ += 100ms;
    nextAttempt(Appender_, Now_);
    finishCall(AppendStatus::NotAppended);
    CPPUNIT_ASSERT(!cancelWaiting(Appender_, 1));
  }

  /// A store that rejects each call with the key "bad". Returns the results of
  /// all appends and collects the keys that were appended.
  std::vector<AppendResult> appendAll(std::vector<std::string> &Appended) {
    std::vector<AppendResult> Results;
    for (int Calls = 0; Calls < 20; ++Calls) {
      const auto Attempt = nextAttempt(Appender_, Now_);
      if (!Attempt)
        break;
      bool Bad = false;
      for (const KeyedRecord &Record : Attempt->Request_.Records_)
        Bad |= Record.Key_ == "bad";
      if (!Bad)
        for (const KeyedRecord &Record : Attempt->Request_.Records_)
          Appended.push_back(Record.Key_);
      for (AppendResult &Result :
           finishCall(Bad ? AppendStatus::Rejected : AppendStatus::Appended))
        Results.push_back(std::move(Result));
    }
    CPPUNIT_ASSERT(!nextAttempt(Appender_, Now_));
    return Results;
  }

  /// Guards against an append that the store never takes and that is sent again
  /// for ever, so that no other record of the writer becomes durable.
  void rejectedAppendHoldsUpNoOther() {
    enqueue(Appender_, 1, {{0, "a", "v"}});
    enqueue(Appender_, 2, {{0, "bad", "v"}});
    enqueue(Appender_, 3, {{0, "c", "v"}});
    std::vector<std::string> Appended;
    const auto Results = appendAll(Appended);
    CPPUNIT_ASSERT((Appended == std::vector<std::string>{"a", "c"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Results.size());
    CPPUNIT_ASSERT(Results[0].Outcome_.Status_ == AppendStatus::Appended);
    CPPUNIT_ASSERT(Results[1].Outcome_.Status_ == AppendStatus::Rejected);
    CPPUNIT_ASSERT_EQUAL(AppendToken(2), Results[1].Token_);
    CPPUNIT_ASSERT(Results[2].Outcome_.Status_ == AppendStatus::Appended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Appender_.NextSequence_);
  }

  /// Guards against an append that is lost as a whole, or whose order changes,
  /// because of one of its records.
  void rejectedRecordIsFoundWithinItsAppend() {
    enqueue(Appender_, 1,
            {{0, "a", "v"}, {0, "b", "v"}, {0, "bad", "v"}, {0, "d", "v"}});
    enqueue(Appender_, 2, {{0, "e", "v"}});
    std::vector<std::string> Appended;
    const auto Results = appendAll(Appended);
    CPPUNIT_ASSERT((Appended == std::vector<std::string>{"a", "b", "d", "e"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Results.size());
    CPPUNIT_ASSERT(Results[0].Outcome_.Status_ == AppendStatus::Rejected);
    CPPUNIT_ASSERT(
        (Results[0].RejectedKeys_ == std::vector<std::string>{"bad"}));
    CPPUNIT_ASSERT(Results[1].Outcome_.Status_ == AppendStatus::Appended);
    CPPUNIT_ASSERT(Appender_.RejectedKeys_.empty());
  }

  /// Guards against calls with records that no store takes, as its answer to
  /// them is not known in advance.
  void oversizedRecordsAreNotSent() {
    Appender_.Policy_.MaxRecordBytes_ = 100;
    enqueue(Appender_, 1,
            {{0, "k", std::string(98, 'v')},
             {0, "large", std::string(95, 'v')},
             {0, std::string(256, 'k'), ""}});
    const auto Attempt = nextAttempt(Appender_, Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Attempt->Request_.Records_.size());
    const auto Results = finishCall(AppendStatus::Appended);
    CPPUNIT_ASSERT(Results.at(0).Outcome_.Status_ == AppendStatus::Rejected);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Results[0].RejectedKeys_.size());
  }

  /// Guards against a call that the store rejects for its size although it
  /// takes each of its records.
  void callsStayBelowTheLimit() {
    Appender_.Policy_.MaxCallBytes_ = 100;
    const std::string Value(30, 'v');
    enqueue(Appender_, 1, {{0, "a", Value}, {0, "b", Value}, {0, "c", Value}});
    enqueue(Appender_, 2, {{0, "d", Value}});
    std::vector<std::size_t> Sizes;
    std::vector<AppendToken> Finished;
    while (const auto Attempt = nextAttempt(Appender_, Now_)) {
      Sizes.push_back(Attempt->Request_.Records_.size());
      for (const AppendResult &Result : finishCall(AppendStatus::Appended))
        Finished.push_back(Result.Token_);
    }
    CPPUNIT_ASSERT((Sizes == std::vector<std::size_t>{2, 2}));
    CPPUNIT_ASSERT((Finished == std::vector<AppendToken>{1, 2}));
  }

  /// Guards against a writer that goes on after a newer one has taken its
  /// place, because a part of its append was still waiting.
  void fencedWriterFinishesADividedAppend() {
    Appender_.Policy_.MaxCallBytes_ = 50;
    const std::string Value(30, 'v');
    enqueue(Appender_, 1, {{0, "a", Value}, {0, "b", Value}});
    nextAttempt(Appender_, Now_);
    CPPUNIT_ASSERT(finishCall(AppendStatus::Fenced).empty());
    nextAttempt(Appender_, Now_);
    const auto Results = finishCall(AppendStatus::Fenced);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Results.size());
    CPPUNIT_ASSERT(Results[0].Outcome_.Status_ == AppendStatus::Fenced);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreAppenderTest);
