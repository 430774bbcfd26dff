#include "world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>

using namespace nutmegwell;
using namespace nutmegwell::schedules;

namespace {

constexpr std::uint64_t FirstSeed = 20000;
constexpr std::uint64_t ScheduleCount = 1000;
constexpr std::uint64_t DomainScheduleCount = 1000;
constexpr unsigned StepsPerSchedule = 800;

/// Returns the number in the environment variable \p Name, or \p Default.
std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

class SchedulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulesTest);
  CPPUNIT_TEST(statesAgreeUnderFaults);
  CPPUNIT_TEST(outOfServiceDomainsStartNothing);
  CPPUNIT_TEST_SUITE_END();

  /// Runs \p Count schedules, prints the event counts, and requires that no
  /// property was violated and that each of \p RequiredEvents occurred, because
  /// schedules that never reach those events prove nothing.
  static void runSchedules(Workload Kind, std::uint64_t Count,
                           std::initializer_list<const char *> RequiredEvents) {
    const auto Seed = numberFromEnvironment("SCHEDULE_SEED", FirstSeed);
    Count = numberFromEnvironment("SCHEDULE_COUNT", Count);
    std::cerr << "\nseeds " << Seed << " to " << Seed + Count - 1 << "\n";
    std::map<std::string, std::size_t> Totals;
    unsigned Failures = 0;
    for (std::uint64_t I = 0; I < Count; ++I) {
      World Run(Seed + I, Kind);
      const std::string Failure = Run.run(StepsPerSchedule);
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
    for (const char *Name : RequiredEvents)
      CPPUNIT_ASSERT_MESSAGE(Name, Totals[Name] > 0);
  }

  /// Guards against states that diverge between entry hosts, records applied
  /// twice, lost configuration versions and unjustified refusals, under log
  /// faults, crashes, pauses and restarts.
  void statesAgreeUnderFaults() {
    runSchedules(Workload::Mixed, ScheduleCount,
                 {"restart from snapshot", "start from log", "start from peer",
                  "report 0", "report 1", "report 2", "task start", "execution",
                  "key released", "outage", "log partition",
                  "verdict stale_version", "verdict stale_term",
                  "verdict not_holder", "verdict key_taken",
                  "verdict repeated_record", "verdict stale_attempt",
                  "verdict domain_out", "verdict stale_snapshot"});
  }

  /// Guards against a holder that is partitioned from the log without noticing,
  /// and so permits starts in a domain that operators took out of service.
  void outOfServiceDomainsStartNothing() {
    runSchedules(Workload::DomainChanges, DomainScheduleCount,
                 {"log partition", "task start", "start refused"});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulesTest);
