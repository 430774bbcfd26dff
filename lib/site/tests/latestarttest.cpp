#include "agentfixture.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// An agent whose worker's process ends after a start that got no response. The
/// next process under the same id may carry it out, until 12 s after it was
/// sent.
class LateStartTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(LateStartTest);
  CPPUNIT_TEST(unansweredStartStaysPendingAfterTheEnd);
  CPPUNIT_TEST(pendingStartExpiresWithoutANextProcess);
  CPPUNIT_TEST(pendingStartIsFencedOnTheNextProcess);
  CPPUNIT_TEST(expiredStartIsFencedOnTheNextProcess);
  CPPUNIT_TEST(answeredStartIsForgottenWithItsProcess);
  CPPUNIT_TEST(refusedConnectionCarriedNoStart);
  CPPUNIT_TEST(noCallIsMadeWithoutAProcess);
  CPPUNIT_TEST_SUITE_END();

  /// Sends a start that gets no response, and ends the worker after the start's
  /// deadline, up to which it is sent again. Returns when it was sent last.
  core::TimePoint endWorkerAfterUnansweredStart() {
    deliverStart(Report_->Sequence_);
    Now_ += 300ms;
    respondToStart(false, 0ms);
    const core::TimePoint SentAt = Now_;
    respondToStart(false, 0ms);
    deliver(orders(Report_->Sequence_));
    Now_ += 1300ms;
    collect({});
    endWorker();
    return SentAt;
  }

  bool reportsPending() const {
    return Report_->Pending_ == std::vector<cell::RunId>{run()};
  }

  void respondToStop(WorkerTime Clock) {
    WorkerResponse Response;
    Response.Id_ = Stop_->Id_;
    Response.Answered_ = true;
    Response.WorkerClock_ = Clock;
    AgentEffects Out;
    onWorkerResponse(State_, Response, Now_, Out);
    collect(std::move(Out));
  }

  /// Checks that the start is fenced on the process that announces itself next.
  void expectFence() {
    Stop_.reset();
    announce(false, 1, 2);
    CPPUNIT_ASSERT(reportsPending());
    CPPUNIT_ASSERT(Stop_);
    CPPUNIT_ASSERT(std::get<StopCall>(Stop_->Body_).Id_ == run());
    respondToStop(200ms);
    respondToPoll(201ms);
    CPPUNIT_ASSERT(Report_->Pending_.empty());
  }

public:
  /// Guards against two runs of a task: the holder starts it elsewhere as soon
  /// as the start is no longer pending.
  void unansweredStartStaysPendingAfterTheEnd() {
    connect();
    endWorkerAfterUnansweredStart();
    CPPUNIT_ASSERT(reportsPending());
  }

  /// Guards against a task that waits for good for a worker that never returns.
  void pendingStartExpiresWithoutANextProcess() {
    connect();
    const core::TimePoint SentAt = endWorkerAfterUnansweredStart();
    while (Now_ < SentAt + 12s) {
      deliver(orders(Report_->Sequence_));
      CPPUNIT_ASSERT(reportsPending());
      Now_ += 500ms;
    }
    deliver(orders(Report_->Sequence_));
    CPPUNIT_ASSERT(Report_->Pending_.empty());
    CPPUNIT_ASSERT_EQUAL(Term, Report_->Term_);
  }

  /// Guards against a late start that the next process carries out.
  void pendingStartIsFencedOnTheNextProcess() {
    connect();
    endWorkerAfterUnansweredStart();
    expectFence();
  }

  /// Guards against the same when the start's deadline has passed on the clock
  /// of the process that ended: it lies ahead on the clock of the next one.
  void expiredStartIsFencedOnTheNextProcess() {
    connect();
    deliverStart(Report_->Sequence_);
    Now_ += 300ms;
    respondToStart(false, 0ms);
    respondToStart(false, 0ms);
    deliver(orders(Report_->Sequence_));
    Now_ += 1500ms;
    collect({});
    respondToPoll(1900ms);
    CPPUNIT_ASSERT(Report_->Pending_.empty());
    expectFence();
  }

  /// Guards against tasks that wait although no late start can come.
  void answeredStartIsForgottenWithItsProcess() {
    connect();
    deliverStart(Report_->Sequence_);
    respondToStart(true, 150ms);
    endWorker();
    CPPUNIT_ASSERT(Report_->Pending_.empty());
    CPPUNIT_ASSERT_EQUAL(Term, Report_->Term_);
  }

  /// Guards against the same: a refused connection did not carry the start.
  void refusedConnectionCarriedNoStart() {
    connect();
    deliverStart(Report_->Sequence_);
    WorkerResponse Refused;
    Refused.Id_ = Start_->Id_;
    Refused.ConnectionRefused_ = true;
    AgentEffects Out;
    onWorkerResponse(State_, Refused, Now_, Out);
    collect(std::move(Out));
    Now_ += 1550ms;
    deliver(orders(Report_->Sequence_));
    endWorker();
    CPPUNIT_ASSERT(Report_->Pending_.empty());
  }

  /// Guards against calls to an address at which no known process listens.
  void noCallIsMadeWithoutAProcess() {
    connect();
    endWorkerAfterUnansweredStart();
    Stop_.reset();
    cell::HolderOrders Orders = orders(Report_->Sequence_);
    Orders.Stops_.push_back(run());
    deliver(Orders);
    Now_ += 1s;
    collect({});
    CPPUNIT_ASSERT(!Stop_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateStartTest);
