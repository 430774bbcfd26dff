#include "../src/resourcelimits.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::sitehost;
using namespace std::chrono_literals;

class ResourceLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResourceLimitsTest);
  CPPUNIT_TEST(smallestHostServesManyConnections);
  CPPUNIT_TEST(limitsNeverExceedTheDescriptors);
  CPPUNIT_TEST(defaultsHoldWithoutSettings);
  CPPUNIT_TEST(refusalsAreLoggedOnceASecond);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against limits that a well-behaved crowd reaches on the smallest
  /// host.
  void smallestHostServesManyConnections() {
    const ResourceLimits Limits = resourceLimits(128000000, 4096);
    CPPUNIT_ASSERT_EQUAL(std::size_t(16000000), Limits.Input_.MaxBytes_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3384), Limits.Input_.MaxConnections_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(512), Limits.Links_.MaxAccepted_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(16000000), Limits.Links_.MaxIncomplete_);
  }

  void limitsNeverExceedTheDescriptors() {
    for (std::size_t Descriptors = 64; Descriptors < 10000; Descriptors += 7) {
      const ResourceLimits Limits = resourceLimits(std::nullopt, Descriptors);
      CPPUNIT_ASSERT(Limits.Input_.MaxConnections_ > 0);
      CPPUNIT_ASSERT(Limits.Links_.MaxAccepted_ > 0);
      CPPUNIT_ASSERT(Limits.Input_.MaxConnections_ +
                         Limits.Links_.MaxAccepted_ <
                     Descriptors);
    }
  }

  void defaultsHoldWithoutSettings() {
    const ResourceLimits Limits = resourceLimits(std::nullopt, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(aio::InputLimits().MaxBytes_, Limits.Input_.MaxBytes_);
    CPPUNIT_ASSERT_EQUAL(aio::InputLimits().MaxConnections_,
                         Limits.Input_.MaxConnections_);
  }

  /// Guards against a client that fills the log with its refusals.
  void refusalsAreLoggedOnceASecond() {
    RefusalLog Log;
    const core::TimePoint Start = core::TimePoint() + 1h;
    const auto At = [&](core::Duration Time, aio::InputRefusal Cause) {
      return refusalEvent(Log, "request", Cause, "10.0.0.1", Start + Time);
    };
    CPPUNIT_ASSERT(At(0ms, aio::InputRefusal::Header));
    CPPUNIT_ASSERT(!At(1ms, aio::InputRefusal::Header));
    CPPUNIT_ASSERT(!At(999ms, aio::InputRefusal::Header));
    CPPUNIT_ASSERT(At(999ms, aio::InputRefusal::Body));
    const auto Event = At(1s, aio::InputRefusal::Header);
    CPPUNIT_ASSERT(Event);
    CPPUNIT_ASSERT_EQUAL(std::string("input_refused"), Event->Event_);
    const std::vector<std::pair<std::string, std::string>> Expected{
        {"input", "request"},
        {"cause", "header"},
        {"peer", "10.0.0.1"},
        {"unlogged_before", "2"}};
    CPPUNIT_ASSERT(Event->Fields_ == Expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResourceLimitsTest);
