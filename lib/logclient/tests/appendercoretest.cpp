#include "nutmegwell/logclient/appendercore.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::logclient;
using namespace std::chrono_literals;

class AppenderCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AppenderCoreTest);
  CPPUNIT_TEST(oneBatchIsInFlight);
  CPPUNIT_TEST(batchesAreBounded);
  CPPUNIT_TEST(recordsThatMayWaitAreGathered);
  CPPUNIT_TEST(fullQueueRefuses);
  CPPUNIT_TEST(neverSentIsRefusedAtItsDeadline);
  CPPUNIT_TEST(lostAnswerWaitsForTheTail);
  CPPUNIT_TEST(lostAnswerIsFoundByReading);
  CPPUNIT_TEST(undecidedRecordIsInDoubt);
  CPPUNIT_TEST(partOfALateBatchIsFound);
  CPPUNIT_TEST(restartPutsSkippedRecordsInDoubt);
  CPPUNIT_TEST(slowAnswerMakesTheLogUnavailable);
  CPPUNIT_TEST_SUITE_END();

  AppenderState State_;
  core::Random Jitter_ = core::seededRandom(1);
  core::TimePoint Now_{1h};
  const absl::Status NotSent_ =
      core::makeError(absl::StatusCode::kUnavailable, "connect", "log", "");
  const absl::Status Lost_ =
      core::makeError(absl::StatusCode::kUnavailable, "exchange", "log", "");

  core::RecordId add(core::Duration Within = 10s) {
    return *submit(State_, model::CellRenewed{"a", 1}, Now_ + Within);
  }

  model::Batch start() {
    auto Entry = startAppend(State_, Now_);
    CPPUNIT_ASSERT(Entry);
    return *Entry;
  }

  void finish(absl::StatusOr<core::Offset> Outcome) {
    finishAppend(State_, Outcome, Jitter_, Now_);
  }

  void expectReports(std::vector<AppendOutcome> Outcomes) {
    CPPUNIT_ASSERT_EQUAL(Outcomes.size(), State_.Reports_.size());
    for (std::size_t I = 0; I < Outcomes.size(); ++I)
      CPPUNIT_ASSERT(Outcomes[I] == State_.Reports_[I].Outcome_);
  }

public:
  void setUp() override {
    State_ = AppenderState();
    State_.Writer_ = 7;
    State_.Settings_.BatchInterval_ = {};
  }

  /// Guards against records that reach the log out of order.
  void oneBatchIsInFlight() {
    add();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    add();
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    finish(core::Offset{4});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, start()[0].Id_.Sequence_);
    expectReports({AppendOutcome::Appended});
  }

  /// Guards against an entry that the log refuses for its size.
  void batchesAreBounded() {
    State_.Settings_.MaxBatchRecords_ = 3;
    for (int I = 0; I < 5; ++I)
      add();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, start().size());
    finish(core::Offset{0});
    State_.Settings_.MaxBatchBytes_ = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
  }

  /// Guards against more appends than the log takes, and against urgent records
  /// that wait for others.
  void recordsThatMayWaitAreGathered() {
    State_.Settings_.BatchInterval_ = 250ms;
    add();
    start();
    finish(core::Offset{0});
    Now_ += 249ms;
    add();
    add();
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    CPPUNIT_ASSERT(nextDue(State_) == Now_ + 1ms);
    Now_ += 1ms;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, start().size());
    finish(core::Offset{1});
    add();
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    CPPUNIT_ASSERT(submit(State_, model::JobCancelled{}, Now_ + 10s).ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, start().size());
  }

  /// Guards against memory that grows through an outage.
  void fullQueueRefuses() {
    State_.Settings_.MaxQueued_ = 2;
    add();
    add();
    auto Third = submit(State_, model::CellRenewed{"a", 1}, Now_ + 1s);
    CPPUNIT_ASSERT(absl::IsResourceExhausted(Third.status()));
    finish((start(), NotSent_));
    Now_ += 11s;
    expire(State_, Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, State_.Bytes_);
    add();
  }

  /// Guards against "in doubt" for a record that was certainly not appended.
  void neverSentIsRefusedAtItsDeadline() {
    add(1s);
    finish((start(), NotSent_));
    CPPUNIT_ASSERT(!State_.Available_);
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    Now_ = *nextDue(State_);
    finish((start(), NotSent_));
    Now_ += 1s;
    expire(State_, Now_);
    expectReports({AppendOutcome::Refused});
    CPPUNIT_ASSERT(!nextDue(State_));
  }

  /// Guards against a second append before the first one is known to be lost,
  /// and against one that passes it.
  void lostAnswerWaitsForTheTail() {
    add();
    finish((start(), Lost_));
    add();
    Now_ += 1ms;
    noteTail(State_, State_.FailedAt_ - 1us, Jitter_, Now_);
    CPPUNIT_ASSERT(State_.Phase_ == AppendPhase::ReadBack);
    noteTail(State_, State_.FailedAt_, Jitter_, Now_);
    Now_ = *nextDue(State_);
    const auto Again = start();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Again.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Again[0].Id_.Sequence_);
    finish(core::Offset{3});
    expectReports({AppendOutcome::Appended, AppendOutcome::Appended});
    CPPUNIT_ASSERT(State_.Available_);
  }

  /// Guards against a second copy of an append that took effect.
  void lostAnswerIsFoundByReading() {
    add();
    auto Entry = start();
    finish(Lost_);
    noteBatch(State_, 8, Entry);
    expectReports({AppendOutcome::Appended});
    CPPUNIT_ASSERT_EQUAL(core::Offset{8}, State_.Reports_[0].At_);
    noteTail(State_, Now_, Jitter_, Now_);
    CPPUNIT_ASSERT(!startAppend(State_, Now_ + 10s));
  }

  /// Guards against a refusal of a record that may be in the log.
  void undecidedRecordIsInDoubt() {
    add(1s);
    finish((start(), Lost_));
    add(1s);
    Now_ += 1s;
    expire(State_, Now_);
    expectReports({AppendOutcome::Refused, AppendOutcome::InDoubt});
  }

  /// Guards against losing track when a late append lands after its records
  /// were put into another batch.
  void partOfALateBatchIsFound() {
    add(1s);
    add(10s);
    auto Late = start();
    finish(Lost_);
    noteTail(State_, Now_, Jitter_, Now_);
    Now_ += 2s;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    noteBatch(State_, 5, Late);
    finish(Lost_);
    expectReports({AppendOutcome::InDoubt, AppendOutcome::Appended});
  }

  /// Guards against taking records in entries that nobody read as not seen.
  void restartPutsSkippedRecordsInDoubt() {
    add();
    finish((start(), Lost_));
    add();
    noteRestart(State_, 1);
    expectReports({AppendOutcome::InDoubt});
    noteTail(State_, Now_, Jitter_, Now_);
    Now_ += 2s;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, start()[0].Id_.Sequence_);
  }

  /// Guards against waiting for a log that does not answer.
  void slowAnswerMakesTheLogUnavailable() {
    add();
    start();
    CPPUNIT_ASSERT(*nextDue(State_) == Now_ + State_.Settings_.SlowAnswer_);
    Now_ = *nextDue(State_);
    expire(State_, Now_);
    CPPUNIT_ASSERT(!State_.Available_);
    finish(core::Offset{0});
    CPPUNIT_ASSERT(!State_.Available_);
    add();
    start();
    finish(core::Offset{1});
    CPPUNIT_ASSERT(State_.Available_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AppenderCoreTest);
