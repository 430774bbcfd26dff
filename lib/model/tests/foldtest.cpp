#include "nutmegwell/model/controlstate.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::model;

class FoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FoldTest);
  CPPUNIT_TEST(repeatedRecordIsRejected);
  CPPUNIT_TEST(secondOperatorLosesTheRace);
  CPPUNIT_TEST(staleTermCannotCommit);
  CPPUNIT_TEST(outDomainCannotCommit);
  CPPUNIT_TEST(keyIsTakenOnce);
  CPPUNIT_TEST(onlyTheHolderWritesForACell);
  CPPUNIT_TEST(rejectedRecordLeavesNoTrace);
  CPPUNIT_TEST(snapshotOfTheFutureIsRejected);
  CPPUNIT_TEST(activeWriterIsRemembered);
  CPPUNIT_TEST(finishedJobIsFinal);
  CPPUNIT_TEST_SUITE_END();

  ControlState State_;
  std::uint64_t Sequence_ = 0;

  FoldResult append(RecordBody Body) {
    ++Sequence_;
    return applyRecord(State_, Record{{1, Sequence_}, std::move(Body)},
                       Sequence_);
  }

  JobCommitted commit(core::Term Term) {
    return JobCommitted{{9, 1}, 1, "a", Term, {{"w1", 1}}};
  }

  /// Guards against a doubled effect when an append is retried.
  void repeatedRecordIsRejected() {
    Record Change{{1, 1}, DomainChanged{0, "a", false}};
    CPPUNIT_ASSERT(applyRecord(State_, Change, 0).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("repeated_record"),
                         applyRecord(State_, Change, 1).Code_);
    CPPUNIT_ASSERT_EQUAL(core::Version{1}, State_.Domains_["a"].Version_);
  }

  /// Guards against one operator silently undoing another's change.
  void secondOperatorLosesTheRace() {
    CPPUNIT_ASSERT(append(DomainChanged{0, "a", false}).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("stale_version"),
                         append(DomainChanged{0, "a", true}).Code_);
    CPPUNIT_ASSERT(!isInService(State_, "a"));
  }

  /// Guards against a paused holder starting work after it was replaced.
  void staleTermCannotCommit() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    append(CellClaimed{"a", 1, "e1", 1});
    append(CellClaimed{"a", 2, "e2", 2});
    CPPUNIT_ASSERT_EQUAL(std::string("stale_term"), append(commit(1)).Code_);
    CPPUNIT_ASSERT(applyRecord(State_, Record{{2, 1}, commit(2)}, 9).Accepted_);
  }

  /// Guards against a start committed after the domain was taken out.
  void outDomainCannotCommit() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    append(CellClaimed{"a", 1, "e1", 1});
    append(DomainChanged{0, "a", false});
    CPPUNIT_ASSERT_EQUAL(std::string("domain_out"), append(commit(1)).Code_);
  }

  /// Guards against a non-idempotent request that runs twice.
  void keyIsTakenOnce() {
    IntentRecorded First{"acc", "k", "svc", {5, 1}, "u1", 7};
    IntentRecorded Second{"acc", "k", "svc", {6, 1}, "u2", 8};
    CPPUNIT_ASSERT(append(First).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("key_taken"), append(Second).Code_);
    CPPUNIT_ASSERT(!append(IntentReleased{"acc", "k", {6, 1}}).Accepted_);
    CPPUNIT_ASSERT(append(IntentReleased{"acc", "k", {5, 1}}).Accepted_);
    CPPUNIT_ASSERT(append(Second).Accepted_);
  }

  /// Guards against two holders of one term: a host whose claim lost the race
  /// knows the term that the winner got.
  void onlyTheHolderWritesForACell() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    append(CellClaimed{"a", 1, "e2", 2});
    CPPUNIT_ASSERT_EQUAL(std::string("not_holder"), append(commit(1)).Code_);
    CPPUNIT_ASSERT_EQUAL(std::string("not_holder"),
                         append(CellRenewed{"a", 1}).Code_);
    CPPUNIT_ASSERT_EQUAL(std::string("not_holder"),
                         append(CellReleased{"a", 1}).Code_);
    CPPUNIT_ASSERT(applyRecord(State_, Record{{2, 1}, commit(1)}, 9).Accepted_);
  }

  /// Guards against state that grows by refused records.
  void rejectedRecordLeavesNoTrace() {
    append(CellClaimed{"x", 5, "e1", 1});
    append(CellRenewed{"y", 1});
    append(DomainChanged{3, "z", false});
    CPPUNIT_ASSERT(State_.Cells_.empty());
    CPPUNIT_ASSERT(State_.Domains_.empty());
  }

  /// Guards against one wrong snapshot that makes the fold reject every later
  /// one.
  void snapshotOfTheFutureIsRejected() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    CPPUNIT_ASSERT_EQUAL(std::string("future_snapshot"),
                         append(SnapshotTaken{2, ""}).Code_);
    CPPUNIT_ASSERT(append(SnapshotTaken{2, ""}).Accepted_);
  }

  /// Guards against a repeat that is applied again because many other writers
  /// came after its writer's first record.
  void activeWriterIsRemembered() {
    auto Write = [this](core::Incarnation Writer, std::uint64_t Sequence) {
      return applyRecord(State_,
                         Record{{Writer, Sequence}, JobCancelled{{9, 9}}}, 0)
          .Code_;
    };
    Write(1, 1);
    for (core::Incarnation Other = 100; Other < 99 + MaxWriters; ++Other)
      Write(Other, 1);
    Write(1, 2);
    Write(99, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("repeated_record"), Write(1, 2));
    CPPUNIT_ASSERT_EQUAL(MaxWriters, State_.LastSequences_.size());
    CPPUNIT_ASSERT_EQUAL(MaxWriters, State_.WriterOrder_.size());
  }

  /// Guards against a job that is kept as final but can still be committed.
  void finishedJobIsFinal() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    append(CellClaimed{"a", 1, "e1", 1});
    append(commit(1));
    CPPUNIT_ASSERT_EQUAL(
        std::string("invalid_state"),
        append(JobFinished{{9, 1}, 1, "a", 1, JobState::Waiting, ""}).Code_);
    CPPUNIT_ASSERT(
        append(JobFinished{{9, 1}, 1, "a", 1, JobState::Finished, ""})
            .Accepted_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldTest);
