#include "nutmegwell/metrics/registry.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace std::chrono_literals;

class RegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryTest);
  CPPUNIT_TEST(renderedTextContainsEverySeries);
  CPPUNIT_TEST(labelValuesAreEscaped);
  CPPUNIT_TEST(seriesBeyondTheLimitShareOne);
  CPPUNIT_TEST(quantilesAreCloseToTheExactOnes);
  CPPUNIT_TEST(quantilesFollowRecentObservations);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint Now_{1000s};
  metrics::Registry Registry_;

  /// Guards against a series that is missing from the rendered text.
  void renderedTextContainsEverySeries() {
    Registry_.counter("requests_total", "Requests.", {{"service", "s"}}).add(3);
    Registry_.counter("requests_total", "Requests.", {{"service", "s"}}).add();
    Registry_.gauge("queue_length", "Waiting events.").set(-2);
    Registry_.quantiles("wait_seconds", "Wait.").observe(1500ms, Now_);
    CPPUNIT_ASSERT_EQUAL(std::string("# HELP requests_total Requests.\n"
                                     "# TYPE requests_total counter\n"
                                     "requests_total{service=\"s\"} 4\n"
                                     "# HELP queue_length Waiting events.\n"
                                     "# TYPE queue_length gauge\n"
                                     "queue_length -2\n"
                                     "# HELP wait_seconds Wait.\n"
                                     "# TYPE wait_seconds summary\n"
                                     "wait_seconds{quantile=\"0.5\"} 1.5\n"
                                     "wait_seconds{quantile=\"0.99\"} 1.5\n"
                                     "wait_seconds_sum 1.5\n"
                                     "wait_seconds_count 1\n"),
                         Registry_.render(Now_));
  }

  /// Guards against a label value that injects another series.
  void labelValuesAreEscaped() {
    Registry_.counter("c", "h", {{"account", "a\"} 1\nb{x=\"\\"}}).add();
    const std::string Text = Registry_.render(Now_);
    CPPUNIT_ASSERT(Text.find("c{account=\"a\\\"} 1\\nb{x=\\\"\\\\\"} 1\n") !=
                   std::string::npos);
  }

  /// Guards against label values from callers that exhaust memory.
  void seriesBeyondTheLimitShareOne() {
    for (std::size_t I = 0; I < metrics::Registry::MaxSeries + 100; ++I)
      Registry_.counter("c", "h", {{"account", std::to_string(I)}}).add();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{100},
        Registry_.counter("c", "h", {{"overflow", "true"}}).value());
  }

  /// Guards against inaccurate estimates. Each must lie between the exact
  /// quantiles of nearby ranks.
  void quantilesAreCloseToTheExactOnes() {
    const bool Passed = rc::check("P-square estimates match sorted values", [] {
      const auto Values = *rc::gen::container<std::vector<int>>(
          2000, rc::gen::inRange(1, 1000000));
      metrics::Quantiles Quantiles;
      for (int Value : Values)
        Quantiles.observe(core::Duration(Value), core::TimePoint(1s));
      std::vector<int> Sorted = Values;
      std::sort(Sorted.begin(), Sorted.end());
      const auto Summary = Quantiles.summary(core::TimePoint(1s));
      RC_ASSERT(Summary.P50_.count() >= Sorted[900]);
      RC_ASSERT(Summary.P50_.count() <= Sorted[1100]);
      RC_ASSERT(Summary.P99_.count() >= Sorted[1900]);
      RC_ASSERT(Summary.P99_.count() <= Sorted[1999]);
    });
    CPPUNIT_ASSERT(Passed);
  }

  /// Guards against quantiles that still include observations of old windows.
  void quantilesFollowRecentObservations() {
    metrics::Quantiles Quantiles(60s);
    for (int I = 0; I < 100; ++I)
      Quantiles.observe(5s, Now_);
    Now_ += 61s;
    CPPUNIT_ASSERT(Quantiles.summary(Now_).P50_ == 5s);
    for (int I = 0; I < 100; ++I)
      Quantiles.observe(1s, Now_);
    Now_ += 61s;
    const auto Summary = Quantiles.summary(Now_);
    CPPUNIT_ASSERT(Summary.P50_ == 1s);
    CPPUNIT_ASSERT(Summary.P99_ == 1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, Summary.Count_);
    CPPUNIT_ASSERT(Summary.Sum_ == 600s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTest);
