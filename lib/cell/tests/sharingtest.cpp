#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Best-effort runs beside serving runs, copies of slow tasks, and approvals.
class SharingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharingTest);
  CPPUNIT_TEST(paceIsHalvedAndRisesInSteps);
  CPPUNIT_TEST(bestEffortRunsPauseBesideADisturbedServingRun);
  CPPUNIT_TEST(bestEffortRunsKeepTheirPaceBelowTheTarget);
  CPPUNIT_TEST(newHolderOrdersThePaceAgain);
  CPPUNIT_TEST(slowTaskGetsOneCopyElsewhere);
  CPPUNIT_TEST(ordinaryTaskGetsNoCopy);
  CPPUNIT_TEST(copiesStayWithinTheirBudget);
  CPPUNIT_TEST(longRunningTaskRestartsAfterAnyEnd);
  CPPUNIT_TEST(startWaitsForATicket);
  CPPUNIT_TEST(deniedWorkersAreNotRequestedAgain);
  CPPUNIT_TEST(oneApprovalRequestAtATime);
  CPPUNIT_TEST(refusedTicketIsRequestedAgain);
  CPPUNIT_TEST(expiredTicketIsRequestedAgain);
  CPPUNIT_TEST_SUITE_END();

  static void startCell(FakeCell &Cell, int Workers) {
    for (int I = 0; I < Workers; ++I)
      Cell.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 3));
    Cell.claimCell();
    Cell.runFor(300ms);
  }

  static jobs::JobSpec oneTask() {
    return jobs::JobSpecBuilder().step(1, {1000, 1000, 1}, 2s).build();
  }

  static jobs::JobSpec serving(core::Duration Target) {
    jobs::JobSpec Spec = oneTask();
    Spec.Steps_[0].LongRunning_ = true;
    Spec.Steps_[0].TargetLatency_ = Target;
    return Spec;
  }

  static jobs::JobSpec bestEffort() {
    jobs::JobSpec Spec = oneTask();
    Spec.Steps_[0].LongRunning_ = true;
    Spec.Steps_[0].BestEffort_ = true;
    return Spec;
  }

  static jobs::JobSpec speculative(std::uint32_t Count) {
    jobs::JobSpec Spec =
        jobs::JobSpecBuilder().step(Count, {1000, 1000, 1}, 2s).build();
    Spec.Steps_[0].Speculative_ = true;
    return Spec;
  }

  /// Advances every run of the job "j" by one percent a second.
  static void progressSlowly(FakeCell &Cell, int Seconds) {
    for (int Percent = 1; Percent <= Seconds; ++Percent) {
      Cell.setProgress("j", Percent);
      Cell.runFor(1s);
    }
  }

  static void requireApprovals(FakeCell &Cell, core::Duration Validity = 60s) {
    jobs::ApprovalPolicy Policy;
    Policy.Validity_ = Validity;
    Cell.Tables_.Queues_[1].Approval_ = Policy;
  }

  static std::string ticketOf(const FakeCell &Cell) {
    for (const auto &[Host, Orders] : Cell.Orders_)
      for (const StartOrder &Order : Orders.Starts_)
        return Order.Ticket_;
    return {};
  }

