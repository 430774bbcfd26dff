#include "report.h"
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

using namespace nutmegwell;
using namespace nutmegwell::replay;

class ReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayTest);
  CPPUNIT_TEST(unknownFieldsOfADayAreNamed);
  CPPUNIT_TEST(sameSeedGivesTheSameDay);
  CPPUNIT_TEST(urgentBurstsThrowLessAway);
  CPPUNIT_TEST(failingWorkersBreakNoRule);
  CPPUNIT_TEST_SUITE_END();

  static Day load(const std::string &Name) {
    std::ifstream File(std::string(REPLAY_DAYS) + "/" + Name + ".table");
    std::stringstream Text;
    Text << File.rdbuf();
    Day Table;
    CPPUNIT_ASSERT_EQUAL(std::string(), parseDay(Text.str(), Table));
    return Table;
  }

  static Summary play(const Day &Table, std::uint64_t Seed,
                      cell::Outlook PreemptsUpTo = cell::Outlook::OnTime) {
    cell::HolderPolicy Policy;
    Policy.PreemptsUpTo_ = PreemptsUpTo;
    return summarize(Table, {playDay(Table, Seed, Policy)});
  }

public:
  void unknownFieldsOfADayAreNamed() {
    Day Table;
    CPPUNIT_ASSERT_EQUAL(std::string("line 2: colour"),
                         parseDay("\nkind name=a colour=red\n", Table));
    CPPUNIT_ASSERT_EQUAL(std::string("line 1: unknown row kinds"),
                         parseDay("kinds name=a\n", Table));
  }

  /// Guards against figures that a seed does not reproduce.
  void sameSeedGivesTheSameDay() {
    const Day Table = load("urgentbursts");
    const Summary First = play(Table, 3);
    const Summary Second = play(Table, 3);
    CPPUNIT_ASSERT_EQUAL(First.Credit_, Second.Credit_);
    CPPUNIT_ASSERT_EQUAL(First.Stops_, Second.Stops_);
  }

  /// Replays bursts of urgent gangs beside wide patient jobs: preemption only
  /// for jobs that can end on time must throw less away and serve callers
  /// better than preemption for all urgent jobs.
  void urgentBurstsThrowLessAway() {
    const Day Table = load("urgentbursts");
    const Summary OnTime = play(Table, 1);
    const Summary Always = play(Table, 1, cell::Outlook::Lost);
    CPPUNIT_ASSERT(OnTime.ThrownAway_ < Always.ThrownAway_);
    CPPUNIT_ASSERT(OnTime.Credit_ > Always.Credit_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), OnTime.Broken_);
  }

  /// Guards against runs that are started twice or lost when workers fail, hang
  /// and vanish.
  void failingWorkersBreakNoRule() {
    const Day Table = load("failingworkers");
    const Summary Result = play(Table, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Result.Broken_);
    CPPUNIT_ASSERT(Result.All_.Lost_ < 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);
