#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

namespace {

/// RapidCheck reads its parameters from RC_PARAMS and prints the seed. A value
/// that is already set in the environment takes precedence.
const int SeedIsSet = setenv("RC_PARAMS", "seed=4211 max_success=300", 0);

constexpr std::chrono::milliseconds Length = 60s;

/// Returns a random number in [From, To]. Draws at the nominal size, since
/// RapidCheck begins with small sizes, which give only the smallest values.
int randomNumber(int From, int To) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, To + 1));
}

std::chrono::milliseconds randomTime(std::chrono::milliseconds From,
                                     std::chrono::milliseconds To) {
  return std::chrono::milliseconds(randomNumber(static_cast<int>(From.count()),
                                                static_cast<int>(To.count())));
}

/// Returns a run that satisfies every rule, with random times and counts.
std::vector<Event> validRun() {
  std::vector<Event> Run;
  const int Calls = randomNumber(1, 6);
  for (int I = 0; I < Calls; ++I) {
    const std::string Id = std::to_string(I);
    const core::Duration From = randomTime(0ms, Length / 2);
    const core::Duration To = From + 2ms + randomTime(0ms, 3s);
    const bool Keyed = *rc::gen::arbitrary<bool>();
    Run = Run + call(Id, Keyed ? "key " + Id : "", From, To);
  }
  const int Jobs = randomNumber(1, 4);
  for (int J = 0; J < Jobs; ++J) {
    core::Duration From = randomTime(0ms, 1s);
    for (std::uint32_t Attempt = 1; Attempt <= 3; ++Attempt) {
      const core::Duration To = From + 5ms + randomTime(0ms, 9s);
      Run = Run + gang("job " + std::to_string(J), Attempt, From, To);
      From = To + randomTime(0ms, 500ms);
    }
  }
  core::Duration Accepted{};
  for (std::uint64_t Version = 1; Version <= 4; ++Version) {
    Accepted += randomTime(1ms, 9s);
    Run.push_back(at(Accepted, ConfigAccepted{"routes", Version, "d"}));
    for (const char *Process : {"e1", "e2"})
      Run.push_back(at(Accepted + randomTime(0ms, 1ms),
                       ConfigObserved{"routes", Version, "d"}, Process));
  }
  Run.push_back(at(1ms, GuaranteeRequested{"c", "b", {8, 8, 0}}));
  Run.push_back(
      at(1ms + randomTime(0ms, 30s), GuaranteeObtained{"c", {8, 8, 0}}));
  Run.push_back(at(Length, StopBegun(), "e1"));
  Run.push_back(at(Length + randomTime(0ms, 500ms), StopEnded(), "e1"));
  return Run;
}

/// Events that violate the rule named Rule_.
struct InjectedViolation {
  const char *Rule_;
  std::vector<Event> Events_;
};

/// Returns events that violate one rule when they are added to a run that
/// validRun returns.
InjectedViolation randomViolation() {
  const core::Duration Time = randomTime(0ms, Length / 2);
  const std::vector<InjectedViolation> Candidates{
      {"guarantee-reclaim",
       {at(Time, GuaranteeRequested{"d", "b", {2, 2, 0}}),
        at(Time + 30001ms + randomTime(0ms, 99ms),
           GuaranteeObtained{"d", {2, 2, 0}})}},
      {"gang-atomic",
       {at(Length, AttemptCommitted{"p", 1, randomNumber(2, 9) + 0u}),
        at(Length, TaskStarted{"p", 1, 0, "w", "b"}),
        at(Length + 15001ms + randomTime(0ms, 99ms),
           TaskStopped{"p", 1, 0, false})}},
      {"gang-atomic",
       gang("q", 1, Time, Time + 50ms) +
           gang("q", 2, Time + randomTime(5ms, 47ms), Time + 99ms)},
      {"domain-out",
       std::vector<Event>{at(Time, DomainOut{"a"})} +
           gang("o", 1, Time + 3s + randomTime(0ms, 99ms), Length * 2)},
      {"own-answer",
       {at(Time, CallInvoked{"x", "", "e2", true}),
        at(Time + 1ms, ExecutionBegun{"x", "", "u2", "d"}),
        at(Time + 2ms + randomTime(0ms, 99ms), CallAnswered{"x", "digest 0"})}},
      {"true-refusal",
       {at(Time, CallInvoked{"x", "", "e2", true}),
        at(Time + randomTime(0ms, 99ms), CallRefused{"x", "busy"}),
        at(Time + randomTime(0ms, 99ms), ExecutionBegun{"x", "", "u2", "d"})}},
      {"at-most-once",
       call("x", "k", Time, Time + 5ms + randomTime(0ms, 99ms)) +
           call("y", "k", Time + randomTime(0ms, 99ms), Time + 200ms)},
      {"upstream-leave",
       std::vector<Event>{at(Time, UpstreamLeaving{"u1"})} +
           call("x", "", Time + 3s + randomTime(0ms, 99ms), Time + 4s)},
      {"graceful-stop",
       {at(Time, CallInvoked{"x", "", "e1", true}),
        at(Length + randomTime(1ms, 99ms), CallUnknown{"x", "silent", true})}},
      {"config-monotonic",
       {at(Length, ConfigObserved{"routes", 0u + randomNumber(0, 3), "d"},
           "e1")}}};
  return *rc::gen::elementOf(Candidates);
}

} // namespace

class GeneratedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GeneratedTest);
  CPPUNIT_TEST(validRunsAreAccepted);
  CPPUNIT_TEST(violationsAreDetected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a rule that rejects a valid run, depending on the times or
  /// on unrelated events.
  void validRunsAreAccepted() {
    CPPUNIT_ASSERT(rc::check("runs that keep every rule", [] {
      const History Run = makeHistory(validRun(), true);
      const std::string Text = describe(Run, checkAll(Run, Bounds()));
      RC_ASSERT(Text == std::string());
    }));
  }

  /// Guards against a violation that goes undetected among valid events.
  void violationsAreDetected() {
    CPPUNIT_ASSERT(rc::check("one break in a run", [] {
      const InjectedViolation Injected = randomViolation();
      const History Run = makeHistory(validRun() + Injected.Events_, true);
      bool Found = false;
      for (const Violation &Each : checkAll(Run, Bounds()))
        Found |= Each.Rule_ == Injected.Rule_;
      RC_TAG(std::string(Injected.Rule_));
      RC_ASSERT(Found);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GeneratedTest);
