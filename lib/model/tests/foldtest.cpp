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
  CPPUNIT_TEST_SUITE_END();

  ControlState State_;
  std::uint64_t Sequence_ = 0;

  FoldResult append(RecordBody Body) {
    ++Sequence_;
    return apply(State_, Record{{1, Sequence_}, std::move(Body)}, Sequence_);
  }

  JobCommitted commit(core::Term Term) {
    return JobCommitted{{9, 1}, 1, "a", Term, {{"w1", 1}}};
  }

  /// Guards against a doubled effect when an append is retried.
  void repeatedRecordIsRejected() {
    Record Change{{1, 1}, DomainChanged{0, "a", false}};
    CPPUNIT_ASSERT(apply(State_, Change, 0).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("repeated_record"),
                         apply(State_, Change, 1).Code_);
    CPPUNIT_ASSERT_EQUAL(core::Version{1}, State_.Domains_["a"].Version_);
  }

  /// Guards against one operator silently undoing another's change.
  void secondOperatorLosesTheRace() {
    CPPUNIT_ASSERT(append(DomainChanged{0, "a", false}).Accepted_);
    CPPUNIT_ASSERT_EQUAL(std::string("stale_version"),
                         append(DomainChanged{0, "a", true}).Code_);
    CPPUNIT_ASSERT(!inService(State_, "a"));
  }

  /// Guards against a paused holder starting work after it was replaced.
  void staleTermCannotCommit() {
    append(JobSubmitted{{9, 1}, JobSpec()});
    append(CellClaimed{"a", 1, "e1", 1});
    append(CellClaimed{"a", 2, "e2", 2});
    CPPUNIT_ASSERT_EQUAL(std::string("stale_term"), append(commit(1)).Code_);
    CPPUNIT_ASSERT(append(commit(2)).Accepted_);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldTest);
