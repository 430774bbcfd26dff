#include "fakesite.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

class SiteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SiteTest);
  CPPUNIT_TEST(agentsFollowANewHolderAtOnce);
  CPPUNIT_TEST(agentsLearnOfReachableHostsOnly);
  CPPUNIT_TEST(jobIsKnownEverywhere);
  CPPUNIT_TEST(lostResponsesAcceptAJobOnce);
  CPPUNIT_TEST(submissionIsAnsweredWithItsRecord);
  CPPUNIT_TEST(refusedHostAppendsThroughAPeer);
  CPPUNIT_TEST(refusedHostReadsThroughAPeer);
  CPPUNIT_TEST(removedKeyIsRejectedByARefusedHost);
  CPPUNIT_TEST(storeOutageIsAnsweredInTime);
  CPPUNIT_TEST(submissionRefusedByTheStoreIsRefused);
  CPPUNIT_TEST(callerWithoutTimeToReturnWaits);
  CPPUNIT_TEST(submissionOutlastsAnOutage);
  CPPUNIT_TEST(silentReadIsRepeated);
  CPPUNIT_TEST(readsOfABusyStreamAreSpaced);
  CPPUNIT_TEST(recordsAreRelayedByOnePeer);
  CPPUNIT_TEST(heartbeatsOmitUnchangedHosts);
  CPPUNIT_TEST(holderOutlastsAStoreOutage);
  CPPUNIT_TEST(refusedHolderKeepsItsTenureThroughAPeer);
  CPPUNIT_TEST(droppedHistoryIsReadFromTheNewestRecords);
  CPPUNIT_TEST(allHostsRestartFromTheStoreAlone);
  CPPUNIT_TEST(speedsOutlastARestartOfAllHosts);
  CPPUNIT_TEST(speedFiguresEndWithTheTenure);
  CPPUNIT_TEST(cancelOfAnUnreadJobIsNotLost);
  CPPUNIT_TEST(workerIsUsedAfterItsClockWasSetBack);
  CPPUNIT_TEST_SUITE_END();

  static bool has(const std::optional<ReplyKind> &Answer, ReplyKind Kind) {
    return Answer && *Answer == Kind;
  }

