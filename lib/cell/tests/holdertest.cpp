#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class HolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HolderTest);
  CPPUNIT_TEST(jobRunsToItsEnd);
  CPPUNIT_TEST(stepsWaitForEarlierOnes);
  CPPUNIT_TEST(gangStartsWholeUnderOneRun);
  CPPUNIT_TEST(failedMemberStopsTheGang);
  CPPUNIT_TEST(attemptsAreBounded);
  CPPUNIT_TEST(cancelledJobIsStopped);
  CPPUNIT_TEST(endIsAcknowledgedOnlyWhenDurable);
  CPPUNIT_TEST(endsOfAnEarlierLifeAcknowledgeNothing);
  CPPUNIT_TEST(stalledRunIsStopped);
  CPPUNIT_TEST(finishedMemberThatWaitsIsNotStalled);
  CPPUNIT_TEST(runsOfAWorkerThatItsAgentCannotHearAreStartedElsewhere);
  CPPUNIT_TEST(newHolderWaitsForWorkersThatItCannotHear);
  CPPUNIT_TEST(newHolderTakesOverWhatRuns);
  CPPUNIT_TEST(voidWorkerHoldsNothingBack);
  CPPUNIT_TEST(givenUpWorkerIsListedAgainBeforeItsNextStart);
  CPPUNIT_TEST(closedWorkerHoldsBackOnlyItsTasks);
  CPPUNIT_TEST(leavingAndSilentWorkersAreClosed);
  CPPUNIT_TEST(closedWorkerIsOpenedBeforeItsNextStart);
  CPPUNIT_TEST(startsAroundNewLivesOfAgentAndWorkerAreWaitedFor);
  CPPUNIT_TEST(domainOutGetsNoStart);
  CPPUNIT_TEST(occurrencesWaitForTheirTime);
  CPPUNIT_TEST_SUITE_END();

  static jobs::JobSpec oneStep(std::uint32_t Count, jobs::Resources Each) {
    return jobs::JobSpecBuilder().command("c").step(Count, Each, 2s).build();
  }

  static jobs::JobSpec gang(std::uint32_t Count, std::int64_t Accelerators) {
    return jobs::JobSpecBuilder()
        .step(Count, {1000, 1000, Accelerators}, 2s)
        .gang()
        .build();
  }

  /// Starts a cell with \p Workers workers, three on a rack.
  static void start(FakeCell &Cell, int Workers) {
    for (int I = 0; I < Workers; ++I)
      Cell.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 3));
    Cell.claim();
    Cell.run(300ms);
  }

