#include "fakecell.h"
#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Which finished runs show the work of a task, and what the order of waiting
/// work makes of it.
class ExpectationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExpectationsTest);
  CPPUNIT_TEST(workIsTimeTimesSpeed);
  CPPUNIT_TEST(gangCountsOnceByItsSlowestMember);
  CPPUNIT_TEST(onlyCompletedRunsCount);
  CPPUNIT_TEST(remoteRunsDoNotCount);
  CPPUNIT_TEST(gangAcrossRacksDoesNotCount);
  CPPUNIT_TEST(resumedRunsDoNotCount);
  CPPUNIT_TEST(adoptedRunsDoNotCount);
  CPPUNIT_TEST(pausedRunsDoNotCount);
  CPPUNIT_TEST(bestEffortRunsDoNotCount);
  CPPUNIT_TEST(learnedTimesOrderWaitingWork);
  CPPUNIT_TEST(speedsAreLoggedWhenTheyChange);
  CPPUNIT_TEST(logVolumeIsBounded);
  CPPUNIT_TEST(figuresCoverKnownSpeeds);
  CPPUNIT_TEST(withoutTheSettingDeclaredTimesCount);
  CPPUNIT_TEST_SUITE_END();

  const jobs::Resources Each_{1000, 1000, 8};

  static void startLearning(FakeCell &Cell, int Workers) {
    startCell(Cell, Workers);
    Cell.Holder_.Policy_.LearnRunTimes_ = true;
  }

  static void endAll(FakeCell &Cell, const std::string &Job) {
    for (const RunId &Run : Cell.runsOf(Job))
      Cell.endRun(Run, EndKind::Done);
    Cell.advance();
  }

  /// Runs a job for 3 s with even progress, then ends it.
  static void runJob(FakeCell &Cell, const std::string &Name,
                     const jobs::JobSpec &Spec,
                     const std::string &Queue = "q1") {
    Cell.acceptJob(Name, Spec, Queue);
    Cell.advance();
    CPPUNIT_ASSERT(!Cell.runsOf(Name).empty());
    for (int I = 1; I < 30; ++I) {
      Cell.advance(100ms);
      Cell.setProgress(Name, 3.0 * I);
    }
    Cell.Now_ += 99ms;
    Cell.Wall_ += 99ms;
    endAll(Cell, Name);
  }

  static double samplesOf(const FakeCell &Cell, const std::string &Queue) {
    auto It = Cell.Holder_.RunTimes_.Queues_.find(Queue);
    return It == Cell.Holder_.RunTimes_.Queues_.end()
               ? 0
               : It->second.Work_.Weight_;
  }

  static std::ptrdiff_t speedLines(const FakeCell &Cell) {
    return std::count_if(Cell.LogEvents_.begin(), Cell.LogEvents_.end(),
                         [](const core::LogEvent &Line) {
                           return Line.Event_ == "speed_learned";
                         });
  }

  static double learnedSeconds(const FakeCell &Cell) {
    return std::exp(Cell.Holder_.RunTimes_.Queues_.at("q1").Work_.Mean_);
  }

