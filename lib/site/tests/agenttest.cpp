#include "agentfixture.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// Orders, reports, and connections of an agent.
class AgentTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(AgentTest);
  CPPUNIT_TEST(listingOfTheSameMillisecondDoesNotResolveAStart);
  CPPUNIT_TEST(laterListingResolvesAStart);
  CPPUNIT_TEST(drainingWorkerGetsNoStart);
  CPPUNIT_TEST(reportsCountDownToADeparture);
  CPPUNIT_TEST(leftWorkerHasNoTimeLeft);
  CPPUNIT_TEST(returnedWorkerReportsNoDeparture);
  CPPUNIT_TEST(lateOrderIsNotStarted);
  CPPUNIT_TEST(unansweredStartStaysPendingUntilItsDeadline);
  CPPUNIT_TEST(ordersOfAnOldTermAreIgnored);
  CPPUNIT_TEST(leaseCountsFromTheAnsweredReport);
  CPPUNIT_TEST(unansweredDialTriesTheNextHost);
  CPPUNIT_TEST(newIncarnationDiscardsEarlierRuns);
  CPPUNIT_TEST(unresponsiveEntryIsNotDialledFirst);
  CPPUNIT_TEST(newHolderAtTheSameAddressIsReportedToAtOnce);
  CPPUNIT_TEST(responseOfANewIncarnationPreventsStarts);
  CPPUNIT_TEST(onlyListedEndsAreAcknowledged);
  CPPUNIT_TEST(startAroundANewIncarnationIsFenced);
  CPPUNIT_TEST(partialListOfEndsIsReportedAsPartial);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a run that counts as missing: a listing that was made in
  /// the same millisecond, but before the start, does not contain it.
  void listingOfTheSameMillisecondDoesNotResolveAStart() {
    connect();
    deliverStart(Report_->Sequence_);
    Poll_.reset();
    respondToStart(true, 150ms);
    if (!Poll_) {
      Now_ += 1s;
      collect({});
    }
    respondToPoll(150ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State_.Pending_.size());
  }

  /// Guards against starts that stay pending forever.
  void laterListingResolvesAStart() {
    connect();
    deliverStart(Report_->Sequence_);
    respondToStart(true, 150ms);
    Now_ += 1s;
    collect({});
    WorkerRuns Runs;
    Runs.Running_.push_back({run(), "", 0, 0});
    respondToPoll(151ms, Runs);
    CPPUNIT_ASSERT(State_.Pending_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report_->Running_.size());
  }

  /// Guards against a start that is sent to a draining worker after its
  /// announcement was acknowledged.
  void drainingWorkerGetsNoStart() {
    connect();
    announce(true, 2);
    deliverStart(Report_->Sequence_);
    CPPUNIT_ASSERT(!Start_);
    CPPUNIT_ASSERT(Report_->Refused_.at(0).Kind_ ==
                   cell::RefusalKind::Draining);
  }

  /// Guards against a holder that hears of a drain late, and takes the time
  /// left at the announcement for that at the report.
  void reportsCountDownToADeparture() {
    connect();
    announce(true, 2, 1, 2s);
    CPPUNIT_ASSERT(Report_->Worker_->DrainRemaining_ == 2s);
    for (const core::Duration Left : {1400ms, 800ms, 200ms, 0ms}) {
      Now_ += 600ms;
      deliver(orders(Report_->Sequence_));
      CPPUNIT_ASSERT(Report_->Worker_->DrainRemaining_ == Left);
    }
    announce(true, 3, 1, 3s);
    Now_ += 600ms;
    collect({});
    CPPUNIT_ASSERT(Report_->Worker_->DrainRemaining_ == 2400ms);
  }

  /// Guards against time left on a worker that has left before it was due.
  void leftWorkerHasNoTimeLeft() {
    connect();
    announce(true, 2, 1, 2s);
    AgentEffects Out;
    onWorkerLeft(State_, "worker-1", Out);
    collect(std::move(Out));
    CPPUNIT_ASSERT(Report_->Worker_->Draining_);
    CPPUNIT_ASSERT(Report_->Worker_->DrainRemaining_ == 0s);
  }

  /// Guards against a worker that leaves a second time and reports what is left
  /// of the first.
  void returnedWorkerReportsNoDeparture() {
    connect();
    announce(true, 2, 1, 2s);
    announce(false, 3);
    Now_ += 600ms;
    collect({});
    CPPUNIT_ASSERT(!Report_->Worker_->Draining_);
    announce(true, 4, 1, 2s);
    CPPUNIT_ASSERT(Report_->Worker_->DrainRemaining_ == 2s);
    announce(true, 1, 2, 5s);
    CPPUNIT_ASSERT(Report_->Worker_->DrainRemaining_ == 5s);
  }

  /// Guards against a start by an order that was delayed in transit.
  void lateOrderIsNotStarted() {
    connect();
    const std::uint64_t Answered = Report_->Sequence_;
    Now_ += 1501ms;
    deliverStart(Answered);
    CPPUNIT_ASSERT(!Start_);
    CPPUNIT_ASSERT(Report_->Refused_.at(0).Kind_ == cell::RefusalKind::Late);
  }

  /// Guards against two runs of a task: a start without a response can still
  /// take effect until its deadline on the worker's clock.
  void unansweredStartStaysPendingUntilItsDeadline() {
    connect();
    deliverStart(Report_->Sequence_);
    const WorkerTime Deadline = std::get<StartCall>(Start_->Body_).Deadline_;
    respondToStart(false, 0ms);
    Now_ += 1s;
    collect({});
    respondToPoll(Deadline);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State_.Pending_.size());
    Now_ += 1s;
    collect({});
    respondToPoll(Deadline + 151ms);
    CPPUNIT_ASSERT(State_.Pending_.empty());
  }

  /// Guards against starts by an earlier holder that has not yet read the claim
  /// of its successor.
  void ordersOfAnOldTermAreIgnored() {
    connect();
    cell::HolderOrders Orders = orders(Report_->Sequence_, Term - 1);
    Orders.Starts_.push_back({run(), "command", "", ""});
    deliver(Orders);
    CPPUNIT_ASSERT(!Start_);
  }

  /// Guards against leases that outlast the holder's tenure: a grant counts
  /// from the send time of the report that it answers, not from its arrival.
  void leaseCountsFromTheAnsweredReport() {
    connect();
    const core::TimePoint Sent = Now_;
    const std::uint64_t Answered = Report_->Sequence_;
    Now_ += 1s;
    deliver(orders(Answered));
    CPPUNIT_ASSERT(State_.GrantEnds_ == Sent + 6s);
  }

  /// Guards against a second lost on each host without power: such a host does
  /// not respond to a connection attempt at all.
  void unansweredDialTriesTheNextHost() {
    AgentSettings Settings;
    Settings.Seeds_ = {"10.0.0.1:7000", "10.0.0.2:7000"};
    State_ = makeAgentState(Settings, Now_);
    AgentEffects First;
    advanceAgent(State_, Now_, First);
    Now_ += 500ms;
    AgentEffects Second;
    advanceAgent(State_, Now_, Second);
    CPPUNIT_ASSERT(First.DialAddress_ && Second.DialAddress_);
    CPPUNIT_ASSERT(*First.DialAddress_ != *Second.DialAddress_);
  }

  /// Guards against a report that contains runs of an earlier incarnation of
  /// the worker.
  void newIncarnationDiscardsEarlierRuns() {
    connect();
    Now_ += 1s;
    collect({});
    WorkerRuns Runs;
    Runs.Running_.push_back({run(), "", 0, 0});
    respondToPoll(151ms, Runs);
    announce(false, 1, 2);
    CPPUNIT_ASSERT(Report_->Running_.empty());
    CPPUNIT_ASSERT(Report_->Pending_.empty());
    CPPUNIT_ASSERT_EQUAL(core::Term(0), Report_->Term_);
    announceUnverified(false, 5, 1);
    respondToIdentity(2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), State_.Worker_->WorkerIncarnation_);
  }

  /// Guards against a second lost on an unresponsive host: the one that has
  /// just timed out is dialled after the others.
  void unresponsiveEntryIsNotDialledFirst() {
    connect();
    cell::EntryInfo Info;
    Info.Hosts_ = {{"e0", "10.0.0.1:7000"}, {"e1", "10.0.0.2:7000"}};
    Info.HolderAddress_ = "10.0.0.1:7000";
    Info.Term_ = Term;
    AgentEffects InfoEffects;
    onAgentMessage(State_, Link, Info, Now_, InfoEffects);
    collect(std::move(InfoEffects));
    State_.NextCandidate_ = 0;
    Now_ += 1601ms;
    AgentEffects Out;
    advanceAgent(State_, Now_, Out);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7000"), *Out.DialAddress_);
  }

  /// Guards against a new holder that has to wait for the next periodic report.
  void newHolderAtTheSameAddressIsReportedToAtOnce() {
    connect();
    Report_.reset();
    cell::EntryInfo Info;
    Info.HolderAddress_ = "10.0.0.1:7000";
    Info.Term_ = Term + 1;
    AgentEffects Out;
    onAgentMessage(State_, Link, Info, Now_, Out);
    collect(std::move(Out));
    CPPUNIT_ASSERT(Report_);
  }

  /// Guards against starts on an incarnation that has responded to a call but
  /// not announced itself.
  void responseOfANewIncarnationPreventsStarts() {
    connect();
    Now_ += 1s;
    collect({});
    WorkerResponse Response;
    Response.Id_ = Poll_->Id_;
    Response.Answered_ = true;
    Response.WorkerClock_ = 5ms;
    Response.WorkerIncarnation_ = 2;
    Response.Runs_.emplace();
    AgentEffects Out;
    onWorkerResponse(State_, Response, Now_, Out);
    collect(std::move(Out));
    deliverStart(Report_->Sequence_);
    CPPUNIT_ASSERT(!Start_);
    CPPUNIT_ASSERT(Report_->Refused_.at(0).Kind_ ==
                   cell::RefusalKind::OtherIncarnation);
  }

  /// Guards against a lost end of a run: an acknowledgement that is repeated
  /// once the worker no longer lists the end would cover ends of a new
  /// incarnation, which numbers them from the start again.
  void onlyListedEndsAreAcknowledged() {
    connect();
    Now_ += 1s;
    collect({});
    WorkerRuns Runs;
    Runs.Ended_.push_back({57, run(), cell::EndKind::Done, ""});
    respondToPoll(151ms, Runs);
    cell::HolderOrders Durable = orders(Report_->Sequence_);
    Durable.AcknowledgedUpTo_ = 57;
    deliver(Durable);
    respondToPoll(152ms, Runs);
    Now_ += 1s;
    collect({});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(57),
                         std::get<PollCall>(Poll_->Body_).AcknowledgedUpTo_);
    respondToPoll(153ms);
    Now_ += 1s;
    collect({});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         std::get<PollCall>(Poll_->Body_).AcknowledgedUpTo_);
  }

  /// Guards against two runs of a task: a start that was sent after the new
  /// incarnation began and before it announced itself runs there, even after
  /// its deadline on the clock of the earlier incarnation.
  void startAroundANewIncarnationIsFenced() {
    connect();
    deliverStart(Report_->Sequence_);
    announce(false, 1, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Report_->Pending_.size());
    CPPUNIT_ASSERT(Stop_ && std::get<StopCall>(Stop_->Body_).Id_ == run());
    // The stop is sent again when there is no response.
    Stop_.reset();
    Now_ += 1s;
    collect({});
    CPPUNIT_ASSERT(Stop_);
    respondToPoll(1100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State_.Pending_.size());
    WorkerResponse Response;
    Response.Id_ = Stop_->Id_;
    Response.Answered_ = true;
    Response.WorkerClock_ = 1200ms;
    AgentEffects Out;
    onWorkerResponse(State_, Response, Now_, Out);
    collect(std::move(Out));
    respondToPoll(1201ms);
    CPPUNIT_ASSERT(State_.Pending_.empty());
    CPPUNIT_ASSERT(Report_->Pending_.empty());
  }

  /// Guards against a holder that takes a partial list of ends for all of them,
  /// and against one that waits for further ends although all are listed.
  void partialListOfEndsIsReportedAsPartial() {
    connect();
    CPPUNIT_ASSERT(Report_->EndsComplete_);
    WorkerRuns Runs;
    Runs.Ended_.push_back({1, run(), cell::EndKind::Done, ""});
    Runs.EndsComplete_ = false;
    Now_ += 1s;
    collect({});
    respondToPoll(200ms, Runs);
    CPPUNIT_ASSERT(!Report_->EndsComplete_);
    Runs.EndsComplete_ = true;
    Now_ += 200ms;
    collect({});
    respondToPoll(400ms, Runs);
    CPPUNIT_ASSERT(Report_->EndsComplete_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentTest);
