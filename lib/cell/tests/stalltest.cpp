#include "fakecell.h"
#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class StallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StallTest);
  CPPUNIT_TEST(longRunIsNotStopped);
  CPPUNIT_TEST(longGangIsNotStopped);
  CPPUNIT_TEST(adoptedLongRunIsNotStopped);
  CPPUNIT_TEST(adoptedRunAtItsDeclaredEndIsNotStopped);
  CPPUNIT_TEST(resumedLongRunIsNotStopped);
  CPPUNIT_TEST(pausedRunIsNotStopped);
  CPPUNIT_TEST(runOfUnknownLengthGetsMoreTime);
  CPPUNIT_TEST(hungShortRunIsStoppedSoon);
  CPPUNIT_TEST(hungLongRunIsStopped);
  CPPUNIT_TEST(hungRunIsFoundBesideItsPeers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr jobs::Resources WholeWorker{1000, 1000, 8};
  static constexpr core::Duration TenMinutes = 10min;

  static jobs::JobSpec step(std::uint32_t Count, core::Duration Estimate) {
    return jobs::JobSpecBuilder().step(Count, WholeWorker, Estimate).build();
  }

  static std::size_t count(const FakeCell &Cell, const std::string &Event) {
    return static_cast<std::size_t>(std::count_if(
        Cell.LogEvents_.begin(), Cell.LogEvents_.end(),
        [&](const core::LogEvent &Line) { return Line.Event_ == Event; }));
  }

  /// Advances the time by \p Span. The runs of \p Job that began at \p From
  /// percent report whole percentages of tasks that take \p Length.
  static void work(FakeCell &Cell, const std::string &Job, core::Duration Span,
                   core::Duration Length, double From = 0) {
    for (core::Duration Past(0); Past < Span; Past += 100ms) {
      const double Share = static_cast<double>((Past + 100ms).count()) /
                           static_cast<double>(Length.count());
      Cell.setProgress(Job, std::floor(std::min(100.0, From + 100 * Share)));
      Cell.advance(100ms);
    }
  }

  /// Lets the runs of a job stand still, except on the workers \p Working.
  static void workOn(FakeCell &Cell, const std::set<std::string> &Working,
                     core::Duration Span, core::Duration Length) {
    for (core::Duration Past(0); Past < Span; Past += 100ms) {
      for (const std::string &Host : Working)
        for (RunningTask &Task : Cell.Agents_.at(Host).Running_)
          Task.Percent_ =
              std::floor(100 * static_cast<double>((Past + 100ms).count()) /
                         static_cast<double>(Length.count()));
      Cell.advance(100ms);
    }
  }

  /// Returns the time after which a run that makes no progress is stopped.
  static core::Duration timeUntilStop(FakeCell &Cell, core::Duration Limit) {
    const core::TimePoint Since = Cell.Now_;
    while (!Cell.hasLogEvent("run_stalled") && Cell.Now_ - Since < Limit)
      Cell.advance(100ms);
    return Cell.Now_ - Since;
  }

public:
  /// Guards against tasks of minutes that are stopped every few seconds,
  /// because their first percent takes longer than that.
  void longRunIsNotStopped() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", step(2, TenMinutes));
    Cell.advance();
    work(Cell, "j", 60s, TenMinutes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(Cell, "run_stalled"));
  }

  /// Guards against the same for gangs.
  void longGangIsNotStopped() {
    FakeCell Cell;
    startCell(Cell, 3);
    Cell.acceptJob(
        "j",
        jobs::JobSpecBuilder().step(3, WholeWorker, TenMinutes).gang().build());
    Cell.advance();
    work(Cell, "j", 60s, TenMinutes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(Cell, "run_stalled"));
  }

  /// Guards against long runs that are stopped after a takeover: the new holder
  /// does not know when their percentage changed last.
  void adoptedLongRunIsNotStopped() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", step(1, 1h));
    Cell.advance();
    Cell.setProgress("j", 43);
    Cell.claimCell(Cell.Now_);
    Cell.runFor(30s);
    CPPUNIT_ASSERT(Cell.hasLogEvent("run_adopted"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(Cell, "run_stalled"));
  }

  /// Guards against runs that take longer than declared and are stopped after a
  /// takeover, since their percentage cannot change any more.
  void adoptedRunAtItsDeclaredEndIsNotStopped() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", step(1, 10s));
    Cell.advance();
    Cell.setProgress("j", 100);
    Cell.claimCell(Cell.Now_);
    Cell.runFor(25s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(Cell, "run_stalled"));
  }

  /// Guards against long runs that are stopped after they have resumed from a
  /// checkpoint: they begin at a high percentage and may be close to the next
  /// one, so that the first change says nothing about their pace.
  void resumedLongRunIsNotStopped() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", step(1, 1h));
    Cell.advance();
    work(Cell, "j", 120s, 1h, 50.995);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(Cell, "run_stalled"));
  }

  /// Guards against best-effort runs that are stopped for standing still, as
  /// they were ordered to, and workers that are quarantined for it.
  void pausedRunIsNotStopped() {
    FakeCell Cell;
    startCell(Cell, 1);
    jobs::JobSpec Serving = jobs::JobSpecBuilder()
                                .step(1, {1000, 1000, 1}, 2s)
                                .longRunning()
                                .build();
    Serving.Steps_[0].TargetLatency_ = 100ms;
    jobs::JobSpec Filling = oneStep(1, {1000, 1000, 1});
    Filling.Steps_[0].BestEffort_ = true;
    Cell.acceptJob("serving", Serving);
    Cell.acceptJob("filling", Filling);
    Cell.advance();
    Cell.setUsage("serving", 150);
    Cell.runFor(10s);
    CPPUNIT_ASSERT_EQUAL(0u, Cell.paceOf("filling"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(Cell, "run_stalled"));
  }

  /// Guards against a task that never ends, because nothing tells how long it
  /// takes and each of its runs is stopped after the same time.
  void runOfUnknownLengthGetsMoreTime() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", step(1, 0s));
    Cell.runFor(25s);
    const std::size_t Stops = count(Cell, "run_stalled");
    CPPUNIT_ASSERT(Stops >= 2 && Stops <= 3);
    work(Cell, "j", 60s, 1000s);
    CPPUNIT_ASSERT_EQUAL(Stops, count(Cell, "run_stalled"));
  }

  /// Guards against short tasks that wait for long on a worker that hangs.
  void hungShortRunIsStoppedSoon() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", step(1, 11s));
    Cell.advance();
    const core::Duration Time = timeUntilStop(Cell, 60s);
    CPPUNIT_ASSERT(Time >= 3s && Time <= 3300ms);
  }

  /// Guards against long tasks that wait for good on a worker that hangs.
  void hungLongRunIsStopped() {
    FakeCell Cell;
    startCell(Cell, 1);
    Cell.acceptJob("j", step(1, TenMinutes));
    Cell.advance();
    const core::Duration Time = timeUntilStop(Cell, TenMinutes);
    CPPUNIT_ASSERT(Time >= TenMinutes / 20 && Time <= TenMinutes / 5);
  }

  /// Guards against a task that waits for hours on a worker that hangs, since
  /// its declared time is far too long, while other tasks of the step show how
  /// long a percent takes.
  void hungRunIsFoundBesideItsPeers() {
    FakeCell Cell;
    startCell(Cell, 4);
    Cell.acceptJob("j", step(4, 100 * TenMinutes));
    Cell.advance();
    workOn(Cell, {"w1", "w2", "w3"}, TenMinutes / 5, TenMinutes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(Cell, "run_stalled"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StallTest);