public:
  /// Guards against a pace that follows each report: it changes at most once
  /// per interval, and not between the two thresholds.
  void paceIsHalvedAndRisesInSteps() {
    const PacePolicy Policy;
    WorkerPace Pace;
    core::TimePoint Now(1000s);
    CPPUNIT_ASSERT(adjustPace(Pace, Policy, 0.95, Now));
    CPPUNIT_ASSERT_EQUAL(50u, Pace.Percent_);
    CPPUNIT_ASSERT(!adjustPace(Pace, Policy, 0.95, Now + 600ms));
    CPPUNIT_ASSERT(!adjustPace(Pace, Policy, 0.8, Now + 700ms));
    CPPUNIT_ASSERT(adjustPace(Pace, Policy, 0.5, Now + 700ms));
    CPPUNIT_ASSERT_EQUAL(60u, Pace.Percent_);
  }

  /// Guards against missed latency targets: best-effort runs beside a serving
  /// run that exceeds its target are paused within the time that the user
  /// documentation allows.
  void bestEffortRunsPauseBesideADisturbedServingRun() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("serving", serving(100ms));
    Cell.acceptJob("filling", bestEffort());
    Cell.advance();
    Cell.setUsage("serving", 150);
    Cell.runFor(2s);
    CPPUNIT_ASSERT_EQUAL(0u, Cell.paceOf("filling"));
    CPPUNIT_ASSERT_EQUAL(100u, Cell.paceOf("serving"));
    Cell.setUsage("serving", 40);
    Cell.runFor(10s);
    CPPUNIT_ASSERT_EQUAL(100u, Cell.paceOf("filling"));
  }

  /// Guards against orders to best-effort runs that disturb nobody.
  void bestEffortRunsKeepTheirPaceBelowTheTarget() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("serving", serving(100ms));
    Cell.acceptJob("filling", bestEffort());
    Cell.advance();
    Cell.setUsage("serving", 80);
    Cell.runFor(5s);
    for (const auto &[Host, Orders] : Cell.Orders_)
      CPPUNIT_ASSERT(Orders.Paces_.empty());
  }

  /// Guards against a run that stays slow after an earlier holder slowed it
  /// down.
  void newHolderOrdersThePaceAgain() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("filling", bestEffort());
    Cell.advance();
    Cell.claimCell();
    Cell.Orders_.clear();
    Cell.runFor(1s);
    std::size_t Orders = 0;
    for (const auto &[Host, Row] : Cell.Orders_)
      Orders += Row.Paces_.size();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Orders);
  }

  /// Guards against a task that a slow worker holds up: it gets one copy on
  /// another worker, and the first of the two to complete stops the other.
  void slowTaskGetsOneCopyElsewhere() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", speculative(1));
    progressSlowly(Cell, 7);
    const std::vector<RunId> Runs = Cell.runsOf("j");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Runs.size());
    CPPUNIT_ASSERT(Cell.hostOf(Runs[0]) != Cell.hostOf(Runs[1]));
    Cell.endRun(Runs[1], EndKind::Done);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Guards against a second run of a task that is not speculative.
  void ordinaryTaskGetsNoCopy() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", oneTask());
    progressSlowly(Cell, 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against copies that fill a cell whose workers are all slow.
  void copiesStayWithinTheirBudget() {
    FakeCell Cell;
    startCell(Cell, 6);
    Cell.acceptJob("j", speculative(20));
    progressSlowly(Cell, 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), Cell.runsOf("j").size());
  }

  /// Guards against a long-running task that an end, or more failures than the
  /// allowed attempts, stop for good.
  void longRunningTaskRestartsAfterAnyEnd() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", serving(0s));
    Cell.advance();
    for (EndKind Kind : {EndKind::Failed, EndKind::Done, EndKind::LeaseExpired,
                         EndKind::Failed, EndKind::Failed, EndKind::Failed}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
      Cell.endRun(Cell.runsOf("j")[0], Kind);
      Cell.runFor(3500ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
  }

  /// Guards against starts without the approval that the queue requires.
  void startWaitsForATicket() {
    FakeCell Cell;
    requireApprovals(Cell);
    startCell(Cell, 3);
    Cell.acceptJob("j", oneTask());
    Cell.runFor(1s);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.ApprovalRequest_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         Cell.ApprovalRequest_->Workers_.size());
    Cell.approve({"w1"});
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::string("w1"),
                         Cell.hostOf(Cell.runsOf("j").at(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("ticket-w1"), ticketOf(Cell));
  }

  /// Guards against requests that repeat an answered denial.
  void deniedWorkersAreNotRequestedAgain() {
    FakeCell Cell;
    requireApprovals(Cell);
    startCell(Cell, 3);
    Cell.acceptJob("j", oneTask());
    Cell.runFor(1s);
    Cell.approve({});
    Cell.runFor(5s);
    CPPUNIT_ASSERT(!Cell.ApprovalRequest_);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
  }

  /// Guards against requests that pile up at the approval service.
  void oneApprovalRequestAtATime() {
    FakeCell Cell;
    requireApprovals(Cell);
    startCell(Cell, 1);
    Cell.acceptJob("a", oneTask());
    Cell.acceptJob("b", oneTask());
    Cell.runFor(1s);
    const std::string First = toString(Cell.ApprovalRequest_->Step_);
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(First, toString(Cell.ApprovalRequest_->Step_));
    Cell.approve({"w0"});
    Cell.runFor(1s);
    CPPUNIT_ASSERT(First != toString(Cell.ApprovalRequest_->Step_));
  }

  /// Guards against further starts with a ticket that the worker refused.
  void refusedTicketIsRequestedAgain() {
    FakeCell Cell;
    requireApprovals(Cell);
    startCell(Cell, 1);
    Cell.acceptJob("j", oneTask());
    Cell.runFor(300ms);
    Cell.approve({"w0"});
    Cell.advance();
    const RunId Id = Cell.runsOf("j").at(0);
    Cell.Agents_["w0"].Running_.clear();
    Cell.Agents_["w0"].Refused_.push_back({Id, RefusalKind::NoTicket});
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.ApprovalRequest_);
  }

  /// Guards against starts with an expired ticket.
  void expiredTicketIsRequestedAgain() {
    FakeCell Cell;
    requireApprovals(Cell, 10s);
    startCell(Cell, 1);
    Cell.acceptJob("j", oneTask());
    Cell.runFor(300ms);
    Cell.approve({"w0"});
    Cell.advance();
    progressSlowly(Cell, 10);
    Cell.endRun(Cell.runsOf("j").at(0), EndKind::Failed);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    CPPUNIT_ASSERT(Cell.ApprovalRequest_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharingTest);
