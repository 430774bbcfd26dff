#include "nutmegwell/cell/reservation.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Reservations for gangs on workers whose runs end at known times.
class ReservationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReservationTest);
  CPPUNIT_TEST(earliestRackIsReserved);
  CPPUNIT_TEST(reservationAfterTheLatestTimeIsNotMade);
  CPPUNIT_TEST(tasksShareAWorker);
  CPPUNIT_TEST(partOfAWorkerSuffices);
  CPPUNIT_TEST(excludedWorkersAreNotReserved);
  CPPUNIT_TEST(spreadLimitHolds);
  CPPUNIT_TEST(overdrawnWorkerHasNoRoom);
  CPPUNIT_TEST(shortWorkBackfills);
  CPPUNIT_TEST(gangFitsAtTheReservedTimeAndNotBefore);
  CPPUNIT_TEST_SUITE_END();

  const core::TimePoint Start_{1000s};
  std::vector<PlacementTarget> Targets_;
  std::vector<ExpectedRelease> Releases_;
  jobs::JobSpec Spec_;

  void addWorker(const std::string &Rack, std::int64_t FreeAccelerators) {
    PlacementTarget Worker;
    Worker.Host_ = "w" + std::to_string(Targets_.size());
    Worker.Rack_ = Rack;
    Worker.Capacity_ = {64000, 131072, 8};
    Worker.Free_ = {64000, 131072, FreeAccelerators};
    Targets_.push_back(Worker);
  }

  void addRelease(std::size_t Target, std::int64_t Accelerators,
                  core::Duration In) {
    Releases_.push_back({Target, {0, 0, Accelerators}, Start_ + In});
  }

  PlacementRequest gang(std::uint32_t Count, std::int64_t Accelerators,
                        std::uint32_t Spread = 0) {
    Spec_ = jobs::JobSpecBuilder()
                .step(Count, {1000, 1000, Accelerators}, 2s)
                .gang(true)
                .spread(Spread)
                .build();
    PlacementRequest Request;
    Request.Step_ = &Spec_.Steps_[0];
    Request.Count_ = Count;
    return Request;
  }

  std::optional<Reservation> reserve(const PlacementRequest &Request,
                                     core::Duration Latest = 60s) const {
    return reserveForGang(Request, Targets_, Releases_, Start_ + Latest);
  }

  static void checkTargets(std::vector<std::size_t> Expected,
                           const std::optional<Reservation> &Found) {
    CPPUNIT_ASSERT(Found);
    std::vector<std::size_t> Actual = Found->Targets_;
    std::sort(Actual.begin(), Actual.end());
    CPPUNIT_ASSERT(Expected == Actual);
  }

  /// Applies the releases that come before \p End, or at it with \p Through.
  std::vector<PlacementTarget> targetsAt(core::TimePoint End,
                                         bool Through) const {
    std::vector<PlacementTarget> Targets = Targets_;
    for (const ExpectedRelease &Freed : Releases_)
      if (Freed.At_ < End || (Through && Freed.At_ == End))
        Targets[Freed.Target_].Free_ += Freed.Resources_;
    return Targets;
  }

