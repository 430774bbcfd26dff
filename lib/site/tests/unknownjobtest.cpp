#include "fakesite.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// Callers who ask an entry host about a job that it does not know.
class UnknownJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnknownJobTest);
  CPPUNIT_TEST(refusedHostCancelsAJobOfAnotherHost);
  CPPUNIT_TEST(queryWaitsForAJobOfAnotherHost);
  CPPUNIT_TEST(isolatedHostDeniesNoJob);
  CPPUNIT_TEST(isolatedHostRefusesAtOnce);
  CPPUNIT_TEST(refusedHostDeniesUnknownJobs);
  CPPUNIT_TEST(unknownJobsCostFewReads);
  CPPUNIT_TEST(cancellationHoldsForASubmissionAtAPausedHost);
  CPPUNIT_TEST(cancellationHoldsForALateAppend);
  CPPUNIT_TEST(unrecordedCancellationIsNotAcknowledged);
  CPPUNIT_TEST(unknownJobIsCancelledOnce);
  CPPUNIT_TEST(overlongIdsWaitForNothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Jobs = 8;

  static bool has(const std::optional<ReplyKind> &Answer, ReplyKind Kind) {
    return Answer && *Answer == Kind;
  }

  /// Submits a job to e0 and returns as soon as it is accepted.
  static std::string acceptJob(FakeSite &Site, int Number) {
    const std::string Job = "j" + std::to_string(Number);
    const CallToken Submit = Site.call("e0", RequestKind::Submit, Job);
    while (!Site.replyKind(Submit))
      Site.run(10ms);
    CPPUNIT_ASSERT(has(Site.replyKind(Submit), ReplyKind::Accepted));
    return Job;
  }

  /// Asks e1 for the state of a job and for its cancellation, and checks the
  /// kind of both replies after \p Span.
  static void expectReplies(FakeSite &Site, const std::string &Job,
                            core::Duration Span, ReplyKind Kind) {
    const CallToken Query = Site.call("e1", RequestKind::Query, Job);
    const CallToken Cancel = Site.call("e1", RequestKind::Cancel, Job);
    Site.run(Span);
    CPPUNIT_ASSERT(has(Site.replyKind(Query), Kind));
    CPPUNIT_ASSERT(has(Site.replyKind(Cancel), Kind));
  }

  /// Returns the specification of a job that the simulated worker can run.
  static jobs::JobSpec runnableSpec() {
    return jobs::JobSpecBuilder()
        .command("100")
        .step(1, {1000, 1000, 1}, 100ms)
        .build();
  }

  /// Returns the number of records that cancel \p Job.
  static std::size_t cancellations(FakeSite &Site, const std::string &Job) {
    const auto &Log = Site.Store_.Records_[store::Stream::Cell];
    return static_cast<std::size_t>(
        std::count_if(Log.begin(), Log.end(), [&](const auto &Record) {
          return Record.Key_ == jobs::keyOf(jobs::JobCancelled{Job});
        }));
  }

  /// Checks that all hosts show \p Job as cancelled and that no task of it has
  /// started.
  static void expectCancelled(FakeSite &Site, const std::string &Job) {
    for (const char *Host : {"e0", "e1", "e2"}) {
      const auto &Known = Site.entry(Host).View_.Jobs_;
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Known.count(Job));
      CPPUNIT_ASSERT(Known.at(Job).reportedState() ==
                     jobs::JobState::Cancelled);
    }
    for (const history::Event &Each : Site.Events_)
      if (const auto *Start = std::get_if<history::RunStarted>(&Each.Body_))
        CPPUNIT_ASSERT(Start->Id_.Job_ != Job);
  }

  /// Cuts e1 off from the store and from its peers.
  static void isolate(FakeSite &Site) {
    Site.Store_.RefusedHosts_ = {"e1"};
    Site.isolate("e1");
  }

