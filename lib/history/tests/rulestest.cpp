#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

namespace {

using Events = std::vector<Event>;

/// Fails when checkAll reports a violation in \p Run.
void expectNoViolation(Events Run) {
  const History Full = makeHistory(std::move(Run), true);
  CPPUNIT_ASSERT_EQUAL(std::string(), describe(Full, checkAll(Full, Bounds())));
}

/// Fails unless checkAll reports violations of \p Rule and of no other rule in
/// \p Run.
void expectViolation(const std::string &Rule, Events Run) {
  const History Full = makeHistory(std::move(Run), true);
  const Violations Found = checkAll(Full, Bounds());
  CPPUNIT_ASSERT_MESSAGE(Rule + " was not reported as violated",
                         !Found.empty());
  for (const Violation &Each : Found) {
    CPPUNIT_ASSERT_EQUAL(Rule, Each.Rule_);
    CPPUNIT_ASSERT(!Each.Events_.empty());
  }
}

} // namespace

// Each test guards against a rule that misses a violation or that rejects a
// valid run.

class GuaranteeReclaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GuaranteeReclaimTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST(borrowerStopsFirst);
  CPPUNIT_TEST_SUITE_END();

  static Event requested() {
    return at(0ms, GuaranteeRequested{"c", "a", {8, 4, 1}});
  }
  static Event obtained(core::Duration At, GuaranteeShape Shape) {
    return at(At, GuaranteeObtained{"c", Shape});
  }

  void violationsAreReported() {
    expectNoViolation({requested(), obtained(30s, {8, 4, 1})});
    expectNoViolation({requested(), obtained(1ms, {9, 8, 0})});
    expectNoViolation({requested(), at(1ms, GuaranteeWithdrawn{"c"}),
                       obtained(40s, {8, 4, 1})});
    expectNoViolation(
        {requested(), at(5ms, DomainOut{"a"}), obtained(40s, {8, 4, 1})});
    expectNoViolation(
        {requested(), at(30s, StopBegun()), at(30s, StopEnded())});
    expectViolation("guarantee-reclaim",
                    {requested(), obtained(30001ms, {8, 4, 1})});
    expectViolation("guarantee-reclaim",
                    {requested(), obtained(1ms, {7, 4, 1})});
    expectViolation("guarantee-reclaim",
                    {requested(), obtained(1ms, {8, 2, 1})});
    expectViolation("guarantee-reclaim",
                    {requested(), obtained(1ms, {8, 4, 2})});
    expectViolation("guarantee-reclaim",
                    {requested(), at(30001ms, PermitGranted{"w"})});
    expectViolation("guarantee-reclaim",
                    {requested(), at(30001ms, GuaranteeWithdrawn{"c"})});
    expectViolation("guarantee-reclaim",
                    {requested(), at(30001ms, DomainOut{"a"})});
    expectViolation("guarantee-reclaim", {requested(), at(5ms, DomainOut{"b"}),
                                          obtained(40s, {8, 4, 1})});
  }

  void borrowerStopsFirst() {
    const std::vector<Event> Blocked = {
        at(100ms, GuaranteeBlocked{"c", "j", 1})};
    // Only the first attempt of the borrower occupies the accelerators; its
    // second attempt may run.
    expectNoViolation(gang("j", 1, 0ms, 200ms) + gang("c", 1, 200ms, 400ms) +
                      Blocked);
    expectNoViolation(gang("j", 1, 0ms, 200ms) + gang("j", 2, 200ms, 400ms) +
                      gang("c", 1, 210ms, 300ms) + Blocked);
    expectNoViolation(gang("k", 1, 0ms, 400ms) + gang("c", 1, 200ms, 400ms) +
                      Blocked);
    // The last task of the borrower stops at 199 ms; the first task of c starts
    // at 198 ms.
    expectViolation("guarantee-reclaim", gang("j", 1, 0ms, 200ms) +
                                             gang("c", 1, 197ms, 400ms) +
                                             Blocked);
  }
};

class GangAtomicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangAtomicTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST(overlappingAttempts);
  CPPUNIT_TEST_SUITE_END();

  static Event commit() { return at(0ms, AttemptCommitted{"j", 1, 2}); }
  static Event start(core::Duration At, std::uint32_t Task) {
    return at(At, TaskStarted{"j", 1, Task, "w1", "a"});
  }
  static Event stop(core::Duration At, std::uint32_t Task, bool Done = false) {
    return at(At, TaskStopped{"j", 1, Task, Done});
  }

  void violationsAreReported() {
    expectNoViolation(gang("j", 1, 0ms, 100s));
    expectNoViolation({commit(), start(1ms, 0), start(5001ms, 1)});
    expectNoViolation({commit(), start(1ms, 0), stop(15001ms, 0)});
    expectNoViolation(
        {commit(), start(1ms, 0), start(2ms, 1), stop(50s, 0), stop(65s, 1)});
    expectNoViolation({commit(), start(1ms, 0), start(2ms, 1),
                       stop(50s, 0, true), stop(90s, 1, true)});
    expectViolation("gang-atomic", {commit(), start(1ms, 0), start(5002ms, 1)});
    expectViolation("gang-atomic", {commit(), start(1ms, 0), stop(15002ms, 0)});
    expectViolation("gang-atomic",
                    {commit(), start(1ms, 0), at(15002ms, StopBegun()),
                     at(15002ms, StopEnded())});
    expectViolation("gang-atomic", {commit(), start(1ms, 0), start(2ms, 1),
                                    stop(50s, 0), stop(65001ms, 1)});
    expectViolation("gang-atomic", {start(1ms, 0), stop(2ms, 0)});
    expectViolation("gang-atomic",
                    {commit(), at(1ms, AttemptCommitted{"j", 1, 2}),
                     start(2ms, 0), start(3ms, 1)});
  }

  void overlappingAttempts() {
    expectNoViolation(gang("j", 1, 0ms, 100ms) + gang("j", 2, 100ms, 200ms));
    expectNoViolation(gang("j", 1, 0ms, 100ms) + gang("k", 1, 50ms, 200ms));
    Events Unended = gang("j", 1, 0ms, 100ms);
    Unended.pop_back();
    expectViolation("gang-atomic", Unended + gang("j", 2, 97ms, 200ms));
    expectViolation("gang-atomic", {commit(), start(1ms, 0), start(2ms, 1),
                                    at(3ms, AttemptEnded{"j", 1}), stop(4ms, 0),
                                    stop(5ms, 1)});
    expectViolation("gang-atomic", {commit(), start(1ms, 0), start(2ms, 1),
                                    stop(3ms, 0), start(4ms, 0)});
    expectViolation("gang-atomic", gang("j", 1, 0ms, 100ms) +
                                       Events{start(101ms, 2), stop(102ms, 2)});
  }
};

class DomainOutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainOutTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST_SUITE_END();

  void violationsAreReported() {
    const Events Out{at(0ms, DomainOut{"a"})};
    expectNoViolation(Out + gang("j", 1, 2998ms, 9s));
    expectNoViolation(Events{at(0ms, DomainOut{"b"})} + gang("j", 1, 5s, 9s));
    expectNoViolation(Out + Events{at(4s, DomainIn{"a"})} +
                      gang("j", 1, 4s, 9s));
    expectNoViolation(
        Events{at(0ms, PermitRevoked{"w1"}), at(1ms, PermitGranted{"w1"})} +
        gang("j", 1, 5ms, 9s));
    expectViolation("domain-out", Out + gang("j", 1, 3s, 9s));
    expectViolation("domain-out", Out +
                                      Events{at(2ms, DomainIn{"a"}),
                                             at(10ms, DomainOut{"a"})} +
                                      gang("j", 1, 4s, 9s));
    // A repeated command does not restart the bound.
    expectViolation("domain-out", Out + Events{at(2500ms, DomainOut{"a"})} +
                                      gang("j", 1, 4s, 9s));
    expectViolation("domain-out", Events{at(0ms, PermitRevoked{"w1"})} +
                                      gang("j", 1, 5ms, 9s));
  }
};

class OwnAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnAnswerTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST_SUITE_END();

  static Events withResponseDigest(const std::string &Digest) {
    Events Run = call("1", "", 0ms, 10ms) + call("2", "", 1ms, 11ms);
    Run.back().Body_ = CallAnswered{"2", Digest};
    return Run;
  }

  void violationsAreReported() {
    expectNoViolation(call("1", "", 0ms, 10ms) + call("2", "k", 5ms, 20ms));
    // A retry with the same key gets the stored response of the first call.
    expectNoViolation(call("1", "k", 0ms, 10ms) +
                      Events{at(20ms, CallInvoked{"2", "k", "e1", false}),
                             at(21ms, CallAnswered{"2", "digest 1"})});
    expectViolation("own-answer", withResponseDigest("digest 1"));
    expectViolation("own-answer", withResponseDigest("digest"));
    expectViolation("own-answer",
                    call("1", "", 0ms, 10ms) +
                        Events{at(12ms, CallAnswered{"1", "digest 1"})});
    expectViolation("own-answer",
                    call("1", "", 0ms, 10ms) +
                        Events{at(12ms, CallUnknown{"1", "late"})});
    expectViolation("own-answer", {at(0ms, CallInvoked{"1", "", "e1", true})});
    expectViolation("own-answer", {at(0ms, CallAnswered{"1", "digest 1"})});
    Events Early = call("1", "", 0ms, 10ms);
    Early[1].At_ = Early[3].At_ + 1ms;
    Early.erase(Early.begin() + 2);
    expectViolation("own-answer", Early);
  }
};

class TrueRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrueRefusalTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST_SUITE_END();

  static Events refused(core::Duration RunsAt) {
    Events Run{at(0ms, CallInvoked{"1", "k", "e1", false}),
               at(10ms, CallRefused{"1", "busy"})};
    if (RunsAt > 0ms)
      Run.push_back(at(RunsAt, ExecutionBegun{"1", "k", "u1", "d"}));
    return Run;
  }

  void violationsAreReported() {
    expectNoViolation(refused(0ms));
    expectNoViolation(refused(0ms) + call("2", "k", 20ms, 30ms));
    expectViolation("true-refusal", refused(5ms));
    expectViolation("true-refusal", refused(50s));
  }
};

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST_SUITE_END();

  static Events executedAgain(const std::string &Call,
                              const std::string &Work) {
    return {at(90ms, ExecutionBegun{Call, Work, "u2", "digest " + Call})};
  }

  void violationsAreReported() {
    expectNoViolation(call("1", "", 0ms, 10ms) + executedAgain("1", ""));
    expectNoViolation(call("1", "k", 0ms, 10ms) + call("2", "l", 0ms, 10ms));
    expectViolation("at-most-once",
                    call("1", "k", 0ms, 10ms) + executedAgain("1", "k"));
    expectViolation("at-most-once",
                    call("1", "k", 0ms, 10ms) + call("2", "k", 20ms, 30ms));
    expectViolation("at-most-once",
                    Events{at(0ms, CallInvoked{"1", "", "e1", false}),
                           at(5ms, CallUnknown{"1", "silent"})} +
                        executedAgain("1", "") + executedAgain("1", ""));
  }
};

class UpstreamLeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamLeaveTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST_SUITE_END();

  void violationsAreReported() {
    const Events Leave{at(0ms, UpstreamLeaving{"u1"})};
    expectNoViolation(Leave + call("1", "", 2999ms, 9s));
    expectNoViolation(Leave + Events{at(3500ms, UpstreamReturned{"u1"})} +
                      call("1", "", 4s, 9s));
    expectNoViolation(Events{at(0ms, UpstreamLeaving{"u2"})} +
                      call("1", "", 4s, 9s));
    expectViolation("upstream-leave", Leave + call("1", "", 3s, 9s));
    expectViolation("upstream-leave",
                    Leave + Events{at(2s, UpstreamLeaving{"u1"})} +
                        call("1", "", 4s, 9s));
  }
};

class GracefulStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GracefulStopTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST_SUITE_END();

  static Events stop(const std::string &Process, core::Duration From,
                     core::Duration To) {
    return {at(From, StopBegun(), Process), at(To, StopEnded(), Process)};
  }
  static Events unknown(core::Duration At, bool Lost) {
    return {at(0ms, CallInvoked{"1", "", "e1", true}),
            at(At, CallUnknown{"1", "silent", Lost})};
  }

  void violationsAreReported() {
    expectNoViolation(call("1", "", 0ms, 100ms) + stop("e1", 50ms, 200ms) +
                      stop("u1", 50ms, 200ms));
    expectNoViolation(unknown(100ms, false) + stop("e1", 50ms, 200ms));
    expectNoViolation(unknown(10ms, true) + stop("e1", 50ms, 200ms));
    expectNoViolation(unknown(100ms, true) + stop("e2", 50ms, 200ms));
    expectViolation("graceful-stop",
                    unknown(100ms, true) + stop("e1", 50ms, 200ms));
    expectViolation("graceful-stop",
                    unknown(250ms, true) + stop("e1", 50ms, 200ms));
    expectViolation("graceful-stop",
                    call("1", "", 0ms, 100ms) + stop("u1", 50ms, 60ms));
    expectViolation("graceful-stop", {at(0ms, StopBegun(), "e1")});
    expectViolation("graceful-stop",
                    {at(0ms, StopBegun(), "e1"), at(1ms, StopEnded{1}, "e1")});
  }
};

class ConfigMonotonicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigMonotonicTest);
  CPPUNIT_TEST(violationsAreReported);
  CPPUNIT_TEST_SUITE_END();

  static Event accepted(core::Duration At, std::uint64_t Version) {
    return at(At, ConfigAccepted{"routes", Version, "d"});
  }
  static Event observed(core::Duration At, std::uint64_t Version,
                        const std::string &Digest = "d",
                        const std::string &Item = "routes") {
    return at(At, ConfigObserved{Item, Version, Digest}, "e1");
  }

  void violationsAreReported() {
    expectNoViolation({observed(0ms, 0), accepted(5ms, 1), observed(3005ms, 0),
                       observed(3006ms, 1)});
    expectNoViolation(
        {accepted(0ms, 1), observed(1ms, 1), observed(2ms, 0, "", "pools")});
    // A process may use a version before its publisher gets the response.
    expectNoViolation({observed(0ms, 1), accepted(5ms, 1)});
    expectViolation("config-monotonic",
                    {accepted(0ms, 1), observed(3001ms, 0)});
    expectViolation("config-monotonic", {accepted(0ms, 1), accepted(1ms, 2),
                                         observed(2ms, 2), observed(3ms, 1)});
    expectViolation("config-monotonic", {accepted(0ms, 1), accepted(1ms, 1)});
    expectViolation("config-monotonic", {observed(0ms, 1)});
    expectViolation("config-monotonic",
                    {accepted(0ms, 1), observed(1ms, 1, "x")});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuaranteeReclaimTest);
CPPUNIT_TEST_SUITE_REGISTRATION(GangAtomicTest);
CPPUNIT_TEST_SUITE_REGISTRATION(DomainOutTest);
CPPUNIT_TEST_SUITE_REGISTRATION(OwnAnswerTest);
CPPUNIT_TEST_SUITE_REGISTRATION(TrueRefusalTest);
CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);
CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLeaveTest);
CPPUNIT_TEST_SUITE_REGISTRATION(GracefulStopTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigMonotonicTest);
