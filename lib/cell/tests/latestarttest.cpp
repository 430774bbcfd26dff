#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// A holder and a worker whose process has ended after a start that got no
/// response. The next process under the same id may carry the start out.
class LateStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateStartTest);
  CPPUNIT_TEST(taskWaitsForItsLateStart);
  CPPUNIT_TEST(fencedStartFreesItsTask);
  CPPUNIT_TEST(expiredStartFreesItsTask);
  CPPUNIT_TEST(lostAgentFreesTheTaskAfterTheLongestLease);
  CPPUNIT_TEST(restartedAgentFreesTheTaskAfterTheLongestLease);
  CPPUNIT_TEST(otherTasksOfTheWorkerDoNotWait);
  CPPUNIT_TEST(gangWaitsForItsLateMember);
  CPPUNIT_TEST(nextHolderKnowsTheLateStart);
  CPPUNIT_TEST(startsOfARestartedAgentAreFenced);
  CPPUNIT_TEST(fencesCoverRunsThatHaveEnded);
  CPPUNIT_TEST(oldStartsAreNotFenced);
  CPPUNIT_TEST(agentThatGoesOnFencesItsStartsItself);
  CPPUNIT_TEST_SUITE_END();

  /// Starts a job's tasks on w0 and w1 and lets the worker of the first end
  /// while its start is pending. Returns that worker's host.
  static std::string endWorkerOfPendingStart(FakeCell &Cell,
                                             const jobs::JobSpec &Spec) {
    startCell(Cell, 2);
    Cell.acceptJob("j", Spec);
    Cell.advance();
    const RunId Late = Cell.runsOf("j").at(0);
    const std::string Host = Cell.hostOf(Late);
    AgentReport &Report = Cell.Agents_[Host];
    Report.Running_.clear();
    Report.Pending_ = {Late};
    Report.Worker_.reset();
    Report.Term_ = 0;
    return Host;
  }

  /// Returns how many starts of a job's tasks were ordered.
  static std::size_t startsOf(const FakeCell &Cell, const std::string &Job) {
    std::size_t Count = 0;
    for (const auto &[Host, Orders] : Cell.Orders_)
      for (const StartOrder &Order : Orders.Starts_)
        Count += Order.Id_.Task_.Job_ == Job;
    return Count;
  }

  static jobs::JobSpec oneTask() { return oneStep(1, {1000, 1000, 8}); }

