#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class AttributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttributionTest);
  CPPUNIT_TEST(hopelessJobQuarantinesNoWorker);
  CPPUNIT_TEST(hopelessJobOfOneTaskQuarantinesNoWorker);
  CPPUNIT_TEST(stalledJobQuarantinesNoWorker);
  CPPUNIT_TEST(retriesOfAHopelessJobDoNotClearIt);
  CPPUNIT_TEST(failingWorkersAreQuarantinedBesideSoundOnes);
  CPPUNIT_TEST(workerThatFailsSeveralJobsIsQuarantined);
  CPPUNIT_TEST(jobThatCompletesWasNotAtFault);
  CPPUNIT_TEST(runsOfAnEndedJobDoNotCount);
  CPPUNIT_TEST_SUITE_END();

  static constexpr jobs::Resources OneAccelerator{1000, 1000, 1};
  static constexpr jobs::Resources WholeWorker{1000, 1000, 8};

  static void failRuns(FakeCell &Cell, const std::string &Job) {
    for (const RunId &Run : Cell.runsOf(Job))
      Cell.endRun(Run, EndKind::Failed);
  }

  /// Lets every run of a job fail 100 ms after its start until the job has
  /// failed.
  static void failJob(FakeCell &Cell, const std::string &Job) {
    constexpr int MaxRounds = 100;
    for (int I = 0;
         I < MaxRounds && Cell.stateOf(Job) != jobs::JobState::Failed; ++I) {
      Cell.advance(100ms);
      failRuns(Cell, Job);
    }
    Cell.advance();
    CPPUNIT_ASSERT(Cell.stateOf(Job) == jobs::JobState::Failed);
  }

  /// Checks that a new job gets every accelerator of the cell at once.
  static void expectAllWorkersUsable(FakeCell &Cell) {
    const auto Tasks = static_cast<std::uint32_t>(8 * Cell.Agents_.size());
    Cell.acceptJob("next", oneStep(Tasks, OneAccelerator));
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks), Cell.runsOf("next").size());
  }

  /// Returns the number of workers that are quarantined.
  static std::size_t quarantined(const FakeCell &Cell) {
    std::size_t Count = 0;
    for (const auto &[Name, Host] : Cell.Holder_.Workers_)
      Count += isQuarantined(Host.Health_, QuarantinePolicy(), Cell.Now_);
    return Count;
  }

public:
  /// Guards against one job that can never be done and takes all workers out of
  /// use with it.
  void hopelessJobQuarantinesNoWorker() {
    FakeCell Cell;
    startCell(Cell, 4);
    Cell.acceptJob("bad", oneStep(16, OneAccelerator));
    failJob(Cell, "bad");
    CPPUNIT_ASSERT(Cell.hasLogEvent("failures_attributed"));
    expectAllWorkersUsable(Cell);
  }

  /// Guards against the same with jobs that fail on one worker at a time.
  void hopelessJobOfOneTaskQuarantinesNoWorker() {
    FakeCell Cell;
    startCell(Cell, 2);
    for (const char *Job : {"bad1", "bad2", "bad3"}) {
      Cell.acceptJob(Job, oneStep(1, OneAccelerator));
      failJob(Cell, Job);
    }
    expectAllWorkersUsable(Cell);
  }

  /// Guards against workers that are taken out of use because a job makes no
  /// progress on any of them.
  void stalledJobQuarantinesNoWorker() {
    FakeCell Cell;
    startCell(Cell, 4);
    Cell.acceptJob("stalls", oneStep(16, OneAccelerator));
    Cell.runFor(10s);
    CPPUNIT_ASSERT(Cell.hasLogEvent("run_stalled"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), quarantined(Cell));
  }

  /// Guards against a verdict that changes with each new attempt: runs that
  /// have not lasted as long as those that failed show nothing.
  void retriesOfAHopelessJobDoNotClearIt() {
    FakeCell Cell;
    startCell(Cell, 8);
    Cell.acceptJob("bad", oneStep(4, WholeWorker));
    Cell.advance(100ms);
    Cell.runFor(500ms);
    failRuns(Cell, "bad");
    Cell.runFor(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("bad").size());
    CPPUNIT_ASSERT(
        Cell.Holder_.StepOutcomes_.at(JobStep{"bad", 0}).JobAtFault_);
  }

  /// Guards against bad workers that stay in use because a job fails on several
  /// of them at once, while most of its tasks run on.
  void failingWorkersAreQuarantinedBesideSoundOnes() {
    FakeCell Cell;
    startCell(Cell, 8);
    Cell.acceptJob("wide", oneStep(64, OneAccelerator));
    Cell.advance(100ms);
    Cell.runFor(200ms);
    for (const RunId &Run : Cell.runsOf("wide"))
      if (Cell.hostOf(Run) <= "w2")
        Cell.endRun(Run, EndKind::Failed);
    Cell.runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), quarantined(Cell));
  }

  /// Guards against a bad worker that is excused for each job by itself.
  void workerThatFailsSeveralJobsIsQuarantined() {
    FakeCell Cell;
    startCell(Cell, 2);
    for (const char *Job : {"j1", "j2", "j3", "j4"})
      Cell.acceptJob(Job, oneStep(1, OneAccelerator));
    Cell.advance(100ms);
    for (int I = 0; I < 5; ++I) {
      for (const char *Job : {"j1", "j2", "j3", "j4"})
        for (const RunId &Run : Cell.runsOf(Job))
          if (Cell.hostOf(Run) == "w0")
            Cell.endRun(Run, EndKind::Failed);
      Cell.runFor(200ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), quarantined(Cell));
    CPPUNIT_ASSERT(isQuarantined(Cell.Holder_.Workers_.at("w0").Health_,
                                 QuarantinePolicy(), Cell.Now_));
  }

  /// Guards against bad workers that are excused because they were the only
  /// ones on which a job ran before it was done elsewhere.
  void jobThatCompletesWasNotAtFault() {
    FakeCell Cell;
    startCell(Cell, 3);
    Cell.acceptJob("j", oneStep(2, WholeWorker));
    Cell.advance(100ms);
    failRuns(Cell, "j");
    Cell.runFor(400ms);
    std::size_t Ended = 0;
    for (int Round = 0; Round < 5 && Ended < 2; ++Round) {
      for (const RunId &Run : Cell.runsOf("j")) {
        Cell.endRun(Run, EndKind::Done);
        ++Ended;
      }
      Cell.runFor(300ms);
    }
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
    unsigned Failures = 0;
    for (const auto &[Name, Host] : Cell.Holder_.Workers_)
      Failures += Host.Health_.ConsecutiveFailures_;
    CPPUNIT_ASSERT(Failures > 0);
  }

  /// Guards against a worker that is quarantined for the other runs of a job
  /// that its first failure has ended.
  void runsOfAnEndedJobDoNotCount() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("bad", oneStep(8, OneAccelerator));
    Cell.View_.Jobs_.at("bad").Accepted_.MaxAttempts_ = 1;
    Cell.advance(100ms);
    failRuns(Cell, "bad");
    Cell.advance();
    CPPUNIT_ASSERT(Cell.stateOf("bad") == jobs::JobState::Failed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), quarantined(Cell));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttributionTest);
