#include "fakesite.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// Records that a host gets from its peers, while keys of the operator are
/// removed.
class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(removalIsRelayedByAPeerThatStartedAfterIt);
  CPPUNIT_TEST(removalIsRelayedByPeersThatReadItFromPages);
  CPPUNIT_TEST(removalIsRelayedByAPeerThatGotItFromAPeer);
  CPPUNIT_TEST(relayKeepsTheOtherKeys);
  CPPUNIT_TEST(outdatedPageRestoresNoRemovedKey);
  CPPUNIT_TEST(recordsOfTheCellAreNotRelayedInFull);
  CPPUNIT_TEST(emptyPageRemovesNoKey);
  CPPUNIT_TEST(linkOfAPeersHeartbeatsLooksSilentToIt);
  CPPUNIT_TEST(peerThatAsksWithoutEndTakesAllMemory);
  CPPUNIT_TEST(largeRelayIsSentAfterAPause);
  CPPUNIT_TEST_SUITE_END();

  static bool isOut(FakeSite &Site, const std::string &Host,
                    const std::string &Domain) {
    return Site.entry(Host).OutOfServiceDomains_.count(Domain) > 0;
  }

  static void restart(FakeSite &Site, const std::string &Host) {
    Site.kill(Host);
    Site.start(Host);
  }

