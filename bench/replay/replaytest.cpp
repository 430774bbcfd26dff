#include "baselines.h"
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
  CPPUNIT_TEST(urgentBurstsNeedPreemption);
  CPPUNIT_TEST(quietDaysStartWideGangsAtOnce);
  CPPUNIT_TEST(failingWorkersBreakNoRule);
  CPPUNIT_TEST(leavingWorkersTakeLessWorkWhenVacated);
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
                      const cell::HolderPolicy &Policy = {}) {
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

  /// Replays bursts of urgent gangs beside wide patient jobs: with preemption,
  /// callers are served better than without, and more of the largest jobs end.
  void urgentBurstsNeedPreemption() {
    const Day Table = load("urgentbursts");
    cell::HolderPolicy None;
    None.ChooseVictims_ = chooseNoVictims;
    const Summary Chosen = play(Table, 1);
    const Summary Waiting = play(Table, 1, None);
    CPPUNIT_ASSERT(Chosen.Credit_ > Waiting.Credit_);
    CPPUNIT_ASSERT(Chosen.All_.Lost_ < Waiting.All_.Lost_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Chosen.Broken_);
  }

  /// Replays a quiet day: gangs that no rack holds end on time when they start
  /// across racks at once instead of waiting first.
  void quietDaysStartWideGangsAtOnce() {
    const Day Table = load("quietday");
    cell::HolderPolicy NearFirst;
    NearFirst.RemoteMinFreeShare_ = 2;
    double Chosen = 0;
    double Waiting = 0;
    for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
      Chosen += play(Table, Seed).All_.OnTime_;
      Waiting += play(Table, Seed, NearFirst).All_.OnTime_;
    }
    CPPUNIT_ASSERT(Chosen > Waiting);
  }

  /// Guards against runs that are started twice or lost when workers fail, hang
  /// and vanish.
  void failingWorkersBreakNoRule() {
    const Day Table = load("failingworkers");
    const Summary Result = play(Table, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Result.Broken_);
    CPPUNIT_ASSERT(Result.All_.Lost_ < 1);
  }

  /// Guards against work that is lost with a tenth of the workers although
  /// their notice leaves time to save it.
  void leavingWorkersTakeLessWorkWhenVacated() {
    const Day Table = load("leavingworkers");
    cell::HolderPolicy Vacating;
    Vacating.Departure_.Enabled_ = true;
    double With = 0;
    double Without = 0;
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
      const Summary Vacated = play(Table, Seed, Vacating);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Vacated.Broken_);
      With += Vacated.LostWithWorkers_;
      Without += play(Table, Seed).LostWithWorkers_;
    }
    CPPUNIT_ASSERT(With < Without / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);
