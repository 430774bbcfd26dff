#include "fakesite.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// A store that does not take some records.
class RejectedRecordTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RejectedRecordTest);
  CPPUNIT_TEST(rejectedJobHoldsUpNoOtherCaller);
  CPPUNIT_TEST(rejectedProgressHoldsUpNoOtherJob);
  CPPUNIT_TEST(rejectedAppendThroughAPeerHoldsUpNoOther);
  CPPUNIT_TEST(idsThatNameNoTaskAreInvalid);
  CPPUNIT_TEST_SUITE_END();

  static jobs::JobSpec shortJob() {
    return jobs::JobSpecBuilder()
        .command("200")
        .step(2, {1000, 1000, 1}, 200ms)
        .build();
  }

public:
  /// Guards against submissions that wait behind one that the store never
  /// takes, and against a refused one that its caller sends again without end.
  void rejectedJobHoldsUpNoOtherCaller() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RejectedKeys_ = {"j/bad"};
    const CallToken Bad = Site.call("e1", RequestKind::Submit, "bad");
    const CallToken Good = Site.call("e1", RequestKind::Submit, "good");
    Site.run(500ms);
    CPPUNIT_ASSERT(Site.replyKind(Bad) == ReplyKind::Invalid);
    CPPUNIT_ASSERT(Site.replyKind(Good) == ReplyKind::Accepted);
  }

  /// Guards against a holder that records nothing any more because the store
  /// does not take the progress of one job.
  void rejectedProgressHoldsUpNoOtherJob() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    Site.run(2s);
    Site.Store_.RejectedKeys_ = {"p/bad"};
    Site.submit("e1", "bad", shortJob());
    Site.submit("e1", "good", shortJob());
    Site.run(5s);
    const auto &Jobs = Site.entry("e1").View_.Jobs_;
    CPPUNIT_ASSERT(Jobs.at("good").reportedState() ==
                   jobs::JobState::Completed);
    CPPUNIT_ASSERT(Site.agent("w0").Ended_.empty());
  }

  /// Guards against the same on a host that appends through a peer.
  void rejectedAppendThroughAPeerHoldsUpNoOther() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"e1"};
    Site.run(1s);
    Site.Store_.RejectedKeys_ = {"j/bad"};
    const CallToken Bad = Site.call("e1", RequestKind::Submit, "bad");
    const CallToken Good = Site.call("e1", RequestKind::Submit, "good");
    Site.run(2s);
    CPPUNIT_ASSERT(Site.replyKind(Bad) == ReplyKind::Invalid);
    CPPUNIT_ASSERT(Site.replyKind(Good) == ReplyKind::Accepted);
  }

  /// Guards against an id that makes the names of tasks ambiguous, or keys that
  /// the store does not take.
  void idsThatNameNoTaskAreInvalid() {
    FakeSite Site(1);
    Site.run(2s);
    for (const std::string &Id :
         {std::string(), std::string("a.b"), std::string(65, 'a')}) {
      const CallToken Token = Site.call("e0", RequestKind::Submit, Id);
      Site.run(100ms);
      CPPUNIT_ASSERT(Site.replyKind(Token) == ReplyKind::Invalid);
    }
    const CallToken Longest =
        Site.call("e0", RequestKind::Submit, std::string(64, 'a'));
    Site.run(100ms);
    CPPUNIT_ASSERT(Site.replyKind(Longest) == ReplyKind::Accepted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RejectedRecordTest);
