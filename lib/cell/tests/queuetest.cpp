#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Order of waiting work, and what it may preempt under high load.
class QueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueueTest);
  CPPUNIT_TEST(urgentWorkOnTimePreempts);
  CPPUNIT_TEST(expiredUrgentWorkDoesNotPreempt);
  CPPUNIT_TEST(lateGuaranteedWorkPreempts);
  CPPUNIT_TEST(expiredJobsWaitForLateOnes);
  CPPUNIT_TEST(checkpointedRunsArePreemptedFirst);
  CPPUNIT_TEST(idleCellStartsWideGangsAcrossRacks);
  CPPUNIT_TEST(busyCellKeepsGangsInOneRack);
  CPPUNIT_TEST(guaranteeDoesNotWaitForARack);
  CPPUNIT_TEST_SUITE_END();

  static jobs::JobSpec job(std::uint32_t Count, std::int64_t Accelerators) {
    return jobs::JobSpecBuilder()
        .step(Count, {1000, 1000, Accelerators}, 2s)
        .build();
  }

  static jobs::JobSpec rackGang(std::uint32_t Count) {
    return jobs::JobSpecBuilder()
        .step(Count, {1000, 1000, 8}, 2s)
        .gang(true)
        .build();
  }

  static void startCell(FakeCell &Cell, int Workers) {
    for (int I = 0; I < Workers; ++I)
      Cell.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 3));
    Cell.claimCell();
    Cell.runFor(300ms);
  }

  /// Accepts a job that arrived \p Ago before now.
  static void acceptEarlier(FakeCell &Cell, const std::string &Name,
                            const jobs::JobSpec &Spec, const std::string &Queue,
                            core::Duration Ago,
                            const std::string &Account = "other") {
    Cell.Wall_ -= Ago;
    Cell.acceptJob(Name, Spec, Queue, Account);
    Cell.Wall_ += Ago;
  }

public:
  /// Guards against urgent work that waits behind less urgent runs.
  void urgentWorkOnTimePreempts() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("patient", job(1, 8), "q2", "other");
    Cell.advance();
    Cell.acceptJob("urgent", job(1, 8), "q0", "other");
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("urgent").size());
    CPPUNIT_ASSERT(Cell.runsOf("patient").empty());
  }

  /// Guards against preemption for a job whose result has become worthless, in
  /// an urgent burst that is longer than the cell can serve.
  void expiredUrgentWorkDoesNotPreempt() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("patient", job(1, 8), "q2", "other");
    Cell.advance();
    acceptEarlier(Cell, "urgent", job(1, 8), "q0", 30s);
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("urgent").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("patient").size());
  }

  /// Guards against a guarantee that a late job loses.
  void lateGuaranteedWorkPreempts() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("patient", job(1, 8), "q2", "other");
    Cell.advance();
    acceptEarlier(Cell, "urgent", job(1, 8), "q0", 60s, "acme");
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("urgent").size());
  }

  /// Guards against a job whose result has become worthless starting before one
  /// that is only late, at the end of a burst.
  void expiredJobsWaitForLateOnes() {
    FakeCell Cell;
    acceptEarlier(Cell, "lost", job(1, 8), "q1", 100s);
    acceptEarlier(Cell, "late", job(1, 8), "q1", 10s);
    startCell(Cell, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("late").size());
    CPPUNIT_ASSERT(Cell.runsOf("lost").empty());
  }

  /// Guards against lost work: a run that saves a checkpoint when it is stopped
  /// is cheaper to stop than a younger run that saves nothing.
  void checkpointedRunsArePreemptedFirst() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("saves",
                   jobs::JobSpecBuilder()
                       .step(1, {1000, 1000, 8}, 8s)
                       .checkpoints()
                       .build(),
                   "q2", "other");
    Cell.runFor(2s);
    Cell.acceptJob("young", job(1, 8), "q2", "other");
    Cell.runFor(1s);
    Cell.acceptJob("urgent", job(1, 8), "q0", "other");
    Cell.runFor(500ms);
    CPPUNIT_ASSERT(Cell.runsOf("saves").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("young").size());
  }

  /// Guards against an idle cell: under low load a gang that fits on no single
  /// rack starts at once where it can still end on time.
  void idleCellStartsWideGangsAcrossRacks() {
    FakeCell Cell;
    Cell.Tables_.Queues_[1].Stretch_ = 4;
    startCell(Cell, 12);
    Cell.acceptJob("wide", rackGang(4), "q1", "other");
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("wide").size());
  }

  /// Guards against wasted capacity under high load: a gang across racks takes
  /// three times its resources, so that it first waits as long as the slowdown
  /// would take.
  void busyCellKeepsGangsInOneRack() {
    FakeCell Cell;
    Cell.Tables_.Queues_[1].Stretch_ = 4;
    startCell(Cell, 12);
    Cell.acceptJob("load", job(7, 8), "q1", "other");
    Cell.advance();
    Cell.acceptJob("wide", rackGang(4), "q1", "other");
    Cell.setProgress("load", 1);
    Cell.runFor(2s);
    CPPUNIT_ASSERT(Cell.runsOf("wide").empty());
    Cell.setProgress("load", 2);
    Cell.runFor(2500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("wide").size());
  }

  /// Guards against a guarantee that is missed while work waits for a rack: a
  /// guaranteed gang that fits on no single rack starts in the time that the
  /// guarantee allows.
  void guaranteeDoesNotWaitForARack() {
    FakeCell Cell;
    Cell.Tables_.Accounts_[0].GuaranteedAccelerators_ = 32;
    startCell(Cell, 6);
    Cell.acceptJob("load", job(4, 8), "q1", "other");
    Cell.advance();
    Cell.acceptJob("wide", rackGang(4), "q0", "acme");
    Cell.runFor(2700ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("wide").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueTest);
