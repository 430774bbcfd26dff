#include "schedule.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>

using namespace nutmegwell;
using namespace nutmegwell::controltest;

class ControlFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlFaultTest);
  CPPUNIT_TEST(randomSchedules);
  CPPUNIT_TEST(outageSchedules);
  CPPUNIT_TEST_SUITE_END();

  /// Runs seeds First to Last. NUTMEGWELL_SEED=N runs that seed alone.
  static void runSeeds(std::uint64_t First, std::uint64_t Last,
                       bool Outage = false) {
    if (const char *Only = std::getenv("NUTMEGWELL_SEED"))
      First = Last = std::strtoull(Only, nullptr, 10);
    std::map<std::string, unsigned> Failing;
    std::map<std::string, unsigned> Counts;
    unsigned Failures = 0;
    for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
      Schedule Run(Seed);
      Run.Outage_ = Outage;
      runSchedule(Run);
      for (const auto &[What, Count] : Run.World_.Counts_)
        Counts[What] += Count;
      std::set<std::string> Rules;
      for (const auto &[Rule, What] : Run.World_.Violations_)
        if (Rules.insert(Rule).second && ++Failing[Rule] <= 8)
          std::cerr << "seed " << Seed << " " << Rule << ": " << What << " |"
                    << Run.Story_ << "\n";
      Failures += Rules.empty() ? 0 : 1;
    }
    std::cout << "seeds " << First << ".." << Last << ": " << Failures
              << " fail";
    for (const auto &[Rule, Count] : Failing)
      std::cout << ", " << Rule << " " << Count;
    for (const auto &[What, Count] : Counts)
      std::cout << "; " << What << " " << Count;
    std::cout << "\n";
    CPPUNIT_ASSERT_EQUAL(0U, Failures);
  }

  /// Guards every rule against faults at any moment, together or twice.
  void randomSchedules() {
    const char *Last = std::getenv("NUTMEGWELL_SEEDS");
    runSeeds(1, Last ? std::strtoull(Last, nullptr, 10) : 1000);
  }

  /// Guards running gangs against faults while the log is out for minutes.
  void outageSchedules() {
    const char *Last = std::getenv("NUTMEGWELL_SEEDS");
    runSeeds(1, Last ? std::strtoull(Last, nullptr, 10) / 10 : 100, true);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlFaultTest);
