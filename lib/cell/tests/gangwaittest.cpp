#include "fakecell.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Replays narrow patient work that takes each gap beside a gang that needs
/// whole workers of one rack.
class GangWaitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangWaitTest);
  CPPUNIT_TEST(gangStartsAmidNarrowWork);
  CPPUNIT_TEST(gangStarvesWithoutTheFlag);
  CPPUNIT_TEST(runsThatTakeTwiceAsLong);
  CPPUNIT_TEST(runsThatTakeHalfAsLong);
  CPPUNIT_TEST(progressCorrectsADeclaredTime);
  CPPUNIT_TEST(shortWorkUsesTheReservedWorkers);
  CPPUNIT_TEST(workNearItsDataUsesTheReservedWorkers);
  CPPUNIT_TEST(guaranteedWorkUsesTheReservedWorkers);
  CPPUNIT_TEST(drainingWorkerMovesTheReservation);
  CPPUNIT_TEST(silentWorkerMovesTheReservation);
  CPPUNIT_TEST(worthlessGangGetsNoReservation);
  CPPUNIT_TEST(gangThatNeverFitsDoesNotBlockOthers);
  CPPUNIT_TEST(takeoverForgetsTheReservation);
  CPPUNIT_TEST_SUITE_END();

  FakeCell Cell_;
  int NextNarrow_ = 0;

  void start(int Workers, bool Reserve = true) {
    startCell(Cell_, Workers);
    Cell_.Holder_.Policy_.ReserveForGangs_ = Reserve;
  }

  static jobs::JobSpec wholeWorker(core::Duration Time,
                                   const std::string &DataRack = "") {
    return jobs::JobSpecBuilder()
        .command("c")
        .step(1, {1000, 1000, 8}, Time)
        .dataRack(DataRack)
        .build();
  }

  static jobs::JobSpec rackGang(std::uint32_t Count, core::Duration Time = 4s) {
    return jobs::JobSpecBuilder()
        .command("c")
        .step(Count, {1000, 1000, 8}, Time)
        .gang(true)
        .build();
  }

  /// Ends the runs that have run for \p RunTime, and reports the progress of
  /// the others.
  void endFinishedRuns(core::Duration RunTime, bool Progress) {
    std::vector<RunId> Finished;
    for (const auto &[Id, Run] : Cell_.Holder_.Runs_) {
      const core::Duration Ran = Cell_.Now_ - Run.OrderedAt_;
      if (Ran >= RunTime)
        Finished.push_back(Id);
      else if (Progress)
        Cell_.setProgress(Id.Task_.Job_,
                          static_cast<double>(Ran * 100 / RunTime));
    }
    for (const RunId &Id : Finished)
      Cell_.endRun(Id, EndKind::Done);
  }

  void acceptNarrow() {
    Cell_.acceptJob("narrow" + std::to_string(NextNarrow_++), wholeWorker(2s),
                    "q2", "other");
  }

  /// Works while three narrow jobs always wait. Each run takes \p RunTime.
  void work(core::Duration Span, core::Duration RunTime = 2s,
            bool Progress = false) {
    const core::TimePoint End = Cell_.Now_ + Span;
    while (Cell_.Now_ < End) {
      std::size_t Waiting = 0;
      for (const auto &[Name, Job] : Cell_.View_.Jobs_)
        Waiting += Name.compare(0, 6, "narrow") == 0 &&
                   Cell_.runsOf(Name).empty() &&
                   !jobs::isFinal(Job.reportedState());
      for (; Waiting < 3; ++Waiting)
        acceptNarrow();
      Cell_.advance(100ms);
      endFinishedRuns(RunTime, Progress);
    }
  }

  /// Starts one narrow run on each of \p Workers workers, 700 ms apart.
  void startStaggered(int Workers) {
    for (int I = 0; I < Workers; ++I) {
      if (I > 0)
        Cell_.runFor(700ms);
      acceptNarrow();
      Cell_.advance();
    }
  }

  std::size_t countEvents(const std::string &Event) const {
    return static_cast<std::size_t>(std::count_if(
        Cell_.LogEvents_.begin(), Cell_.LogEvents_.end(),
        [&](const core::LogEvent &Line) { return Line.Event_ == Event; }));
  }

  std::string field(const std::string &Event, const std::string &Name) const {
    for (const core::LogEvent &Line : Cell_.LogEvents_)
      if (Line.Event_ == Event)
        for (const auto &[Key, Value] : Line.Fields_)
          if (Key == Name)
            return Value;
    return {};
  }

  void checkGangRuns(std::size_t Tasks) const {
    CPPUNIT_ASSERT_EQUAL(Tasks, Cell_.runsOf("gang").size());
  }

  /// Sends a gang of three to a rack of three busy workers.
  void runGangAmidNarrowWork(core::Duration RunTime, core::Duration Span,
                             bool Progress = false) {
    startStaggered(3);
    Cell_.acceptJob("gang", rackGang(3), "q1", "other");
    work(Span, RunTime, Progress);
  }

  /// Sends a gang of three to two racks, of which the first is free earlier,
  /// and makes a reservation there.
  void reserveFirstRack() {
    start(6);
    startStaggered(6);
    Cell_.acceptJob("gang", rackGang(3), "q1", "other");
    Cell_.advance();
    CPPUNIT_ASSERT(Cell_.hasLogEvent("reservation_made"));
  }

