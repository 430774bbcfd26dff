#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Order of waiting work, and what it may preempt under high load.
class QueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueueTest);
  CPPUNIT_TEST(urgentWorkOnTimePreempts);
  CPPUNIT_TEST(lostUrgentWorkStopsNobody);
  CPPUNIT_TEST(guaranteedWorkPreemptsAlsoLate);
  CPPUNIT_TEST(lostJobsWaitForLateOnes);
  CPPUNIT_TEST(checkpointedRunsGiveWayFirst);
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

  static void start(FakeCell &Cell, int Workers) {
    for (int I = 0; I < Workers; ++I)
      Cell.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 3));
    Cell.claim();
    Cell.run(300ms);
  }

  /// Accepts a job that arrived \p Ago before now.
  static void acceptOld(FakeCell &Cell, const std::string &Name,
                        const jobs::JobSpec &Spec, const std::string &Queue,
                        core::Duration Ago,
                        const std::string &Account = "other") {
    Cell.Wall_ -= Ago;
    Cell.accept(Name, Spec, Queue, Account);
    Cell.Wall_ += Ago;
  }

public:
  void urgentWorkOnTimePreempts() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("patient", job(1, 8), "q2", "other");
    Cell.step();
    Cell.accept("urgent", job(1, 8), "q0", "other");
    Cell.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("urgent").size());
    CPPUNIT_ASSERT(Cell.runsOf("patient").empty());
  }

  /// Guards against preemption for a job whose result has become worthless, in
  /// an urgent burst that is longer than the cell can serve.
  void lostUrgentWorkStopsNobody() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("patient", job(1, 8), "q2", "other");
    Cell.step();
    acceptOld(Cell, "urgent", job(1, 8), "q0", 30s);
    Cell.run(1s);
    CPPUNIT_ASSERT(Cell.runsOf("urgent").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("patient").size());
  }

  /// Guards against a guarantee that a late job loses.
  void guaranteedWorkPreemptsAlsoLate() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("patient", job(1, 8), "q2", "other");
    Cell.step();
    acceptOld(Cell, "urgent", job(1, 8), "q0", 60s, "acme");
    Cell.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("urgent").size());
  }

  /// Guards against a job whose result has become worthless starting before one
  /// that is only late, at the end of a burst.
  void lostJobsWaitForLateOnes() {
    FakeCell Cell;
    acceptOld(Cell, "lost", job(1, 8), "q1", 100s);
    acceptOld(Cell, "late", job(1, 8), "q1", 10s);
    start(Cell, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("late").size());
    CPPUNIT_ASSERT(Cell.runsOf("lost").empty());
  }

  /// Guards against lost work: a run that saves a checkpoint when it is stopped
  /// is cheaper to stop than a younger run that saves nothing.
  void checkpointedRunsGiveWayFirst() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.accept("saves",
                jobs::JobSpecBuilder()
                    .step(1, {1000, 1000, 8}, 8s)
                    .checkpoints()
                    .build(),
                "q2", "other");
    Cell.run(2s);
    Cell.accept("young", job(1, 8), "q2", "other");
    Cell.run(1s);
    Cell.accept("urgent", job(1, 8), "q0", "other");
    Cell.run(500ms);
    CPPUNIT_ASSERT(Cell.runsOf("saves").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("young").size());
  }

  /// Guards against an idle cell: under low load a gang that fits on no single
  /// rack starts at once where it can still end on time.
  void idleCellStartsWideGangsAcrossRacks() {
    FakeCell Cell;
    Cell.Tables_.Queues_[1].Stretch_ = 4;
    start(Cell, 12);
    Cell.accept("wide", rackGang(4), "q1", "other");
    Cell.step();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("wide").size());
  }

  /// Guards against wasted capacity under high load: a gang across racks takes
  /// three times its resources, so that it first waits as long as the slowdown
  /// would take.
  void busyCellKeepsGangsInOneRack() {
    FakeCell Cell;
    Cell.Tables_.Queues_[1].Stretch_ = 4;
    start(Cell, 12);
    Cell.accept("load", job(7, 8), "q1", "other");
    Cell.step();
    Cell.accept("wide", rackGang(4), "q1", "other");
    Cell.progress("load", 1);
    Cell.run(2s);
    CPPUNIT_ASSERT(Cell.runsOf("wide").empty());
    Cell.progress("load", 2);
    Cell.run(2500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("wide").size());
  }

  /// Guards against a guarantee that is missed while work waits for a rack: a
  /// guaranteed gang that fits on no single rack starts in the time that the
  /// guarantee allows.
  void guaranteeDoesNotWaitForARack() {
    FakeCell Cell;
    Cell.Tables_.Accounts_[0].GuaranteedAccelerators_ = 32;
    start(Cell, 6);
    Cell.accept("load", job(4, 8), "q1", "other");
    Cell.step();
    Cell.accept("wide", rackGang(4), "q0", "acme");
    Cell.run(2700ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("wide").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueTest);
