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
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnknownJobTest);