public:
  /// Guards against two runs of a task at the same time.
  void taskWaitsForItsLateStart() {
    FakeCell Cell;
    endWorkerOfPendingStart(Cell, oneTask());
    Cell.runFor(11s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(Cell, "j"));
  }

  /// Guards against a task that waits longer than it has to: the agent has
  /// fenced the start on the worker's next process.
  void fencedStartFreesItsTask() {
    FakeCell Cell;
    const std::string Host = endWorkerOfPendingStart(Cell, oneTask());
    Cell.runFor(1s);
    Cell.addWorker(Host, "r0");
    Cell.Agents_[Host].Worker_->WorkerIncarnation_ = 2;
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.Agents_[Host].Pending_.clear();
    Cell.runFor(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against a task that waits for good for a worker that never returns.
  void expiredStartFreesItsTask() {
    FakeCell Cell;
    const std::string Host = endWorkerOfPendingStart(Cell, oneTask());
    Cell.runFor(1s);
    Cell.Agents_[Host].Pending_.clear();
    Cell.EndedWorkers_ = {Host};
    Cell.runFor(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Cell.View_.Workers_.count(Host));
  }

  /// Guards against the same when the agent is lost as well. The bound is 12 s
  /// for the late start and its lease of 6 s on a clock that is 2% slow, plus
  /// 0.2 s.
  void lostAgentFreesTheTaskAfterTheLongestLease() {
    FakeCell Cell;
    const std::string Host = endWorkerOfPendingStart(Cell, oneTask());
    Cell.advance();
    Cell.Agents_.erase(Host);
    onAgentDisconnected(Cell.Holder_, Host);
    Cell.runFor(18s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(Cell, "j"));
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against the same when the agent's next process reports neither a
  /// worker nor a term.
  void restartedAgentFreesTheTaskAfterTheLongestLease() {
    FakeCell Cell;
    const std::string Host = endWorkerOfPendingStart(Cell, oneTask());
    Cell.advance();
    Cell.Agents_[Host].AgentIncarnation_ = 2;
    Cell.Agents_[Host].Pending_.clear();
    Cell.runFor(18s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(Cell, "j"));
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against work of an ended worker that waits without a reason.
  void otherTasksOfTheWorkerDoNotWait() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneStep(16, {1000, 1000, 1}));
    Cell.advance();
    const std::string Host = Cell.hostOf(Cell.runsOf("j").at(0));
    AgentReport &Report = Cell.Agents_[Host];
    const std::size_t Ended = Report.Running_.size();
    Report.Pending_ = {Report.Running_[0].Id_};
    Report.Running_.clear();
    Report.Worker_.reset();
    Report.Term_ = 0;
    Cell.addWorker("w9", "r9");
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Ended > 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(15), Cell.runsOf("j").size());
  }

  /// Guards against a gang of which one task runs twice.
  void gangWaitsForItsLateMember() {
    FakeCell Cell;
    endWorkerOfPendingStart(Cell, jobs::JobSpecBuilder()
                                      .command("c")
                                      .step(2, {1000, 1000, 8}, 2s)
                                      .gang()
                                      .build());
    Cell.addWorker("w8", "r8");
    Cell.addWorker("w9", "r9");
    Cell.runFor(5s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
  }

  /// Guards against two runs of a task: the next holder starts it elsewhere
  /// when the records do not tell it of the late start.
  void nextHolderKnowsTheLateStart() {
    FakeCell Cell;
    const std::string Host = endWorkerOfPendingStart(Cell, oneTask());
    Cell.runFor(500ms);
    CPPUNIT_ASSERT(Cell.View_.Workers_.at(Host).Closed_);
    Cell.claimCell(Cell.Now_);
    Cell.runFor(5s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
  }

  /// Restarts a worker, and its agent with it or not, 2.5 s later.
  static void restart(FakeCell &Cell, const std::string &Host, bool Agent) {
    AgentReport &Report = Cell.Agents_[Host];
    Report.Running_.clear();
    Report.Ended_.clear();
    Report.Term_ = 0;
    if (Agent)
      Report.AgentIncarnation_ = 2;
    const WorkerInfo Info = *Report.Worker_;
    Report.Worker_.reset();
    Cell.runFor(2500ms);
    Report.Worker_ = Info;
    Report.Worker_->WorkerIncarnation_ = 2;
    Cell.Orders_.clear();
    Cell.advance();
  }

  static std::vector<RunId> stopsFor(const FakeCell &Cell,
                                     const std::string &Worker) {
    std::vector<RunId> Stops;
    for (const auto &[Host, Orders] : Cell.Orders_)
      if (Host == Worker)
        Stops.insert(Stops.end(), Orders.Stops_.begin(), Orders.Stops_.end());
    return Stops;
  }

  /// Guards against two runs of a task: an agent that has restarted together
  /// with its worker does not know which starts the worker may still carry out.
  void startsOfARestartedAgentAreFenced() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneTask());
    Cell.advance();
    const RunId Late = Cell.runsOf("j").at(0);
    const std::string Host = Cell.hostOf(Late);
    Cell.advance();
    restart(Cell, Host, true);
    CPPUNIT_ASSERT((stopsFor(Cell, Host) == std::vector<RunId>{Late}));
    Cell.Agents_[Host].Pending_ = {Late};
    Cell.Orders_.clear();
    Cell.runFor(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOf(Cell, "j"));
    Cell.Agents_[Host].Pending_.clear();
    Cell.runFor(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(Cell, "j"));
  }

  /// Guards against a task that runs again after its end: a call without a
  /// response may repeat a start that the worker has carried out before.
  void fencesCoverRunsThatHaveEnded() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneTask());
    Cell.advance();
    const RunId Late = Cell.runsOf("j").at(0);
    const std::string Host = Cell.hostOf(Late);
    Cell.endRun(Late, EndKind::Done);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
    restart(Cell, Host, true);
    CPPUNIT_ASSERT((stopsFor(Cell, Host) == std::vector<RunId>{Late}));
  }

  /// Guards against starts that are remembered for ever.
  void oldStartsAreNotFenced() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneTask());
    Cell.advance();
    const RunId Old = Cell.runsOf("j").at(0);
    const std::string Host = Cell.hostOf(Old);
    for (int Percent = 1; Percent < 15; ++Percent) {
      Cell.setProgress("j", Percent);
      Cell.runFor(1s);
    }
    CPPUNIT_ASSERT(Cell.Holder_.Workers_.at(Host).RecentStarts_.empty());
    restart(Cell, Host, true);
    CPPUNIT_ASSERT(stopsFor(Cell, Host).empty());
  }

  /// Guards against needless stops.
  void agentThatGoesOnFencesItsStartsItself() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneTask());
    Cell.advance();
    const std::string Host = Cell.hostOf(Cell.runsOf("j").at(0));
    restart(Cell, Host, false);
    CPPUNIT_ASSERT(stopsFor(Cell, Host).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateStartTest);
