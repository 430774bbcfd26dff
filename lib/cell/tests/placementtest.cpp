#include "nutmegwell/cell/placement.h"
#include "nutmegwell/cell/preempt.h"
#include "nutmegwell/cell/workerhealth.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(smallTasksFillOneRackFirst);
  CPPUNIT_TEST(gangPrefersOneRack);
  CPPUNIT_TEST(gangLeavesItsRackOnlyWhenAllowed);
  CPPUNIT_TEST(tasksStayNearTheirData);
  CPPUNIT_TEST(spreadLimitHolds);
  CPPUNIT_TEST(requiredLabelHolds);
  CPPUNIT_TEST(failedPlacementTakesNoResources);
  CPPUNIT_TEST(failingWorkersComeLast);
  CPPUNIT_TEST(cheapestVictimsAreChosen);
  CPPUNIT_TEST(urgentTaskDiscardsLeastWork);
  CPPUNIT_TEST(urgentGangPreemptsTheRackWithLeastWork);
  CPPUNIT_TEST(noVictimsWhenNoneSuffice);
  CPPUNIT_TEST(quarantineDoublesWithEachFailure);
  CPPUNIT_TEST_SUITE_END();

  /// Returns six idle workers, three on each of the racks "r0" and "r1".
  static std::vector<PlacementTarget> twoRacks() {
    std::vector<PlacementTarget> Targets;
    for (int I = 0; I < 6; ++I) {
      PlacementTarget Worker;
      Worker.Host_ = "w" + std::to_string(I);
      Worker.Rack_ = "r" + std::to_string(I / 3);
      Worker.Labels_ = {I == 4 ? "b" : "a", Worker.Rack_};
      Worker.Free_ = {64000, 131072, 8};
      Targets.push_back(Worker);
    }
    return Targets;
  }

  static jobs::StepSpec step(std::int64_t Accelerators) {
    jobs::StepSpec Step;
    Step.PerTask_ = {1000, 1000, Accelerators};
    return Step;
  }

  static PlacementRequest request(const jobs::StepSpec &Step,
                                  std::uint32_t Count) {
    PlacementRequest Request;
    Request.Step_ = &Step;
    Request.Count_ = Count;
    return Request;
  }