public:
  /// Guards against the reply that the outcome is unknown for a job that was
  /// accepted and runs: the store loses every response to an append, but reads
  /// work.
  void submissionIsAnsweredWithItsRecord() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.LosesResponses_ = true;
    const CallToken Token = Site.call("e0", RequestKind::Submit, "j1");
    Site.run(300ms);
    CPPUNIT_ASSERT(has(Site.replyKind(Token), ReplyKind::Accepted));
  }

  /// Guards against work that waits after a change of the holder: the entry
  /// host that an agent is connected to sends it the new holder at once, not in
  /// response to the next report.
  void agentsFollowANewHolderAtOnce() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    Site.run(3s);
    Site.kill(Site.holders()[0]);
    while (Site.holders().empty())
      Site.run(10ms);
    const EntryState &Holder = Site.entry(Site.holders()[0]);
    Site.run(150ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holder.Holder_->Workers_.size());
    CPPUNIT_ASSERT(Holder.Holder_->Workers_.at("w0").Synced_);
  }

  /// Guards against a second or more lost on connecting to failed hosts.
  void agentsLearnOfReachableHostsOnly() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    Site.run(3s);
    const std::string Killed = Site.holders()[0] == "e2" ? "e1" : "e2";
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.agent("w0").Hosts_.count(Killed));
    Site.kill(Killed);
    Site.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Site.agent("w0").Hosts_.count(Killed));
  }

  /// Guards against a job that only the host that accepted it knows.
  void jobIsKnownEverywhere() {
    FakeSite Site(3);
    Site.run(2s);
    const CallToken Token = Site.call("e1", RequestKind::Submit, "j");
    Site.run(100ms);
    CPPUNIT_ASSERT(has(Site.replyKind(Token), ReplyKind::Accepted));
    const CallToken Query = Site.call("e2", RequestKind::Query, "j");
    CPPUNIT_ASSERT(has(Site.replyKind(Query), ReplyKind::State));
  }

  /// Guards against a job that is appended twice, and against a wrong refusal:
  /// the same sequence is sent again until its outcome is certain.
  void lostResponsesAcceptAJobOnce() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.LosesResponses_ = true;
    const CallToken Token = Site.call("e1", RequestKind::Submit, "j");
    Site.run(500ms);
    CPPUNIT_ASSERT(Site.entry("e1").OwnWriter_.Batch_);
    Site.Store_.LosesResponses_ = false;
    Site.run(500ms);
    CPPUNIT_ASSERT(!Site.entry("e1").OwnWriter_.Batch_);
    CPPUNIT_ASSERT(has(Site.replyKind(Token), ReplyKind::Accepted));
    std::size_t Copies = 0;
    for (const auto &Record : Site.Store_.Records_[store::Stream::Cell])
      Copies += Record.Key_ == "j/j";
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Copies);
  }

  /// Guards against a host that cannot accept jobs when only its own path to
  /// the store fails.
  void refusedHostAppendsThroughAPeer() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"e1"};
    Site.run(1s);
    const CallToken Token = Site.call("e1", RequestKind::Submit, "j");
    Site.run(1s);
    CPPUNIT_ASSERT(has(Site.replyKind(Token), ReplyKind::Accepted));
  }

  /// Guards against a host with outdated tables and jobs when only its own path
  /// to the store fails.
  void refusedHostReadsThroughAPeer() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"e1"};
    Site.call("e2", RequestKind::Submit, "j");
    Site.Store_.publish("tables", "2");
    Site.Store_.publish("domain-a", "{}");
    Site.run(1s);
    CPPUNIT_ASSERT_EQUAL(core::Version(2), Site.entry("e1").Tables_->Version_);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Site.entry("e1").OutOfServiceDomains_.count("domain-a"));
    CPPUNIT_ASSERT(has(Site.replyKind(Site.call("e1", RequestKind::Query, "j")),
                       ReplyKind::State));
  }

  /// Guards against a removed key that is still accepted by a host that cannot
  /// read the store; new tables have to be in force within 2 s.
  void removedKeyIsRejectedByARefusedHost() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"e1"};
    Site.Store_.publish("tables", "9");
    Site.run(1500ms);
    CPPUNIT_ASSERT(
        has(Site.replyKind(Site.call("e1", RequestKind::Submit, "j")),
            ReplyKind::UnknownKey));
  }

  /// Guards against callers that wait in vain: during an outage, a submission
  /// whose append was sent has an unknown outcome, and a later one is refused
  /// at once.
  void storeOutageIsAnsweredInTime() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.ApplyDelay_ = 10s;
    const CallToken Sent = Site.call("e1", RequestKind::Submit, "a");
    Site.run(800ms);
    const CallToken Later = Site.call("e1", RequestKind::Submit, "b");
    CPPUNIT_ASSERT(has(Site.replyKind(Later), ReplyKind::Refused));
    Site.run(2200ms);
    CPPUNIT_ASSERT(has(Site.replyKind(Sent), ReplyKind::OutcomeUnknown));
  }

  /// Guards against the reply that an outcome is unknown, which a caller may
  /// not be able to retry, for a submission that the store has refused: it is
  /// refused and never runs.
  void submissionRefusedByTheStoreIsRefused() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"*"};
    const CallToken Token = Site.call("e1", RequestKind::Submit, "a");
    Site.run(1s);
    CPPUNIT_ASSERT(has(Site.replyKind(Token), ReplyKind::Refused));
    Site.Store_.RefusedHosts_.clear();
    Site.run(3s);
    for (const auto &Record : Site.Store_.Records_[store::Stream::Cell])
      CPPUNIT_ASSERT(Record.Key_ != "j/a");
  }

  /// Guards against a caller that is refused although the store returns in its
  /// time: it has no time left to come back, so its submission waits unsent.
  void callerWithoutTimeToReturnWaits() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"*"};
    Site.run(1500ms);
    const jobs::JobSpec Spec =
        jobs::JobSpecBuilder().step(1, {1000, 1000, 1}, 1s).build();
    const CallToken Short = Site.submit("e1", "a", Spec, 1s);
    const CallToken Long = Site.submit("e2", "b", Spec, 3s);
    Site.run(400ms);
    CPPUNIT_ASSERT(!Site.replyKind(Short));
    CPPUNIT_ASSERT(has(Site.replyKind(Long), ReplyKind::Refused));
    Site.Store_.RefusedHosts_.clear();
    Site.run(300ms);
    CPPUNIT_ASSERT(has(Site.replyKind(Short), ReplyKind::Accepted));
  }

  /// Guards against a job that is lost after an outage: an append that was sent
  /// is repeated until its outcome is certain, also after its caller was
  /// answered, and a repeat of the request finds the job accepted.
  void submissionOutlastsAnOutage() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.ApplyDelay_ = 4s;
    const CallToken Token = Site.call("e1", RequestKind::Submit, "a");
    Site.run(3s);
    CPPUNIT_ASSERT(has(Site.replyKind(Token), ReplyKind::OutcomeUnknown));
    Site.Store_.ApplyDelay_ = 0s;
    Site.run(500ms);
    const CallToken Again = Site.call("e2", RequestKind::Submit, "a");
    CPPUNIT_ASSERT(has(Site.replyKind(Again), ReplyKind::Accepted));
  }

  /// Guards against work that waits for a dead connection: the holder repeats a
  /// read that gets no response, long before the read times out.
  void silentReadIsRepeated() {
    FakeSite Site(3);
    Site.run(2s);
    Site.Store_.DropsReads_ = true;
    Site.run(50ms);
    Site.Store_.DropsReads_ = false;
    const EntryState &Holder = Site.entry(Site.holders()[0]);
    Site.call("e1", RequestKind::Submit, "j");
    Site.run(550ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holder.View_.Jobs_.count("j"));
  }

  /// Guards against a call to the store by every host for every append: hosts
  /// that do not hold the cell read a busy stream ten times a second.
  void readsOfABusyStreamAreSpaced() {
    FakeSite Site(4);
    Site.run(2s);
    Site.Store_.ReadCounts_.clear();
    for (int I = 0; I < 100; ++I) {
      Site.call("e1", RequestKind::Submit, "j" + std::to_string(I));
      Site.run(10ms);
    }
    for (const auto &[Host, Count] : Site.Store_.ReadCounts_)
      if (Host != Site.holders()[0])
        CPPUNIT_ASSERT(Count <= 22);
  }

  /// Guards against records that every peer sends to a host that cannot read
  /// the store: it needs each of them once, and gets it at most three times.
  void recordsAreRelayedByOnePeer() {
    constexpr int Hosts = 9;
    FakeSite Site(Hosts);
    Site.run(2s);
    Site.Store_.RefusedHosts_ = {"e8"};
    Site.LogEvents_.clear();
    const std::size_t Before = Site.Store_.Records_[store::Stream::Cell].size();
    for (int I = 0; I < 40; ++I) {
      Site.call("e1", RequestKind::Submit, "j" + std::to_string(I));
      Site.run(100ms);
    }
    Site.run(500ms);
    std::size_t Relayed = 0;
    for (const core::LogEvent &Line : Site.LogEvents_)
      if (Line.Event_ == "records_to_peer")
        for (const auto &[Key, Value] : Line.Fields_)
          if (Key == "records")
            Relayed += std::stoul(Value);
    const std::size_t Records =
        Site.Store_.Records_[store::Stream::Cell].size() - Before;
    CPPUNIT_ASSERT(Relayed > 0 && Relayed <= 3 * Records);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Site.entry("e8").View_.Jobs_.count("j39"));
  }

  /// Guards against heartbeats that grow with the number of hosts.
  void heartbeatsOmitUnchangedHosts() {
    FakeSite Site(5);
    Site.run(5s);
    EntryState &State = Site.entry("e0");
    auto CountWithHosts = [&] {
      EntryEffects Out;
      State.NextHeartbeatAt_ = Site.Now_;
      advanceEntry(State, Site.Now_, Site.Wall_, Out);
      std::size_t Count = 0;
      for (const auto &[Address, Message] : Out.SendsTo_)
        if (const auto *Beat = std::get_if<cell::EntryHeartbeat>(&Message))
          Count += !Beat->Hosts_.empty();
      return Count;
    };
    std::size_t Idle = 0;
    for (int I = 0; I < 16; ++I)
      Idle += CountWithHosts();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Idle);
    cell::EntryHeartbeat New;
    New.Host_ = New.Address_ = "e7";
    EntryEffects Out;
    onMessage(State, {'7', Site.Now_}, New, Site.Now_, Site.Wall_, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), CountWithHosts());
  }

  /// Guards against a needless change of the holder during a store outage.
  void holderOutlastsAStoreOutage() {
    FakeSite Site(3);
    Site.run(2s);
    const auto Before = Site.holders();
    Site.Store_.RefusedHosts_ = {"*"};
    Site.run(5s);
    Site.Store_.RefusedHosts_.clear();
    Site.run(2s);
    CPPUNIT_ASSERT(Site.holders() == Before);
  }

  /// Guards against a tenure that ends when only the holder's own path to the
  /// store fails.
  void refusedHolderKeepsItsTenureThroughAPeer() {
    FakeSite Site(3);
    Site.run(2s);
    const std::string Host = Site.holders()[0];
    Site.Store_.RefusedHosts_ = {Host};
    Site.run(9s);
    CPPUNIT_ASSERT(Site.holders() == std::vector<std::string>{Host});
    CPPUNIT_ASSERT(Site.entry(Host).Holder_->TenureConfirmedAt_ >
                   Site.Now_ - 2s);
  }

  /// Guards against a view that goes back or stops when the store drops old
  /// records, and against a domain that stays out of service because the
  /// deletion of its record was dropped.
  void droppedHistoryIsReadFromTheNewestRecords() {
    FakeSite Site(2);
    Site.run(2s);
    Site.Store_.publish("domain-a", "{}");
    Site.run(200ms);
    Site.Store_.RefusedHosts_ = {"*"};
    Site.run(300ms);
    Site.Store_.publish("domain-a", "");
    Site.Store_.publish("tables", "5");
    Site.Store_.dropRecordsBefore(1000);
    Site.Store_.RefusedHosts_.clear();
    Site.run(500ms);
    CPPUNIT_ASSERT_EQUAL(core::Version(5), Site.entry("e1").Tables_->Version_);
    CPPUNIT_ASSERT(Site.entry("e1").OutOfServiceDomains_.empty());
  }

  /// Guards against lost jobs when all processes end at the same time.
  void allHostsRestartFromTheStoreAlone() {
    FakeSite Site(3);
    Site.run(2s);
    Site.call("e1", RequestKind::Submit, "j");
    Site.run(100ms);
    for (const char *Host : {"e0", "e1", "e2"})
      Site.kill(Host);
    Site.run(500ms);
    for (const char *Host : {"e0", "e1", "e2"})
      Site.start(Host);
    Site.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.holders().size());
    CPPUNIT_ASSERT(has(Site.replyKind(Site.call("e2", RequestKind::Query, "j")),
                       ReplyKind::State));
  }

  /// Guards against speeds that are learned anew when all entry hosts end at
  /// the same time.
  void speedsOutlastARestartOfAllHosts() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    const auto Learn = [&] {
      for (const char *Host : {"e0", "e1", "e2"})
        Site.entry(Host).Settings_.Policy_.Holder_.LearnRunTimes_ = true;
    };
    Learn();
    Site.run(3s);
    cell::Holder &First = *Site.entry(Site.holders().at(0)).Holder_;
    expect::restoreSpeed(First.Speeds_, "w0", {0.6, 0.1});
    Site.submit("e1", "j",
                jobs::JobSpecBuilder()
                    .command("500")
                    .step(1, {1000, 1000, 1}, 500ms)
                    .build());
    Site.run(3s);
    for (const char *Host : {"e0", "e1", "e2"})
      Site.kill(Host);
    Site.run(500ms);
    for (const char *Host : {"e0", "e1", "e2"})
      Site.start(Host);
    Learn();
    Site.run(4s);
    const cell::Holder &Next = *Site.entry(Site.holders().at(0)).Holder_;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.6, expect::speedOf(Next.Speeds_, "w0").Speed_, 1e-9);
  }

  /// Guards against metrics of a host that is not the holder any more.
  void speedFiguresEndWithTheTenure() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    for (const char *Host : {"e0", "e1", "e2"})
      Site.entry(Host).Settings_.Policy_.Holder_.LearnRunTimes_ = true;
    Site.run(3s);
    const std::string Holder = Site.holders().at(0);
    expect::restoreSpeed(Site.entry(Holder).Holder_->Speeds_, "w0", {0.6, 0.1});
    Site.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.SpeedFigures_.at(Holder).Known_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, Site.SpeedFigures_.at(Holder).Min_, 1e-9);
    Site.stop(Holder);
    Site.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Site.SpeedFigures_.at(Holder).Known_);
    CPPUNIT_ASSERT_EQUAL(0.0, Site.SpeedFigures_.at(Holder).Min_);
  }

  /// Guards against the reply that a job is unknown when another host has just
  /// accepted it.
  void cancelOfAnUnreadJobIsNotLost() {
    FakeSite Site(3);
    Site.run(2s);
    Site.call("e1", RequestKind::Submit, "j");
    const CallToken Cancel = Site.call("e2", RequestKind::Cancel, "j");
    const CallToken Unknown = Site.call("e2", RequestKind::Cancel, "none");
    Site.run(400ms);
    CPPUNIT_ASSERT(has(Site.replyKind(Cancel), ReplyKind::Cancelled));
    CPPUNIT_ASSERT(has(Site.replyKind(Unknown), ReplyKind::UnknownJob));
  }

  /// Guards against a sound worker that gets no work any more: it has started
  /// again with a time of day before its first start.
  void workerIsUsedAfterItsClockWasSetBack() {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    Site.run(3s);
    Site.worker("w0").restart(Site.Now_, 1min);
    // Workers announce themselves every 1.5 s.
    Site.run(3s);
    const jobs::JobSpec Spec = jobs::JobSpecBuilder()
                                   .command("100")
                                   .step(1, {1000, 1000, 1}, 100ms)
                                   .build();
    Site.submit("e0", "j", Spec);
    Site.run(1s);
    CPPUNIT_ASSERT(Site.entry("e0").View_.Jobs_.at("j").reportedState() ==
                   jobs::JobState::Completed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteTest);