public:
  /// Guards against a domain that stays out of service for good at a host which
  /// the store refuses, since its peer started after the domain's return.
  void removalIsRelayedByAPeerThatStartedAfterIt() {
    FakeSite Site(2);
    Site.run(2s);
    Site.setDomainOutOfService("a", true);
    Site.run(500ms);
    CPPUNIT_ASSERT(isOut(Site, "e0", "a"));
    Site.Store_.RefusedHosts_ = {"e0"};
    Site.kill("e1");
    Site.setDomainOutOfService("a", false);
    Site.run(500ms);
    Site.start("e1");
    Site.run(2s);
    CPPUNIT_ASSERT(!isOut(Site, "e0", "a"));
    Site.Store_.RefusedHosts_.clear();
    Site.run(1s);
    CPPUNIT_ASSERT(!isOut(Site, "e0", "a"));
  }

  /// Guards against the same when the peers have learned the return from pages
  /// of newest records, which do not contain its offset.
  void removalIsRelayedByPeersThatReadItFromPages() {
    FakeSite Site(3);
    Site.run(2s);
    Site.setDomainOutOfService("a", true);
    Site.Store_.publish("tables", "2");
    Site.run(500ms);
    Site.Store_.RefusedHosts_ = {"*"};
    Site.run(500ms);
    Site.Store_.publish("tables", "3");
    Site.setDomainOutOfService("a", false);
    Site.Store_.dropHistory();
    Site.Store_.RefusedHosts_ = {"e0"};
    Site.run(2s);
    for (const char *Host : {"e0", "e1", "e2"})
      CPPUNIT_ASSERT(!isOut(Site, Host, "a"));
  }

  /// Guards against the same when the peer has the return from another peer,
  /// which had no record of it.
  void removalIsRelayedByAPeerThatGotItFromAPeer() {
    FakeSite Site(3);
    Site.run(2s);
    Site.setDomainOutOfService("a", true);
    Site.run(500ms);
    Site.Store_.RefusedHosts_ = {"e0", "e1"};
    Site.cutLink("e0", "e1");
    Site.cutLink("e0", "e2");
    Site.kill("e2");
    Site.setDomainOutOfService("a", false);
    Site.run(500ms);
    Site.start("e2");
    Site.run(2s);
    CPPUNIT_ASSERT(!isOut(Site, "e1", "a"));
    CPPUNIT_ASSERT(isOut(Site, "e0", "a"));
    Site.restoreLink("e0", "e1");
    Site.run(2s);
    CPPUNIT_ASSERT(!isOut(Site, "e0", "a"));
  }

  /// Guards against a relay that removes keys which still exist: others that
  /// are out of service, and one taken out again after its return.
  void relayKeepsTheOtherKeys() {
    FakeSite Site(2);
    Site.run(2s);
    for (const char *Domain : {"a", "b", "c"})
      Site.setDomainOutOfService(Domain, true);
    Site.run(500ms);
    Site.Store_.RefusedHosts_ = {"e0"};
    Site.kill("e1");
    Site.setDomainOutOfService("a", false);
    Site.setDomainOutOfService("c", false);
    Site.setDomainOutOfService("c", true);
    Site.run(500ms);
    Site.start("e1");
    Site.run(2s);
    for (const char *Host : {"e0", "e1"}) {
      CPPUNIT_ASSERT(!isOut(Site, Host, "a"));
      CPPUNIT_ASSERT(isOut(Site, Host, "b"));
      CPPUNIT_ASSERT(isOut(Site, Host, "c"));
      CPPUNIT_ASSERT(Site.entry(Host).Tables_.has_value());
    }
  }

  /// Guards against a removed key that a slow page of newest records restores
  /// after a peer's records from behind the removal.
  void outdatedPageRestoresNoRemovedKey() {
    FakeSite Site(2);
    Site.run(2s);
    Site.setDomainOutOfService("a", true);
    Site.run(500ms);
    Site.Store_.PageDelays_["e1"] = 3s;
    restart(Site, "e1");
    Site.run(100ms);
    Site.setDomainOutOfService("a", false);
    restart(Site, "e0");
    Site.run(5s);
    CPPUNIT_ASSERT(!isOut(Site, "e0", "a"));
    CPPUNIT_ASSERT(!isOut(Site, "e1", "a"));
  }

  /// Guards against needless traffic: no key of the cell's stream is removed,
  /// so a peer that restarted sends only the records that are lacking.
  void recordsOfTheCellAreNotRelayedInFull() {
    FakeSite Site(2);
    Site.run(2s);
    for (int I = 0; I < 40; ++I)
      Site.call("e1", RequestKind::Submit, "j" + std::to_string(I));
    Site.run(500ms);
    Site.Store_.RefusedHosts_ = {"e0"};
    restart(Site, "e1");
    Site.run(1s);
    Site.LogEvents_.clear();
    Site.call("e1", RequestKind::Submit, "last");
    Site.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Site.entry("e0").View_.Jobs_.count("last"));
    for (const core::LogEvent &Line : Site.LogEvents_)
      if (Line.Event_ == "records_to_peer")
        for (const auto &[Key, Value] : Line.Fields_)
          CPPUNIT_ASSERT(Key != "records" || std::stoul(Value) < 10);
  }

  /// Guards against a domain that is back in service at one host because a page
  /// of keys was empty although further ones follow.
  void emptyPageRemovesNoKey() {
    FakeSite Site(1);
    Site.run(2s);
    Site.setDomainOutOfService("a", true);
    Site.run(500ms);
    EntryState State = Site.entry("e0");
    StreamState &Stream = State.OperatorStream_;
    const core::TimePoint SentAt = Site.Now_;
    Stream.NextOffsetValid_ = false;
    Stream.ResumeOffset_.reset();
    Stream.ReadSentAt_ = SentAt;
    store::NewestRecordsPage Page;
    Page.HasMore_ = true;
    Page.EndOffset_ = 100;
    EntryEffects Out;
    onNewestRead(State, {store::Stream::Operator, "", SentAt}, Page, Site.Now_,
                 Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State.OutOfServiceDomains_.count("a"));
    CPPUNIT_ASSERT(!Stream.NextOffsetValid_);
  }

  /// Guards against links that their senders close as silent, with the records
  /// that are on the way, since no answer to a heartbeat comes back.
  void linkOfAPeersHeartbeatsLooksSilentToIt() {
    constexpr LinkId Link = 7;
    constexpr core::Duration HeartbeatInterval = 250ms;
    // Half of the time after which a link without input is closed.
    constexpr core::Duration MaxSilence = 1s;
    FakeSite Site(1);
    Site.run(1s);
    EntryState State = Site.entry("e0");
    cell::EntryHeartbeat Heartbeat;
    Heartbeat.Host_ = "e9";
    Heartbeat.Address_ = "e9";
    std::size_t Answers = 0;
    core::TimePoint Now = Site.Now_;
    core::TimePoint AnsweredAt = Now;
    for (int I = 0; I < 40; ++I, Now += HeartbeatInterval) {
      EntryEffects Out;
      onMessage(State, {Link, Now}, Heartbeat, Now, Site.Wall_, Out);
      for (const auto &[To, Message] : Out.Sends_) {
        CPPUNIT_ASSERT_EQUAL(Link, To);
        AnsweredAt = Now;
        ++Answers;
      }
      CPPUNIT_ASSERT(Now - AnsweredAt < MaxSilence);
    }
    // Answers cost messages between all pairs of hosts.
    CPPUNIT_ASSERT(Answers <= 20);
  }

  /// Guards against copies of records that are made for each request of a peer,
  /// faster than any link takes them.
  void peerThatAsksWithoutEndTakesAllMemory() {
    constexpr std::size_t TableSize = 262144;
    FakeSite Site(1);
    Site.Store_.publish("tables", "2" + std::string(TableSize, ' '));
    Site.run(2s);
    EntryState State = Site.entry("e0");
    EntryEffects Out;
    for (int I = 0; I < 1000; ++I)
      onMessage(State, {7, Site.Now_},
                cell::RecordsRequest{store::Stream::Operator, 0}, Site.Now_,
                Site.Wall_, Out);
    const std::size_t Bytes = Out.Sends_.size() * TableSize;
    CPPUNIT_ASSERT(!Out.Sends_.empty());
    CPPUNIT_ASSERT(Bytes <= EntryPolicy().RelayBurst_);
  }

  /// Guards against records that no peer gets because all of them together
  /// exceed what is sent at once.
  void largeRelayIsSentAfterAPause() {
    FakeSite Site(1);
    Site.Store_.publish("tables",
                        "2" + std::string(2 * EntryPolicy().RelayBurst_, ' '));
    Site.run(2s);
    EntryState State = Site.entry("e0");
    for (int I = 0; I < 2; ++I) {
      EntryEffects Out;
      onMessage(State, {7, Site.Now_},
                cell::RecordsRequest{store::Stream::Operator, 0}, Site.Now_,
                Site.Wall_, Out);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Out.Sends_.size());
      Site.run(1s);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
