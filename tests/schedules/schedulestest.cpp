#include "world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>

using namespace nutmegwell;
using namespace nutmegwell::schedules;

namespace {

constexpr std::uint64_t FirstSeed = 20000;
constexpr std::uint64_t Schedules = 1000;
constexpr std::uint64_t DomainSchedules = 1000;
constexpr unsigned Steps = 800;

/// Returns the number in the environment variable \p Name, or \p Default.
std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

class SchedulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulesTest);
  CPPUNIT_TEST(foldsAgreeUnderFaults);
  CPPUNIT_TEST(outDomainsStartNothing);
  CPPUNIT_TEST_SUITE_END();

  /// Runs \p Count schedules, prints what happened, and requires that no
  /// property broke and that each of \p Needed happened: schedules that do not
  /// reach the events concerned prove nothing.
  static void runSchedules(Focus Chosen, std::uint64_t Count,
                           std::initializer_list<const char *> Needed) {
    const auto Seed = fromEnvironment("SCHEDULE_SEED", FirstSeed);
    Count = fromEnvironment("SCHEDULE_COUNT", Count);
    std::cerr << "\nseeds " << Seed << " to " << Seed + Count - 1 << "\n";
    std::map<std::string, std::size_t> Totals;
    unsigned Failures = 0;
    for (std::uint64_t I = 0; I < Count; ++I) {
      World Run(Seed + I, Chosen);
      const std::string Failure = Run.run(Steps);
      for (const auto &[Name, Times] : Run.counts())
        Totals[Name] += Times;
      for (const auto &[Name, Times] : Run.oracle().verdicts())
        Totals["verdict " + Name] += Times;
      if (!Failure.empty() && ++Failures <= 5)
        std::cerr << "seed " << Seed + I << ": " << Failure << "\n";
    }
    for (const auto &[Name, Times] : Totals)
      std::cerr << "  " << Name << "=" << Times << "\n";
    CPPUNIT_ASSERT_EQUAL(0u, Failures);
    for (const char *Name : Needed)
      CPPUNIT_ASSERT_MESSAGE(Name, Totals[Name] > 0);
  }

  /// Guards against states that differ between entry hosts, records that are
  /// applied twice, versions that are lost, and refusals that are not true,
  /// under faults of the log, crashes, pauses and restarts.
  void foldsAgreeUnderFaults() {
    runSchedules(Focus::Everything, Schedules,
                 {"restart from snapshot", "start 1", "start 2", "report 0",
                  "report 1", "report 2", "task start", "execution",
                  "key released", "outage", "cut off", "verdict stale_version",
                  "verdict stale_term", "verdict not_holder",
                  "verdict key_taken", "verdict repeated_record",
                  "verdict stale_attempt", "verdict domain_out",
                  "verdict stale_snapshot"});
  }

  /// Guards against a holder that does not know that it no longer follows the
  /// log, and permits starts in a domain that operators took out.
  void outDomainsStartNothing() {
    runSchedules(Focus::Domains, DomainSchedules,
                 {"cut off", "task start", "start refused"});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulesTest);
