#include "agentfixture.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// An agent whose worker leaves calls unanswered, is cut off, or ends.
class AgentWorkerTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(AgentWorkerTest);
  CPPUNIT_TEST(leaseOfAnUnresponsiveWorkerIsNotExtended);
  CPPUNIT_TEST(oneLostResponseDoesNotMakeAWorkerUnreachable);
  CPPUNIT_TEST(refusedConnectionMakesAWorkerUnreachable);
  CPPUNIT_TEST(silentWorkerIsUnreachableInTime);
  CPPUNIT_TEST(endOfTheWorkerIsReported);
  CPPUNIT_TEST(endOfTheWorkerIsReportedToANewHolder);
  CPPUNIT_TEST(unansweredStartDelaysTheReportOfAnEnd);
  CPPUNIT_TEST(agentWithoutAWorkerReportsNoTerm);
  CPPUNIT_TEST(unansweredStartIsSentAgain);
  CPPUNIT_TEST(refusedRepeatDoesNotHideAnEndedRun);
  CPPUNIT_TEST(refusedRepeatStaysPendingUntilItsDeadline);
  CPPUNIT_TEST(resetStartIsNotSentAgainAtOnce);
  CPPUNIT_TEST(startIsNotSentAgainAfterAStop);
  CPPUNIT_TEST(startIsNotSentAgainToADrainingWorker);
  CPPUNIT_TEST(announcementOfAnotherWriterKeepsTheWorker);
  CPPUNIT_TEST(wrongIncarnationKeepsTheWorker);
  CPPUNIT_TEST(firstWorkerIsVerified);
  CPPUNIT_TEST(lostIdentityResponseIsAskedForAgain);
  CPPUNIT_TEST(unverifiedProcessesAreForgotten);
  CPPUNIT_TEST(workerThatBeganEarlierIsFollowed);
  CPPUNIT_TEST(lateAnnouncementChangesNothing);
  CPPUNIT_TEST(earlierBeginNeedsItsConfirmation);
  CPPUNIT_TEST(endedWorkerIsFollowedByOneThatBeganEarlier);
  CPPUNIT_TEST(stopOfAnUnknownRunIsPendingUntilItIsAnswered);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against leases that never end: a poll without a response may have
  /// arrived, so the polls of a worker that counts as unreachable must not
  /// extend the leases.
  void leaseOfAnUnresponsiveWorkerIsNotExtended() {
    connect();
    Now_ += 1s;
    collect({});
    CPPUNIT_ASSERT(std::get<PollCall>(Poll_->Body_).LeaseUntil_);
    losePollResponse();
    deliver(orders(Report_->Sequence_));
    Now_ += 500ms;
    collect({});
    losePollResponse();
    CPPUNIT_ASSERT(!Report_->WorkerReachable_);
    Now_ += 200ms;
    collect({});
    CPPUNIT_ASSERT(!std::get<PollCall>(Poll_->Body_).LeaseUntil_);
    respondToPoll(2000ms);
    CPPUNIT_ASSERT(Report_->WorkerReachable_);
  }

  /// Guards against a worker that gets no work because a single response was
  /// lost, or because its agent was suspended while a poll was in flight.
  void oneLostResponseDoesNotMakeAWorkerUnreachable() {
    connect();
    Now_ += 1s;
    collect({});
    Now_ += 10s;
    losePollResponse();
    CPPUNIT_ASSERT(!State_.WorkerUnreachable_);
    CPPUNIT_ASSERT(Poll_);
    respondToPoll(2000ms);
    CPPUNIT_ASSERT(!State_.WorkerUnreachable_);
  }

  /// Guards against work for a worker whose process has ended.
  void refusedConnectionMakesAWorkerUnreachable() {
    connect();
    Now_ += 1s;
    collect({});
    losePollResponse(true);
    CPPUNIT_ASSERT(!Report_->WorkerReachable_);
  }

  /// Guards against work for a worker that is cut off: the holder may give it
  /// work until the agent reports it, at most 1.5 s after the last response.
  void silentWorkerIsUnreachableInTime() {
    connect();
    Now_ += 150ms;
    collect({});
    CPPUNIT_ASSERT(Poll_);
    const core::TimePoint LastResponseAt = State_.LastResponseAt_;
    while (Report_->WorkerReachable_ && Now_ < LastResponseAt + 10s) {
      Now_ += Poll_->Timeout_;
      losePollResponse();
      collect({});
    }
    CPPUNIT_ASSERT(Now_ <= LastResponseAt + 1500ms);
  }

  /// Guards against tasks that wait for the lease of a worker whose process has
  /// ended, and against an earlier announcement of it that arrives late.
  void endOfTheWorkerIsReported() {
    connect();
    Now_ += 1s;
    collect({});
    losePollResponse(true);
    CPPUNIT_ASSERT(Report_->Worker_);
    Now_ += 150ms;
    collect({});
    losePollResponse(true);
    CPPUNIT_ASSERT(!Report_->Worker_);
    announce(false, 9, 1);
    CPPUNIT_ASSERT(!State_.Worker_);
    announce(false, 1, 2);
    CPPUNIT_ASSERT(Report_->Worker_);
  }

  /// Guards against a new holder that waits for the leases of a worker which
  /// has ended: the agent reports the end under the new term at once.
  void endOfTheWorkerIsReportedToANewHolder() {
    connect();
    endWorker();
    const std::uint64_t Before = Report_->Sequence_;
    deliver(orders(Report_->Sequence_, Term + 1));
    CPPUNIT_ASSERT(Report_->Sequence_ > Before);
    CPPUNIT_ASSERT(!Report_->Worker_);
    CPPUNIT_ASSERT_EQUAL(core::Term(Term + 1), Report_->Term_);
  }

  /// Guards against two runs of a task: a start that the worker left unanswered
  /// may be carried out by its next process, until 12 s after its last call.
  void unansweredStartDelaysTheReportOfAnEnd() {
    connect();
    deliverStart(Report_->Sequence_);
    Now_ += 300ms;
    respondToStart(false, 0ms);
    const core::TimePoint RepeatSentAt = Now_;
    respondToStart(false, 0ms);
    deliver(orders(Report_->Sequence_));
    // The start is not repeated after its deadline.
    Now_ += 1300ms;
    collect({});
    endWorker();
    while (Now_ < RepeatSentAt + 12s) {
      deliver(orders(Report_->Sequence_, Term + 1));
      CPPUNIT_ASSERT_EQUAL(core::Term(0), Report_->Term_);
      Now_ += 500ms;
    }
    deliver(orders(Report_->Sequence_, Term + 1));
    CPPUNIT_ASSERT_EQUAL(core::Term(Term + 1), Report_->Term_);
  }

  /// Guards against two runs of a task: an agent that has not heard from a
  /// worker yet does not know whether one runs.
  void agentWithoutAWorkerReportsNoTerm() {
    connectWithoutWorker();
    deliver(orders(Report_->Sequence_));
    Now_ += 1s;
    collect({});
    CPPUNIT_ASSERT(!Report_->Worker_);
    CPPUNIT_ASSERT_EQUAL(core::Term(0), Report_->Term_);
  }

  /// Guards against a gang that waits for a member until the start times out: a
  /// worker that leaves an order unanswered carries it out seconds later, when
  /// the start has expired. The repeat must not outlast the first call.
  void unansweredStartIsSentAgain() {
    connect();
    deliverStart(Report_->Sequence_);
    const WorkerCall First = *Start_;
    Now_ += First.Timeout_;
    respondToStart(false, 0ms);
    CPPUNIT_ASSERT(Start_->Id_ != First.Id_);
    const auto &Repeat = std::get<StartCall>(Start_->Body_);
    CPPUNIT_ASSERT(Repeat.Order_.Id_ == run());
    CPPUNIT_ASSERT(Repeat.Deadline_ ==
                   std::get<StartCall>(First.Body_).Deadline_);
    const WorkerCallId Second = Start_->Id_;
    Now_ += 1500ms;
    respondToStart(false, 0ms);
    CPPUNIT_ASSERT_EQUAL(Second, Start_->Id_);
  }

  /// Guards against two runs of a task: the response to the first call was
  /// lost, and the run has ended before the repeat arrives, which is refused.
  void refusedRepeatDoesNotHideAnEndedRun() {
    connect();
    deliverStart(Report_->Sequence_);
    Now_ += 300ms;
    respondToStart(false, 0ms);
    respondToStart(true, 400ms, cell::RefusalKind::SupersededRun);
    CPPUNIT_ASSERT(Report_->Refused_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report_->Pending_.size());
    CPPUNIT_ASSERT(Poll_);
    WorkerRuns Runs;
    Runs.Ended_.push_back({1, run(), cell::EndKind::Done, ""});
    respondToPoll(401ms, Runs);
    CPPUNIT_ASSERT(Report_->Pending_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report_->Ended_.size());
  }

  /// Guards against the same where the first call is carried out late.
  void refusedRepeatStaysPendingUntilItsDeadline() {
    connect();
    deliverStart(Report_->Sequence_);
    const WorkerTime Deadline = std::get<StartCall>(Start_->Body_).Deadline_;
    Now_ += 300ms;
    respondToStart(false, 0ms);
    respondToStart(true, 400ms, cell::RefusalKind::InsufficientCapacity);
    CPPUNIT_ASSERT(Report_->Refused_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State_.Pending_.size());
    Now_ += 300ms;
    collect({});
    respondToPoll(Deadline + 151ms);
    CPPUNIT_ASSERT(State_.Pending_.empty());
  }

  /// Guards against calls without a pause to a worker that resets each
  /// connection.
  void resetStartIsNotSentAgainAtOnce() {
    connect();
    deliverStart(Report_->Sequence_);
    const WorkerCallId First = Start_->Id_;
    respondToStart(false, 0ms);
    CPPUNIT_ASSERT_EQUAL(First, Start_->Id_);
    Now_ += 300ms;
    collect({});
    CPPUNIT_ASSERT(Start_->Id_ != First);
  }

  /// Guards against a run that starts after its stop.
  void startIsNotSentAgainAfterAStop() {
    connect();
    deliverStart(Report_->Sequence_);
    cell::HolderOrders Orders = orders(Report_->Sequence_);
    Orders.Stops_.push_back(run());
    deliver(Orders);
    const WorkerCallId First = Start_->Id_;
    Now_ += 300ms;
    respondToStart(false, 0ms);
    CPPUNIT_ASSERT_EQUAL(First, Start_->Id_);
  }

  /// Guards against a start on a worker whose notice of leaving has been
  /// acknowledged.
  void startIsNotSentAgainToADrainingWorker() {
    connect();
    deliverStart(Report_->Sequence_);
    announce(true, 2);
    const WorkerCallId First = Start_->Id_;
    Now_ += 300ms;
    respondToStart(false, 0ms);
    CPPUNIT_ASSERT_EQUAL(First, Start_->Id_);
  }

  /// Connects an agent whose worker has one run.
  void connectWithRun() {
    connect();
    Now_ += 1s;
    collect({});
    WorkerRuns Runs;
    Runs.Running_.push_back({run(), "", 0, 0});
    respondToPoll(151ms, Runs);
  }

  /// Delivers an announcement of the known process with another service.
  void announceOtherService(std::uint64_t Sequence) {
    WorkerAnnouncement Announcement;
    Announcement.Info_ = *State_.Worker_;
    Announcement.Info_.Service_ = "otherservice";
    Announcement.Sequence_ = Sequence;
    AgentEffects Out;
    onWorkerAnnounced(State_, Announcement, Now_, Out);
    collect(std::move(Out));
    CPPUNIT_ASSERT_EQUAL(std::string("service"), State_.Worker_->Service_);
  }

  void assertWorkerIsKept() {
    Now_ += 1s;
    collect({});
    CPPUNIT_ASSERT_EQUAL(std::string("worker-1"), Report_->Worker_->Id_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report_->Running_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("worker-1"), Poll_->WorkerId_);
  }

  /// Guards against two runs of a task: an announcement that another writer has
  /// sent to this agent must not end the runs of its worker.
  void announcementOfAnotherWriterKeepsTheWorker() {
    connectWithRun();
    announceUnverified(false, 1, 2);
    assertWorkerIsKept();
    respondToIdentity(1, cell::RefusalKind::OtherIncarnation);
    assertWorkerIsKept();
    CPPUNIT_ASSERT(State_.Candidates_.empty());
  }

  /// Guards against the same where the announcement has the id of the worker
  /// and a wrong time of its start.
  void wrongIncarnationKeepsTheWorker() {
    connectWithRun();
    announceUnverified(false, 1, 2);
    respondToIdentity(1);
    assertWorkerIsKept();
    announceUnverified(false, 9, 1);
    announceOtherService(10);
    assertWorkerIsKept();
  }

  /// Guards against an agent that takes another process for its first worker.
  void firstWorkerIsVerified() {
    State_ = makeAgentState({}, Now_);
    announceUnverified(false, 1, 2);
    CPPUNIT_ASSERT(!State_.Worker_);
    respondToIdentity(1, cell::RefusalKind::OtherIncarnation);
    CPPUNIT_ASSERT(!State_.Worker_);
    announce(false, 1, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("worker-1"), State_.Worker_->Id_);
  }

  /// Guards against a new worker that stays unknown because one response was
  /// lost, or because it does nothing for the term of a restarted agent.
  void lostIdentityResponseIsAskedForAgain() {
    connectWithRun();
    announceUnverified(false, 1, 2);
    const WorkerCallId First = Identity_->Id_;
    Now_ += Identity_->Timeout_;
    WorkerResponse Lost;
    Lost.Id_ = First;
    AgentEffects Out;
    onWorkerResponse(State_, Lost, Now_, Out);
    collect(std::move(Out));
    CPPUNIT_ASSERT(Identity_->Id_ != First);
    respondToIdentity(0, cell::RefusalKind::Fenced);
    CPPUNIT_ASSERT_EQUAL(std::string("worker-2"), State_.Worker_->Id_);
    CPPUNIT_ASSERT(Report_->Running_.empty());
  }

  /// Guards against calls without end for processes that do not respond, and
  /// against state that grows with the number of other writers.
  void unverifiedProcessesAreForgotten() {
    connectWithRun();
    const std::int64_t Many = 50;
    for (std::int64_t I = 2; I < Many; ++I)
      announceUnverified(false, 1, I);
    CPPUNIT_ASSERT(State_.Candidates_.size() <= 4);
    Now_ += 2001ms;
    collect({});
    CPPUNIT_ASSERT(State_.Candidates_.empty());
  }

  /// Guards against a worker that is ignored for good: it has started again
  /// after its host's time of day was set back.
  void workerThatBeganEarlierIsFollowed() {
    connect();
    announce(false, 1, 9);
    announce(false, 1, 4);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), Report_->Worker_->WorkerIncarnation_);
    Now_ += 1s;
    collect({});
    respondToPoll(1050ms);
    CPPUNIT_ASSERT_EQUAL(Term, Report_->Term_);
  }

  /// Guards against a running worker that is given up for an announcement of
  /// its predecessor that was delayed on its way.
  void lateAnnouncementChangesNothing() {
    connect();
    announce(false, 1, 9);
    announceUnverified(false, 7, 1);
    CPPUNIT_ASSERT(Identity_);
    respondToIdentity(9);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), State_.Worker_->WorkerIncarnation_);
    CPPUNIT_ASSERT(State_.Candidates_.empty());
  }

  /// Guards against the same where the predecessor had the same id: a response
  /// that does not say when the process began does not tell the two apart.
  void earlierBeginNeedsItsConfirmation() {
    connect();
    announce(false, 1, 9);
    announceUnverified(false, 7, 4);
    respondToIdentity(0, cell::RefusalKind::Fenced);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), State_.Worker_->WorkerIncarnation_);
    Now_ += State_.Settings_.Policy_.OrderTimeout_;
    collect({});
    CPPUNIT_ASSERT(Identity_);
    respondToIdentity(4);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), State_.Worker_->WorkerIncarnation_);
  }

  /// Guards against the same for a worker whose process had ended before.
  void endedWorkerIsFollowedByOneThatBeganEarlier() {
    connect();
    announce(false, 1, 9);
    for (int I = 0; I < 3; ++I) {
      if (Poll_)
        losePollResponse(true);
      Now_ += 500ms;
      collect({});
    }
    CPPUNIT_ASSERT(!State_.Worker_);
    announceUnverified(false, 7, 9);
    CPPUNIT_ASSERT(!Identity_);
    announce(false, 1, 4);
    CPPUNIT_ASSERT(State_.Worker_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), State_.Worker_->WorkerIncarnation_);
  }

  /// Guards against a task that starts elsewhere before the worker refuses a
  /// start which an earlier process of the agent has sent: the holder learns
  /// from the report that the stop is not answered yet.
  void stopOfAnUnknownRunIsPendingUntilItIsAnswered() {
    connect();
    cell::HolderOrders Orders = orders(Report_->Sequence_);
    Orders.Stops_ = {run()};
    deliver(Orders);
    CPPUNIT_ASSERT(Stop_);
    CPPUNIT_ASSERT(std::get<StopCall>(Stop_->Body_).Id_ == run());
    CPPUNIT_ASSERT_EQUAL(Orders.Sequence_, Report_->ProcessedOrders_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report_->Pending_.size());
    WorkerResponse Response;
    Response.Id_ = Stop_->Id_;
    Response.Answered_ = true;
    Response.WorkerClock_ = 200ms;
    AgentEffects Out;
    onWorkerResponse(State_, Response, Now_, Out);
    collect(std::move(Out));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State_.Pending_.size());
    respondToPoll(201ms);
    CPPUNIT_ASSERT(Report_->Pending_.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentWorkerTest);
