#include "fakecell.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class TakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverTest);
  CPPUNIT_TEST(expiredLeaseIsConfirmedBeforeItsRunsAreGivenUp);
  CPPUNIT_TEST(earlierRunsEndOnlyWhenConfirmed);
  CPPUNIT_TEST(endOfAReconnectedWorkerIsConfirmed);
  CPPUNIT_TEST(newHolderWaitsForUnreachableWorkers);
  CPPUNIT_TEST(newHolderDoesNotWaitForEndedWorkers);
  CPPUNIT_TEST(newHolderWaitsForWorkersOfRestartedAgents);
  CPPUNIT_TEST(workerThatEndsBeforeItIsSyncedDelaysNoJob);
  CPPUNIT_TEST(newHolderAdoptsRuns);
  CPPUNIT_TEST(emptyWorkerDelaysNoJob);
  CPPUNIT_TEST(closedWorkerDelaysOnlyItsTasks);
  CPPUNIT_TEST(recordedFailuresAreCountedOnce);
  CPPUNIT_TEST(recordedGangFailuresAreCountedOnce);
  CPPUNIT_TEST(onlyRepeatedFailuresHaveARecord);
  CPPUNIT_TEST_SUITE_END();

  /// Lists the worker "lost", for which no agent reports, and accepts a job
  /// before the claim.
  static void prepareTakeover(FakeCell &Cell) {
    Cell.addWorker("w0", "r0");
    for (const char *Host : {"w0", "lost"})
      jobs::applyRecord(Cell.View_,
                        {Cell.View_.NextOffset_,
                         jobs::WorkerListed{Host, "a", true, false, {}}});
    Cell.acceptJob("old", oneStep(1, {1000, 1000, 1}));
  }

  /// Lets every run of a job fail, and returns the ends by host.
  static std::map<std::string, EndedTask> failRuns(FakeCell &Cell,
                                                   const std::string &Job) {
    std::map<std::string, EndedTask> Ends;
    for (const RunId &Run : Cell.runsOf(Job)) {
      const std::string Host = Cell.hostOf(Run);
      Cell.endRun(Run, EndKind::Failed);
      Ends[Host] = Cell.Agents_[Host].Ended_.back();
    }
    // The next attempt starts after the backoff.
    Cell.runFor(300ms);
    return Ends;
  }

  /// Checks that a job with two failures of three goes on after a takeover at
  /// which the workers list both again, and that the third one ends it.
  static void checkRelistedFailures(const jobs::JobSpec &Spec) {
    FakeCell Cell;
    startCell(Cell, 6);
    Cell.acceptJob("j", Spec);
    Cell.advance();
    const auto First = failRuns(Cell, "j");
    const auto Second = failRuns(Cell, "j");
    CPPUNIT_ASSERT(!First.empty() && !Second.empty());
    const std::vector<RunId> Third = Cell.runsOf("j");
    Cell.claimCell(Cell.Now_);
    for (const auto &Ends : {First, Second})
      for (const auto &[Host, End] : Ends)
        Cell.Agents_[Host].Ended_.push_back(End);
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Running);
    CPPUNIT_ASSERT(Cell.runsOf("j") == Third);
    failRuns(Cell, "j");
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Failed);
  }