public:
  /// Guards against a cancellation that is answered as if the job did not
  /// exist, by a host that the store refuses; the job would run on.
  void refusedHostCancelsAJobOfAnotherHost() {
    FakeSite Site(3);
    Site.run(2s);
    for (int I = 0; I < Jobs; ++I) {
      Site.Store_.RefusedHosts_ = {"e1"};
      const std::string Job = acceptJob(Site, I);
      const CallToken Cancel = Site.call("e1", RequestKind::Cancel, Job);
      Site.run(3s);
      CPPUNIT_ASSERT(has(Site.replyKind(Cancel), ReplyKind::Cancelled));
      CPPUNIT_ASSERT(Site.entry("e0").View_.Jobs_.at(Job).CancelRequested_);
      Site.Store_.RefusedHosts_.clear();
      Site.run(1s);
    }
  }

  /// Guards against a query that is answered as if the job did not exist, right
  /// after its acceptance by another host.
  void queryWaitsForAJobOfAnotherHost() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"e1"};
    for (int I = 0; I < Jobs; ++I) {
      const std::string Job = acceptJob(Site, I);
      const CallToken Query = Site.call("e1", RequestKind::Query, Job);
      Site.run(2s);
      CPPUNIT_ASSERT(has(Site.replyKind(Query), ReplyKind::State));
    }
  }

  /// Guards against a wrong answer of a host that reaches neither the store nor
  /// its peers: it cannot know that a job does not exist.
  void isolatedHostDeniesNoJob() {
    FakeSite Site(3);
    Site.run(2s);
    isolate(Site);
    expectReplies(Site, acceptJob(Site, 0), 3s, ReplyKind::Refused);
  }

  /// Guards against callers who wait for a host that knows already that it can
  /// learn nothing about a job; they can ask another host.
  void isolatedHostRefusesAtOnce() {
    FakeSite Site(3);
    Site.run(2s);
    isolate(Site);
    expectReplies(Site, "none", 1500ms, ReplyKind::Refused);
    expectReplies(Site, "none", 10ms, ReplyKind::Refused);
  }

  /// Guards against callers that are left in doubt: a host that the store
  /// refuses learns from a peer's read that a job does not exist.
  void refusedHostDeniesUnknownJobs() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"e1"};
    Site.run(1s);
    expectReplies(Site, "none", 2s, ReplyKind::UnknownJob);
  }

  /// Guards against a call to the store for each caller who asks about a job
  /// that does not exist, also at the holder; all of them are answered soon.
  void unknownJobsCostFewReads() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.ReadCounts_.clear();
    std::vector<CallToken> Calls;
    for (int I = 0; I < 100; ++I) {
      for (const char *Host : {"e0", "e1", "e2"})
        Calls.push_back(Site.call(Host, RequestKind::Query, "none"));
      Site.run(10ms);
    }
    // Operator and cell stream together; ten reads a second of each.
    for (const auto &[Host, Count] : Site.Store_.ReadCounts_)
      CPPUNIT_ASSERT(Count <= 24);
    Site.run(400ms);
    for (const CallToken Call : Calls)
      CPPUNIT_ASSERT(has(Site.replyKind(Call), ReplyKind::UnknownJob));
  }

  /// Guards against a job that runs although its cancellation was acknowledged:
  /// its submission was on its way at a host that was suspended.
  void cancellationHoldsForASubmissionAtAPausedHost() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    Site.run(3s);
    Site.pause("e2");
    Site.submit("e2", "j", runnableSpec());
    const CallToken Cancel = Site.call("e1", RequestKind::Cancel, "j");
    Site.run(1s);
    CPPUNIT_ASSERT(has(Site.replyKind(Cancel), ReplyKind::UnknownJob));
    Site.run(3s);
    Site.resume("e2");
    Site.run(3s);
    expectCancelled(Site, "j");
  }

  /// Guards against the same when the append of the submission takes effect
  /// after the cancellation.
  void cancellationHoldsForALateAppend() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    Site.run(3s);
    Site.Store_.ApplyDelay_ = 5s;
    Site.submit("e2", "j", runnableSpec());
    Site.run(20ms);
    Site.isolate("e2");
    Site.Store_.RefusedHosts_ = {"e2"};
    Site.Store_.ApplyDelay_ = 0s;
    const CallToken Cancel = Site.call("e1", RequestKind::Cancel, "j");
    Site.run(1s);
    CPPUNIT_ASSERT(has(Site.replyKind(Cancel), ReplyKind::UnknownJob));
    Site.run(5s);
    Site.reconnect("e2");
    Site.Store_.RefusedHosts_.clear();
    Site.run(3s);
    expectCancelled(Site, "j");
  }

  /// Guards against an acknowledged cancellation that a failure of the store
  /// can undo.
  void unrecordedCancellationIsNotAcknowledged() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.ApplyDelay_ = 10s;
    const CallToken Cancel = Site.call("e1", RequestKind::Cancel, "none");
    Site.run(3s);
    CPPUNIT_ASSERT(has(Site.replyKind(Cancel), ReplyKind::OutcomeUnknown));
  }

  /// Guards against a record for each repeat of a cancellation.
  void unknownJobIsCancelledOnce() {
    FakeSite Site(3);
    Site.run(2s);
    for (int I = 0; I < 5; ++I)
      for (const char *Host : {"e0", "e1", "e2"}) {
        const CallToken Cancel = Site.call(Host, RequestKind::Cancel, "none");
        Site.run(500ms);
        CPPUNIT_ASSERT(has(Site.replyKind(Cancel), ReplyKind::UnknownJob));
      }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), cancellations(Site, "none"));
  }

  /// Guards against calls with overlong ids that wait for a read and append a
  /// cancellation each, although no job can have such an id.
  void overlongIdsWaitForNothing() {
    FakeSite Site(1);
    Site.run(2s);
    const std::string Id(15000, 'a');
    const CallToken Query = Site.call("e0", RequestKind::Query, Id);
    const CallToken Cancel = Site.call("e0", RequestKind::Cancel, Id);
    CPPUNIT_ASSERT(has(Site.replyKind(Query), ReplyKind::UnknownJob));
    CPPUNIT_ASSERT(has(Site.replyKind(Cancel), ReplyKind::UnknownJob));
    Site.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), cancellations(Site, Id));
    CPPUNIT_ASSERT(Site.entry("e0").Calls_.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnknownJobTest);
