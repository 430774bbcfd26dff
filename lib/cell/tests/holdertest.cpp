#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class HolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HolderTest);
  CPPUNIT_TEST(jobRunsToItsEnd);
  CPPUNIT_TEST(jobWithRefusedStartsStaysQueued);
  CPPUNIT_TEST(jobWhoseRunEndedAtOnceHasBegun);
  CPPUNIT_TEST(adoptedRunHasBegun);
  CPPUNIT_TEST(stepsWaitForEarlierOnes);
  CPPUNIT_TEST(gangStartsWholeUnderOneRun);
  CPPUNIT_TEST(failedMemberStopsTheGang);
  CPPUNIT_TEST(attemptsAreBounded);
  CPPUNIT_TEST(cancelledJobIsStopped);
  CPPUNIT_TEST(endIsAcknowledgedOnlyWhenDurable);
  CPPUNIT_TEST(endsOfAnEarlierIncarnationAcknowledgeNothing);
  CPPUNIT_TEST(stalledRunIsStopped);
  CPPUNIT_TEST(finishedMemberThatWaitsIsNotStalled);
  CPPUNIT_TEST(runsOfAnUnreachableWorkerAreStartedElsewhere);
  CPPUNIT_TEST(endedWorkerFreesItsTasksAtOnce);
  CPPUNIT_TEST(restartedAgentDoesNotEndItsWorker);
  CPPUNIT_TEST(unlistedWorkerIsListedAgainBeforeItsNextStart);
  CPPUNIT_TEST(drainingAndSilentWorkersAreClosed);
  CPPUNIT_TEST(closedWorkerIsReopenedBeforeItsNextStart);
  CPPUNIT_TEST(retryWaitsWhenAgentAndWorkerRestart);
  CPPUNIT_TEST(lateStartExtendsTheLeasesOfARestartedWorker);
  CPPUNIT_TEST(restartWithoutOpenStartsExtendsNoLease);
  CPPUNIT_TEST(domainOutGetsNoStart);
  CPPUNIT_TEST(occurrencesWaitForTheirTime);
  CPPUNIT_TEST_SUITE_END();

  static jobs::JobSpec gang(std::uint32_t Count, std::int64_t Accelerators) {
    return jobs::JobSpecBuilder()
        .step(Count, {1000, 1000, Accelerators}, 2s)
        .gang()
        .build();
  }