public:
  /// Guards against a gang that waits without end: narrow work takes each of
  /// its workers as soon as it is free. The last of the three runs ends 1.9 s
  /// after the gang was accepted.
  void gangStartsAmidNarrowWork() {
    start(3);
    runGangAmidNarrowWork(2s, 2500ms);
    checkGangRuns(3);
    work(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), countEvents("reservation_made"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), countEvents("reservation_used"));
    CPPUNIT_ASSERT_EQUAL(std::string("gang.0.0.0"),
                         field("reservation_used", "task"));
  }

  /// Shows that the load is one under which the gang waits without the flag.
  void gangStarvesWithoutTheFlag() {
    start(3, false);
    runGangAmidNarrowWork(2s, 20s);
    checkGangRuns(0);
    CPPUNIT_ASSERT(!Cell_.hasLogEvent("reservation_made"));
  }

  /// Guards against narrow work that takes the reserved workers when runs take
  /// longer than declared: the runs end 4 s after their start, not 2 s.
  void runsThatTakeTwiceAsLong() {
    start(3);
    runGangAmidNarrowWork(4s, 4500ms);
    checkGangRuns(3);
  }

  /// Guards against a gang that waits for the reserved time when runs end
  /// earlier than declared.
  void runsThatTakeHalfAsLong() {
    start(3);
    runGangAmidNarrowWork(1s, 1500ms);
    checkGangRuns(3);
  }

  /// Guards against a reservation by declared times where progress shows that
  /// the runs take twice as long: the last one ends 2.9 s later, and whole
  /// percentages leave an error of a tenth.
  void progressCorrectsADeclaredTime() {
    start(3);
    startStaggered(3);
    work(1s, 4s, true);
    Cell_.acceptJob("gang", rackGang(3), "q1", "other");
    Cell_.advance(100ms);
    const int In = std::stoi(field("reservation_made", "in_ms"));
    CPPUNIT_ASSERT(In >= 2700 && In <= 3300);
  }

  /// Guards against workers that idle until the gang fits.
  void shortWorkUsesTheReservedWorkers() {
    start(3);
    startStaggered(2);
    Cell_.acceptJob("gang", rackGang(3), "q1", "other");
    Cell_.acceptJob("long", wholeWorker(2s), "q2", "other");
    Cell_.acceptJob("short", wholeWorker(500ms), "q2", "other");
    Cell_.advance();
    CPPUNIT_ASSERT(Cell_.runsOf("long").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell_.runsOf("short").size());
  }

  /// Guards against work that runs far from its data, which takes three times
  /// as long, because of a reservation.
  void workNearItsDataUsesTheReservedWorkers() {
    start(3);
    startStaggered(2);
    Cell_.acceptJob("gang", rackGang(3), "q1", "other");
    Cell_.acceptJob("near", wholeWorker(2s, "r0"), "q2", "other");
    Cell_.advance();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell_.runsOf("near").size());
  }

  /// Guards against a guarantee that waits for a gang.
  void guaranteedWorkUsesTheReservedWorkers() {
    start(3);
    startStaggered(2);
    Cell_.acceptJob("gang", rackGang(3), "q0", "other");
    Cell_.advance();
    Cell_.acceptJob("urgent", wholeWorker(2s), "q0", "acme");
    Cell_.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell_.runsOf("urgent").size());
  }

  /// Guards against a gang that waits for a worker that takes no more work. The
  /// runs of the other rack end 3.5 s after those of the reserved one began.
  void drainingWorkerMovesTheReservation() {
    reserveFirstRack();
    Cell_.Agents_.at("w0").Worker_->Draining_ = true;
    work(2500ms);
    checkGangRuns(3);
    for (const RunId &Id : Cell_.runsOf("gang"))
      CPPUNIT_ASSERT(Cell_.hostOf(Id) >= "w3");
  }

  /// Guards against the same for a worker that sends no reports.
  void silentWorkerMovesTheReservation() {
    reserveFirstRack();
    Cell_.Agents_.erase("w0");
    onAgentDisconnected(Cell_.Holder_, "w0");
    work(2500ms);
    checkGangRuns(3);
    for (const RunId &Id : Cell_.runsOf("gang"))
      CPPUNIT_ASSERT(Cell_.hostOf(Id) >= "w3");
  }

  /// Guards against idle workers for a gang that nobody waits for any more.
  void worthlessGangGetsNoReservation() {
    start(3);
    startStaggered(2);
    Cell_.Wall_ -= 60s;
    Cell_.acceptJob("gang", rackGang(3), "q1", "other");
    Cell_.Wall_ += 60s;
    Cell_.acceptJob("narrow", wholeWorker(2s), "q2", "other");
    Cell_.advance();
    CPPUNIT_ASSERT(!Cell_.hasLogEvent("reservation_made"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell_.runsOf("narrow").size());
  }

  /// Guards against a gang larger than any rack that prevents the reservation
  /// of the next one.
  void gangThatNeverFitsDoesNotBlockOthers() {
    start(3);
    startStaggered(3);
    Cell_.acceptJob("huge", rackGang(4), "q1", "other");
    Cell_.acceptJob("gang", rackGang(3), "q1", "other");
    Cell_.advance();
    CPPUNIT_ASSERT_EQUAL(std::string("gang.0.0.0"),
                         field("reservation_made", "task"));
  }

  /// Guards against a reservation that outlives its holder: the next one
  /// computes its own.
  void takeoverForgetsTheReservation() {
    reserveFirstRack();
    Cell_.claimCell();
    Cell_.Holder_.Policy_.ReserveForGangs_ = true;
    CPPUNIT_ASSERT(Cell_.Holder_.Reservations_.Newest_.empty());
    Cell_.LogEvents_.clear();
    Cell_.runFor(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), countEvents("reservation_made"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangWaitTest);