public:
  /// Guards against a task that counts as long because its worker is slow.
  void workIsTimeTimesSpeed() {
    FakeCell Cell;
    startLearning(Cell, 1);
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w0", {0.5, 0.1});
    runJob(Cell, "j", oneStep(1, Each_));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, learnedSeconds(Cell), 0.01);
  }

  /// Guards against a wide gang that outweighs the other jobs of its queue, and
  /// against a run time that is charged to a member which waited for others.
  void gangCountsOnceByItsSlowestMember() {
    FakeCell Cell;
    startLearning(Cell, 3);
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w0", {1.6, 0.001});
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w1", {0.6, 0.001});
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w2", {1.6, 0.001});
    Cell.acceptJob(
        "g", jobs::JobSpecBuilder().step(3, Each_, 2s).gang(true).build());
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Cell.runsOf("g").size());
    for (int I = 1; I < 20; ++I) {
      for (auto &[Host, Report] : Cell.Agents_)
        Report.Running_[0].Percent_ =
            std::min(Host == "w1" ? 5 * I : 13 * I, 100);
      Cell.advance(100ms);
    }
    Cell.Now_ += 99ms;
    endAll(Cell, "g");
    CPPUNIT_ASSERT_EQUAL(1.0, samplesOf(Cell, "q1"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * 0.6, learnedSeconds(Cell), 0.01);
  }

  /// Guards against failed and stopped runs that make tasks look short.
  void onlyCompletedRunsCount() {
    FakeCell Cell;
    startLearning(Cell, 2);
    for (EndKind Kind : {EndKind::Failed, EndKind::Stopped,
                         EndKind::LeaseExpired, EndKind::GangMemberEnded}) {
      const std::string Job = std::string("j-") + name(Kind);
      Cell.acceptJob(Job, oneStep(1, Each_));
      Cell.runFor(500ms);
      Cell.endRun(Cell.runsOf(Job).at(0), Kind);
      Cell.advance();
      Cell.Holder_.Jobs_.at(Job).Progress_.State_ = jobs::JobState::Cancelled;
      stopAll(Cell, Job);
    }
    CPPUNIT_ASSERT_EQUAL(0.0, samplesOf(Cell, "q1"));
  }

  /// Guards against a factor of three that is taken for the work of the task.
  void remoteRunsDoNotCount() {
    FakeCell Cell;
    startLearning(Cell, 2);
    runJob(Cell, "j",
           jobs::JobSpecBuilder().step(1, Each_, 2s).dataRack("r9").build());
    CPPUNIT_ASSERT_EQUAL(0.0, samplesOf(Cell, "q1"));
    runJob(Cell, "k",
           jobs::JobSpecBuilder().step(1, Each_, 2s).dataRack("r0").build());
    CPPUNIT_ASSERT_EQUAL(1.0, samplesOf(Cell, "q1"));
  }

  /// Guards against the same for a gang that spans racks.
  void gangAcrossRacksDoesNotCount() {
    FakeCell Cell;
    startLearning(Cell, 6);
    Cell.Tables_.Queues_[0].StartAllowance_ = 1s;
    runJob(Cell, "g",
           jobs::JobSpecBuilder().step(5, Each_, 2s).gang(true).build(), "q0");
    CPPUNIT_ASSERT_EQUAL(0.0, samplesOf(Cell, "q0"));
  }

  /// Guards against the rest of a task that is taken for the whole.
  void resumedRunsDoNotCount() {
    FakeCell Cell;
    startLearning(Cell, 2);
    Cell.acceptJob(
        "j", jobs::JobSpecBuilder().step(1, Each_, 2s).checkpoints().build());
    Cell.runFor(1s);
    Cell.endRun(Cell.runsOf("j").at(0), EndKind::Stopped, "checkpoint");
    Cell.runFor(500ms);
    endAll(Cell, "j");
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(0.0, samplesOf(Cell, "q1"));
  }

  /// Guards against a run whose start this holder has not seen.
  void adoptedRunsDoNotCount() {
    FakeCell Cell;
    startLearning(Cell, 1);
    Cell.acceptJob("j", oneStep(1, Each_));
    Cell.advance();
    Cell.claimCell(Cell.Now_);
    Cell.Holder_.Policy_.LearnRunTimes_ = true;
    Cell.runFor(1s);
    endAll(Cell, "j");
    CPPUNIT_ASSERT_EQUAL(0.0, samplesOf(Cell, "q1"));
  }

  /// Guards against the time for which a worker was paused, or its end was not
  /// reported, that is taken for work.
  void pausedRunsDoNotCount() {
    for (bool Pause : {false, true}) {
      FakeCell Cell;
      startLearning(Cell, 1);
      Cell.acceptJob("j", oneStep(1, Each_));
      Cell.advance();
      for (double Percent : {20.0, 40.0, 60.0, 80.0}) {
        Cell.setProgress("j", Percent);
        Cell.runFor(Pause && Percent == 40.0 ? 2s : 400ms);
      }
      endAll(Cell, "j");
      CPPUNIT_ASSERT_EQUAL(Pause ? 0.0 : 1.0, samplesOf(Cell, "q1"));
    }
  }

  /// Guards against runs that wait for idle processors.
  void bestEffortRunsDoNotCount() {
    FakeCell Cell;
    startLearning(Cell, 1);
    jobs::JobSpec Spec = oneStep(1, Each_);
    Spec.Steps_[0].BestEffort_ = true;
    runJob(Cell, "j", Spec);
    CPPUNIT_ASSERT_EQUAL(0.0, samplesOf(Cell, "q1"));
  }

  /// Guards against a job that waits behind another one because its declared
  /// time is too short: its account declares a quarter of the work.
  void learnedTimesOrderWaitingWork() {
    CPPUNIT_ASSERT_EQUAL(std::string("short"), firstOfTwo(false));
    CPPUNIT_ASSERT_EQUAL(std::string("long"), firstOfTwo(true));
  }

  /// Guards against speeds that the operator cannot see, and against a line for
  /// each small change of an estimate.
  void speedsAreLoggedWhenTheyChange() {
    FakeCell Cell;
    startLearning(Cell, 1);
    const auto LinesAfter = [&](double Speed, double Error) {
      Cell.LogEvents_.clear();
      expect::restoreSpeed(Cell.Holder_.Speeds_, "w0", {Speed, Error});
      Cell.runFor(3s);
      return speedLines(Cell);
    };
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), LinesAfter(0.6, 0.3));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), LinesAfter(0.6, 0.2));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), LinesAfter(0.7, 0.1));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), LinesAfter(0.8, 0.1));
    Cell.Agents_["w0"].Worker_->WorkerIncarnation_ = 2;
    Cell.advance();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), LinesAfter(0.8, 0.1));
  }

  /// Guards against a log queue that drops other lines when the speeds of many
  /// workers become known at once.
  void logVolumeIsBounded() {
    FakeCell Cell;
    startLearning(Cell, 60);
    for (const auto &[Host, Report] : Cell.Agents_)
      expect::restoreSpeed(Cell.Holder_.Speeds_, Host, {0.6, 0.1});
    Cell.LogEvents_.clear();
    Cell.runFor(1s);
    CPPUNIT_ASSERT(speedLines(Cell) <= 40);
    Cell.runFor(5s);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(60), speedLines(Cell));
  }

  /// Guards against metrics that include workers of unknown speed or workers
  /// that have ended.
  void figuresCoverKnownSpeeds() {
    FakeCell Cell;
    startLearning(Cell, 4);
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w0", {0.6, 0.1});
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w1", {1.6, 0.1});
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w2", {9, 0.3});
    expect::restoreSpeed(Cell.Holder_.Speeds_, "w3", {0.1, 0.1});
    Cell.Agents_.erase("w3");
    onAgentDisconnected(Cell.Holder_, "w3");
    Cell.runFor(10s);
    Effects Out;
    Cell.Now_ += 2s;
    advanceHolder(Cell.Holder_, Cell.context(), Out);
    CPPUNIT_ASSERT(Out.SpeedFigures_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Out.SpeedFigures_->Known_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, Out.SpeedFigures_->Min_, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.6, Out.SpeedFigures_->Max_, 1e-9);
  }

  /// Guards against samples that change an earlier deployment.
  void withoutTheSettingDeclaredTimesCount() {
    FakeCell Cell;
    startCell(Cell, 1);
    runJob(Cell, "j", oneStep(1, Each_));
    CPPUNIT_ASSERT(Cell.Holder_.RunTimes_.Queues_.empty());
  }

