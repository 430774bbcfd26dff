#include "../src/control.h"
#include "nutmegwell/core/logevent.h"
#include "nutmegwell/metrics/quantiles.h"
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <stdexcept>
#include <utility>
#include <vector>

using namespace nutmegwell;
using namespace nutmegwell::sitehost;
using namespace std::chrono_literals;

namespace {

struct FakeEffects {
  std::vector<core::LogEvent> LogEvents_;
  core::TimePoint WakeAt_ = core::TimePoint::max();
};

} // namespace

class ControlTest : public CppUnit::TestFixture {
  metrics::Quantiles Waits_;
  metrics::Quantiles Steps_;

  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(failedEventDoesNotEndTheThread);
  CPPUNIT_TEST(failingStepDoesNotKeepTheThreadBusy);
  CPPUNIT_TEST(waitsAndStepsAreMeasured);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a process that ends because one message could not be
  /// applied.
  void failedEventDoesNotEndTheThread() {
    std::vector<std::string> Logged;
    std::promise<void> Done;
    ControlThread<FakeEffects> Control(
        core::steadyClock(), {Waits_, Steps_},
        [](core::TimePoint, FakeEffects &) {},
        [&](FakeEffects Out) {
          for (const core::LogEvent &Line : Out.LogEvents_)
            Logged.push_back(Line.Event_);
        });
    Control.post([](core::TimePoint, FakeEffects &) {
      throw std::out_of_range("unexpected");
    });
    Control.post([&](core::TimePoint, FakeEffects &) { Done.set_value(); });
    Control.start();
    Done.get_future().wait();
    Control.stop();
    CPPUNIT_ASSERT(Logged == std::vector<std::string>{"event_failed"});
  }

  /// Guards against a thread that spins on a step that always fails.
  void failingStepDoesNotKeepTheThreadBusy() {
    constexpr int Steps = 3;
    int Count = 0;
    std::vector<core::TimePoint> At;
    std::promise<void> Done;
    ControlThread<FakeEffects> Control(
        core::steadyClock(), {Waits_, Steps_},
        [&](core::TimePoint Now, FakeEffects &) {
          At.push_back(Now);
          if (++Count == Steps)
            Done.set_value();
          throw std::runtime_error("unexpected");
        },
        [](FakeEffects) {});
    Control.start();
    Done.get_future().wait();
    Control.stop();
    CPPUNIT_ASSERT(At[Steps - 1] - At[1] >= FailedStepPause);
  }

  /// Guards against a late control thread that no metric shows.
  void waitsAndStepsAreMeasured() {
    core::TimePoint Now{1s};
    std::promise<void> Done;
    bool First = true;
    ControlThread<FakeEffects> Control(
        {[&] { return Now; }}, {Waits_, Steps_},
        [&](core::TimePoint, FakeEffects &) {},
        [&](FakeEffects) {
          if (std::exchange(First, false))
            Done.set_value();
        });
    Control.post([&](core::TimePoint, FakeEffects &Out) {
      Now += 30ms;
      Out.WakeAt_ = core::TimePoint::max();
    });
    Now += 200ms;
    Control.start();
    Done.get_future().wait();
    Control.stop();
    CPPUNIT_ASSERT(Waits_.summary(Now).Sum_ == 200ms);
    CPPUNIT_ASSERT(Steps_.summary(Now).Sum_ == 30ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);
