#include "fakecell.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Replays an urgent job that arrives at a full cell while runs are about to
/// end.
class VictimRestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VictimRestTest);
  CPPUNIT_TEST(runThatEndsSoonIsNotStopped);
  CPPUNIT_TEST(runThatEndsSoonIsStoppedWithoutTheFlag);
  CPPUNIT_TEST(roomThatIsAboutToBeFreeSparesOtherRuns);
  CPPUNIT_TEST(lastFifthOfALongRunIsKept);
  CPPUNIT_TEST(runWithMostOfItsWorkAheadIsStopped);
  CPPUNIT_TEST(guaranteeDoesNotWaitForAnEnd);
  CPPUNIT_TEST(runWithoutProgressIsNotKept);
  CPPUNIT_TEST(declaredTimeAloneKeepsNoRun);
  CPPUNIT_TEST(gangEndsWithItsSlowestMember);
  CPPUNIT_TEST_SUITE_END();

  FakeCell Cell_;

  void start(int Workers, bool Weigh = true) {
    startCell(Cell_, Workers);
    Cell_.Holder_.Policy_.ReserveForGangs_ = Weigh;
  }

  static jobs::JobSpec wholeWorker(core::Duration Time) {
    return jobs::JobSpecBuilder()
        .command("c")
        .step(1, {1000, 1000, 8}, Time)
        .build();
  }

  /// Lets a job run for \p Span, of \p RunTime in all, while it reports its
  /// progress.
  void run(const std::string &Job, core::Duration RunTime,
           core::Duration Span) {
    for (core::Duration Ran = 100ms; Ran <= Span; Ran += 100ms) {
      Cell_.setProgress(Job, static_cast<double>(Ran * 100 / RunTime));
      Cell_.advance(100ms);
    }
  }

  void acceptUrgent(const std::string &Account = "other") {
    Cell_.acceptJob("urgent", wholeWorker(3s), "q0", Account);
    Cell_.advance();
  }

  bool isStopped(const std::string &Job) const {
    for (const auto &[Id, Run] : Cell_.Holder_.Runs_)
      if (Id.Task_.Job_ == Job && Run.State_ == RunState::Stopping)
        return true;
    return false;
  }

  /// Starts a job of one run on each of two workers of which the first is about
  /// to end, and sends an urgent job.
  void runTwoJobs() {
    Cell_.acceptJob("ending", wholeWorker(2s), "q1", "other");
    Cell_.advance();
    run("ending", 2s, 1500ms);
    Cell_.acceptJob("fresh", wholeWorker(2s), "q1", "other");
    Cell_.advance();
    Cell_.setProgress("ending", 80);
    acceptUrgent();
  }

public:
  /// Guards against work that is thrown away shortly before its end, although
  /// the stop frees the room no earlier.
  void runThatEndsSoonIsNotStopped() {
    start(1);
    Cell_.acceptJob("ending", wholeWorker(2s), "q1", "other");
    Cell_.advance();
    run("ending", 2s, 1600ms);
    acceptUrgent();
    CPPUNIT_ASSERT(!isStopped("ending"));
    Cell_.endRun(Cell_.runsOf("ending").front(), EndKind::Done);
    Cell_.runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell_.runsOf("urgent").size());
  }

  /// Shows that the load is one under which the run is stopped without the
  /// flag.
  void runThatEndsSoonIsStoppedWithoutTheFlag() {
    start(1, false);
    Cell_.acceptJob("ending", wholeWorker(2s), "q1", "other");
    Cell_.advance();
    run("ending", 2s, 1600ms);
    acceptUrgent();
    CPPUNIT_ASSERT(isStopped("ending"));
  }

  /// Guards against the stop of another run, although the room that is about to
  /// be free suffices.
  void roomThatIsAboutToBeFreeSparesOtherRuns() {
    start(2);
    runTwoJobs();
    CPPUNIT_ASSERT(!isStopped("ending"));
    CPPUNIT_ASSERT(!isStopped("fresh"));
  }

  /// Guards against a long run that is repeated for the sake of its last
  /// seconds.
  void lastFifthOfALongRunIsKept() {
    start(1);
    Cell_.Holder_.Policy_.Preemption_.OnTimeFactor_ = 1000;
    Cell_.acceptJob("long", wholeWorker(20s), "q1", "other");
    Cell_.advance();
    run("long", 20s, 17s);
    acceptUrgent();
    CPPUNIT_ASSERT(!isStopped("long"));
  }

  /// Guards against urgent work that no longer preempts.
  void runWithMostOfItsWorkAheadIsStopped() {
    start(1);
    Cell_.acceptJob("half", wholeWorker(4s), "q1", "other");
    Cell_.advance();
    run("half", 4s, 2s);
    acceptUrgent();
    CPPUNIT_ASSERT(isStopped("half"));
  }

  /// Guards against a guarantee that waits for the end of a run.
  void guaranteeDoesNotWaitForAnEnd() {
    start(1);
    Cell_.acceptJob("ending", wholeWorker(2s), "q1", "other");
    Cell_.advance();
    run("ending", 2s, 1600ms);
    acceptUrgent("acme");
    CPPUNIT_ASSERT(isStopped("ending"));
  }

  /// Guards against urgent work that waits for a run that has come to a halt
  /// near its end.
  void runWithoutProgressIsNotKept() {
    start(1);
    Cell_.acceptJob("halted", wholeWorker(2s), "q1", "other");
    Cell_.advance();
    run("halted", 2s, 1800ms);
    Cell_.runFor(1500ms);
    acceptUrgent();
    CPPUNIT_ASSERT(isStopped("halted"));
  }

  /// Guards against a run that is kept because of a declared time, which may be
  /// off by a factor of two.
  void declaredTimeAloneKeepsNoRun() {
    start(1);
    Cell_.acceptJob("declared", wholeWorker(2s), "q1", "other");
    Cell_.advance();
    Cell_.runFor(1800ms);
    acceptUrgent();
    CPPUNIT_ASSERT(isStopped("declared"));
  }

  /// Guards against a gang that is kept because one member is about to end.
  void gangEndsWithItsSlowestMember() {
    start(2);
    Cell_.acceptJob("gang",
                    jobs::JobSpecBuilder()
                        .command("c")
                        .step(2, {1000, 1000, 8}, 4s)
                        .gang(true)
                        .build(),
                    "q1", "other");
    Cell_.advance();
    const RunId Slow = Cell_.runsOf("gang").back();
    for (int Step = 1; Step <= 18; ++Step) {
      Cell_.setProgress("gang", Step * 5);
      for (auto &[Host, Report] : Cell_.Agents_)
        for (RunningTask &Task : Report.Running_)
          if (Task.Id_ == Slow)
            Task.Percent_ = Step * 2;
      Cell_.advance(100ms);
    }
    Cell_.Holder_.Policy_.Preemption_.OnTimeFactor_ = 1000;
    acceptUrgent();
    CPPUNIT_ASSERT(isStopped("gang"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VictimRestTest);