public:
  /// Guards against a job that fails before its last attempt: a worker lists an
  /// end again when the holder has recorded it and ends before the worker has
  /// the acknowledgement.
  void recordedFailuresAreCountedOnce() {
    checkRelistedFailures(oneStep(1, {1000, 1000, 1}));
  }

  /// Guards against the same for a gang, whose members share a run.
  void recordedGangFailuresAreCountedOnce() {
    checkRelistedFailures(jobs::JobSpecBuilder()
                              .command("c")
                              .step(2, {1000, 1000, 8}, 2s)
                              .gang()
                              .build());
  }

  /// Guards against a record for each failure, and against progress that is
  /// durable without the failures that it counts.
  void onlyRepeatedFailuresHaveARecord() {
    FakeCell Cell;
    startCell(Cell, 3);
    Cell.acceptJob("j", oneStep(2, {1000, 1000, 1}));
    Cell.advance();
    failRuns(Cell, "j");
    auto IsFailure = [](const jobs::Record &Record) {
      return std::holds_alternative<jobs::FailuresCounted>(Record);
    };
    CPPUNIT_ASSERT(
        std::none_of(Cell.Records_.begin(), Cell.Records_.end(), IsFailure));
    const RunId Repeated = Cell.runsOf("j")[0];
    const RunNumber First =
        Cell.View_.Jobs_.at("j").Progress_.find(0, 0)->Tasks_.at(0).FailedRun_;
    Cell.endRun(Repeated, EndKind::Failed);
    Cell.Records_.clear();
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.Records_.size() >= 2);
    const auto *Failures =
        std::get_if<jobs::FailuresCounted>(&Cell.Records_[0]);
    CPPUNIT_ASSERT(Failures);
    CPPUNIT_ASSERT((Failures->Runs_ == jobs::EarlierFailures{{0, {First}}}));
    CPPUNIT_ASSERT(
        std::holds_alternative<jobs::JobProgressed>(Cell.Records_[1]));
  }

  /// Guards against two runs of a task: another host may have claimed the cell
  /// and extended the lease since the store last confirmed the tenure.
  void expiredLeaseIsConfirmedBeforeItsRunsAreGivenUp() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    Cell.Agents_[Cell.hostOf(Cell.runsOf("j")[0])].WorkerReachable_ = false;
    Cell.runFor(3s);
    // The lease ends before the tenure does.
    Cell.TenureConfirmed_ = false;
    Cell.runFor(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    Cell.TenureConfirmed_ = true;
    Cell.runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("j").size());
  }

  /// Guards against two runs of a task: a third holder may have taken over the
  /// runs that the second one waits for.
  void earlierRunsEndOnlyWhenConfirmed() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.claimCell(Cell.Now_);
    Cell.runFor(1s);
    Cell.TenureConfirmed_ = false;
    Cell.runFor(5900ms);
    CPPUNIT_ASSERT(Cell.runsOf("old").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.View_.Workers_.count("lost"));
    CPPUNIT_ASSERT(Cell.WakeAt_ > Cell.Now_);
    Cell.TenureConfirmed_ = true;
    Cell.runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
  }

  /// Guards against two runs of a task: while its agent was not connected, the
  /// worker may have ended a run under another holder and then restarted.
  void endOfAReconnectedWorkerIsConfirmed() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 8}));
    Cell.advance();
    const std::string Host = Cell.hostOf(Cell.runsOf("j")[0]);
    AgentReport &Report = Cell.Agents_[Host];
    Cell.TenureConfirmed_ = false;
    onAgentDisconnected(Cell.Holder_, Host);
    Report.Worker_->WorkerIncarnation_ = 2;
    Report.Running_.clear();
    Report.Term_ = 0;
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.TenureConfirmed_ = true;
    Cell.runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against a second run of a task that still runs on a worker which a
  /// new holder cannot reach. The bound is a lease of 6 s on a clock that is 2%
  /// slow, plus 0.2 s.
  void newHolderWaitsForUnreachableWorkers() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.claimCell(Cell.Now_);
    Cell.acceptJob("new", oneStep(1, {1000, 1000, 1}));
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("new").size());
    Cell.runFor(6000ms);
    CPPUNIT_ASSERT(Cell.runsOf("old").empty());
    Cell.runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count("lost"));
  }

  /// Guards against jobs that wait for the leases of a worker whose process has
  /// ended, as its agent tells the new holder.
  void newHolderDoesNotWaitForEndedWorkers() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.claimCell(Cell.Now_);
    Cell.Agents_["lost"].Host_ = "lost";
    Cell.EndedWorkers_ = {"lost"};
    Cell.runFor(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count("lost"));
  }

  /// Guards against two runs of a task: an agent that has just started does not
  /// know its worker yet, which may be running the task.
  void newHolderWaitsForWorkersOfRestartedAgents() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.claimCell(Cell.Now_);
    Cell.Agents_["lost"].Host_ = "lost";
    Cell.runFor(6s);
    CPPUNIT_ASSERT(Cell.runsOf("old").empty());
  }

  /// Guards against the wait for leases when a worker ends after the new holder
  /// has heard of it, and before the worker has adopted the term.
  void workerThatEndsBeforeItIsSyncedDelaysNoJob() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.addWorker("lost", "r1");
    Cell.claimCell(Cell.Now_);
    Cell.Agents_["lost"].Term_ = 0;
    Cell.advance();
    Cell.Agents_["lost"].Worker_.reset();
    Cell.Agents_["lost"].Term_ = 0;
    Cell.EndedWorkers_ = {"lost"};
    Cell.runFor(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count("lost"));
  }

  /// Guards against work that is discarded when the holder changes.
  void newHolderAdoptsRuns() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    const RunId First = Cell.runsOf("j")[0];
    Cell.claimCell(Cell.Now_);
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j") == std::vector<RunId>{First});
    Cell.endRun(First, EndKind::Done);
    Cell.runFor(200ms);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Guards against jobs that wait for workers on which nothing runs any more,
  /// as the earlier holder knew, but could not record while the store was down.
  void emptyWorkerDelaysNoJob() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.claimCell(Cell.Now_, {"lost"});
    Cell.runFor(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count("lost"));
  }

  /// Guards against all jobs waiting for one closed worker: only the tasks
  /// recorded for it wait until its leases have expired.
  void closedWorkerDelaysOnlyItsTasks() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.acceptJob("there", oneStep(2, {1000, 1000, 1}));
    jobs::applyRecord(
        Cell.View_, {Cell.View_.NextOffset_,
                     jobs::WorkerListed{
                         "lost", "a", true, true, {TaskId{"there", 0, 0, 1}}}});
    Cell.claimCell(Cell.Now_);
    Cell.runFor(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("there").size());
    CPPUNIT_ASSERT_EQUAL(0u, Cell.runsOf("there")[0].Task_.Index_);
    Cell.endRun(Cell.runsOf("there")[0], EndKind::Done);
    Cell.runFor(6200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("there").size());
    CPPUNIT_ASSERT_EQUAL(1u, Cell.runsOf("there")[0].Task_.Index_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);
