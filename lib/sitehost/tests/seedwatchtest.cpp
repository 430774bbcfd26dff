#include "../src/seedwatch.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::sitehost;
using namespace std::chrono_literals;

class SeedWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SeedWatchTest);
  CPPUNIT_TEST(changedSeedsAreAdoptedWithoutSignal);
  CPPUNIT_TEST(invalidSettingsKeepSeeds);
  CPPUNIT_TEST_SUITE_END();

  /// Returns the settings of an agent with one seed, or an error when \p Seed
  /// is not an address.
  static absl::StatusOr<settings::Settings>
  parseSettings(const std::string &Seed) {
    const settings::SettingsSpec Spec = siteSettings();
    const std::string Flag = "--seeds=" + Seed;
    const char *Arguments[] = {"nutmegwelld",
                               "--role=site-agent",
                               "--node=n",
                               "--domain=d",
                               "--worker-listen=127.0.0.1:1",
                               "--worker-address=127.0.0.1:2",
                               Flag.c_str()};
    return settings::parse(Spec, 7, Arguments, {});
  }

public:
  /// Guards against changed seeds that take effect only after a restart.
  void changedSeedsAreAdoptedWithoutSignal() {
    metrics::Registry Metrics;
    LogWriter Log(10, Metrics);
    aio::Loop Loop;
    std::string Seed = "127.0.0.1:10";
    std::vector<std::vector<std::string>> Changes;
    SeedWatch Watch(
        Loop,
        [&] {
          auto Values = parseSettings(Seed);
          Seed = "127.0.0.1:11";
          return Values;
        },
        Log, {"127.0.0.1:10"},
        [&](std::vector<std::string> Seeds) {
          Changes.push_back(std::move(Seeds));
          Loop.stop();
        });
    Watch.start(1ms);
    Loop.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Changes.size());
    CPPUNIT_ASSERT(Changes[0] == std::vector<std::string>{"127.0.0.1:11"});
  }

  /// Guards against seeds that are lost when the settings cannot be read.
  void invalidSettingsKeepSeeds() {
    metrics::Registry Metrics;
    LogWriter Log(10, Metrics);
    aio::Loop Loop;
    SeedWatch Watch(
        Loop, [] { return parseSettings("no address"); }, Log, {"127.0.0.1:10"},
        [](std::vector<std::string>) { CPPUNIT_FAIL("unexpected change"); });
    Watch.reload();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SeedWatchTest);
