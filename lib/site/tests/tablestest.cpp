#include "fakesite.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// The operator's tables: how they reach a host, and what it answers by them.
class TablesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TablesTest);
  CPPUNIT_TEST(logTellsHowTablesArrived);
  CPPUNIT_TEST(logTellsHowOldDenyingTablesAre);
  CPPUNIT_TEST(slowLinkStaysBehindAfterACut);
  CPPUNIT_TEST(outdatedTablesDenyANewKey);
  CPPUNIT_TEST(deniedCallerIsServedByNewerTables);
  CPPUNIT_TEST(deniedCallerIsRefusedAtOnceWithoutAStore);
  CPPUNIT_TEST(recentTablesDenyAtOnce);
  CPPUNIT_TEST(refusedHostDeniesByThePeersReads);
  CPPUNIT_TEST(unknownKeysCostFewReads);
  CPPUNIT_TEST(denialsAreDecidedByAgeAndWait);
  CPPUNIT_TEST(tablesAreLateThroughTwoFaults);
  CPPUNIT_TEST_SUITE_END();

  /// Returns a field of the newest line of \p Event, or an empty string.
  static std::string lastField(const FakeSite &Site, const std::string &Event,
                               const std::string &Name) {
    std::string Result;
    for (const core::LogEvent &Line : Site.LogEvents_)
      for (const auto &[Key, Value] : Line.Fields_)
        if (Line.Event_ == Event && Key == Name)
          Result = Value;
    return Result;
  }

  /// Publishes the next version of the tables, padded to \p Size bytes.
  static core::Version publishTables(FakeSite &Site, std::size_t Size) {
    const core::Version Next =
        Site.Store_.Records_[store::Stream::Operator].size() + 1;
    std::string Value = std::to_string(Next);
    Value.resize(Size, ' ');
    Site.Store_.publish("tables", Value);
    return Next;
  }

  /// Runs until all \p Hosts use \p Version, at most for \p Limit. Returns the
  /// time that it took.
  static core::Duration timeUntilUsed(FakeSite &Site,
                                      const std::vector<std::string> &Hosts,
                                      core::Version Version,
                                      core::Duration Limit) {
    constexpr core::Duration Step = 10ms;
    const auto IsBehind = [&](const std::string &Host) {
      return Site.entry(Host).Tables_->Version_ < Version;
    };
    core::Duration Past(0);
    for (; Past < Limit && std::any_of(Hosts.begin(), Hosts.end(), IsBehind);
         Past += Step)
      Site.run(Step);
    return Past;
  }

