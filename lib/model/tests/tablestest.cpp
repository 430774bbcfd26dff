#include "nutmegwell/model/tables.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell::model;

class TablesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TablesTest);
  CPPUNIT_TEST(validationErrorNamesTableRowAndField);
  CPPUNIT_TEST(longestRouteWins);
  CPPUNIT_TEST_SUITE_END();

  static PoolRow pool(const char *Name, std::uint32_t Guaranteed) {
    PoolRow Row;
    Row.Name_ = Name;
    Row.Account_ = Name;
    Row.Service_ = "svc";
    Row.Domain_ = "a";
    Row.Guaranteed_ = Guaranteed;
    Row.AcceleratorLimit_ = 16;
    return Row;
  }

  /// Guards against guarantees that add up to more accelerators than the
  /// failure domain has, so that reclaiming could not satisfy them.
  void validationErrorNamesTableRowAndField() {
    PoolsTable Pools{{pool("p1", 6), pool("p2", 6)}};
    auto Errors = validatePools(Pools, RoutesTable(), {{"a", 8}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Errors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("pools"), Errors[0].Table_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Errors[0].Row_);
    CPPUNIT_ASSERT_EQUAL(std::string("guaranteed"), Errors[0].Field_);
  }

  /// Guards against a prefix that matches within a path segment, such as "/a"
  /// for "/ab", and against a shorter prefix that wins over a longer one.
  void longestRouteWins() {
    RoutesTable Routes;
    Routes.Rows_.resize(2);
    Routes.Rows_[0].PathPrefix_ = "/a";
    Routes.Rows_[1].PathPrefix_ = "/a/b";
    CPPUNIT_ASSERT(findRoute(Routes, "/a/b/c") == &Routes.Rows_[1]);
    CPPUNIT_ASSERT(findRoute(Routes, "/a/c") == &Routes.Rows_[0]);
    CPPUNIT_ASSERT(findRoute(Routes, "/ab") == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesTest);
