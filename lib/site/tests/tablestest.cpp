#include "fakesite.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// The operator's tables: how they reach a host, and what it answers by them.
class TablesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TablesTest);
  CPPUNIT_TEST(logTellsHowTablesArrived);
  CPPUNIT_TEST(logTellsHowOldDenyingTablesAre);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesTest);
