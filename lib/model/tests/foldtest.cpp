#include "nutmegwell/model/controlstate.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::model;

class FoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FoldTest);
  CPPUNIT_TEST(repeatedRecordIsRejected);
  CPPUNIT_TEST(concurrentChangeIsRejected);
  CPPUNIT_TEST(staleTermCannotCommit);
  CPPUNIT_TEST(outOfServiceDomainCannotCommit);
  CPPUNIT_TEST(keyHasOneAttempt);
  CPPUNIT_TEST(onlyTheHolderWritesForACell);
  CPPUNIT_TEST(rejectedRecordChangesNothing);
  CPPUNIT_TEST(futureSnapshotIsRejected);
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

  /// Guards against a record that takes effect twice because its append was
  /// retried.
  void repeatedRecordIsRejected() {
    Record Change{{1, 1}, DomainChanged{0, "a", false}};
    CPPUNIT_ASSERT(applyRecord(State_, Change, 0).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("repeated_record"),
                         applyRecord(State_, Change, 1).Code_);
    CPPUNIT_ASSERT_EQUAL(core::Version{1}, State_.Domains_["a"].Version_);
  }

  /// Guards against an operator who overwrites another's concurrent change
  /// without knowing it.
  void concurrentChangeIsRejected() {
    CPPUNIT_ASSERT(append(DomainChanged{0, "a", false}).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("stale_version"),
                         append(DomainChanged{0, "a", true}).Code_);
    CPPUNIT_ASSERT(!isInService(State_, "a"));
  }

  /// Guards against a holder that was paused and starts a job after another
  /// host has claimed the cell.
  void staleTermCannotCommit() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    append(CellClaimed{"a", 1, "e1", 1});
    append(CellClaimed{"a", 2, "e2", 2});
    CPPUNIT_ASSERT_EQUAL(std::string("stale_term"), append(commit(1)).Code_);
    CPPUNIT_ASSERT(applyRecord(State_, Record{{2, 1}, commit(2)}, 9).Accepted_);
  }

  /// Guards against a gang start that is committed after its failure domain was
  /// taken out of service.
  void outOfServiceDomainCannotCommit() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    append(CellClaimed{"a", 1, "e1", 1});
    append(DomainChanged{0, "a", false});
    CPPUNIT_ASSERT_EQUAL(std::string("domain_out"), append(commit(1)).Code_);
  }

  /// Guards against a non-idempotent request that runs twice because two
  /// attempts got its key.
  void keyHasOneAttempt() {
    IntentRecorded First{"acc", "k", "svc", {5, 1}, "u1", 7};
    IntentRecorded Second{"acc", "k", "svc", {6, 1}, "u2", 8};
    CPPUNIT_ASSERT(append(First).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("key_taken"), append(Second).Code_);
    CPPUNIT_ASSERT(!append(IntentReleased{"acc", "k", {6, 1}}).Accepted_);
    CPPUNIT_ASSERT(append(IntentReleased{"acc", "k", {5, 1}}).Accepted_);
    CPPUNIT_ASSERT(append(Second).Accepted_);
  }

  /// Guards against two holders in one term: a host whose claim was rejected
  /// knows the term, which the other host got.
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

  /// Guards against a state that grows with rejected records.
  void rejectedRecordChangesNothing() {
    append(CellClaimed{"x", 5, "e1", 1});
    append(CellRenewed{"y", 1});
    append(DomainChanged{3, "z", false});
    CPPUNIT_ASSERT(State_.Cells_.empty());
    CPPUNIT_ASSERT(State_.Domains_.empty());
  }

  /// Guards against a snapshot record with a wrong offset that causes every
  /// later snapshot to be rejected.
  void futureSnapshotIsRejected() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    CPPUNIT_ASSERT_EQUAL(std::string("future_snapshot"),
                         append(SnapshotTaken{2, ""}).Code_);
    CPPUNIT_ASSERT(append(SnapshotTaken{2, ""}).Accepted_);
  }

  /// Guards against a repeated record that is applied again because its writer
  /// was evicted, although the writer was active after many others had begun.
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

  /// Guards against a finished job whose state is not final, so that it can be
  /// committed again.
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
