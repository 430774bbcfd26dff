#include "fakecell.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class VacateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VacateTest);
  CPPUNIT_TEST(nothingIsStoppedWhenDisabled);
  CPPUNIT_TEST(runThatEndsInTimeIsLeft);
  CPPUNIT_TEST(lostRunIsStartedElsewhereAtOnce);
  CPPUNIT_TEST(ownProgressGoesBeforeTheDeclaredTime);
  CPPUNIT_TEST(checkpointIsSavedAndUsedElsewhere);
  CPPUNIT_TEST(holderWakesForADueStop);
  CPPUNIT_TEST(gangIsStoppedAsAWhole);
  CPPUNIT_TEST(firstDepartureOfAGangDecides);
  CPPUNIT_TEST(silentMemberDoesNotBlockTheGang);
  CPPUNIT_TEST(doneGangIsLeft);
  CPPUNIT_TEST(longRunningTasksAreMovedWithinTheLimit);
  CPPUNIT_TEST(longRunningTaskThatLeavesFirstIsMovedFirst);
  CPPUNIT_TEST(longRunningTaskWithoutAllowanceIsLeft);
  CPPUNIT_TEST(noticeDuringACutCountsFromItsReport);
  CPPUNIT_TEST(silentWorkerIsNotVacated);
  CPPUNIT_TEST(nextHolderDecidesFromItsFirstReport);
  CPPUNIT_TEST(silentStoreDelaysNothing);
  CPPUNIT_TEST(lostStopOrderIsRepeatedInTime);
  CPPUNIT_TEST(workerThatLeavesEarlyCostsOneRestart);
  CPPUNIT_TEST(returnedWorkerKeepsItsRuns);
  CPPUNIT_TEST(returnedWorkerIsUsedAgain);
  CPPUNIT_TEST(endThatCrossesTheStopStartsNoSecondRun);
  CPPUNIT_TEST(refusedStartOnADrainingWorkerIsRepeatedElsewhere);
  CPPUNIT_TEST(decisionIsLoggedOnce);
  CPPUNIT_TEST(tenthOfTheWorkersLeavesUnderWideGangs);
  CPPUNIT_TEST_SUITE_END();

  static constexpr jobs::Resources WholeWorker{1000, 1000, 8};

  static void enable(FakeCell &Cell) {
    Cell.Holder_.Policy_.Departure_.Enabled_ = true;
  }

  static void start(FakeCell &Cell, int Workers) {
    startCell(Cell, Workers);
    enable(Cell);
  }

  static void drain(FakeCell &Cell, const std::string &Host,
                    core::Duration Remaining = 2s) {
    Cell.Agents_.at(Host).Worker_->Draining_ = true;
    Cell.Agents_.at(Host).Worker_->DrainRemaining_ = Remaining;
  }

  /// Ends the process of a worker with all its runs.
  static void endWorker(FakeCell &Cell, const std::string &Host) {
    AgentReport &Report = Cell.Agents_.at(Host);
    Report.Worker_.reset();
    Report.Running_.clear();
    Report.Ended_.clear();
    Cell.EndedWorkers_.insert(Host);
  }

  static jobs::JobSpec task(core::Duration Estimate, bool Checkpoints = false,
                            std::uint32_t Count = 1) {
    jobs::JobSpecBuilder Builder;
    Builder.command("c").step(Count, WholeWorker, Estimate);
    return Checkpoints ? Builder.checkpoints().build() : Builder.build();
  }

  static jobs::JobSpec gang(std::uint32_t Count, core::Duration Estimate) {
    return jobs::JobSpecBuilder()
        .command("c")
        .step(Count, WholeWorker, Estimate)
        .gang()
        .build();
  }

  static jobs::JobSpec service(std::uint32_t Count,
                               std::optional<std::uint32_t> MaxUnavailable) {
    jobs::JobSpec Spec = jobs::JobSpecBuilder()
                             .step(Count, WholeWorker, 0s)
                             .longRunning()
                             .build();
    Spec.Steps_[0].MaxUnavailable_ = MaxUnavailable;
    return Spec;
  }

  static std::string hostOfOnlyRun(const FakeCell &Cell,
                                   const std::string &Job) {
    const std::vector<RunId> Runs = Cell.runsOf(Job);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Runs.size());
    return Cell.hostOf(Runs[0]);
  }

  /// Returns the logged decisions, in order.
  static std::vector<std::string> decisions(const FakeCell &Cell) {
    std::vector<std::string> Result;
    for (const core::LogEvent &Line : Cell.LogEvents_)
      if (Line.Event_ == "worker_vacated")
        for (const auto &[Name, Value] : Line.Fields_)
          if (Name == "decision")
            Result.push_back(Value);
    return Result;
  }

  static std::size_t stopsOf(const FakeCell &Cell, const std::string &Job) {
    std::size_t Count = 0;
    for (const auto &[Host, Orders] : Cell.Orders_)
      for (const RunId &Id : Orders.Stops_)
        Count += Id.Task_.Job_ == Job;
    return Count;
  }

  static std::size_t startsOf(const FakeCell &Cell, const std::string &Job) {
    std::size_t Count = 0;
    for (const auto &[Host, Orders] : Cell.Orders_)
      for (const StartOrder &Order : Orders.Starts_)
        Count += Order.Id_.Task_.Job_ == Job;
    return Count;
  }

  /// Advances in steps of 10 ms until a stop of \p Job was ordered, and returns
  /// the time that took.
  static core::Duration timeUntilStop(FakeCell &Cell, const std::string &Job,
                                      core::Duration Limit = 5s) {
    const core::TimePoint Since = Cell.Now_;
    while (stopsOf(Cell, Job) == 0 && Cell.Now_ - Since < Limit)
      Cell.advance(10ms);
    return Cell.Now_ - Since;
  }

  /// Fails unless nothing runs on \p Host and the job's tasks run elsewhere.
  static void expectMoved(const FakeCell &Cell, const std::string &Job,
                          const std::string &Host, std::size_t Tasks) {
    const std::vector<RunId> Runs = Cell.runsOf(Job);
    CPPUNIT_ASSERT_EQUAL(Tasks, Runs.size());
    for (const RunId &Id : Runs)
      CPPUNIT_ASSERT(Cell.hostOf(Id) != Host);
  }

