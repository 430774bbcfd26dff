#include "fakecell.h"
#include "nutmegwell/cell/load.h"
#include "nutmegwell/cell/placement.h"
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Jobs with far more tasks than can start: due occurrences, wide steps, and
/// tasks that need next to nothing.
class ManyTasksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManyTasksTest);
  CPPUNIT_TEST(dueOccurrencesTakeNoMemory);
  CPPUNIT_TEST(overdueOccurrencesDelayNoOtherJob);
  CPPUNIT_TEST(newestOccurrenceGoesFirst);
  CPPUNIT_TEST(allDueOccurrencesRun);
  CPPUNIT_TEST(wideStepTakesNoMemory);
  CPPUNIT_TEST(wideGangThatFitsNowhereTakesNoMemory);
  CPPUNIT_TEST(tasksWithoutNeedsAreBounded);
  CPPUNIT_TEST(tasksWithoutNeedsLeaveRoomForOtherJobs);
  CPPUNIT_TEST(hugeLoadIsAValidReport);
  CPPUNIT_TEST_SUITE_END();

  static constexpr jobs::OccurrenceNumber Endless = 1'000'000'000;

  /// A job that is due each minute since 1970, of which each occurrence takes a
  /// whole worker for 2 s.
  static jobs::JobSpec endlessJob() {
    return jobs::JobSpecBuilder()
        .step(1, {8000, 8000, 8}, 2s)
        .repeat(Endless, jobs::WallTime(), 60s)
        .build();
  }

  /// Starts a cell with two workers on a day 50 years after 1970.
  static void startLateCell(FakeCell &Cell) {
    Cell.Wall_ = jobs::WallTime(std::chrono::hours(24 * 365 * 50));
    startCell(Cell, 2);
  }

  static void endRuns(FakeCell &Cell, const std::string &Job) {
    for (const RunId &Id : Cell.runsOf(Job))
      Cell.endRun(Id, EndKind::Done);
    Cell.advance();
  }

public:
  /// Guards against a holder that exhausts its memory on the occurrences that
  /// are due: 26 million here.
  void dueOccurrencesTakeNoMemory() {
    FakeCell Cell;
    startLateCell(Cell);
    Cell.acceptJob("j", endlessJob());
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.Holder_.Jobs_.at("j").Progress_.BegunSteps_.empty());
  }

  /// Guards against a job whose objective is long past that keeps other jobs of
  /// its queue from starting.
  void overdueOccurrencesDelayNoOtherJob() {
    FakeCell Cell;
    startLateCell(Cell);
    Cell.acceptJob("j", endlessJob());
    Cell.advance();
    Cell.acceptJob("k", oneStep(2, {8000, 8000, 8}));
    endRuns(Cell, "j");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("k").size());
  }

  /// Guards against an occurrence that misses its objective because earlier
  /// ones, which have missed theirs, start before it.
  void newestOccurrenceGoesFirst() {
    FakeCell Cell;
    startLateCell(Cell);
    Cell.acceptJob("j", endlessJob());
    Cell.advance();
    const jobs::JobSpec Spec = endlessJob();
    const jobs::OccurrenceNumber Newest = Spec.dueCount(Cell.Wall_) - 1;
    CPPUNIT_ASSERT_EQUAL(jobs::OccurrenceNumber(0),
                         Cell.runsOf("j").at(0).Task_.Occurrence_);
    CPPUNIT_ASSERT_EQUAL(Newest, Cell.runsOf("j").at(1).Task_.Occurrence_);
  }

  /// Guards against due occurrences that are skipped or run twice.
  void allDueOccurrencesRun() {
    FakeCell Cell;
    startLateCell(Cell);
    constexpr jobs::OccurrenceNumber Repetitions = 300;
    jobs::JobSpec Spec = endlessJob();
    Spec.Repetitions_ = Repetitions;
    Cell.acceptJob("j", Spec);
    std::map<jobs::OccurrenceNumber, unsigned> Starts;
    for (int I = 0; I < 200 && !jobs::isFinal(Cell.stateOf("j")); ++I) {
      Cell.advance();
      for (const RunId &Id : Cell.runsOf("j"))
        ++Starts[Id.Task_.Occurrence_];
      endRuns(Cell, "j");
    }
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Repetitions), Starts.size());
    for (const auto &[Occurrence, Count] : Starts)
      CPPUNIT_ASSERT_EQUAL(1u, Count);
  }

  /// Guards against a holder that exhausts its memory on the tasks of a step.
  void wideStepTakesNoMemory() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1'000'000'000, {8000, 8000, 1}));
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(16), Cell.runsOf("j").size());
    endRuns(Cell, "j");
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(16), Cell.runsOf("j").size());
    CPPUNIT_ASSERT_EQUAL(16u, Cell.runsOf("j").at(0).Task_.Index_);
  }

  /// Guards against the same for the members of a gang.
  void wideGangThatFitsNowhereTakesNoMemory() {
    FakeCell Cell;
    startCell(Cell, 2);
    jobs::JobSpec Spec = oneStep(1'000'000'000, {});
    Spec.Steps_[0].Gang_ = true;
    Cell.acceptJob("j", Spec);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.acceptJob("k", oneStep(1, {8000, 8000, 8}));
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("k").size());
  }

  /// Guards against runs without end on a worker whose resources they do not
  /// use up.
  void tasksWithoutNeedsAreBounded() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1'000'000'000, {}));
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2 * MaxSmallRunsOfJob),
                         Cell.runsOf("j").size());
  }

  /// Guards against jobs that wait on idle workers because a job has filled the
  /// number of runs there.
  void tasksWithoutNeedsLeaveRoomForOtherJobs() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1'000'000'000, {}));
    Cell.runFor(300ms);
    Cell.acceptJob("small", oneStep(4, {10, 10, 0}));
    Cell.acceptJob("large", oneStep(2, {60000, 100000, 8}));
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("small").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("large").size());
  }

  /// Guards against a load that other hosts reject as malformed, so that they
  /// admit work without knowing the load.
  void hugeLoadIsAValidReport() {
    FakeCell Cell;
    startLateCell(Cell);
    jobs::JobSpec Spec = endlessJob();
    Spec.Interval_ = 1ms;
    Spec.Steps_[0].Estimate_ = std::chrono::hours(24 * 365);
    Cell.acceptJob("j", Spec);
    Cell.acceptJob("k", Spec);
    Cell.advance();
    const LoadReport Report =
        makeLoadReport("me", Cell.Holder_, Cell.context());
    CPPUNIT_ASSERT(isValid(Report));
    CPPUNIT_ASSERT(Report.Services_.at(0).Queues_.at(0).Expired_ > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManyTasksTest);