private:
  static void stopAll(FakeCell &Cell, const std::string &Job) {
    for (const RunId &Run : Cell.runsOf(Job))
      Cell.endRun(Run, EndKind::Stopped);
    Cell.advance();
  }

  /// Returns which of two jobs goes first: "long", whose account declares
  /// 0.75 s for tasks that take 3 s, and which arrived 4 s ago, or "short",
  /// which has just arrived and takes 1 s. By its declared time, "long" has
  /// missed its objective; by its work, it can still meet it.
  std::string firstOfTwo(bool Learn) const {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.Holder_.Policy_.LearnRunTimes_ = Learn;
    const auto Declare = [&](core::Duration Declared) {
      return jobs::JobSpecBuilder().step(1, Each_, Declared).build();
    };
    for (int I = 0; I < 20; ++I)
      runJob(Cell, "j" + std::to_string(I), Declare(750ms));
    Cell.acceptJob("blocker", Declare(1s), "q1", "other");
    Cell.advance();
    Cell.Wall_ -= 4s;
    Cell.acceptJob("long", Declare(750ms), "q1", "acme");
    Cell.Wall_ += 4s;
    Cell.acceptJob("short", Declare(1s), "q2", "other");
    Cell.View_.Jobs_.at("short").Accepted_.Priority_ = 1;
    Cell.advance();
    endAll(Cell, "blocker");
    Cell.advance();
    return Cell.runsOf("long").empty() ? "short" : "long";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExpectationsTest);