public:
  /// Guards against late tables whose logs do not tell the store, a peer and
  /// the control thread apart.
  void logTellsHowTablesArrived() {
    FakeSite Site(2);
    Site.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("newest_page"),
                         lastField(Site, "tables_in_force", "way"));
    Site.Store_.publish("tables", "2");
    Site.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("read"),
                         lastField(Site, "tables_in_force", "way"));
    Site.Store_.RefusedHosts_ = {"e0"};
    Site.run(500ms);
    Site.Store_.publish("tables", "3");
    Site.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("peer"),
                         lastField(Site, "tables_in_force", "way"));
    CPPUNIT_ASSERT_EQUAL(std::string("20"), lastField(Site, "tables_in_force",
                                                      "requested_ms_ago"));
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         lastField(Site, "tables_in_force", "arrived_ms_ago"));
  }

  /// Guards against a denial whose log line does not show that the tables are
  /// older than those of the peers.
  void logTellsHowOldDenyingTablesAre() {
    FakeSite Site(2);
    Site.run(2s);
    Site.Store_.publish("tables", "9");
    Site.run(1s);
    Site.call("e0", RequestKind::Query, "j1");
    CPPUNIT_ASSERT_EQUAL(std::string("unknown key"),
                         lastField(Site, "call_answered", "outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         lastField(Site, "call_answered", "operator_next"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), lastField(Site, "call_answered",
                                                     "operator_next_of_peers"));
    CPPUNIT_ASSERT(std::stoi(lastField(Site, "call_answered",
                                       "operator_read_ms_ago")) < 1000);
  }

  /// Guards against a host that stays behind after it was cut off, because
  /// several copies of each version share its slow link.
  void slowLinkStaysBehindAfterACut() {
    constexpr std::size_t TableSize = 262144;
    // Half of a link of 10 Mbit/s; callers and jobs use the rest. A version
    // takes 0.42 s.
    constexpr std::size_t BytesPerSecond = 625000;
    constexpr auto Interval = 1280ms;
    // Time after which a host in contact has to use a version, and time for
    // which it has to reach the store before it counts as in contact.
    constexpr auto MaxLag = 2000ms;
    constexpr auto ContactTime = 3000ms;
    const std::vector<std::string> CutOff = {"e5", "e6"};
    FakeSite Site(8);
    for (const char *Host : {"e5", "e6", "e7"})
      Site.Links_.limit(Host, BytesPerSecond);
    Site.run(3s);
    for (const std::string &Host : CutOff) {
      Site.isolate(Host);
      Site.Store_.SilentHosts_.insert(Host);
    }
    for (int I = 0; I < 6; ++I) {
      publishTables(Site, TableSize);
      Site.run(Interval);
    }
    for (const std::string &Host : CutOff)
      Site.reconnect(Host);
    Site.Store_.SilentHosts_.clear();
    for (core::Duration Past(0); Past < ContactTime; Past += Interval) {
      publishTables(Site, TableSize);
      Site.run(Interval);
    }
    for (int I = 0; I < 8; ++I) {
      const core::Version Newest = publishTables(Site, TableSize);
      const core::Duration Lag = timeUntilUsed(Site, CutOff, Newest, MaxLag);
      CPPUNIT_ASSERT_MESSAGE(
          "version " + std::to_string(Newest) + " is late; e5 uses " +
              std::to_string(Site.entry("e5").Tables_->Version_),
          Lag < MaxLag);
      Site.run(std::max(Interval - Lag, core::Duration(0)));
    }
  }

  /// Lets e0 hear from no peer and its reads hang, and publishes tables with
  /// the key of the callers.
  static void outdateTables(FakeSite &Site) {
    Site.Store_.publish("tables", "9");
    Site.run(3s);
    Site.isolate("e0");
    Site.Store_.SilentHosts_ = {"e0"};
    // A read that the store holds still ends.
    Site.run(1s);
    Site.Store_.publish("tables", "10");
    Site.run(700ms);
  }

  /// Guards against a host that answers "unknown key" by tables that lack a
  /// version in which the key exists.
  void outdatedTablesDenyANewKey() {
    FakeSite Site(2);
    outdateTables(Site);
    const CallToken Token = Site.call("e0", RequestKind::Submit, "j1");
    Site.run(DenialPolicy().MaxWait_ + 50ms);
    CPPUNIT_ASSERT(Site.replyKind(Token) == ReplyKind::Refused);
    CPPUNIT_ASSERT(Site.Replies_.at(Token).RetryAfter_ > 0s);
  }

  /// Guards against a caller who is refused although newer tables arrive while
  /// it waits.
  void deniedCallerIsServedByNewerTables() {
    FakeSite Site(2);
    outdateTables(Site);
    const CallToken Token = Site.call("e0", RequestKind::Submit, "j1");
    Site.run(50ms);
    CPPUNIT_ASSERT(!Site.replyKind(Token));
    Site.Store_.SilentHosts_.clear();
    Site.run(700ms);
    CPPUNIT_ASSERT(Site.replyKind(Token) == ReplyKind::Accepted);
  }

  /// Guards against callers who wait at a host that cannot learn of new tables.
  void deniedCallerIsRefusedAtOnceWithoutAStore() {
    FakeSite Site(2);
    Site.Store_.publish("tables", "9");
    Site.run(3s);
    Site.isolate("e0");
    Site.Store_.RefusedHosts_ = {"e0"};
    Site.run(3s);
    const CallToken Token = Site.call("e0", RequestKind::Submit, "j1");
    Site.run(20ms);
    CPPUNIT_ASSERT(Site.replyKind(Token) == ReplyKind::Refused);
  }

  /// Guards against denials that wait in normal operation.
  void recentTablesDenyAtOnce() {
    FakeSite Site(2);
    Site.Store_.publish("tables", "9");
    Site.run(3s);
    for (int I = 0; I < 300; ++I) {
      const CallToken Token = Site.call("e0", RequestKind::Query, "j1");
      CPPUNIT_ASSERT(Site.replyKind(Token) == ReplyKind::UnknownKey);
      Site.run(10ms);
    }
  }

  /// Guards against a host that refuses instead of denying, although its peers
  /// read the store and it has their tables.
  void refusedHostDeniesByThePeersReads() {
    FakeSite Site(3);
    Site.Store_.publish("tables", "9");
    Site.run(3s);
    Site.Store_.RefusedHosts_ = {"e0"};
    Site.run(3s);
    const CallToken Token = Site.call("e0", RequestKind::Query, "j1");
    Site.run(20ms);
    CPPUNIT_ASSERT(Site.replyKind(Token) == ReplyKind::UnknownKey);
  }

  /// Guards against unknown keys that cost the store a read each.
  void unknownKeysCostFewReads() {
    constexpr std::size_t MaxReadsPerSecond = 30;
    FakeSite Site(1);
    Site.Store_.publish("tables", "9");
    Site.run(3s);
    Site.Store_.SilentHosts_ = {"e0"};
    Site.run(1600ms);
    const std::size_t Before = Site.Store_.ReadCounts_["e0"];
    for (int I = 0; I < 100; ++I) {
      for (int Each = 0; Each < 10; ++Each)
        Site.call("e0", RequestKind::Query, "j1");
      Site.run(10ms);
    }
    CPPUNIT_ASSERT(Site.Store_.ReadCounts_["e0"] - Before <= MaxReadsPerSecond);
    CPPUNIT_ASSERT(Site.entry("e0").DeniedCalls_.size() <=
                   DenialPolicy().MaxWaiting_);
  }

  /// Guards against a denial by tables that may miss a version in force.
  void denialsAreDecidedByAgeAndWait() {
    const DenialPolicy Policy;
    const core::Duration Timeout = 3s;
    const auto Decide = [&](core::Duration Age, core::Duration Waited,
                            bool Reachable) {
      return decideDenial({Age, Waited, Timeout, Reachable}, Policy);
    };
    CPPUNIT_ASSERT(Decide(Policy.MaxTablesAge_, 0s, false) ==
                   DenialDecision::Deny);
    CPPUNIT_ASSERT(Decide(Policy.MaxTablesAge_ + 1ms, 0s, true) ==
                   DenialDecision::Wait);
    CPPUNIT_ASSERT(Decide(Policy.MaxTablesAge_ + 1ms, 0s, false) ==
                   DenialDecision::Refuse);
    CPPUNIT_ASSERT(Decide(Policy.MaxTablesAge_ + 1ms, Policy.MaxWait_, true) ==
                   DenialDecision::Refuse);
    // A caller who is refused has time left to ask another host.
    CPPUNIT_ASSERT(longestWait({5s, 0s, 600ms, true}, Policy) == 300ms);
  }

  /// Guards against fall-backs that each take their time and together exceed
  /// the time in which tables have to be in force: any two faults on the paths
  /// of a host that is not cut off from all others.
  void tablesAreLateThroughTwoFaults() {
    // The shortest time of all deployments.
    constexpr auto MaxLag = 2000ms;
    struct Fault {
      const char *Name_;
      std::function<void(FakeSite &)> Begin_;
    };
    const std::vector<Fault> Faults = {
        {"the store refuses e0",
         [](FakeSite &Site) { Site.Store_.RefusedHosts_.insert("e0"); }},
        {"the store does not answer e0",
         [](FakeSite &Site) { Site.Store_.SilentHosts_.insert("e0"); }},
        {"the store refuses e1",
         [](FakeSite &Site) { Site.Store_.RefusedHosts_.insert("e1"); }},
        {"the store does not answer e1",
         [](FakeSite &Site) { Site.Store_.SilentHosts_.insert("e1"); }},
        {"e0 and e1 are cut off from each other",
         [](FakeSite &Site) { Site.cutLink("e0", "e1"); }},
        {"e1 is suspended", [](FakeSite &Site) { Site.pause("e1"); }},
        {"e1 has ended", [](FakeSite &Site) { Site.kill("e1"); }},
        {"e2 is cut off", [](FakeSite &Site) { Site.isolate("e2"); }},
        {"the history is dropped",
         [](FakeSite &Site) { Site.Store_.dropHistory(); }}};
    // The second fault strikes when the version is published, at some point
    // between two heartbeats and reads, or before the time for which a host has
    // to be in contact.
    const std::vector<core::Duration> Gaps = {0ms,   80ms,  160ms, 240ms,
                                              400ms, 650ms, 900ms, 3s};
    for (const Fault &First : Faults)
      for (const Fault &Second : Faults)
        for (core::Duration Gap : Gaps) {
          FakeSite Site(4);
          Site.run(3s);
          First.Begin_(Site);
          Site.run(3s);
          Second.Begin_(Site);
          Site.run(Gap);
          const core::Version Newest = publishTables(Site, 100);
          const core::Duration Lag =
              timeUntilUsed(Site, {"e0"}, Newest, 2 * MaxLag);
          CPPUNIT_ASSERT_MESSAGE(
              std::string(First.Name_) + ", " + Second.Name_ + ": " +
                  std::to_string(core::wholeMilliseconds(Lag).count()) + " ms",
              Lag <= MaxLag);
        }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesTest);
