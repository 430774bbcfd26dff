#include "nutmegwell/expect/speeds.h"
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace nutmegwell;
using namespace nutmegwell::expect;
using namespace std::chrono_literals;

class SpeedsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpeedsTest);
  CPPUNIT_TEST(tellsSlowFromFastWorkers);
  CPPUNIT_TEST(oneGangTellsItsWorkersApart);
  CPPUNIT_TEST(alikeWorkersStayNearOne);
  CPPUNIT_TEST(oneWorkerAloneShowsNothing);
  CPPUNIT_TEST(longTasksDoNotPassForSlowWorkers);
  CPPUNIT_TEST(invalidRatesChangeNothing);
  CPPUNIT_TEST(oneTaskCountsOnce);
  CPPUNIT_TEST(stateIsBounded);
  CPPUNIT_TEST(restoredSpeedYieldsToSamples);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Workers = 12;
  core::TimePoint Now_{100s};
  std::mt19937 Random_{7};

  static std::string worker(int Index) { return "w" + std::to_string(Index); }

  /// Records \p Steps steps of one task on each worker, whose works differ by a
  /// factor between steps and by \p Deviation between tasks. The speed of
  /// worker I is Speeds[I % Speeds.size()].
  void recordSteps(SpeedModel &Model, int Steps,
                   const std::vector<double> &Speeds, double Deviation,
                   double TailFactor = 1) {
    std::normal_distribution<double> Task(0, Deviation);
    std::normal_distribution<double> Level(0, 1);
    for (int Step = 0; Step < Steps; ++Step) {
      const double StepLevel = Level(Random_);
      for (int I = 0; I < Workers; ++I) {
        const bool Long = (Step * Workers + I) % 33 == 5;
        const double Rate =
            Speeds[static_cast<std::size_t>(I) % Speeds.size()] *
            std::exp(StepLevel + Task(Random_)) / (Long ? TailFactor : 1);
        recordRate(Model,
                   {worker(I), "s" + std::to_string(Step),
                    static_cast<std::uint32_t>(I), Rate, 0.33},
                   Now_);
      }
      Now_ += 1s;
      refreshSpeeds(Model, Now_);
    }
  }

public:
  /// Guards against the loss of the quiet day: gangs were spread over workers
  /// whose speeds differ by 0.6 to 1.6.
  void tellsSlowFromFastWorkers() {
    SpeedModel Model;
    recordSteps(Model, 8, {0.6, 1.0, 1.6}, 0.33);
    for (int I = 0; I < Workers; ++I) {
      const double Expected = std::vector<double>{0.6, 1.0, 1.6}[I % 3];
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          std::log(Expected), std::log(speedOf(Model, worker(I)).Speed_), 0.3);
    }
  }

  /// Guards against urgent gangs that find the slow workers one by one: the
  /// members of a gang do the same work, so that one gang tells all its
  /// workers.
  void oneGangTellsItsWorkersApart() {
    SpeedModel Model;
    const std::vector<double> Speeds{1.0, 0.6, 1.0, 1.6, 1.0};
    for (std::size_t I = 0; I < Speeds.size(); ++I)
      recordRate(Model,
                 {worker(static_cast<int>(I)), "gang", 0, Speeds[I], 0.05},
                 Now_);
    refreshSpeeds(Model, Now_);
    recordRate(Model, {worker(0), "gang", 0, Speeds[0], 0.05}, Now_);
    refreshSpeeds(Model, Now_);
    CPPUNIT_ASSERT(speedOf(Model, "w1").Speed_ < 0.7);
    CPPUNIT_ASSERT(speedOf(Model, "w0").Speed_ > 0.85);
    CPPUNIT_ASSERT(speedOf(Model, "w3").Speed_ > 1.35);
  }

  /// Guards against placement by noise where all workers are alike.
  void alikeWorkersStayNearOne() {
    SpeedModel Model;
    recordSteps(Model, 16, {1.0}, 0.33);
    for (int I = 0; I < Workers; ++I)
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          0.0, std::log(speedOf(Model, worker(I)).Speed_), 0.25);
  }

  /// Guards against a long job that makes the only worker it runs on look slow.
  void oneWorkerAloneShowsNothing() {
    SpeedModel Model;
    recordRate(Model, {"w0", "s", 0, 0.001, 0.33}, Now_);
    refreshSpeeds(Model, Now_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, speedOf(Model, "w0").Speed_, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Model.Policy_.PriorDeviation_,
                                 speedOf(Model, "w0").LogError_, 1e-9);
  }

  /// Guards against the few tasks that take seven times as long: they must not
  /// make a sound worker count as slow.
  void longTasksDoNotPassForSlowWorkers() {
    SpeedModel Model;
    recordSteps(Model, 16, {1.0}, 0.33, 7);
    for (int I = 0; I < Workers; ++I)
      CPPUNIT_ASSERT(speedOf(Model, worker(I)).Speed_ > 0.67);
  }

  /// Guards against a malformed report that disables the model.
  void invalidRatesChangeNothing() {
    SpeedModel Model;
    for (double Rate : {0.0, -1.0, std::nan(""), 1.0 / 0.0})
      recordRate(Model, {"w0", "s", 0, Rate, 0.33}, Now_);
    CPPUNIT_ASSERT(Model.Workers_.empty());
  }

  /// Guards against a run that counts more the more often it is reported.
  void oneTaskCountsOnce() {
    SpeedModel Once;
    SpeedModel Often;
    for (SpeedModel *Model : {&Once, &Often}) {
      const int Reports = Model == &Once ? 1 : 50;
      for (int I = 0; I < Reports; ++I) {
        recordRate(*Model, {"w0", "s", 0, 0.5, 0.33}, Now_);
        recordRate(*Model, {"w1", "s", 1, 1.0, 0.33}, Now_);
      }
      refreshSpeeds(*Model, Now_);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(speedOf(Once, "w0").LogError_,
                                 speedOf(Often, "w0").LogError_, 1e-9);
  }

  /// Guards against memory that grows with the number of jobs.
  void stateIsBounded() {
    SpeedModel Model;
    for (std::uint32_t I = 0; I < 1000; ++I)
      recordRate(Model, {"w0", "s" + std::to_string(I / 10), I, 1.0, 0.33},
                 Now_);
    const SpeedModel::Entry &Known = Model.Workers_.at("w0");
    CPPUNIT_ASSERT_EQUAL(Model.Policy_.StepsPerWorker_, Known.Steps_.size());
    for (const SpeedModel::StepRuns &Runs : Known.Steps_)
      CPPUNIT_ASSERT(Runs.Runs_.size() <= Model.Policy_.RunsPerStep_);
  }

  /// Guards against an old record that outweighs what is seen now.
  void restoredSpeedYieldsToSamples() {
    SpeedModel Model;
    restoreSpeed(Model, "w0", {0.5, 0.2});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, speedOf(Model, "w0").Speed_, 1e-9);
    recordSteps(Model, 16, {1.0}, 0.2);
    CPPUNIT_ASSERT(speedOf(Model, "w0").Speed_ > 0.8);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SpeedsTest);
