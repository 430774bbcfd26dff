#include "nutmegwell/cell/load.h"
#include "fakecell.h"
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Load of a cell of workers with 64 cores, 128 GB and 8 accelerators. Jobs of
/// the queue "q1" take 2 s and have an objective of 6 s.
class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(freeRoomIsNoWait);
  CPPUNIT_TEST(burstWaitsForTheWorkBeforeIt);
  CPPUNIT_TEST(urgentWorkWaitsForNoPatientWork);
  CPPUNIT_TEST(coresCountWhereTheyAreShort);
  CPPUNIT_TEST(fullCellWithoutAQueueIsAShortWait);
  CPPUNIT_TEST(lateWorkDelaysOnlyLateJobs);
  CPPUNIT_TEST(restOfRunsFollowsTheirProgress);
  CPPUNIT_TEST(drainingWorkerShrinksTheRoom);
  CPPUNIT_TEST(silentWorkerShrinksTheRoom);
  CPPUNIT_TEST(lossOfAllWorkersIsNoLoad);
  CPPUNIT_TEST(jobThatNeverFitsDelaysNoOther);
  CPPUNIT_TEST(longRunningTasksTakeTheirRoom);
  CPPUNIT_TEST(timedJobsCountWhenTheyAreDue);
  CPPUNIT_TEST(newHolderReportsNoLoadBeforeItsWorkersDo);
  CPPUNIT_TEST(malformedReportIsInvalid);
  CPPUNIT_TEST_SUITE_END();

  static constexpr jobs::Resources WholeWorker{8000, 8000, 8};

  static LoadReport reportOf(const FakeCell &Cell) {
    return makeLoadReport("me", Cell.Holder_, Cell.context());
  }

  static CellLoad loadOf(const FakeCell &Cell) {
    const LoadReport Report = reportOf(Cell);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report.Services_.size());
    return Report.Services_[0];
  }

  static QueueLoad queueOf(const CellLoad &Load, const std::string &Name) {
    for (const QueueLoad &Queue : Load.Queues_)
      if (Queue.Queue_ == Name)
        return Queue;
    return {};
  }

  /// Accepts \p Count jobs that each need the accelerators of one worker.
  static void submitBurst(FakeCell &Cell, int Count,
                          const std::string &Queue = "q1") {
    for (int I = 0; I < Count; ++I)
      Cell.acceptJob(Queue + "-" + std::to_string(I), oneStep(1, WholeWorker),
                     Queue, "other");
    Cell.advance();
  }

  static void assertNear(double Expected, double Actual) {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Expected, Actual, 0.5);
  }

