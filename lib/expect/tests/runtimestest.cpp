#include "nutmegwell/expect/runtimes.h"
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <random>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace nutmegwell::expect;
using namespace std::chrono_literals;

class RunTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTimesTest);
  CPPUNIT_TEST(declaredTimeCountsWithoutSamples);
  CPPUNIT_TEST(oneSampleHasLittleWeight);
  CPPUNIT_TEST(alikeTasksOutweighWrongDeclaredTimes);
  CPPUNIT_TEST(exactDeclaredTimesOutweighUnlikeTasks);
  CPPUNIT_TEST(constantErrorIsCorrected);
  CPPUNIT_TEST(longTasksDoNotShiftTheEstimate);
  CPPUNIT_TEST(oldSamplesDecay);
  CPPUNIT_TEST(accountDiffersFromItsQueue);
  CPPUNIT_TEST(invalidInputChangesNothing);
  CPPUNIT_TEST(stateIsBounded);
  CPPUNIT_TEST(everyEstimateIsUsable);
  CPPUNIT_TEST(declaredTimesProveWrong);
  CPPUNIT_TEST_SUITE_END();

  const TaskClass Class_{"q0", "acme"};
  std::mt19937 Random_{11};

  static core::Duration seconds(double Value) {
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(Value));
  }

  static double logRatio(core::Duration A, core::Duration B) {
    return std::log(static_cast<double>(A.count()) /
                    static_cast<double>(B.count()));
  }

  /// Records \p Count tasks of 2 s whose declared times are off by up to 1.9
  /// either way.
  void recordAlikeTasks(RunTimeModel &Model, int Count, double TailShare = 0) {
    std::uniform_real_distribution<double> Error(-std::log(1.9), std::log(1.9));
    std::normal_distribution<double> Deviation(0, 0.1);
    std::bernoulli_distribution Long(TailShare);
    for (int I = 0; I < Count; ++I) {
      const double Work = 2 * std::exp(Deviation(Random_));
      recordWork(Model, Class_, seconds(2 * std::exp(Error(Random_))),
                 seconds(Long(Random_) ? 7 * Work : Work));
    }
  }

  static void checkSame(const LogMoments &A, const LogMoments &B) {
    RC_ASSERT(A.Weight_ == B.Weight_);
    RC_ASSERT(A.Mean_ == B.Mean_);
    RC_ASSERT(A.SquaredDeviation_ == B.SquaredDeviation_);
  }

