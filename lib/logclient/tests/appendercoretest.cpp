#include "nutmegwell/logclient/appendercore.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::logclient;
using namespace std::chrono_literals;

class AppenderCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AppenderCoreTest);
  CPPUNIT_TEST(onlyOneBatchIsInFlight);
  CPPUNIT_TEST(batchesAreBounded);
  CPPUNIT_TEST(deferrableRecordsAreBatched);
  CPPUNIT_TEST(fullQueueRefusesRecords);
  CPPUNIT_TEST(unsentRecordIsRefusedAtDeadline);
  CPPUNIT_TEST(lostResponseWaitsForReadBack);
  CPPUNIT_TEST(readBackFindsAppendedRecord);
  CPPUNIT_TEST(undecidedRecordHasUnknownOutcome);
  CPPUNIT_TEST(readBackFindsLateAppend);
  CPPUNIT_TEST(readerRestartMakesOutcomeUnknown);
  CPPUNIT_TEST(slowAppendMakesLogUnavailable);
  CPPUNIT_TEST_SUITE_END();

  AppenderState State_;
  core::Random Jitter_ = core::seededRandom(1);
  core::TimePoint Now_{1h};
  const absl::Status ConnectError_ =
      core::makeError(absl::StatusCode::kUnavailable, "connect", "log", "");
  const absl::Status ExchangeError_ =
      core::makeError(absl::StatusCode::kUnavailable, "exchange", "log", "");

  core::RecordId submitRecord(core::Duration Timeout = 10s) {
    return *submit(State_, model::CellRenewed{"a", 1}, Now_ + Timeout);
  }

  model::Batch start() {
    auto Batch = startAppend(State_, Now_);
    CPPUNIT_ASSERT(Batch);
    return *Batch;
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

  /// Guards against records that reach the log out of order because a second
  /// append starts while the first is in flight.
  void onlyOneBatchIsInFlight() {
    submitRecord();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    submitRecord();
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    finish(core::Offset{4});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, start()[0].Id_.Sequence_);
    expectReports({AppendOutcome::Appended});
  }

  /// Guards against an entry that the log refuses because it is too large.
  void batchesAreBounded() {
    State_.Settings_.MaxBatchRecords_ = 3;
    for (int I = 0; I < 5; ++I)
      submitRecord();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, start().size());
    finish(core::Offset{0});
    State_.Settings_.MaxBatchBytes_ = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
  }

  /// Guards against more appends per second than the log accepts, and against a
  /// record that is not deferrable but waits for the batch interval.
  void deferrableRecordsAreBatched() {
    State_.Settings_.BatchInterval_ = 250ms;
    submitRecord();
    start();
    finish(core::Offset{0});
    Now_ += 249ms;
    submitRecord();
    submitRecord();
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    CPPUNIT_ASSERT(nextDue(State_) == Now_ + 1ms);
    Now_ += 1ms;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, start().size());
    finish(core::Offset{1});
    submitRecord();
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    CPPUNIT_ASSERT(submit(State_, model::JobCancelled{}, Now_ + 10s).ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, start().size());
  }

  /// Guards against memory use that grows without limit during a log outage.
  void fullQueueRefusesRecords() {
    State_.Settings_.MaxQueued_ = 2;
    submitRecord();
    submitRecord();
    auto Third = submit(State_, model::CellRenewed{"a", 1}, Now_ + 1s);
    CPPUNIT_ASSERT(absl::IsResourceExhausted(Third.status()));
    finish((start(), ConnectError_));
    Now_ += 11s;
    expire(State_, Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, State_.Bytes_);
    submitRecord();
  }

  /// Guards against an unknown outcome for a record that was certainly not
  /// appended.
  void unsentRecordIsRefusedAtDeadline() {
    submitRecord(1s);
    finish((start(), ConnectError_));
    CPPUNIT_ASSERT(!State_.Available_);
    CPPUNIT_ASSERT(!startAppend(State_, Now_));
    Now_ = *nextDue(State_);
    finish((start(), ConnectError_));
    Now_ += 1s;
    expire(State_, Now_);
    expectReports({AppendOutcome::Refused});
    CPPUNIT_ASSERT(!nextDue(State_));
  }

  /// Guards against a retry before it is known that the first append did not
  /// take effect, and against later records that are appended before the retry.
  void lostResponseWaitsForReadBack() {
    submitRecord();
    finish((start(), ExchangeError_));
    submitRecord();
    Now_ += 1ms;
    noteTail(State_, State_.FailedAt_ - 1us, Jitter_, Now_);
    CPPUNIT_ASSERT(State_.Phase_ == AppendPhase::ReadBack);
    noteTail(State_, State_.FailedAt_, Jitter_, Now_);
    Now_ = *nextDue(State_);
    const auto Retry = start();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Retry.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Retry[0].Id_.Sequence_);
    finish(core::Offset{3});
    expectReports({AppendOutcome::Appended, AppendOutcome::Appended});
    CPPUNIT_ASSERT(State_.Available_);
  }

  /// Guards against appending a record twice when the append took effect but
  /// its response was lost.
  void readBackFindsAppendedRecord() {
    submitRecord();
    auto Batch = start();
    finish(ExchangeError_);
    noteBatch(State_, 8, Batch);
    expectReports({AppendOutcome::Appended});
    CPPUNIT_ASSERT_EQUAL(core::Offset{8}, State_.Reports_[0].At_);
    noteTail(State_, Now_, Jitter_, Now_);
    CPPUNIT_ASSERT(!startAppend(State_, Now_ + 10s));
  }

  /// Guards against reporting a record as refused when it may be in the log.
  void undecidedRecordHasUnknownOutcome() {
    submitRecord(1s);
    finish((start(), ExchangeError_));
    submitRecord(1s);
    Now_ += 1s;
    expire(State_, Now_);
    expectReports({AppendOutcome::Refused, AppendOutcome::Unknown});
  }

  /// Guards against a wrong outcome when an append takes effect late, after one
  /// of its records was sent again in another batch.
  void readBackFindsLateAppend() {
    submitRecord(1s);
    submitRecord(10s);
    auto LateBatch = start();
    finish(ExchangeError_);
    noteTail(State_, Now_, Jitter_, Now_);
    Now_ += 2s;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    noteBatch(State_, 5, LateBatch);
    finish(ExchangeError_);
    expectReports({AppendOutcome::Unknown, AppendOutcome::Appended});
  }

  /// Guards against appending a record twice because it is in an entry that the
  /// reader skipped.
  void readerRestartMakesOutcomeUnknown() {
    submitRecord();
    finish((start(), ExchangeError_));
    submitRecord();
    noteRestart(State_, 1);
    expectReports({AppendOutcome::Unknown});
    noteTail(State_, Now_, Jitter_, Now_);
    Now_ += 2s;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, start()[0].Id_.Sequence_);
  }

  /// Guards against a log that is reported as available although it does not
  /// respond.
  void slowAppendMakesLogUnavailable() {
    submitRecord();
    start();
    CPPUNIT_ASSERT(*nextDue(State_) ==
                   Now_ + State_.Settings_.SlowAppendThreshold_);
    Now_ = *nextDue(State_);
    expire(State_, Now_);
    CPPUNIT_ASSERT(!State_.Available_);
    finish(core::Offset{0});
    CPPUNIT_ASSERT(!State_.Available_);
    submitRecord();
    start();
    finish(core::Offset{1});
    CPPUNIT_ASSERT(State_.Available_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AppenderCoreTest);