public:
  /// Guards against a part that changes decisions without its setting.
  void nothingIsStoppedWhenDisabled() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", task(20s));
    Cell.advance();
    drain(Cell, hostOfOnlyRun(Cell, "j"));
    Cell.runFor(2500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "j"));
    CPPUNIT_ASSERT(decisions(Cell).empty());
  }

  /// Guards against work that is discarded although its worker stays long
  /// enough.
  void runThatEndsInTimeIsLeft() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.acceptJob("j", task(1500ms));
    Cell.advance();
    drain(Cell, hostOfOnlyRun(Cell, "j"));
    for (int Percent = 10; Percent < 100; Percent += 10) {
      Cell.setProgress("j", Percent);
      Cell.advance(150ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "j"));
    CPPUNIT_ASSERT(decisions(Cell) == std::vector<std::string>{"continue"});
  }

  /// Guards against a run that goes on until it is lost, and against a stop
  /// that counts as a failed attempt.
  void lostRunIsStartedElsewhereAtOnce() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.acceptJob("j", task(20s));
    Cell.advance();
    const std::string Host = hostOfOnlyRun(Cell, "j");
    drain(Cell, Host);
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsOf(Cell, "j"));
    Cell.runFor(300ms);
    expectMoved(Cell, "j", Host, 1);
    CPPUNIT_ASSERT_EQUAL(
        0u,
        Cell.Holder_.Jobs_.at("j").Progress_.step(0, 0).Tasks_[0].Failures_);
  }

  /// Guards against a decision by a declared time that is off by a factor of
  /// two, when the run shows its own pace.
  void ownProgressGoesBeforeTheDeclaredTime() {
    FakeCell Cell;
    start(Cell, 4);
    Cell.acceptJob("short", task(20s));
    Cell.acceptJob("long", task(2s));
    Cell.advance();
    for (int I = 1; I <= 10; ++I) {
      Cell.setProgress("short", 6 * I);
      Cell.setProgress("long", I);
      Cell.advance(100ms);
    }
    drain(Cell, hostOfOnlyRun(Cell, "short"));
    drain(Cell, hostOfOnlyRun(Cell, "long"));
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "short"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsOf(Cell, "long"));
  }

  /// Guards against a checkpoint that is saved too late, far too early, or not
  /// used.
  void checkpointIsSavedAndUsedElsewhere() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.StopCheckpoint_ = "saved";
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    const std::string Host = hostOfOnlyRun(Cell, "j");
    drain(Cell, Host);
    const core::Duration Time = timeUntilStop(Cell, "j");
    CPPUNIT_ASSERT(Time >= 600ms && Time <= 620ms);
    Cell.runFor(300ms);
    expectMoved(Cell, "j", Host, 1);
    std::string Checkpoint;
    for (const auto &[Name, Orders] : Cell.Orders_)
      for (const StartOrder &Order : Orders.Starts_)
        Checkpoint = Order.Checkpoint_;
    CPPUNIT_ASSERT_EQUAL(std::string("saved"), Checkpoint);
  }

  /// Guards against a stop that is late by the time until the next report.
  void holderWakesForADueStop() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    drain(Cell, hostOfOnlyRun(Cell, "j"));
    Cell.advance();
    const core::TimePoint Noticed = Cell.Now_;
    while (stopsOf(Cell, "j") == 0) {
      CPPUNIT_ASSERT(Cell.WakeAt_ > Cell.Now_);
      Cell.advance(Cell.WakeAt_ - Cell.Now_);
    }
    CPPUNIT_ASSERT(Cell.Now_ == Noticed + 600ms);
  }

  /// Guards against a gang of which a part goes on, and against a second start
  /// of the gang on a worker that leaves.
  void gangIsStoppedAsAWhole() {
    FakeCell Cell;
    start(Cell, 6);
    Cell.acceptJob("j", gang(3, 20s));
    Cell.advance();
    const std::string Host = Cell.hostOf(Cell.runsOf("j")[1]);
    drain(Cell, Host);
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), stopsOf(Cell, "j"));
    Cell.runFor(300ms);
    expectMoved(Cell, "j", Host, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), startsOf(Cell, "j"));
  }

  /// Guards against a checkpoint that is lost because a gang has members on two
  /// leaving workers and goes by the later departure.
  void firstDepartureOfAGangDecides() {
    FakeCell Cell;
    start(Cell, 6);
    jobs::JobSpec Spec = gang(3, 20s);
    Spec.Steps_[0].Checkpoints_ = true;
    Cell.acceptJob("j", Spec);
    Cell.advance();
    const std::vector<RunId> Runs = Cell.runsOf("j");
    drain(Cell, Cell.hostOf(Runs[0]), 10s);
    drain(Cell, Cell.hostOf(Runs[2]), 3s);
    const core::Duration Time = timeUntilStop(Cell, "j");
    CPPUNIT_ASSERT(Time >= 1600ms && Time <= 1620ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), stopsOf(Cell, "j"));
  }

  /// Guards against a gang that is lost because the holder waits for a member
  /// of which it hears nothing.
  void silentMemberDoesNotBlockTheGang() {
    FakeCell Cell;
    start(Cell, 6);
    Cell.acceptJob("j", gang(3, 20s));
    Cell.advance();
    const std::vector<RunId> Runs = Cell.runsOf("j");
    Cell.Agents_.erase(Cell.hostOf(Runs[0]));
    Cell.runFor(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "j"));
    drain(Cell, Cell.hostOf(Runs[2]));
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), stopsOf(Cell, "j"));
  }

  /// Guards against a decision on the remaining runs of a gang that is done.
  void doneGangIsLeft() {
    FakeCell Cell;
    start(Cell, 6);
    Cell.acceptJob("j", gang(3, 20s));
    Cell.advance();
    const std::vector<RunId> Runs = Cell.runsOf("j");
    Cell.endRun(Runs[0], EndKind::Done);
    drain(Cell, Cell.hostOf(Runs[1]));
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(decisions(Cell).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), startsOf(Cell, "j"));
  }

  /// Guards against a service of which more tasks are down by the system's own
  /// stops than it allows, and against tasks that are not moved in time.
  void longRunningTasksAreMovedWithinTheLimit() {
    FakeCell Cell;
    start(Cell, 8);
    Cell.acceptJob("s", service(4, 1));
    Cell.advance();
    std::set<std::string> Leaving;
    for (const RunId &Id : Cell.runsOf("s"))
      if (Leaving.size() < 3)
        Leaving.insert(Cell.hostOf(Id));
    for (const std::string &Host : Leaving)
      drain(Cell, Host);
    for (core::Duration Past(0); Past < 2s; Past += 10ms) {
      Cell.advance(10ms);
      CPPUNIT_ASSERT(Cell.runsOf("s").size() >= 3);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Cell.runsOf("s").size());
    for (const RunId &Id : Cell.runsOf("s"))
      CPPUNIT_ASSERT(!Leaving.count(Cell.hostOf(Id)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), stopsOf(Cell, "s"));
  }

  /// Guards against a task that is lost with its worker while another one is
  /// moved, whose worker stays longer.
  void longRunningTaskThatLeavesFirstIsMovedFirst() {
    FakeCell Cell;
    start(Cell, 6);
    Cell.acceptJob("s", service(3, 1));
    Cell.advance();
    const std::vector<RunId> Runs = Cell.runsOf("s");
    drain(Cell, Cell.hostOf(Runs[0]), 10s);
    drain(Cell, Cell.hostOf(Runs[1]), 5s);
    drain(Cell, Cell.hostOf(Runs[2]), 2s);
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsOf(Cell, "s"));
    for (const auto &[Host, Orders] : Cell.Orders_)
      for (const RunId &Id : Orders.Stops_)
        CPPUNIT_ASSERT(Id == Runs[2]);
  }

  /// Guards against a stop of a task whose step allows none to be down.
  void longRunningTaskWithoutAllowanceIsLeft() {
    FakeCell Cell;
    start(Cell, 4);
    Cell.acceptJob("s", service(2, 0));
    Cell.advance();
    drain(Cell, Cell.hostOf(Cell.runsOf("s")[0]));
    Cell.runFor(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "s"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.runsOf("s").size());
  }

  /// Guards against a holder that counts from a time before it knew of the
  /// drain, or that misses the drain: the notice reaches the agent while its
  /// link is cut, and the agent reports what is left after that.
  void noticeDuringACutCountsFromItsReport() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    const std::string Host = hostOfOnlyRun(Cell, "j");
    const AgentReport Cut = Cell.Agents_.at(Host);
    Cell.Agents_.erase(Host);
    onAgentDisconnected(Cell.Holder_, Host);
    Cell.runFor(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "j"));
    Cell.Agents_[Host] = Cut;
    drain(Cell, Host, 1600ms);
    const core::Duration Time = timeUntilStop(Cell, "j");
    CPPUNIT_ASSERT(Time >= 200ms && Time <= 220ms);
  }

  /// Guards against a decision about a worker of which nothing is heard.
  void silentWorkerIsNotVacated() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    const std::string Host = hostOfOnlyRun(Cell, "j");
    drain(Cell, Host, 4s);
    Cell.advance();
    Cell.Agents_.erase(Host);
    Cell.runFor(4s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "j"));
  }

  /// Guards against a run that is lost because the holder which knew of the
  /// drain is replaced before the stop.
  void nextHolderDecidesFromItsFirstReport() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.StopCheckpoint_ = "saved";
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    const std::string Host = hostOfOnlyRun(Cell, "j");
    drain(Cell, Host);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "j"));
    Cell.claimCell(Cell.Now_);
    enable(Cell);
    drain(Cell, Host, 1700ms);
    const core::Duration Time = timeUntilStop(Cell, "j");
    CPPUNIT_ASSERT(Time >= 300ms && Time <= 320ms);
    Cell.runFor(300ms);
    expectMoved(Cell, "j", Host, 1);
  }

  /// Guards against a stop or a new start that waits for the store.
  void silentStoreDelaysNothing() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.StopCheckpoint_ = "saved";
    Cell.acceptJob("j", task(20s, true));
    Cell.runFor(300ms);
    const std::string Host = hostOfOnlyRun(Cell, "j");
    Cell.StoreAvailable_ = Cell.TenureConfirmed_ = false;
    drain(Cell, Host);
    const core::Duration Time = timeUntilStop(Cell, "j");
    CPPUNIT_ASSERT(Time >= 600ms && Time <= 620ms);
    Cell.runFor(300ms);
    expectMoved(Cell, "j", Host, 1);
  }

  /// Guards against a checkpoint that is lost with one message: the margin
  /// covers a second order.
  void lostStopOrderIsRepeatedInTime() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.StopCheckpoint_ = "saved";
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    const std::string Host = hostOfOnlyRun(Cell, "j");
    drain(Cell, Host);
    Cell.advance();
    const core::TimePoint Leaves = Cell.Now_ + 2s;
    Cell.LosesStops_ = true;
    while (stopsOf(Cell, "j") == 0)
      Cell.advance(Cell.WakeAt_ - Cell.Now_);
    Cell.LosesStops_ = false;
    // Moves the regular steps of the holder off the time of the repeat.
    Cell.advance(100ms);
    while (stopsOf(Cell, "j") < 2)
      Cell.advance(Cell.WakeAt_ - Cell.Now_);
    CPPUNIT_ASSERT(Cell.Now_ + Cell.Holder_.Policy_.Departure_.StopTime_ <=
                   Leaves);
    Cell.runFor(300ms);
    expectMoved(Cell, "j", Host, 1);
  }

  /// Guards against two restarts, or none, when a worker leaves before the time
  /// that it announced and takes a stopping and a continuing run with it.
  void workerThatLeavesEarlyCostsOneRestart() {
    FakeCell Cell;
    start(Cell, 6);
    Cell.acceptJob("g", gang(3, 20s));
    Cell.acceptJob("c", task(20s, true));
    Cell.advance();
    const std::string GangHost = Cell.hostOf(Cell.runsOf("g")[0]);
    const std::string TaskHost = hostOfOnlyRun(Cell, "c");
    Cell.LosesStops_ = true;
    drain(Cell, GangHost);
    drain(Cell, TaskHost);
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), stopsOf(Cell, "g"));
    endWorker(Cell, GangHost);
    endWorker(Cell, TaskHost);
    Cell.LosesStops_ = false;
    Cell.runFor(2s);
    // Four workers are left, so that both fit.
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Cell.runsOf("g").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("c").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), startsOf(Cell, "g"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), startsOf(Cell, "c"));
  }

  /// Guards against a stop for a departure that was called off.
  void returnedWorkerKeepsItsRuns() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    const std::string Host = hostOfOnlyRun(Cell, "j");
    drain(Cell, Host);
    Cell.runFor(500ms);
    Cell.Agents_.at(Host).Worker_->Draining_ = false;
    Cell.runFor(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), stopsOf(Cell, "j"));
  }

  /// Guards against a worker that gets no work after it was vacated and has
  /// returned, and against a later notice that counts from the first.
  void returnedWorkerIsUsedAgain() {
    FakeCell Cell;
    start(Cell, 1);
    Cell.acceptJob("j", task(20s));
    Cell.advance();
    drain(Cell, "w0");
    Cell.runFor(300ms);
    CPPUNIT_ASSERT(Cell.runsOf("j").empty());
    Cell.runFor(5s);
    Cell.Agents_.at("w0").Worker_->Draining_ = false;
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.runsOf("j").size());
    drain(Cell, "w0", 30s);
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsOf(Cell, "j"));
  }

  /// Guards against a second run of a task whose end crosses the stop order.
  void endThatCrossesTheStopStartsNoSecondRun() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.acceptJob("j", task(20s));
    Cell.advance();
    const RunId Run = Cell.runsOf("j")[0];
    Cell.LosesStops_ = true;
    drain(Cell, Cell.hostOf(Run));
    Cell.advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopsOf(Cell, "j"));
    Cell.endRun(Run, EndKind::Done);
    Cell.runFor(2s);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(Cell, "j"));
  }

  /// Guards against a task that waits for its run on a worker which drains
  /// between the start order and its arrival.
  void refusedStartOnADrainingWorkerIsRepeatedElsewhere() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.RefusesStarts_ = true;
    Cell.acceptJob("j", task(1s));
    Cell.advance();
    std::string Host;
    for (auto &[Name, Report] : Cell.Agents_)
      for (RefusedStart &Refusal : Report.Refused_) {
        Refusal.Kind_ = RefusalKind::Draining;
        Host = Name;
      }
    CPPUNIT_ASSERT(!Host.empty());
    Cell.RefusesStarts_ = false;
    drain(Cell, Host);
    Cell.runFor(300ms);
    expectMoved(Cell, "j", Host, 1);
  }

  /// Guards against a line, and a count of the metric, for each step while a
  /// worker drains.
  void decisionIsLoggedOnce() {
    FakeCell Cell;
    start(Cell, 2);
    Cell.StopCheckpoint_ = "saved";
    Cell.acceptJob("j", task(20s, true));
    Cell.advance();
    drain(Cell, hostOfOnlyRun(Cell, "j"));
    Cell.runFor(3s);
    CPPUNIT_ASSERT(decisions(Cell) ==
                   (std::vector<std::string>{"continue", "save_checkpoint"}));
    CPPUNIT_ASSERT(Cell.Departures_ ==
                   (std::vector{DepartureChoice::Continue,
                                DepartureChoice::SaveCheckpoint}));
  }

  /// Guards against partial gangs, starts on leaving workers and runs that are
  /// lost, when a tenth of the workers leave at 2 s notice while wide gangs and
  /// tasks with checkpoints fill the cell.
  void tenthOfTheWorkersLeavesUnderWideGangs() {
    for (unsigned Seed = 1; Seed <= 10; ++Seed) {
      constexpr int Workers = 60;
      std::mt19937 Random(Seed);
      FakeCell Cell;
      start(Cell, Workers);
      Cell.StopCheckpoint_ = "saved";
      for (int I = 0; I < 4; ++I)
        Cell.acceptJob("g" + std::to_string(I), gang(12, 20s));
      Cell.acceptJob("c", task(20s, true, 10));
      Cell.advance();
      CPPUNIT_ASSERT_EQUAL(std::size_t(10), Cell.runsOf("c").size());
      std::set<std::string> Leaving;
      while (Leaving.size() < Workers / 10)
        Leaving.insert("w" + std::to_string(Random() % Workers));
      for (const std::string &Host : Leaving)
        drain(Cell, Host);
      for (core::Duration Past(0); Past < 2s; Past += 50ms) {
        Cell.Orders_.clear();
        Cell.advance(50ms);
        for (const auto &[Host, Orders] : Cell.Orders_)
          CPPUNIT_ASSERT(Orders.Starts_.empty() || !Leaving.count(Host));
        for (int I = 0; I < 4; ++I) {
          const std::size_t Runs = Cell.runsOf("g" + std::to_string(I)).size();
          CPPUNIT_ASSERT(Runs == 0 || Runs == 12);
        }
      }
      for (const std::string &Host : Leaving)
        CPPUNIT_ASSERT(Cell.Agents_.at(Host).Running_.empty());
      // The other 54 workers hold the ten tasks and three of the gangs.
      CPPUNIT_ASSERT_EQUAL(std::size_t(10), Cell.runsOf("c").size());
      std::size_t Gangs = 0;
      for (int I = 0; I < 4; ++I)
        Gangs += Cell.runsOf("g" + std::to_string(I)).size() / 12;
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), Gangs);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VacateTest);