public:
  /// Guards against a job that never completes although all of its tasks have.
  void jobRunsToItsEnd() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(2, {1000, 1000, 1}));
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Queued);
    Cell.advance();
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Running);
    for (const RunId &Id : Cell.runsOf("j"))
      Cell.endRun(Id, EndKind::Done);
    Cell.advance();
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Guards against a job that is shown as running, and not counted as waiting,
  /// although its workers have refused every start.
  void jobWithRefusedStartsStaysQueued() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.RefusesStarts_ = true;
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.runFor(5s);
    CPPUNIT_ASSERT(Cell.hasLogEvent("start_refused"));
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Queued);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), jobs::waitingCount(Cell.View_, "q1"));
    Cell.RefusesStarts_ = false;
    Cell.runFor(10s);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Running);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), jobs::waitingCount(Cell.View_, "q1"));
  }

  /// Guards against a job that counts as waiting although a task has started:
  /// the run ended before the worker listed it as running.
  void jobWhoseRunEndedAtOnceHasBegun() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(2, {1000, 1000, 1}));
    Cell.advance();
    for (const RunId &Id : Cell.runsOf("j"))
      Cell.endRun(Id, EndKind::Failed);
    Cell.advance();
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Running);
  }

  /// Guards against the same when the holder that ordered the start ended
  /// before it learned that the task had started.
  void adoptedRunHasBegun() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.StoreAvailable_ = false;
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Queued);
    Cell.StoreAvailable_ = true;
    Cell.claimCell(Cell.Now_);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Running);
  }

  /// Guards against a start before the steps that it depends on.
  void stepsWaitForEarlierOnes() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", jobs::JobSpecBuilder()
                            .step(1, {1000, 1000, 1}, 1s)
                            .step(1, {1000, 1000, 1}, 1s)
                            .after({0})
                            .build());
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    CPPUNIT_ASSERT_EQUAL(0u, Cell.runsOf("j")[0].Task_.Step_);
    Cell.endRun(Cell.runsOf("j")[0], EndKind::Done);
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(1u, Cell.runsOf("j").at(0).Task_.Step_);
  }

  /// Guards against a gang of which only some members run.
  void gangStartsWholeUnderOneRun() {
    FakeCell Cell;
    startCell(Cell, 3);
    Cell.acceptJob("big", gang(4, 8));
    Cell.advance();
    CPPUNIT_ASSERT(Cell.runsOf("big").empty());
    Cell.acceptJob("fits", gang(3, 8));
    Cell.advance();
    const std::vector<RunId> Runs = Cell.runsOf("fits");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Runs.size());
    CPPUNIT_ASSERT(Runs[0].Run_ == Runs[1].Run_ &&
                   Runs[1].Run_ == Runs[2].Run_);
  }

  /// Guards against a gang that goes on without a failed member, and against a
  /// retry of that member alone.
  void failedMemberStopsTheGang() {
    FakeCell Cell;
    startCell(Cell, 3);
    Cell.acceptJob("j", gang(3, 8));
    Cell.advance();
    const std::vector<RunId> First = Cell.runsOf("j");
    Cell.endRun(First[1], EndKind::Failed);
    Cell.runFor(1s);
    const std::vector<RunId> Second = Cell.runsOf("j");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Second.size());
    CPPUNIT_ASSERT(Second[0].Run_ > First[0].Run_);
  }

  /// Guards against a start after the last allowed failure.
  void attemptsAreBounded() {
    FakeCell Cell;
    startCell(Cell, 6);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      Cell.runFor(500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
      Cell.endRun(Cell.runsOf("j")[0], EndKind::Failed);
    }
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Failed);
  }

  /// Guards against runs that outlive the cancellation of their job.
  void cancelledJobIsStopped() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(2, {1000, 1000, 1}));
    Cell.advance();
    jobs::applyRecord(Cell.View_,
                      {Cell.View_.NextOffset_, jobs::JobCancelled{"j"}});
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Cancelled);
  }

  /// Guards against a second run of a task: the worker must keep listing an end
  /// until it is durable, because a new holder learns of it only from there.
  void endIsAcknowledgedOnlyWhenDurable() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    Cell.StoreAvailable_ = false;
    Cell.endRun(Cell.runsOf("j")[0], EndKind::Done);
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.Agents_["w0"].Ended_.size());
    Cell.StoreAvailable_ = true;
    onAppended(Cell.Holder_);
    Cell.runFor(200ms);
    CPPUNIT_ASSERT(Cell.Agents_["w0"].Ended_.empty());
  }

  /// Guards against a second run of a task: each incarnation of a worker counts
  /// its ends anew, so that an append of before must not acknowledge new ends
  /// of the same numbers.
  void endsOfAnEarlierIncarnationAcknowledgeNothing() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("a", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    Cell.StoreAvailable_ = false;
    Cell.endRun(Cell.runsOf("a")[0], EndKind::Done);
    Cell.runFor(200ms);
    AgentReport &Report = Cell.Agents_["w0"];
    Report.Worker_->WorkerIncarnation_ = 2;
    Report.Ended_.clear();
    Cell.runFor(200ms);
    onAppended(Cell.Holder_);
    Cell.StoreAvailable_ = true;
    Cell.runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Cell.Orders_.back().second.AcknowledgedUpTo_);
  }

  /// Guards against a job that waits forever for a run that hangs.
  void stalledRunIsStopped() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    const RunId First = Cell.runsOf("j")[0];
    const std::string Host = Cell.hostOf(First);
    Cell.setProgress("j", 10);
    Cell.runFor(5s);
    CPPUNIT_ASSERT(Cell.hasLogEvent("run_stalled"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.hostOf(Cell.runsOf("j")[0]) != Host);
  }

  /// Guards against a stop shortly before the end of a run: it reports 100
  /// percent from the end of its declared work on, because declared times are
  /// far off and members of a gang wait for one another.
  void finishedMemberThatWaitsIsNotStalled() {
    FakeCell Cell;
    startCell(Cell, 3);
    Cell.acceptJob("j", gang(3, 8));
    Cell.advance();
    for (int Percent = 0; Percent <= 100; ++Percent) {
      Cell.setProgress("j", Percent);
      Cell.advance(100ms);
    }
    Cell.runFor(5s);
    CPPUNIT_ASSERT(!Cell.hasLogEvent("run_stalled"));
  }

  /// Guards against a job that waits forever: a worker can fail while its agent
  /// still reports.
  void runsOfAnUnreachableWorkerAreStartedElsewhere() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    const RunId First = Cell.runsOf("j")[0];
    const std::string Host = Cell.hostOf(First);
    Cell.Agents_[Host].WorkerReachable_ = false;
    Cell.runFor(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    Cell.runFor(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("j").size());
    CPPUNIT_ASSERT(Cell.hostOf(Cell.runsOf("j")[1]) != Host);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count(Host));
  }

  /// Guards against tasks that wait for the lease of a worker whose process has
  /// ended, and against a gang that goes on without the member there.
  void endedWorkerFreesItsTasksAtOnce() {
    FakeCell Cell;
    startCell(Cell, 3);
    Cell.acceptJob("j", gang(2, 8));
    Cell.advance();
    const std::vector<RunId> First = Cell.runsOf("j");
    const std::string Host = Cell.hostOf(First.at(0));
    Cell.Agents_[Host].Worker_.reset();
    Cell.Agents_[Host].Running_.clear();
    Cell.runFor(500ms);
    const std::vector<RunId> Second = Cell.runsOf("j");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Second.size());
    CPPUNIT_ASSERT(Second[0].Run_ > First[0].Run_);
    for (const RunId &Id : Second)
      CPPUNIT_ASSERT(Cell.hostOf(Id) != Host);
  }

  /// Guards against two runs of a task: an agent that has just started does not
  /// know its worker yet, which may be running.
  void restartedAgentDoesNotEndItsWorker() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 8}));
    Cell.advance();
    const RunId First = Cell.runsOf("j").at(0);
    AgentReport &Report = Cell.Agents_[Cell.hostOf(First)];
    Report.AgentIncarnation_ = 2;
    Report.Worker_.reset();
    Report.Running_.clear();
    Report.Term_ = 0;
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
  }

  /// Fails unless a new job waits while the store is down, and starts when it
  /// is up again.
  static void expectStartWhenStoreReturns(FakeCell &Cell) {
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.StoreAvailable_ = true;
    onAppended(Cell.Holder_);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against a start on a worker that the next holder would consider
  /// empty.
  void unlistedWorkerIsListedAgainBeforeItsNextStart() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.Agents_["w0"].WorkerReachable_ = false;
    Cell.StoreAvailable_ = false;
    Cell.runFor(7s);
    CPPUNIT_ASSERT(emptyWorkers(Cell.Holder_) ==
                   std::vector<std::string>{"w0"});
    Cell.Agents_["w0"].WorkerReachable_ = true;
    expectStartWhenStoreReturns(Cell);
  }

  /// Guards against a new holder that does not know which tasks a draining or
  /// silent worker may run.
  void drainingAndSilentWorkersAreClosed() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(2, {40000, 1000, 1}));
    Cell.advance();
    Cell.Agents_["w0"].Worker_->Draining_ = true;
    Cell.runFor(200ms);
    CPPUNIT_ASSERT(Cell.View_.Workers_.at("w0").Closed_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Cell.View_.Workers_.at("w0").Tasks_.size());
    const AgentReport Silent = Cell.Agents_["w1"];
    Cell.Agents_.erase("w1");
    Cell.runFor(2900ms);
    CPPUNIT_ASSERT(!Cell.View_.Workers_.at("w1").Closed_);
    Cell.runFor(400ms);
    CPPUNIT_ASSERT(Cell.View_.Workers_.at("w1").Closed_);
    Cell.Agents_["w1"] = Silent;
    Cell.runFor(400ms);
    CPPUNIT_ASSERT(!Cell.View_.Workers_.at("w1").Closed_);
  }

  /// Guards against a start on a worker that the next holder would consider
  /// closed.
  void closedWorkerIsReopenedBeforeItsNextStart() {
    FakeCell Cell;
    startCell(Cell, 1);
    const AgentReport Silent = Cell.Agents_["w0"];
    Cell.Agents_.erase("w0");
    Cell.runFor(3300ms);
    CPPUNIT_ASSERT(Cell.View_.Workers_.at("w0").Closed_);
    Cell.Agents_["w0"] = Silent;
    Cell.StoreAvailable_ = false;
    expectStartWhenStoreReturns(Cell);
  }

  /// Guards against two runs of a task: when an agent restarts, its pending
  /// starts may have reached the worker's new incarnation.
  void retryWaitsWhenAgentAndWorkerRestart() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    AgentReport &Agent = Cell.Agents_["w0"];
    Agent.Running_.clear();
    Agent.AgentIncarnation_ = 2;
    Agent.Worker_->WorkerIncarnation_ = 2;
    Cell.runFor(1500ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.runFor(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Lets w0 restart under its id, with \p Open start orders that it has not
  /// listed, takes up work and falls silent. Returns the time until that work
  /// is given up.
  static core::Duration silenceAfterRestart(std::uint32_t Open) {
    FakeCell Cell;
    startCell(Cell, 2);
    if (Open > 0)
      Cell.acceptJob("open", oneStep(Open, {1000, 1000, 1}));
    Cell.advance();
    AgentReport &Agent = Cell.Agents_["w0"];
    Agent.Running_.clear();
    Agent.Worker_->WorkerIncarnation_ = 2;
    Cell.advance();
    Cell.acceptJob("j", oneStep(1, {1000, 1000, 8}));
    Cell.acceptJob("k", oneStep(1, {1000, 1000, 8}));
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(!Agent.Running_.empty());
    Cell.Agents_.erase("w0");
    Cell.LogEvents_.clear();
    const core::TimePoint Since = Cell.Now_;
    while (!Cell.hasLogEvent("run_given_up") && Cell.Now_ - Since < 30s)
      Cell.advance(100ms);
    return Cell.Now_ - Since;
  }

  /// Guards against two runs of a task: a start that was sent to a worker after
  /// its restart and before that was known has a deadline of the earlier clock,
  /// and extends the leases there when it is carried out, up to 12 s late.
  void lateStartExtendsTheLeasesOfARestartedWorker() {
    CPPUNIT_ASSERT(silenceAfterRestart(1) >= 18s);
    CPPUNIT_ASSERT(silenceAfterRestart(1) <= 19s);
  }

  /// Guards against tasks that wait for a late start although none can come.
  void restartWithoutOpenStartsExtendsNoLease() {
    CPPUNIT_ASSERT(silenceAfterRestart(0) <= 6500ms);
  }

  /// Guards against starts in a failure domain that is out of service.
  void domainOutGetsNoStart() {
    FakeCell Cell;
    Cell.addWorker("w0", "r0", "a");
    Cell.addWorker("w1", "r1", "b");
    Cell.claimCell();
    Cell.runFor(300ms);
    Cell.OutOfServiceDomains_.insert("a");
    Cell.acceptJob("j", oneStep(4, {1000, 1000, 1}));
    Cell.advance();
    for (const RunId &Id : Cell.runsOf("j"))
      CPPUNIT_ASSERT_EQUAL(std::string("w1"), Cell.hostOf(Id));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("j").size());
  }

  /// Guards against a start before an occurrence is due.
  void occurrencesWaitForTheirTime() {
    FakeCell Cell;
    startCell(Cell, 1);
    jobs::JobSpec Spec = oneStep(1, {1000, 1000, 1});
    Spec.Repetitions_ = 2;
    Spec.FirstDue_ = Cell.Wall_ + 1s;
    Spec.Interval_ = 2s;
    Cell.acceptJob("j", Spec);
    Cell.runFor(900ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    Cell.endRun(Cell.runsOf("j")[0], EndKind::Done);
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(jobs::OccurrenceNumber(1),
                         Cell.runsOf("j").at(0).Task_.Occurrence_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderTest);
