#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Workers that list only some of their ends, because the record of the others
/// takes long.
class UnlistedEndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnlistedEndsTest);
  CPPUNIT_TEST(tasksWithUnlistedEndsAreNotRepeated);
  CPPUNIT_TEST(unlistedEndsFreeTheirResources);
  CPPUNIT_TEST(newHolderWaitsForUnlistedEnds);
  CPPUNIT_TEST(unlistedEndsOutlastTheLeasesOfEarlierHolders);
  CPPUNIT_TEST(missingRunsAreDroppedOnceAllEndsAreListed);
  CPPUNIT_TEST(refusedStartsAreNotTakenForEnds);
  CPPUNIT_TEST(lostWorkersUnlistedEndsAreRepeated);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t Tasks = 8;

  /// Starts all tasks of a job on one worker, which then lists two ends at a
  /// time, and ends them while the store is away.
  static void endAllTasks(FakeCell &Cell) {
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(Tasks, {8000, 1000, 1}));
    Cell.advance();
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks), Cell.runsOf("j").size());
    Cell.StoreAvailable_ = false;
    Cell.MaxListedEnds_ = 2;
    for (const RunId &Id : Cell.runsOf("j"))
      Cell.endRun(Id, EndKind::Done);
  }

  static std::size_t startsOf(const FakeCell &Cell, const std::string &Job) {
    std::size_t Starts = 0;
    for (const auto &[Host, Orders] : Cell.Orders_)
      for (const StartOrder &Order : Orders.Starts_)
        Starts += Order.Id_.Task_.Job_ == Job;
    return Starts;
  }

  static void restoreStore(FakeCell &Cell) {
    Cell.StoreAvailable_ = true;
    onAppended(Cell.Holder_);
  }

public:
  /// Guards against a second run of a task whose end a worker has not listed
  /// yet, because earlier ends fill its list.
  void tasksWithUnlistedEndsAreNotRepeated() {
    FakeCell Cell;
    endAllTasks(Cell);
    Cell.runFor(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks), startsOf(Cell, "j"));
    restoreStore(Cell);
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks), startsOf(Cell, "j"));
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Guards against workers that stay idle while their ends wait to be listed.
  void unlistedEndsFreeTheirResources() {
    FakeCell Cell;
    endAllTasks(Cell);
    Cell.acceptJob("k", oneStep(Tasks, {8000, 1000, 1}));
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks), Cell.runsOf("k").size());
  }

  /// Guards against a new holder that repeats the tasks of an earlier one whose
  /// ends the worker has not listed yet.
  void newHolderWaitsForUnlistedEnds() {
    FakeCell Cell;
    endAllTasks(Cell);
    Cell.advance();
    Cell.StoreAvailable_ = true;
    Cell.claimCell(Cell.Now_);
    Cell.runFor(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks), startsOf(Cell, "j"));
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Guards against the same when the store stays away for longer than the
  /// leases that the earlier holder has granted.
  void unlistedEndsOutlastTheLeasesOfEarlierHolders() {
    FakeCell Cell;
    endAllTasks(Cell);
    Cell.advance();
    Cell.claimCell(Cell.Now_);
    Cell.runFor(20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks), startsOf(Cell, "j"));
  }

  /// Guards against a task that waits for ever for an end that the worker does
  /// not have.
  void missingRunsAreDroppedOnceAllEndsAreListed() {
    FakeCell Cell;
    endAllTasks(Cell);
    Cell.runFor(300ms);
    Cell.Agents_.at("w0").Ended_.pop_back();
    restoreStore(Cell);
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Tasks + 1), startsOf(Cell, "j"));
    CPPUNIT_ASSERT(Cell.hasLogEvent("run_given_up"));
  }

  /// Guards against a task that waits for the list of ends although the worker
  /// has refused its start.
  void refusedStartsAreNotTakenForEnds() {
    FakeCell Cell;
    endAllTasks(Cell);
    Cell.advance();
    Cell.RefusesStarts_ = true;
    Cell.acceptJob("k", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(Cell, "k"));
    Cell.RefusesStarts_ = false;
    Cell.advance();
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("k").size());
  }

  /// Guards against tasks that never run again because their worker was lost
  /// before it could list their ends.
  void lostWorkersUnlistedEndsAreRepeated() {
    FakeCell Cell;
    endAllTasks(Cell);
    Cell.addWorker("w1", "r0");
    Cell.advance();
    restoreStore(Cell);
    Cell.Agents_.erase("w0");
    Cell.runFor(20s);
    CPPUNIT_ASSERT(startsOf(Cell, "j") > Tasks);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnlistedEndsTest);
