#include "nutmegwell/wire/tablejson.h"
#include "nutmegwell/wire/json.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;

class TableJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableJsonTest);
  CPPUNIT_TEST(poolsSurviveRoundTrip);
  CPPUNIT_TEST(routesSurviveRoundTrip);
  CPPUNIT_TEST(nonBooleanFlagIsAnError);
  CPPUNIT_TEST(unknownFieldIsAnError);
  CPPUNIT_TEST(malformedTextIsAnError);
  CPPUNIT_TEST(deepNestingIsRejected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a pools table that changes when an operator reads, edits
  /// and publishes it.
  void poolsSurviveRoundTrip() {
    const std::string Text =
        R"({"pools":[{"name":"p","account":"a","service":"s","domain":"d",)"
        R"("guaranteed":8,"block":4,"level":"rack","limit":16,"requests":3}]})";
    model::PoolsTable First, Second;
    CPPUNIT_ASSERT(wire::parsePools(Text, First).empty());
    CPPUNIT_ASSERT(wire::parsePools(wire::formatPools(First), Second).empty());
    CPPUNIT_ASSERT(Second.Rows_.at(0).Level_ == model::TopologyLevel::Rack);
    CPPUNIT_ASSERT_EQUAL(4u, Second.Rows_.at(0).BlockSize_);
  }

  /// Guards against the idempotent flag of a route that is lost.
  void routesSurviveRoundTrip() {
    const std::string Text =
        R"({"routes":[{"path":"/a","service":"s","idempotent":true}]})";
    model::RoutesTable First, Second;
    CPPUNIT_ASSERT(wire::parseRoutes(Text, First).empty());
    CPPUNIT_ASSERT(
        wire::parseRoutes(wire::formatRoutes(First), Second).empty());
    CPPUNIT_ASSERT(Second.Rows_.at(0).Idempotent_);
  }

  /// Guards against a value that is not a boolean but is read as one.
  void nonBooleanFlagIsAnError() {
    for (const char *Value : {"\"true\"", "1", "null", "{}", "\"\""}) {
      model::RoutesTable Table;
      const std::string Text =
          R"({"routes":[{"path":"/a","service":"s","idempotent":)";
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{1},
          wire::parseRoutes(Text + Value + "}]}", Table).size());
    }
  }

  /// Guards against a misspelled field that is ignored, so that the default
  /// applies.
  void unknownFieldIsAnError() {
    model::RoutesTable Table;
    auto Errors = wire::parseRoutes(
        R"({"routes":[{"path":"/a","service":"s","timout_ms":5}]})", Table);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Errors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("timout_ms"), Errors[0].Field_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Errors[0].Row_);
  }

  /// Guards against a malformed table that is published in part.
  void malformedTextIsAnError() {
    model::RoutesTable Table;
    for (const char *Text : {"", "{", "[]", "{\"routes\":{}}", "nonsense"})
      CPPUNIT_ASSERT(!wire::parseRoutes(Text, Table).empty());
  }

  /// Guards against deep nesting that exhausts the stack.
  void deepNestingIsRejected() {
    CPPUNIT_ASSERT(!wire::parseJson(std::string(100000, '[')).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableJsonTest);