public:
  /// Guards against refusals while there is room.
  void freeRoomIsNoWait() {
    FakeCell Cell;
    startCell(Cell, 2);
    submitBurst(Cell, 1);
    const CellLoad Load = loadOf(Cell);
    assertNear(16, Load.Accelerators_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(8), Load.Free_.Accelerators_);
    CPPUNIT_ASSERT(expectedWait(Load, 1, WholeWorker, 0s) == 0s);
    CPPUNIT_ASSERT(!reportOf(Cell).Overloaded_);
  }

  /// Guards against a burst that is admitted although it cannot be served: ten
  /// jobs of 16 accelerator-seconds on 16 accelerators.
  void burstWaitsForTheWorkBeforeIt() {
    FakeCell Cell;
    startCell(Cell, 2);
    submitBurst(Cell, 12);
    const CellLoad Load = loadOf(Cell);
    assertNear(160, queueOf(Load, "q1").Waiting_);
    assertNear(32, queueOf(Load, "q1").Running_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Load.Free_.Accelerators_);
    CPPUNIT_ASSERT(expectedWait(Load, 1, WholeWorker, 0s) == 10s);
    CPPUNIT_ASSERT(reportOf(Cell).Overloaded_);
  }

  /// Guards against urgent jobs that are refused because of a backlog of
  /// patient ones.
  void urgentWorkWaitsForNoPatientWork() {
    FakeCell Cell;
    startCell(Cell, 2);
    submitBurst(Cell, 20, "q2");
    const CellLoad Load = loadOf(Cell);
    CPPUNIT_ASSERT(expectedWait(Load, 1, WholeWorker, 0s) <= 2s);
    CPPUNIT_ASSERT(expectedWait(Load, 2, WholeWorker, 0s) > 10s);
  }

  /// Guards against a backlog that is underestimated where workers run out of
  /// cores before accelerators: 20 tasks of 32 cores, two of which fit on a
  /// worker.
  void coresCountWhereTheyAreShort() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(22, {32000, 1000, 1}), "q1", "other");
    Cell.advance();
    const CellLoad Load = loadOf(Cell);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(6), Load.Free_.Accelerators_);
    assertNear(20 * 2 * 4, queueOf(Load, "q1").Waiting_);
    CPPUNIT_ASSERT(expectedWait(Load, 1, {32000, 1000, 1}, 0s) == 20s);
  }

  /// Guards against a job that counts as on time on a full cell, although its
  /// slack ends before any run does, so that the late jobs are before it.
  void fullCellWithoutAQueueIsAShortWait() {
    CellLoad Load;
    Load.Accelerators_ = 100;
    Load.Capacity_ = {800000, 1600000, 100};
    Load.Queues_ = {{"q1", 1, 500, 500, 0, 400}};
    const jobs::Resources Tenth{10000, 10000, 10};
    CPPUNIT_ASSERT(expectedWait(Load, 1, Tenth, 1s) == 800ms);
    CPPUNIT_ASSERT(expectedWait(Load, 1, Tenth, 500ms) == 5s);
    CPPUNIT_ASSERT(expectedWait(Load, 1, Tenth.times(10), 10s) == 4s);
  }

  /// Guards against new jobs that are refused because of jobs that start after
  /// them.
  void lateWorkDelaysOnlyLateJobs() {
    FakeCell Cell;
    startCell(Cell, 1);
    submitBurst(Cell, 11);
    Cell.Wall_ += 7s;
    const QueueLoad Late = queueOf(loadOf(Cell), "q1");
    assertNear(160, Late.Late_);
    assertNear(0, Late.Expired_);
    CPPUNIT_ASSERT(expectedWait(loadOf(Cell), 1, WholeWorker, 4s) <= 2s);
    CPPUNIT_ASSERT(expectedWait(loadOf(Cell), 1, WholeWorker, -1s) == 20s);
    Cell.Wall_ += 20s;
    const QueueLoad Expired = queueOf(loadOf(Cell), "q1");
    assertNear(0, Expired.Late_);
    assertNear(160, Expired.Expired_);
    CPPUNIT_ASSERT(expectedWait(loadOf(Cell), 1, WholeWorker, -1s) <= 2s);
    CPPUNIT_ASSERT(expectedWait(loadOf(Cell), 2, WholeWorker, 0s) == 20s);
  }

  /// Guards against a rest that follows a wrong declared time: the run reports
  /// a tenth in 1 s.
  void restOfRunsFollowsTheirProgress() {
    FakeCell Cell;
    startCell(Cell, 1);
    submitBurst(Cell, 1);
    Cell.advance();
    assertNear(16, queueOf(loadOf(Cell), "q1").Running_);
    Cell.setProgress("q1-0", 1);
    Cell.advance();
    Cell.runFor(1s);
    Cell.setProgress("q1-0", 11);
    Cell.advance();
    assertNear(8 * 8.9, queueOf(loadOf(Cell), "q1").Running_);
  }

  /// Guards against work that is admitted for a worker that takes no more.
  void drainingWorkerShrinksTheRoom() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.Agents_.at("w0").Worker_->Draining_ = true;
    Cell.advance();
    assertNear(8, loadOf(Cell).Accelerators_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(8), loadOf(Cell).Free_.Accelerators_);
    CPPUNIT_ASSERT(expectedWait(loadOf(Cell), 1, WholeWorker.times(2), 0s) ==
                   LongestWait);
  }

  /// Guards against work that is admitted for a worker that has stopped.
  void silentWorkerShrinksTheRoom() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.Agents_.erase("w0");
    Cell.runFor(1600ms);
    assertNear(8, loadOf(Cell).Accelerators_);
  }

  /// Guards against refusals by a holder that has lost contact with all
  /// workers.
  void lossOfAllWorkersIsNoLoad() {
    FakeCell Cell;
    startCell(Cell, 2);
    submitBurst(Cell, 12);
    Cell.Agents_.clear();
    Cell.runFor(1600ms);
    const LoadReport Report = reportOf(Cell);
    CPPUNIT_ASSERT(!Report.Overloaded_);
    CPPUNIT_ASSERT(Report.Services_.empty());
  }

  /// Guards against a backlog of work that waits for workers that do not
  /// exist, and delays no other.
  void jobThatNeverFitsDelaysNoOther() {
    FakeCell Cell;
    startCell(Cell, 2);
    const auto Gang =
        jobs::JobSpecBuilder().step(3, WholeWorker, 100s).gang().build();
    const auto Labelled = jobs::JobSpecBuilder()
                              .step(1, WholeWorker, 100s)
                              .requireLabel("other")
                              .build();
    Cell.acceptJob("wide", Gang, "q1", "other");
    Cell.acceptJob("labelled", Labelled, "q1", "other");
    Cell.acceptJob("large", oneStep(1, {8000, 8000, 9}), "q1", "other");
    Cell.advance();
    submitBurst(Cell, 2);
    const CellLoad Load = loadOf(Cell);
    assertNear(0, queueOf(Load, "q1").Waiting_);
    CPPUNIT_ASSERT(expectedWait(Load, 1, WholeWorker, 0s) <= 2s);
    CPPUNIT_ASSERT(expectedWait(Load, 1, largestUnit(Gang), 0s) == LongestWait);
    CPPUNIT_ASSERT(!reportOf(Cell).Overloaded_);
  }

  /// Guards against capacity that is counted twice: long-running tasks free
  /// nothing.
  void longRunningTasksTakeTheirRoom() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob(
        "serving",
        jobs::JobSpecBuilder().step(1, WholeWorker, 1s).longRunning().build(),
        "q1", "other");
    Cell.advance();
    assertNear(8, loadOf(Cell).Accelerators_);
    assertNear(0, queueOf(loadOf(Cell), "q1").Running_);
  }

  /// Guards against refusals because of work that is not due yet.
  void timedJobsCountWhenTheyAreDue() {
    FakeCell Cell;
    startCell(Cell, 1);
    submitBurst(Cell, 1);
    const auto Timed = jobs::JobSpecBuilder()
                           .step(1, WholeWorker, 2s)
                           .repeat(5, Cell.Wall_ + 10s, 1s)
                           .build();
    Cell.acceptJob("timed", Timed, "q1", "other");
    Cell.advance();
    assertNear(0, queueOf(loadOf(Cell), "q1").Waiting_);
    Cell.Wall_ += 12s;
    assertNear(2 * 16, queueOf(loadOf(Cell), "q1").Waiting_);
  }

  /// Guards against refusals after a takeover: the jobs that the new holder
  /// does not see running may run on workers that have not reported yet.
  void newHolderReportsNoLoadBeforeItsWorkersDo() {
    FakeCell Cell;
    startCell(Cell, 2);
    submitBurst(Cell, 12);
    CPPUNIT_ASSERT(reportOf(Cell).Overloaded_);
    Cell.claimCell();
    CPPUNIT_ASSERT(!reportOf(Cell).Overloaded_);
    CPPUNIT_ASSERT(reportOf(Cell).Services_.empty());
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(reportOf(Cell).Overloaded_);
  }

  /// Guards against refusals by numbers that no holder computes.
  void malformedReportIsInvalid() {
    FakeCell Cell;
    startCell(Cell, 2);
    submitBurst(Cell, 12);
    const LoadReport Good = reportOf(Cell);
    CPPUNIT_ASSERT(isValid(Good));
    const auto Rejects = [&](auto Change) {
      LoadReport Bad = Good;
      Change(Bad.Services_[0]);
      return !isValid(Bad);
    };
    for (double Value :
         {std::nan(""), -1.0, 1e300, std::numeric_limits<double>::infinity()}) {
      CPPUNIT_ASSERT(
          Rejects([&](CellLoad &Load) { Load.Queues_[0].Waiting_ = Value; }));
      CPPUNIT_ASSERT(
          Rejects([&](CellLoad &Load) { Load.Queues_[0].Late_ = Value; }));
      CPPUNIT_ASSERT(
          Rejects([&](CellLoad &Load) { Load.Queues_[0].Expired_ = Value; }));
      CPPUNIT_ASSERT(
          Rejects([&](CellLoad &Load) { Load.Queues_[0].Running_ = Value; }));
      CPPUNIT_ASSERT(
          Rejects([&](CellLoad &Load) { Load.Accelerators_ = Value; }));
    }
    CPPUNIT_ASSERT(
        Rejects([](CellLoad &Load) { Load.Free_.Accelerators_ = -1; }));
    CPPUNIT_ASSERT(Rejects(
        [](CellLoad &Load) { Load.Capacity_.Cpu_ = std::int64_t(1) << 60; }));
    CPPUNIT_ASSERT(Rejects([](CellLoad &Load) { Load.Queues_.resize(5000); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);