public:
  /// Guards against fragmented racks, on which wide gangs do not fit: 9 tasks
  /// of one accelerator on two racks must leave the other rack free.
  void smallTasksFillOneRackFirst() {
    std::vector<PlacementTarget> Targets = twoRacks();
    Targets[4].Free_.Accelerators_ = 7;
    const jobs::StepSpec Step = step(1);
    for (int I = 0; I < 9; ++I)
      CPPUNIT_ASSERT(placeTasks(request(Step, 1), Targets));
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT_EQUAL(std::int64_t(8), Targets[I].Free_.Accelerators_);
  }

  /// Guards against a gang that is spread over racks although one rack holds
  /// it.
  void gangPrefersOneRack() {
    std::vector<PlacementTarget> Targets = twoRacks();
    Targets[0].Free_.Accelerators_ = 4;
    jobs::StepSpec Step = step(8);
    Step.Gang_ = Step.SameRack_ = true;
    const auto Chosen = placeTasks(request(Step, 3), Targets);
    CPPUNIT_ASSERT(Chosen);
    for (std::size_t I : *Chosen)
      CPPUNIT_ASSERT_EQUAL(std::string("r1"), Targets[I].Rack_);
  }

  /// Guards against a gang across racks before the caller accepts the slowdown,
  /// and against none afterwards.
  void gangLeavesItsRackOnlyWhenAllowed() {
    std::vector<PlacementTarget> Targets = twoRacks();
    jobs::StepSpec Step = step(8);
    Step.Gang_ = Step.SameRack_ = true;
    PlacementRequest Request = request(Step, 4);
    CPPUNIT_ASSERT(!placeTasks(Request, Targets));
    Request.AllowRemote_ = true;
    CPPUNIT_ASSERT(placeTasks(Request, Targets));
  }

  /// Guards against a better fit that wins over a worker near the data.
  void tasksStayNearTheirData() {
    std::vector<PlacementTarget> Targets = twoRacks();
    Targets[0].Free_.Accelerators_ = 1;
    jobs::StepSpec Step = step(1);
    Step.DataRack_ = "r1";
    const auto Chosen = placeTasks(request(Step, 1), Targets);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), Targets[Chosen->at(0)].Rack_);
  }

  /// Guards against more tasks of a step on a worker than its spread limit.
  void spreadLimitHolds() {
    std::vector<PlacementTarget> Targets = twoRacks();
    jobs::StepSpec Step = step(1);
    Step.SpreadLimit_ = 2;
    CPPUNIT_ASSERT(!placeTasks(request(Step, 13), Targets));
    CPPUNIT_ASSERT(placeTasks(request(Step, 12), Targets));
    for (const PlacementTarget &Worker : Targets)
      CPPUNIT_ASSERT_EQUAL(2u, Worker.StepTaskCount_);
  }

  /// Guards against tasks on workers without the required label.
  void requiredLabelHolds() {
    std::vector<PlacementTarget> Targets = twoRacks();
    jobs::StepSpec Step = step(1);
    Step.RequiredLabel_ = "b";
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         placeTasks(request(Step, 1), Targets)->at(0));
    Step.RequiredLabel_ = "c";
    CPPUNIT_ASSERT(!placeTasks(request(Step, 1), Targets));
  }

  /// Guards against resources that stay taken when only a part of a gang fits.
  void failedPlacementTakesNoResources() {
    std::vector<PlacementTarget> Targets = twoRacks();
    const jobs::StepSpec Step = step(8);
    CPPUNIT_ASSERT(!placeTasks(request(Step, 7), Targets));
    CPPUNIT_ASSERT(placeTasks(request(Step, 6), Targets));
  }

  /// Guards against new tasks for a failing worker while a healthy one is free.
  void failingWorkersComeLast() {
    std::vector<PlacementTarget> Targets = twoRacks();
    for (int I = 0; I < 5; ++I)
      Targets[I].FailureScore_ = 1;
    const jobs::StepSpec Step = step(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5),
                         placeTasks(request(Step, 1), Targets)->at(0));
  }

  static Victim victim(int Priority, double Loss, std::size_t Worker) {
    Victim Entry;
    Entry.Priority_ = Priority;
    Entry.LostWork_ = Loss;
    Entry.FreedResources_.emplace_back(Worker, jobs::Resources{0, 0, 8});
    return Entry;
  }

  /// Guards against work that is discarded without need.
  void cheapestVictimsAreChosen() {
    std::vector<PlacementTarget> Targets = twoRacks();
    for (PlacementTarget &Worker : Targets)
      Worker.Free_.Accelerators_ = 0;
    const jobs::StepSpec Step = step(8);
    const std::vector<Victim> All = {victim(1, 1, 0), victim(2, 50, 1),
                                     victim(2, 10, 2)};
    const auto Chosen = chooseVictims(request(Step, 1), Targets, All);
    CPPUNIT_ASSERT(Chosen == std::vector<std::size_t>{2});
  }

  /// Guards against preempting many small runs where one large run costs less:
  /// eight small ones have each done less, but together more.
  void urgentTaskDiscardsLeastWork() {
    std::vector<PlacementTarget> Targets = twoRacks();
    for (PlacementTarget &Worker : Targets)
      Worker.Free_.Accelerators_ = 0;
    std::vector<Victim> All;
    for (int I = 0; I < 8; ++I) {
      All.push_back(victim(2, 5, 1));
      All.back().FreedResources_[0].second.Accelerators_ = 1;
    }
    All.push_back(victim(2, 30, 0));
    const jobs::StepSpec Step = step(8);
    CPPUNIT_ASSERT(chooseVictims(request(Step, 1), Targets, All) ==
                   std::vector<std::size_t>{8});
  }

  /// Guards against a choice by single runs for a gang that must share a rack:
  /// the rack with the least work done in total is preempted, although the
  /// cheapest single runs are elsewhere.
  void urgentGangPreemptsTheRackWithLeastWork() {
    std::vector<PlacementTarget> Targets = twoRacks();
    for (PlacementTarget &Worker : Targets)
      Worker.Free_.Accelerators_ = 0;
    const std::vector<Victim> All = {victim(2, 1, 0),  victim(2, 1, 1),
                                     victim(2, 90, 2), victim(2, 20, 3),
                                     victim(2, 20, 4), victim(2, 20, 5)};
    jobs::StepSpec Step = step(8);
    Step.Gang_ = Step.SameRack_ = true;
    CPPUNIT_ASSERT(chooseVictims(request(Step, 3), Targets, All) ==
                   (std::vector<std::size_t>{3, 4, 5}));
  }

  /// Guards against stops that do not make the request fit.
  void noVictimsWhenNoneSuffice() {
    std::vector<PlacementTarget> Targets = twoRacks();
    for (PlacementTarget &Worker : Targets)
      Worker.Free_.Accelerators_ = 0;
    const jobs::StepSpec Step = step(8);
    CPPUNIT_ASSERT(
        chooseVictims(request(Step, 2), Targets, {victim(2, 1, 0)}).empty());
  }

  /// Guards against a worker that fails every task it gets, and against one
  /// that never gets another task after a quarantine.
  void quarantineDoublesWithEachFailure() {
    const QuarantinePolicy Policy;
    WorkerHealth Worker;
    core::TimePoint Now(1000s);
    auto Fail = [&](core::TimePoint At) {
      recordFailure(Worker, {"j", 0}, At);
      updateQuarantine(Worker, Policy, {});
      return isOnProbation(Worker, Policy);
    };
    CPPUNIT_ASSERT(!Fail(Now));
    CPPUNIT_ASSERT(!isQuarantined(Worker, Policy, Now));
    CPPUNIT_ASSERT(!isOpenProbe(Worker, Policy, Now, true, Now));
    CPPUNIT_ASSERT(Fail(Now));
    CPPUNIT_ASSERT(isQuarantined(Worker, Policy, Now + 2999ms));
    CPPUNIT_ASSERT(!isQuarantined(Worker, Policy, Now + 3s));
    CPPUNIT_ASSERT(isOpenProbe(Worker, Policy, Now + 3s, true, Now + 3s));
    Fail(Now + 3s);
    CPPUNIT_ASSERT(isQuarantined(Worker, Policy, Now + 8s));
    recordSuccess(Worker);
    CPPUNIT_ASSERT(!isQuarantined(Worker, Policy, Now + 8s));
    CPPUNIT_ASSERT(!isOpenProbe(Worker, Policy, Now + 8s, true, Now + 8s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