public:
  void jobRunsToItsEnd() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("j", oneStep(2, {1000, 1000, 1}));
    Cell.step();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Running);
    for (const RunId &Id : Cell.runsOf("j"))
      Cell.end(Id, EndKind::Done);
    Cell.step();
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Guards against a start before the steps that it depends on.
  void stepsWaitForEarlierOnes() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("j", jobs::JobSpecBuilder()
                         .step(1, {1000, 1000, 1}, 1s)
                         .step(1, {1000, 1000, 1}, 1s)
                         .after({0})
                         .build());
    Cell.step();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    CPPUNIT_ASSERT_EQUAL(0u, Cell.runsOf("j")[0].Task_.Step_);
    Cell.end(Cell.runsOf("j")[0], EndKind::Done);
    Cell.step();
    CPPUNIT_ASSERT_EQUAL(1u, Cell.runsOf("j").at(0).Task_.Step_);
  }

  /// Guards against a gang of which only some members run.
  void gangStartsWholeUnderOneRun() {
    FakeCell Cell;
    start(Cell, 3);
    Cell.accept("big", gang(4, 8));
    Cell.step();
    CPPUNIT_ASSERT(Cell.runsOf("big").empty());
    Cell.accept("fits", gang(3, 8));
    Cell.step();
    const std::vector<RunId> Runs = Cell.runsOf("fits");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Runs.size());
    CPPUNIT_ASSERT(Runs[0].Run_ == Runs[1].Run_ &&
                   Runs[1].Run_ == Runs[2].Run_);
  }

  void failedMemberStopsTheGang() {
    FakeCell Cell;
    start(Cell, 3);
    Cell.accept("j", gang(3, 8));
    Cell.step();
    const std::vector<RunId> First = Cell.runsOf("j");
    Cell.end(First[1], EndKind::Failed);
    Cell.run(1s);
    const std::vector<RunId> Second = Cell.runsOf("j");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Second.size());
    CPPUNIT_ASSERT(Second[0].Run_ > First[0].Run_);
  }

  /// Guards against a start after the last allowed failure.
  void attemptsAreBounded() {
    FakeCell Cell;
    start(Cell, 6);
    Cell.accept("j", oneStep(1, {1000, 1000, 1}));
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      Cell.run(500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
      Cell.end(Cell.runsOf("j")[0], EndKind::Failed);
    }
    Cell.run(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Failed);
  }

  void cancelledJobIsStopped() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("j", oneStep(2, {1000, 1000, 1}));
    Cell.step();
    jobs::applyRecord(Cell.View_,
                      {Cell.View_.NextOffset_, jobs::JobCancelled{"j"}});
    Cell.run(300ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Cancelled);
  }

  /// Guards against a second run of a task: the worker must keep listing an end
  /// until it is durable, because a new holder learns of it only from there.
  void endIsAcknowledgedOnlyWhenDurable() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("j", oneStep(1, {1000, 1000, 1}));
    Cell.step();
    Cell.StoreWorks_ = false;
    Cell.end(Cell.runsOf("j")[0], EndKind::Done);
    Cell.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.Agents_["w0"].Ended_.size());
    Cell.StoreWorks_ = true;
    onAppended(Cell.Holder_);
    Cell.run(200ms);
    CPPUNIT_ASSERT(Cell.Agents_["w0"].Ended_.empty());
  }

  /// Guards against a second run of a task: each incarnation of a worker counts
  /// its ends anew, so that an append of before must not acknowledge new ends
  /// of the same numbers.
  void endsOfAnEarlierLifeAcknowledgeNothing() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("a", oneStep(1, {1000, 1000, 1}));
    Cell.step();
    Cell.StoreWorks_ = false;
    Cell.end(Cell.runsOf("a")[0], EndKind::Done);
    Cell.run(200ms);
    AgentReport &Report = Cell.Agents_["w0"];
    Report.Worker_->WorkerIncarnation_ = 2;
    Report.Ended_.clear();
    Cell.run(200ms);
    onAppended(Cell.Holder_);
    Cell.StoreWorks_ = true;
    Cell.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Cell.Orders_.back().second.AcknowledgedUpTo_);
  }

  /// Guards against a job that waits forever for a run that hangs.
  void stalledRunIsStopped() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.accept("j", oneStep(1, {1000, 1000, 1}));
    Cell.step();
    const RunId First = Cell.runsOf("j")[0];
    const std::string Host = Cell.hostOf(First);
    Cell.progress("j", 10);
    Cell.run(5s);
    CPPUNIT_ASSERT(Cell.decided("run_stalled"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.hostOf(Cell.runsOf("j")[0]) != Host);
  }

  /// Guards against a stop shortly before the end of a run: it reports 100
  /// percent from the end of its declared work on, because declared times are
  /// far off and members of a gang wait for one another.
  void finishedMemberThatWaitsIsNotStalled() {
    FakeCell Cell;
    start(Cell, 3);
    Cell.accept("j", gang(3, 8));
    Cell.step();
    for (int Percent = 0; Percent <= 100; ++Percent) {
      Cell.progress("j", Percent);
      Cell.step(100ms);
    }
    Cell.run(5s);
    CPPUNIT_ASSERT(!Cell.decided("run_stalled"));
  }

  /// Guards against a job that waits forever: a worker can fail while its agent
  /// still reports.
  void runsOfAWorkerThatItsAgentCannotHearAreStartedElsewhere() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.accept("j", oneStep(1, {1000, 1000, 1}));
    Cell.step();
    const RunId First = Cell.runsOf("j")[0];
    const std::string Host = Cell.hostOf(First);
    Cell.Agents_[Host].WorkerReachable_ = false;
    Cell.run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    Cell.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.hostOf(Cell.runsOf("j")[1]) != Host);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count(Host));
  }

  /// Lists the worker "lost", for which no agent reports, and accepts a job
  /// before the claim.
  static void prepareTakeover(FakeCell &Cell) {
    Cell.addWorker("w0", "r0");
    for (const char *Host : {"w0", "lost"})
      jobs::applyRecord(Cell.View_,
                        {Cell.View_.NextOffset_,
                         jobs::WorkerListed{Host, "a", true, false, {}}});
    Cell.accept("old", oneStep(1, {1000, 1000, 1}));
  }

  /// Guards against a second run of a task that still runs on a worker which a
  /// new holder cannot reach. The bound is a lease of 6 s on a clock that is 2%
  /// slow, plus 0.2 s.
  void newHolderWaitsForWorkersThatItCannotHear() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.claim(Cell.Now_);
    Cell.accept("new", oneStep(1, {1000, 1000, 1}));
    Cell.run(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("new").size());
    Cell.run(6000ms);
    CPPUNIT_ASSERT(Cell.runsOf("old").empty());
    Cell.run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count("lost"));
  }

  /// Guards against work that is discarded when the holder changes.
  void newHolderTakesOverWhatRuns() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("j", oneStep(1, {1000, 1000, 1}));
    Cell.step();
    const RunId First = Cell.runsOf("j")[0];
    Cell.claim(Cell.Now_);
    Cell.run(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j") == std::vector<RunId>{First});
    Cell.end(First, EndKind::Done);
    Cell.run(200ms);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Guards against jobs that wait for workers on which nothing runs any more,
  /// as the earlier holder knew, but could not record while the store was down.
  void voidWorkerHoldsNothingBack() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.claim(Cell.Now_, {"lost"});
    Cell.run(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count("lost"));
  }

  /// Fails unless a new job waits while the store is down, and starts when it
  /// is up again.
  static void expectStartOnlyWithTheStore(FakeCell &Cell) {
    Cell.accept("j", oneStep(1, {1000, 1000, 1}));
    Cell.run(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.StoreWorks_ = true;
    onAppended(Cell.Holder_);
    Cell.run(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against a start on a worker that the next holder would consider
  /// empty.
  void givenUpWorkerIsListedAgainBeforeItsNextStart() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.Agents_["w0"].WorkerReachable_ = false;
    Cell.StoreWorks_ = false;
    Cell.run(7s);
    CPPUNIT_ASSERT(emptyWorkers(Cell.Holder_) ==
                   std::vector<std::string>{"w0"});
    Cell.Agents_["w0"].WorkerReachable_ = true;
    expectStartOnlyWithTheStore(Cell);
  }

  /// Guards against all jobs waiting for one closed worker: only the tasks
  /// recorded for it wait until its leases have expired.
  void closedWorkerHoldsBackOnlyItsTasks() {
    FakeCell Cell;
    prepareTakeover(Cell);
    Cell.accept("there", oneStep(2, {1000, 1000, 1}));
    jobs::applyRecord(
        Cell.View_, {Cell.View_.NextOffset_,
                     jobs::WorkerListed{
                         "lost", "a", true, true, {TaskId{"there", 0, 0, 1}}}});
    Cell.claim(Cell.Now_);
    Cell.run(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("old").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("there").size());
    CPPUNIT_ASSERT_EQUAL(0u, Cell.runsOf("there")[0].Task_.Index_);
    Cell.end(Cell.runsOf("there")[0], EndKind::Done);
    Cell.run(6200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("there").size());
    CPPUNIT_ASSERT_EQUAL(1u, Cell.runsOf("there")[0].Task_.Index_);
  }

  /// Guards against a new holder that does not know which tasks a draining or
  /// silent worker may run.
  void leavingAndSilentWorkersAreClosed() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.accept("j", oneStep(2, {40000, 1000, 1}));
    Cell.step();
    Cell.Agents_["w0"].Worker_->Draining_ = true;
    Cell.run(200ms);
    CPPUNIT_ASSERT(Cell.View_.Workers_.at("w0").Closed_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Cell.View_.Workers_.at("w0").Tasks_.size());
    const AgentReport Silent = Cell.Agents_["w1"];
    Cell.Agents_.erase("w1");
    Cell.run(2900ms);
    CPPUNIT_ASSERT(!Cell.View_.Workers_.at("w1").Closed_);
    Cell.run(400ms);
    CPPUNIT_ASSERT(Cell.View_.Workers_.at("w1").Closed_);
    Cell.Agents_["w1"] = Silent;
    Cell.run(400ms);
    CPPUNIT_ASSERT(!Cell.View_.Workers_.at("w1").Closed_);
  }

  /// Guards against a start on a worker that the next holder would consider
  /// closed.
  void closedWorkerIsOpenedBeforeItsNextStart() {
    FakeCell Cell;
    start(Cell, 1);
    const AgentReport Silent = Cell.Agents_["w0"];
    Cell.Agents_.erase("w0");
    Cell.run(3300ms);
    CPPUNIT_ASSERT(Cell.View_.Workers_.at("w0").Closed_);
    Cell.Agents_["w0"] = Silent;
    Cell.StoreWorks_ = false;
    expectStartOnlyWithTheStore(Cell);
  }

  /// Guards against two runs of a task: when an agent restarts, its pending
  /// starts may have reached the worker's new incarnation.
  void startsAroundNewLivesOfAgentAndWorkerAreWaitedFor() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.accept("j", oneStep(1, {1000, 1000, 1}));
    Cell.step();
    AgentReport &Agent = Cell.Agents_["w0"];
    Agent.Running_.clear();
    Agent.AgentIncarnation_ = 2;
    Agent.Worker_->WorkerIncarnation_ = 2;
    Cell.run(1500ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  void domainOutGetsNoStart() {
    FakeCell Cell;
    Cell.addWorker("w0", "r0", "a");
    Cell.addWorker("w1", "r1", "b");
    Cell.claim();
    Cell.run(300ms);
    Cell.OutOfServiceDomains_.insert("a");
    Cell.accept("j", oneStep(4, {1000, 1000, 1}));
    Cell.step();
    for (const RunId &Id : Cell.runsOf("j"))
      CPPUNIT_ASSERT_EQUAL(std::string("w1"), Cell.hostOf(Id));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("j").size());
  }

  /// Guards against a start before an occurrence is due.
  void occurrencesWaitForTheirTime() {
    FakeCell Cell;
    start(Cell, 1);
    jobs::JobSpec Spec = oneStep(1, {1000, 1000, 1});
    Spec.Repetitions_ = 2;
    Spec.FirstDue_ = Cell.Wall_ + 1s;
    Spec.Interval_ = 2s;
    Cell.accept("j", Spec);
    Cell.run(900ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.run(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    Cell.end(Cell.runsOf("j")[0], EndKind::Done);
    Cell.run(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.run(1s);
    CPPUNIT_ASSERT_EQUAL(1u, Cell.runsOf("j").at(0).Task_.Occurrence_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderTest);
