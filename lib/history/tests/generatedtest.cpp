#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

namespace {

/// RapidCheck reads its seed from the environment and prints it; an own value
/// of RC_PARAMS takes precedence.
const int SeedIsSet = setenv("RC_PARAMS", "seed=4211 max_success=300", 0);

constexpr int Length = 60000;

/// Drawn at the full size, since RapidCheck begins with the smallest values.
int moment(int From, int To) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, To + 1));
}

/// Returns a run that keeps every rule, with times and counts at random.
std::vector<Event> keptRun() {
  std::vector<Event> Run;
  const int Calls = moment(1, 6);
  for (int I = 0; I < Calls; ++I) {
    const std::string Id = std::to_string(I);
    const int From = moment(0, Length / 2);
    const int To = From + 2 + moment(0, 3000);
    const bool Keyed = *rc::gen::arbitrary<bool>();
    Run = Run + call(Id, Keyed ? "key " + Id : "", From, To);
  }
  const int Jobs = moment(1, 4);
  for (int J = 0; J < Jobs; ++J) {
    int From = moment(0, 1000);
    for (std::uint32_t Attempt = 1; Attempt <= 3; ++Attempt) {
      const int To = From + 5 + moment(0, 9000);
      Run = Run + gang("job " + std::to_string(J), Attempt, From, To);
      From = To + moment(0, 500);
    }
  }
  int Accepted = 0;
  for (std::uint64_t Version = 1; Version <= 4; ++Version) {
    Accepted += moment(1, 9000);
    Run.push_back(at(Accepted, ConfigAccepted{"routes", Version, "d"}));
    for (const char *Process : {"e1", "e2"})
      Run.push_back(at(Accepted + moment(0, 1),
                       ConfigObserved{"routes", Version, "d"}, Process));
  }
  Run.push_back(at(1, GuaranteeRequested{"c", "b", {8, 8, 0}}));
  Run.push_back(at(1 + moment(0, 30000), GuaranteeObtained{"c", {8, 8, 0}}));
  Run.push_back(at(Length, StopBegun(), "e1"));
  Run.push_back(at(Length + moment(0, 500), StopEnded(), "e1"));
  return Run;
}

struct Break {
  const char *Rule_;
  std::vector<Event> Events_;
};

/// Returns events that break one rule of any run that keptRun returns.
Break someBreak() {
  const int When = moment(0, Length / 2);
  const std::vector<Break> Breaks{
      {"guarantee-reclaim",
       {at(When, GuaranteeRequested{"d", "b", {2, 2, 0}}),
        at(When + 30001 + moment(0, 99), GuaranteeObtained{"d", {2, 2, 0}})}},
      {"gang-atomic",
       {at(Length, AttemptCommitted{"p", 1, moment(2, 9) + 0u}),
        at(Length, TaskStarted{"p", 1, 0, "w", "b"}),
        at(Length + 15001 + moment(0, 99), TaskStopped{"p", 1, 0, false})}},
      {"gang-atomic", gang("q", 1, When, When + 50) +
                          gang("q", 2, When + moment(5, 47), When + 99)},
      {"domain-out", std::vector<Event>{at(When, DomainOut{"a"})} +
                         gang("o", 1, When + 3000 + moment(0, 99), Length * 2)},
      {"own-answer",
       {at(When, CallInvoked{"x", "", "e2", true}),
        at(When + 1, ExecutionBegun{"x", "", "u2", "d"}),
        at(When + 2 + moment(0, 99), CallAnswered{"x", "digest 0"})}},
      {"true-refusal",
       {at(When, CallInvoked{"x", "", "e2", true}),
        at(When + moment(0, 99), CallRefused{"x", "busy"}),
        at(When + moment(0, 99), ExecutionBegun{"x", "", "u2", "d"})}},
      {"at-most-once", call("x", "k", When, When + 5 + moment(0, 99)) +
                           call("y", "k", When + moment(0, 99), When + 200)},
      {"upstream-leave",
       std::vector<Event>{at(When, UpstreamLeaving{"u1"})} +
           call("x", "", When + 3000 + moment(0, 99), When + 4000)},
      {"graceful-stop",
       {at(When, CallInvoked{"x", "", "e1", true}),
        at(Length + moment(1, 99), CallUnknown{"x", "silent", true})}},
      {"config-monotonic",
       {at(Length, ConfigObserved{"routes", 0u + moment(0, 3), "d"}, "e1")}}};
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
