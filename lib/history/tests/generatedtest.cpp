#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

namespace {

/// RapidCheck reads its seed from the environment and prints it; an own value
/// of RC_PARAMS takes precedence.
const int SeedIsSet = setenv("RC_PARAMS", "seed=4211 max_success=300", 0);

constexpr std::chrono::milliseconds Length = 60s;

/// Drawn at the full size, since RapidCheck begins with the smallest values.
int number(int From, int To) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, To + 1));
}

std::chrono::milliseconds moment(std::chrono::milliseconds From,
                                 std::chrono::milliseconds To) {
  return std::chrono::milliseconds(
      number(static_cast<int>(From.count()), static_cast<int>(To.count())));
}

/// Returns a run that keeps every rule, with times and counts at random.
std::vector<Event> keptRun() {
  std::vector<Event> Run;
  const int Calls = number(1, 6);
  for (int I = 0; I < Calls; ++I) {
    const std::string Id = std::to_string(I);
    const core::Duration From = moment(0ms, Length / 2);
    const core::Duration To = From + 2ms + moment(0ms, 3s);
    const bool Keyed = *rc::gen::arbitrary<bool>();
    Run = Run + call(Id, Keyed ? "key " + Id : "", From, To);
  }
  const int Jobs = number(1, 4);
  for (int J = 0; J < Jobs; ++J) {
    core::Duration From = moment(0ms, 1s);
    for (std::uint32_t Attempt = 1; Attempt <= 3; ++Attempt) {
      const core::Duration To = From + 5ms + moment(0ms, 9s);
      Run = Run + gang("job " + std::to_string(J), Attempt, From, To);
      From = To + moment(0ms, 500ms);
    }
  }
  core::Duration Accepted{};
  for (std::uint64_t Version = 1; Version <= 4; ++Version) {
    Accepted += moment(1ms, 9s);
    Run.push_back(at(Accepted, ConfigAccepted{"routes", Version, "d"}));
    for (const char *Process : {"e1", "e2"})
      Run.push_back(at(Accepted + moment(0ms, 1ms),
                       ConfigObserved{"routes", Version, "d"}, Process));
  }
  Run.push_back(at(1ms, GuaranteeRequested{"c", "b", {8, 8, 0}}));
  Run.push_back(at(1ms + moment(0ms, 30s), GuaranteeObtained{"c", {8, 8, 0}}));
  Run.push_back(at(Length, StopBegun(), "e1"));
  Run.push_back(at(Length + moment(0ms, 500ms), StopEnded(), "e1"));
  return Run;
}

struct Break {
  const char *Rule_;
  std::vector<Event> Events_;
};

/// Returns events that break one rule of any run that keptRun returns.
Break someBreak() {
  const core::Duration When = moment(0ms, Length / 2);
  const std::vector<Break> Breaks{
      {"guarantee-reclaim",
       {at(When, GuaranteeRequested{"d", "b", {2, 2, 0}}),
        at(When + 30001ms + moment(0ms, 99ms),
           GuaranteeObtained{"d", {2, 2, 0}})}},
      {"gang-atomic",
       {at(Length, AttemptCommitted{"p", 1, number(2, 9) + 0u}),
        at(Length, TaskStarted{"p", 1, 0, "w", "b"}),
        at(Length + 15001ms + moment(0ms, 99ms),
           TaskStopped{"p", 1, 0, false})}},
      {"gang-atomic", gang("q", 1, When, When + 50ms) +
                          gang("q", 2, When + moment(5ms, 47ms), When + 99ms)},
      {"domain-out",
       std::vector<Event>{at(When, DomainOut{"a"})} +
           gang("o", 1, When + 3s + moment(0ms, 99ms), Length * 2)},
      {"own-answer",
       {at(When, CallInvoked{"x", "", "e2", true}),
        at(When + 1ms, ExecutionBegun{"x", "", "u2", "d"}),
        at(When + 2ms + moment(0ms, 99ms), CallAnswered{"x", "digest 0"})}},
      {"true-refusal",
       {at(When, CallInvoked{"x", "", "e2", true}),
        at(When + moment(0ms, 99ms), CallRefused{"x", "busy"}),
        at(When + moment(0ms, 99ms), ExecutionBegun{"x", "", "u2", "d"})}},
      {"at-most-once",
       call("x", "k", When, When + 5ms + moment(0ms, 99ms)) +
           call("y", "k", When + moment(0ms, 99ms), When + 200ms)},
      {"upstream-leave",
       std::vector<Event>{at(When, UpstreamLeaving{"u1"})} +
           call("x", "", When + 3s + moment(0ms, 99ms), When + 4s)},
      {"graceful-stop",
       {at(When, CallInvoked{"x", "", "e1", true}),
        at(Length + moment(1ms, 99ms), CallUnknown{"x", "silent", true})}},
      {"config-monotonic",
       {at(Length, ConfigObserved{"routes", 0u + number(0, 3), "d"}, "e1")}}};
  return *rc::gen::elementOf(Breaks);
}

} // namespace

class GeneratedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GeneratedTest);
  CPPUNIT_TEST(keptRunsAreAccepted);
  CPPUNIT_TEST(breaksAreFound);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a verdict that depends on times or on other events.
  void keptRunsAreAccepted() {
    CPPUNIT_ASSERT(rc::check("runs that keep every rule", [] {
      const History Run = makeHistory(keptRun(), true);
      const std::string Text = describe(Run, checkAll(Run, Bounds()));
      RC_ASSERT(Text == std::string());
    }));
  }

  /// Guards against a break that hides among events that keep the rules.
  void breaksAreFound() {
    CPPUNIT_ASSERT(rc::check("one break in a run", [] {
      const Break Wrong = someBreak();
      const History Run = makeHistory(keptRun() + Wrong.Events_, true);
      bool Found = false;
      for (const Violation &Each : checkAll(Run, Bounds()))
        Found |= Each.Rule_ == Wrong.Rule_;
      RC_TAG(std::string(Wrong.Rule_));
      RC_ASSERT(Found);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GeneratedTest);
