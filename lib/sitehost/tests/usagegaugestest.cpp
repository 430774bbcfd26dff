#include "../src/usagegauges.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::sitehost;

class UsageGaugesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageGaugesTest);
  CPPUNIT_TEST(usageIsShownByAccount);
  CPPUNIT_TEST(accountThatLeavesShowsNone);
  CPPUNIT_TEST_SUITE_END();

  metrics::Registry Registry_;
  UsageGauges Gauges_{Registry_};

  void checkShown(const std::string &Account, int Permille) const {
    const std::string Line =
        "nutmegwell_account_usage_permille{service=\"s\",account=\"" + Account +
        "\"} " + std::to_string(Permille) + "\n";
    CPPUNIT_ASSERT_MESSAGE(Line, Registry_.render({}).find(Line) !=
                                     std::string::npos);
  }

public:
  /// Guards against accounts that share a series or are rounded to nothing.
  void usageIsShownByAccount() {
    Gauges_.show({{"s", "a", 0.25}, {"s", "b", 0.0016}});
    checkShown("a", 250);
    checkShown("b", 2);
  }

  /// Guards against the last usage of an account or of a former holder that is
  /// shown for ever.
  void accountThatLeavesShowsNone() {
    Gauges_.show({{"s", "a", 0.25}, {"s", "b", 0.5}});
    Gauges_.show({{"s", "b", 0.5}});
    checkShown("a", 0);
    checkShown("b", 500);
    Gauges_.show({});
    checkShown("b", 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageGaugesTest);
