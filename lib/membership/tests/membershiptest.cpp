#include "nutmegwell/membership/membership.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::membership;
using namespace std::chrono_literals;

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(missedHeartbeatsAndReturn);
  CPPUNIT_TEST(lateHeartbeatOfReplacedProcessIsIgnored);
  CPPUNIT_TEST(leavingNodeTakesNoWork);
  CPPUNIT_TEST(workerThatFailsEverythingIsQuarantined);
  CPPUNIT_TEST_SUITE_END();

  MembershipState State_;
  MembershipSettings Settings_;
  core::TimePoint Start_{1000s};

  std::vector<NodeChange> heartbeat(core::Incarnation Incarnation,
                                    std::uint64_t Sequence,
                                    bool Leaving = false,
                                    core::Duration At = {}) {
    model::Heartbeat Message;
    Message.Node_ = "w1";
    Message.Incarnation_ = Incarnation;
    Message.Sequence_ = Sequence;
    Message.Leaving_ = Leaving;
    return applyHeartbeat(State_, Message, "127.0.0.1:1", Start_ + At);
  }

  Schedulability schedulability(core::Duration At) {
    return schedulabilityOf(State_.Nodes_["w1"], Start_ + At);
  }

  /// Guards against work placed on a node that stopped sending heartbeats.
  void missedHeartbeatsAndReturn() {
    heartbeat(1, 1);
    CPPUNIT_ASSERT(updateNodeStates(State_, Start_ + 2s, Settings_).empty());
    CPPUNIT_ASSERT(updateNodeStates(State_, Start_ + 3s, Settings_).at(0).To_ ==
                   NodeState::Suspect);
    CPPUNIT_ASSERT(schedulability(3s) == Schedulability::None);
    CPPUNIT_ASSERT(updateNodeStates(State_, Start_ + 6s, Settings_).at(0).To_ ==
                   NodeState::Unreachable);
    auto Changes = heartbeat(1, 2, false, 7s);
    CPPUNIT_ASSERT(Changes.at(0).To_ == NodeState::Alive);
    CPPUNIT_ASSERT(!Changes.at(0).NewIncarnation_);
  }

  /// Guards against a delayed datagram that revives the tasks of a dead
  /// process.
  void lateHeartbeatOfReplacedProcessIsIgnored() {
    heartbeat(1, 5);
    CPPUNIT_ASSERT(heartbeat(2, 1).at(0).NewIncarnation_);
    CPPUNIT_ASSERT(heartbeat(1, 6).empty());
    CPPUNIT_ASSERT(heartbeat(2, 1).empty());
    CPPUNIT_ASSERT_EQUAL(core::Incarnation{2},
                         State_.Nodes_["w1"].LastHeartbeat_.Incarnation_);
  }

  /// Guards against new work for a node that announced that it is leaving.
  void leavingNodeTakesNoWork() {
    heartbeat(1, 1);
    CPPUNIT_ASSERT(heartbeat(1, 2, true).at(0).To_ == NodeState::Leaving);
    CPPUNIT_ASSERT(schedulability(0s) == Schedulability::None);
  }

  /// Guards against a broken worker that empties the queue by failing every
  /// job.
  void workerThatFailsEverythingIsQuarantined() {
    heartbeat(1, 1);
    auto RecordStart = [&](bool Succeeded, core::Duration At) {
      recordStartResult(State_.Nodes_["w1"].Quarantine_, Succeeded, Start_ + At,
                        {});
    };
    for (int I = 0; I < 3; ++I)
      RecordStart(false, 0s);
    RecordStart(false, 1s);
    CPPUNIT_ASSERT(schedulability(29s) == Schedulability::None);
    CPPUNIT_ASSERT(schedulability(30s) == Schedulability::OneJob);
    RecordStart(false, 30s);
    CPPUNIT_ASSERT(schedulability(89s) == Schedulability::None);
    CPPUNIT_ASSERT(schedulability(90s) == Schedulability::OneJob);
    RecordStart(true, 90s);
    CPPUNIT_ASSERT(schedulability(90s) == Schedulability::Any);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
