#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(workerIsProbedBesideLastingTasks);
  CPPUNIT_TEST(lastingProbeDelaysTheNextOneOnly);
  CPPUNIT_TEST(lastingProbeClearsTheFailures);
  CPPUNIT_TEST(probesComeOneAtATime);
  CPPUNIT_TEST(gangIsOneProbe);
  CPPUNIT_TEST(guaranteedWorkDoesNotWaitForProbes);
  CPPUNIT_TEST_SUITE_END();

  static constexpr jobs::Resources OneAccelerator{1000, 1000, 1};

  static jobs::JobSpec lastingStep() {
    return jobs::JobSpecBuilder()
        .step(1, OneAccelerator, 0s)
        .longRunning()
        .build();
  }

  /// Quarantines the only worker by the failures of two jobs, which are then
  /// cancelled.
  static void quarantineWorker(FakeCell &Cell) {
    for (const char *Job : {"bad1", "bad2"}) {
      Cell.acceptJob(Job, oneStep(1, OneAccelerator));
      Cell.advance();
      Cell.endRun(Cell.runsOf(Job).at(0), EndKind::Failed);
      jobs::applyRecord(Cell.View_,
                        {Cell.View_.NextOffset_, jobs::JobCancelled{Job}});
      Cell.advance();
    }
    CPPUNIT_ASSERT(Cell.hasLogEvent("worker_rests"));
  }

  /// Advances the time by \p Span in steps of 100 ms, in which every run of
  /// \p Job makes progress.
  static void runWithProgress(FakeCell &Cell, const std::string &Job,
                              core::Duration Span) {
    double Percent = 0;
    for (core::Duration Past(0); Past < Span; Past += 100ms) {
      Cell.setProgress(Job, Percent += 0.1);
      Cell.advance(100ms);
    }
  }

public:
  /// Guards against a worker that gets no work any more after a quarantine,
  /// because a task that lasts runs there.
  void workerIsProbedBesideLastingTasks() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("lasting", lastingStep());
    Cell.advance();
    quarantineWorker(Cell);
    Cell.acceptJob("next", oneStep(1, OneAccelerator));
    Cell.runFor(2900ms);
    CPPUNIT_ASSERT(Cell.runsOf("next").empty());
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("next").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("lasting").size());
  }

  /// Guards against a worker that gets no second task after a quarantine,
  /// because the first one lasts.
  void lastingProbeDelaysTheNextOneOnly() {
    FakeCell Cell;
    startCell(Cell, 1);
    quarantineWorker(Cell);
    Cell.acceptJob("lasting", lastingStep());
    Cell.runFor(3200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("lasting").size());
    Cell.acceptJob("next", oneStep(1, OneAccelerator));
    Cell.runFor(2500ms);
    CPPUNIT_ASSERT(Cell.runsOf("next").empty());
    Cell.runFor(700ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("next").size());
  }

  /// Guards against a worker of hour-long tasks that takes one task at a time
  /// for good after a quarantine, since none of them ends soon.
  void lastingProbeClearsTheFailures() {
    FakeCell Cell;
    startCell(Cell, 1);
    quarantineWorker(Cell);
    Cell.acceptJob("hours", oneStep(1, OneAccelerator));
    Cell.runFor(3200ms);
    runWithProgress(Cell, "hours", 12s);
    CPPUNIT_ASSERT(Cell.hasLogEvent("worker_recovered"));
    Cell.acceptJob("wide", oneStep(7, OneAccelerator));
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), Cell.runsOf("wide").size());
  }

  /// Guards against a bad worker that fails many tasks at once when it is tried
  /// again.
  void probesComeOneAtATime() {
    FakeCell Cell;
    startCell(Cell, 1);
    quarantineWorker(Cell);
    Cell.acceptJob("wide", oneStep(8, OneAccelerator));
    Cell.runFor(3200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("wide").size());
    Cell.endRun(Cell.runsOf("wide")[0], EndKind::Done);
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), Cell.runsOf("wide").size());
  }

  /// Guards against a gang that waits for good, because each of its members
  /// would need the only probe of a worker.
  void gangIsOneProbe() {
    FakeCell Cell;
    startCell(Cell, 1);
    quarantineWorker(Cell);
    Cell.acceptJob(
        "gang",
        jobs::JobSpecBuilder().step(4, OneAccelerator, 2s).gang().build());
    Cell.acceptJob("single", oneStep(1, OneAccelerator));
    Cell.runFor(3200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("gang").size());
    CPPUNIT_ASSERT(Cell.runsOf("single").empty());
  }

  /// Guards against a guarantee that is not reclaimed in time, because the
  /// workers that it needs take one task after the other.
  void guaranteedWorkDoesNotWaitForProbes() {
    FakeCell Cell;
    startCell(Cell, 1);
    quarantineWorker(Cell);
    Cell.acceptJob("guaranteed", oneStep(8, OneAccelerator), "q0");
    Cell.runFor(3200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Cell.runsOf("guaranteed").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