public:
  /// Guards against an estimate that differs from the declared time although
  /// nothing is known.
  void declaredTimeCountsWithoutSamples() {
    RunTimeModel Model;
    const ExpectedWork Work = expectedWork(Model, Class_, 2345678us);
    CPPUNIT_ASSERT(Work.Median_ == 2345678us);
    CPPUNIT_ASSERT_EQUAL(0.0, Work.Weight_);
    recordWork(Model, {"q1", "acme"}, 1s, 9s);
    CPPUNIT_ASSERT(expectedWork(Model, Class_, 2s).Median_ == 2s);
    CPPUNIT_ASSERT(expectedWork(Model, Class_, 0s).Median_ == 0s);
  }

  /// Guards against one odd run that changes the order of a whole queue.
  void oneSampleHasLittleWeight() {
    RunTimeModel Model;
    recordWork(Model, Class_, 2s, 14s);
    const ExpectedWork Work = expectedWork(Model, Class_, 2s);
    CPPUNIT_ASSERT(logRatio(Work.Median_, 2s) < 0.7);
    CPPUNIT_ASSERT(Work.Median_ > 2s);
  }

  /// Guards against late gangs of a queue whose tasks are alike and whose
  /// declared times are off by up to 1.9 either way.
  void alikeTasksOutweighWrongDeclaredTimes() {
    RunTimeModel Model;
    recordAlikeTasks(Model, 40);
    for (core::Duration Declared : {seconds(2 / 1.9), seconds(2 * 1.9)})
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          0.0, logRatio(expectedWork(Model, Class_, Declared).Median_, 2s),
          0.35);
  }

  /// Guards against a learned mean that replaces exact declared times of a
  /// queue whose tasks differ.
  void exactDeclaredTimesOutweighUnlikeTasks() {
    RunTimeModel Model;
    std::normal_distribution<double> Level(0, 1);
    std::normal_distribution<double> Error(0, 0.1);
    for (int I = 0; I < 60; ++I) {
      const double Work = 5 * std::exp(Level(Random_));
      recordWork(Model, Class_, seconds(Work * std::exp(Error(Random_))),
                 seconds(Work));
    }
    for (core::Duration Declared : {1s, 25s})
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          0.0,
          logRatio(expectedWork(Model, Class_, Declared).Median_, Declared),
          0.2);
  }

  /// Guards against a caller that always declares half of the work.
  void constantErrorIsCorrected() {
    RunTimeModel Model;
    std::normal_distribution<double> Level(0, 1);
    for (int I = 0; I < 60; ++I) {
      const double Work = 5 * std::exp(Level(Random_));
      recordWork(Model, Class_, seconds(Work / 2), seconds(Work));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.0, logRatio(expectedWork(Model, Class_, 3s).Median_, 6s), 0.2);
  }

  /// Guards against the 3 in 100 tasks that take 7 times as long: expected work
  /// that grows with them makes the objectives of all others look wider.
  void longTasksDoNotShiftTheEstimate() {
    RunTimeModel Model;
    recordAlikeTasks(Model, 300, 0.03);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.0, logRatio(expectedWork(Model, Class_, 2s).Median_, 2s), 0.15);
  }

  /// Guards against a queue whose work changes and that is judged by what it
  /// was: after 300 samples of 2 s, 150 of 6 s.
  void oldSamplesDecay() {
    RunTimeModel Model;
    for (int I = 0; I < 300; ++I)
      recordWork(Model, Class_, 0s, 2s);
    for (int I = 0; I < 150; ++I)
      recordWork(Model, Class_, 0s, 6s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.0, logRatio(expectedWork(Model, Class_, 0s).Median_, 6s), 0.25);
    CPPUNIT_ASSERT(Model.Queues_.at("q0").Work_.Weight_ <=
                   Model.Policy_.MaxWeight_ + 1);
  }

  /// Guards against one large account that sets the expectation of another one
  /// of the same queue, and against an unknown account without expectation.
  void accountDiffersFromItsQueue() {
    RunTimeModel Model;
    for (int I = 0; I < 60; ++I) {
      recordWork(Model, {"q0", "large"}, 0s, 1s);
      recordWork(Model, {"q0", "other"}, 0s, 10s);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.0, logRatio(expectedWork(Model, {"q0", "large"}, 0s).Median_, 1s),
        0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.0, logRatio(expectedWork(Model, {"q0", "other"}, 0s).Median_, 10s),
        0.2);
    const core::Duration Unknown =
        expectedWork(Model, {"q0", "new"}, 0s).Median_;
    CPPUNIT_ASSERT(Unknown > 2s && Unknown < 5s);
  }

  /// Guards against a malformed end that disables the model.
  void invalidInputChangesNothing() {
    CPPUNIT_ASSERT(
        rc::check("invalid works and declared times change nothing", [this] {
          RunTimeModel Model;
          recordWork(Model, Class_, 2s, 3s);
          const RunTimeModel Before = Model;
          const core::Duration Negative(*rc::gen::inRange<std::int64_t>(
              std::numeric_limits<std::int64_t>::min(), 0));
          const core::Duration TooLong(*rc::gen::inRange<std::int64_t>(
              MaxWork.count() + 1, std::numeric_limits<std::int64_t>::max()));
          recordWork(Model, Class_, 2s, 0s);
          recordWork(Model, Class_, 2s, Negative);
          recordWork(Model, Class_, 2s, TooLong);
          recordWork(Model, Class_, Negative, 3s);
          RC_ASSERT(Model.Classes_.size() == Before.Classes_.size());
          for (const auto &[Name, Known] : Before.Classes_) {
            checkSame(Known.Work_, Model.Classes_.at(Name).Work_);
            checkSame(Known.DeclaredError_,
                      Model.Classes_.at(Name).DeclaredError_);
          }
        }));
  }

  /// Guards against memory that grows with the names that callers send.
  void stateIsBounded() {
    RunTimeModel Model;
    Model.Policy_.MaxClasses_ = 10;
    for (int I = 0; I < 1000; ++I)
      recordWork(Model, {"q" + std::to_string(I % 25), "a" + std::to_string(I)},
                 1s, 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Model.Queues_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Model.Classes_.size());
    // Beyond the bound, samples count for their queue.
    CPPUNIT_ASSERT_EQUAL(40.0, Model.Queues_.at("q0").Work_.Weight_);
  }

  /// Guards against a sum or a deviation that is not a number, whatever was
  /// recorded.
  void everyEstimateIsUsable() {
    CPPUNIT_ASSERT(rc::check(
        "estimates are positive, bounded and certain to a finite degree", [] {
          RunTimeModel Model;
          const auto Times = rc::gen::inRange<std::int64_t>(
              0, std::numeric_limits<std::int64_t>::max());
          const auto Names = rc::gen::inRange(0, 4);
          const int Count = *rc::gen::inRange(0, 200);
          for (int I = 0; I < Count; ++I)
            recordWork(Model,
                       {"q" + std::to_string(*Names % 2),
                        "a" + std::to_string(*Names)},
                       core::Duration(*Times >> *rc::gen::inRange(0, 63)),
                       core::Duration(*Times >> *rc::gen::inRange(0, 63)));
          const core::Duration Declared(*Times >> *rc::gen::inRange(0, 63));
          const ExpectedWork Work = expectedWork(Model, {"q0", "a0"}, Declared);
          RC_ASSERT(Work.Median_ >= core::Duration(0));
          RC_ASSERT(Work.Median_ <= std::max(MaxWork, Declared));
          RC_ASSERT(std::isfinite(Work.LogSpread_));
          RC_ASSERT(Work.LogSpread_ > 0);
          RC_ASSERT(Model.Queues_.size() <= 2);
          for (const auto &[Name, Known] : Model.Queues_)
            RC_ASSERT(Known.Work_.Weight_ <= Model.Policy_.MaxWeight_ + 1);
        }));
  }

  /// Guards against estimates that replace declared times which are right, or
  /// that replace wrong ones by what a few tasks have shown.
  void declaredTimesProveWrong() {
    std::normal_distribution<double> Small(0, 0.2);
    std::normal_distribution<double> Large(0, 0.8);
    for (const bool Wrong : {false, true}) {
      RunTimeModel Model;
      for (int I = 0; I < 40; ++I) {
        const double Error = Wrong ? Large(Random_) : Small(Random_);
        recordWork(Model, Class_, seconds(2 * std::exp(Error)), 2s);
        CPPUNIT_ASSERT(I >= 7 || !declaredTimesAreWrong(Model, Class_.Queue_));
      }
      CPPUNIT_ASSERT_EQUAL(Wrong, declaredTimesAreWrong(Model, Class_.Queue_));
    }
    CPPUNIT_ASSERT(!declaredTimesAreWrong(RunTimeModel(), Class_.Queue_));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RunTimesTest);
