#include "nutmegwell/cell/departure.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

namespace {

struct Case {
  const char *Name_;
  DepartingUnit Unit_;
  DepartureChoice Choice_;
  std::optional<core::Duration> DecideAgainIn_;
};

constexpr auto Continue = DepartureChoice::Continue;
constexpr auto SaveCheckpoint = DepartureChoice::SaveCheckpoint;
constexpr auto StartElsewhere = DepartureChoice::StartElsewhere;

/// With the default policy, a stop takes 1400 ms with its margin.
const Case Cases[] = {
    {"ends in time", {false, false, 1500ms, 2s}, Continue, {}},
    {"ends just in time", {false, false, 2s, 2s}, Continue, {}},
    {"ends too late", {false, false, 2001ms, 2s}, StartElsewhere, {}},
    {"no time left", {false, false, 1ms, 0s}, StartElsewhere, {}},
    {"unknown rest", {false, false, {}, 2s}, Continue, {}},
    {"unknown rest, no time left", {false, false, {}, 0s}, Continue, {}},
    {"saves, ends in time", {true, false, 2s, 2s}, Continue, 600ms},
    {"saves, ends in the margin", {true, false, 1s, 1400ms}, Continue, {}},
    {"saves, time for a stop is left", {true, false, 9s, 2s}, Continue, 600ms},
    {"saves, last time to stop", {true, false, 9s, 1400ms}, SaveCheckpoint, {}},
    {"saves, late notice", {true, false, 9s, 100ms}, SaveCheckpoint, {}},
    {"saves, no time left", {true, false, 9s, 0s}, SaveCheckpoint, {}},
    {"saves, unknown rest", {true, false, {}, 2s}, Continue, 600ms},
    {"saves, unknown rest, last",
     {true, false, {}, 1400ms},
     SaveCheckpoint,
     {}},
    {"long-running", {false, true, {}, 10min}, StartElsewhere, {}},
    {"long-running, saves", {true, true, {}, 10min}, StartElsewhere, {}},
    {"long-running, declared", {false, true, 1s, 2s}, StartElsewhere, {}},
};

rc::Gen<core::Duration> durations(core::Duration Max) {
  return rc::gen::map(rc::gen::inRange<std::int64_t>(0, Max.count() + 1),
                      [](std::int64_t Count) { return core::Duration(Count); });
}

DeparturePolicy anyPolicy() {
  DeparturePolicy Policy;
  Policy.StopTime_ = *durations(1s);
  Policy.OrderMargin_ = *durations(1s);
  return Policy;
}

/// Returns when a unit whose estimate stays right is stopped, in steps of
/// \p Step or as the decision asks; nothing when it ends or stays until its
/// worker has left.
std::optional<core::Duration> stopTime(const DeparturePolicy &Policy,
                                       DepartingUnit Unit,
                                       core::Duration Step) {
  core::Duration Elapsed(0);
  while (Unit.TimeLeft_ > core::Duration(0)) {
    std::optional<core::Duration> DecideAgainIn;
    if (chooseDeparture(Policy, Unit, DecideAgainIn) != Continue)
      return Elapsed;
    core::Duration Next = Step;
    if (DecideAgainIn)
      Next = std::min(Next, *DecideAgainIn);
    Next = std::min(Next, Unit.TimeLeft_);
    RC_ASSERT(Next > core::Duration(0));
    Elapsed += Next;
    Unit.TimeLeft_ -= Next;
    if (Unit.Rest_)
      Unit.Rest_ = std::max(core::Duration(0), *Unit.Rest_ - Next);
  }
  return std::nullopt;
}

} // namespace

class DepartureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureTest);
  CPPUNIT_TEST(decisionsFollowTheTable);
  CPPUNIT_TEST(unitThatEndsInTimeIsNeverStopped);
  CPPUNIT_TEST(checkpointIsSavedAsLateAsItCanBe);
  CPPUNIT_TEST(unitWithoutCheckpointIsStoppedAtOnce);
  CPPUNIT_TEST(longRunningUnitIsMovedAtOnce);
  CPPUNIT_TEST(unknownRestWithoutCheckpointsIsNotStopped);
  CPPUNIT_TEST(repeatedNoticeAddsNoTime);
  CPPUNIT_TEST(lowerFigureNeverExtendsTheStay);
  CPPUNIT_TEST(higherFigureExtendsTheStay);
  CPPUNIT_TEST(returnEndsTheNotice);
  CPPUNIT_TEST(restFollowsProgressBeforeTheDeclaredTime);
  CPPUNIT_TEST(stalledRunDoesNotAppearToEnd);
  CPPUNIT_TEST_SUITE_END();

  template <typename Property>
  static void check(const char *Name, Property Test) {
    CPPUNIT_ASSERT_MESSAGE(Name, rc::check(Name, Test));
  }

public:
  /// Guards against a decision at a boundary that differs from the rule.
  void decisionsFollowTheTable() {
    for (const Case &Row : Cases) {
      std::optional<core::Duration> DecideAgainIn = 1h;
      const DepartureChoice Choice =
          chooseDeparture(DeparturePolicy(), Row.Unit_, DecideAgainIn);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Row.Name_, std::string(name(Row.Choice_)),
                                   std::string(name(Choice)));
      CPPUNIT_ASSERT_MESSAGE(Row.Name_, DecideAgainIn == Row.DecideAgainIn_);
    }
  }

  /// Guards against work that is discarded although its worker stays until its
  /// end.
  void unitThatEndsInTimeIsNeverStopped() {
    check("a unit that ends in time is not stopped", [] {
      DepartingUnit Unit;
      Unit.Checkpoints_ = *rc::gen::arbitrary<bool>();
      Unit.TimeLeft_ = *durations(10s);
      Unit.Rest_ = *durations(Unit.TimeLeft_);
      RC_ASSERT(!stopTime(anyPolicy(), Unit, 100ms));
    });
  }

  /// Guards against a checkpoint that is lost with the worker, and against a
  /// stop that wastes time in which the unit could work.
  void checkpointIsSavedAsLateAsItCanBe() {
    check("a checkpoint is saved just before the worker leaves", [] {
      const DeparturePolicy Policy = anyPolicy();
      const core::Duration Needed = Policy.StopTime_ + Policy.OrderMargin_;
      DepartingUnit Unit;
      Unit.Checkpoints_ = true;
      Unit.TimeLeft_ = *durations(10s) + 1us;
      if (*rc::gen::arbitrary<bool>())
        Unit.Rest_ = Unit.TimeLeft_ + 1us + *durations(10s);
      RC_PRE(Needed > core::Duration(0));
      const auto At = stopTime(Policy, Unit, 100ms);
      RC_ASSERT(At.has_value());
      RC_ASSERT(*At == std::max(core::Duration(0), Unit.TimeLeft_ - Needed));
    });
  }

  /// Guards against a unit that continues work which is lost for certain.
  void unitWithoutCheckpointIsStoppedAtOnce() {
    check("a unit without checkpoints is stopped at once", [] {
      DepartingUnit Unit;
      Unit.TimeLeft_ = *durations(10s);
      Unit.Rest_ = Unit.TimeLeft_ + 1us + *durations(10s);
      std::optional<core::Duration> DecideAgainIn;
      RC_ASSERT(chooseDeparture(anyPolicy(), Unit, DecideAgainIn) ==
                StartElsewhere);
      RC_ASSERT(!DecideAgainIn);
    });
  }

  /// Guards against a long-running unit that waits for an end.
  void longRunningUnitIsMovedAtOnce() {
    check("a long-running unit is moved at once", [] {
      DepartingUnit Unit;
      Unit.LongRunning_ = true;
      Unit.Checkpoints_ = *rc::gen::arbitrary<bool>();
      Unit.TimeLeft_ = *durations(10s);
      if (*rc::gen::arbitrary<bool>())
        Unit.Rest_ = *durations(10s);
      std::optional<core::Duration> DecideAgainIn;
      RC_ASSERT(chooseDeparture(anyPolicy(), Unit, DecideAgainIn) ==
                StartElsewhere);
    });
  }

  /// Guards against work that is discarded without evidence that it would be
  /// lost.
  void unknownRestWithoutCheckpointsIsNotStopped() {
    check("a unit of unknown rest without checkpoints continues", [] {
      DepartingUnit Unit;
      Unit.TimeLeft_ = *durations(10s);
      RC_ASSERT(!stopTime(anyPolicy(), Unit, 100ms));
    });
  }

  /// Guards against a time left that starts anew with each report.
  void repeatedNoticeAddsNoTime() {
    const core::TimePoint Start{1000s};
    std::optional<DepartureNotice> Notice;
    for (core::Duration Past = 0ms; Past <= 3s; Past += 500ms)
      updateNotice(Notice, true, 2s, Start + Past);
    CPPUNIT_ASSERT(Notice->LeavesAt_ == Start + 2s);
    CPPUNIT_ASSERT(timeLeft(*Notice, Start + 500ms) == 1500ms);
    CPPUNIT_ASSERT(timeLeft(*Notice, Start + 3s) == 0s);
  }

  /// Guards against a delayed report that makes a worker appear to stay longer.
  void lowerFigureNeverExtendsTheStay() {
    const core::TimePoint Start{1000s};
    std::optional<DepartureNotice> Notice;
    updateNotice(Notice, true, 2s, Start);
    updateNotice(Notice, true, 1500ms, Start + 1s);
    CPPUNIT_ASSERT(Notice->LeavesAt_ == Start + 2s);
    updateNotice(Notice, true, 200ms, Start + 1100ms);
    CPPUNIT_ASSERT(Notice->LeavesAt_ == Start + 1300ms);
  }

  /// Guards against a stop for a departure that was put off.
  void higherFigureExtendsTheStay() {
    const core::TimePoint Start{1000s};
    std::optional<DepartureNotice> Notice;
    updateNotice(Notice, true, 2s, Start);
    updateNotice(Notice, true, 10s, Start + 1s);
    CPPUNIT_ASSERT(Notice->LeavesAt_ == Start + 11s);
  }

  /// Guards against a stop on a worker that drains no more, and against a later
  /// notice that counts from an earlier one.
  void returnEndsTheNotice() {
    const core::TimePoint Start{1000s};
    std::optional<DepartureNotice> Notice;
    updateNotice(Notice, true, 2s, Start);
    updateNotice(Notice, false, 0s, Start + 1s);
    CPPUNIT_ASSERT(!Notice);
    updateNotice(Notice, true, 2s, Start + 2s);
    CPPUNIT_ASSERT(Notice->LeavesAt_ == Start + 4s);
  }

  /// Guards against a declared time, off by a factor of two, that goes before
  /// the progress of the run.
  void restFollowsProgressBeforeTheDeclaredTime() {
    const DeparturePolicy Policy;
    CPPUNIT_ASSERT(expectedRest(Policy, {60, 0ms, 50ms, 20s}) == 2s);
    CPPUNIT_ASSERT(expectedRest(Policy, {60, 0ms, {}, 20s}) == 8s);
    CPPUNIT_ASSERT(expectedRest(Policy, {0, 0ms, {}, 20s}) == 20s);
    CPPUNIT_ASSERT(expectedRest(Policy, {60, 300ms, 50ms, 20s}) == 1700ms);
    CPPUNIT_ASSERT(expectedRest(Policy, {100, 0ms, {}, 20s}) == 0s);
    CPPUNIT_ASSERT(!expectedRest(Policy, {60, 0ms, {}, 0s}));
  }

  /// Guards against a run that stands still and is left to be lost, because the
  /// time that passes is taken for progress.
  void stalledRunDoesNotAppearToEnd() {
    CPPUNIT_ASSERT(expectedRest(DeparturePolicy(), {60, 1h, 50ms, 20s}) ==
                   1450ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureTest);