public:
  /// Guards against a reservation on the rack where the first run ends instead
  /// of the one where the whole gang fits first.
  void earliestRackIsReserved() {
    for (const char *Rack : {"r0", "r0", "r1", "r1"})
      addWorker(Rack, 0);
    addRelease(0, 8, 1s);
    addRelease(1, 8, 5s);
    addRelease(2, 8, 3s);
    addRelease(3, 8, 4s);
    const auto Found = reserve(gang(2, 8));
    checkTargets({2, 3}, Found);
    CPPUNIT_ASSERT(Found->StartAt_ == Start_ + 4s);
  }

  /// Guards against idle workers for a gang whose result is worth nothing by
  /// then.
  void reservationAfterTheLatestTimeIsNotMade() {
    addWorker("r0", 0);
    addRelease(0, 8, 5s);
    CPPUNIT_ASSERT(!reserve(gang(1, 8), 4999ms));
    CPPUNIT_ASSERT(reserve(gang(1, 8), 5s));
  }

  /// Guards against one reserved worker for each task of a gang of small tasks.
  void tasksShareAWorker() {
    addWorker("r0", 0);
    addWorker("r0", 0);
    addRelease(0, 8, 2s);
    addRelease(1, 8, 1s);
    checkTargets({1, 1}, reserve(gang(2, 4)));
  }

  /// Guards against a wait for a worker to become entirely free.
  void partOfAWorkerSuffices() {
    addWorker("r0", 2);
    addRelease(0, 2, 1s);
    addRelease(0, 4, 9s);
    const auto Found = reserve(gang(1, 4));
    CPPUNIT_ASSERT(Found);
    CPPUNIT_ASSERT(Found->StartAt_ == Start_ + 1s);
  }

  /// Guards against a reservation on workers where the gang must not run.
  void excludedWorkersAreNotReserved() {
    addWorker("r0", 0);
    addWorker("r1", 0);
    Targets_[0].Excluded_ = true;
    addRelease(0, 8, 1s);
    addRelease(1, 8, 2s);
    checkTargets({1}, reserve(gang(1, 8)));
  }

  /// Guards against more tasks on a worker than the step allows.
  void spreadLimitHolds() {
    addWorker("r0", 0);
    addWorker("r0", 0);
    addRelease(0, 8, 1s);
    addRelease(1, 8, 2s);
    checkTargets({0, 1}, reserve(gang(2, 1, 1)));
  }

  /// Guards against room that urgent work is going to take: its worker is
  /// overdrawn until the stopped runs have ended.
  void overdrawnWorkerHasNoRoom() {
    addWorker("r0", -8);
    addRelease(0, 8, 1s);
    CPPUNIT_ASSERT(!reserve(gang(1, 1)));
    addRelease(0, 8, 2s);
    CPPUNIT_ASSERT(reserve(gang(1, 1))->StartAt_ == Start_ + 2s);
  }

  /// Guards against reserved workers that idle although short work would end in
  /// time, and against work that delays the gang.
  void shortWorkBackfills() {
    const Reservation Kept{{1, 2}, Start_ + 5s};
    CPPUNIT_ASSERT(mayBackfill(Kept, 1, Start_ + 5s));
    CPPUNIT_ASSERT(!mayBackfill(Kept, 1, Start_ + 5001ms));
    CPPUNIT_ASSERT(mayBackfill(Kept, 0, core::TimePoint::max()));
  }

  /// Guards against a reservation on which placement does not agree: the gang
  /// must fit on the reserved workers at that time, and nowhere before.
  void gangFitsAtTheReservedTimeAndNotBefore() {
    const bool Passed = rc::check("reservations agree with placement", [this] {
      Targets_.clear();
      Releases_.clear();
      const int Workers = *rc::gen::inRange(1, 9);
      for (int I = 0; I < Workers; ++I)
        addWorker("r" + std::to_string(I / 3), *rc::gen::inRange(0, 3));
      const int Runs = *rc::gen::inRange(0, 20);
      for (int I = 0; I < Runs; ++I)
        addRelease(static_cast<std::size_t>(*rc::gen::inRange(0, Workers)),
                   *rc::gen::inRange(1, 5),
                   std::chrono::seconds(*rc::gen::inRange(0, 6)));
      PlacementRequest Request =
          gang(static_cast<std::uint32_t>(*rc::gen::inRange(1, 5)),
               *rc::gen::inRange(1, 9),
               static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)));
      Request.AllowRemote_ = *rc::gen::arbitrary<bool>();
      const auto Found = reserve(Request, 4s);
      const core::TimePoint End = Found ? Found->StartAt_ : Start_ + 4s;
      auto Before = targetsAt(End, !Found);
      RC_ASSERT((Found && End == core::TimePoint()) ||
                !placeTasks(Request, Before));
      if (!Found)
        return;
      RC_ASSERT(Found->Targets_.size() == Request.Count_);
      auto Then = targetsAt(End, true);
      for (std::size_t I = 0; I < Then.size(); ++I)
        Then[I].Excluded_ =
            std::find(Found->Targets_.begin(), Found->Targets_.end(), I) ==
            Found->Targets_.end();
      RC_ASSERT(placeTasks(Request, Then).has_value());
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReservationTest);
