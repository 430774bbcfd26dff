#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

namespace {

using Events = std::vector<Event>;

/// Fails unless all nine rules accept \p Run.
void accept(Events Run) {
  const History Whole = makeHistory(std::move(Run), true);
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       describe(Whole, checkAll(Whole, Bounds())));
}

/// Fails unless exactly the rule \p Rule rejects \p Run.
void reject(const std::string &Rule, Events Run) {
  const History Whole = makeHistory(std::move(Run), true);
  const Violations Found = checkAll(Whole, Bounds());
  CPPUNIT_ASSERT_MESSAGE(Rule + " accepted its break", !Found.empty());
  for (const Violation &Each : Found) {
    CPPUNIT_ASSERT_EQUAL(Rule, Each.Rule_);
    CPPUNIT_ASSERT(!Each.Events_.empty());
  }
}

} // namespace

// Each test guards against a checker that accepts a break of its rule, or that
// rejects a run which keeps it.

class GuaranteeReclaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GuaranteeReclaimTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST(borrowerStopsFirst);
  CPPUNIT_TEST_SUITE_END();

  static Event asked() {
    return at(0ms, GuaranteeRequested{"c", "a", {8, 4, 1}});
  }
  static Event got(core::Duration At, GuaranteeShape Shape) {
    return at(At, GuaranteeObtained{"c", Shape});
  }

  void verdicts() {
    accept({asked(), got(30s, {8, 4, 1})});
    accept({asked(), got(1ms, {9, 8, 0})});
    accept({asked(), at(1ms, GuaranteeWithdrawn{"c"}), got(40s, {8, 4, 1})});
    accept({asked(), at(5ms, DomainOut{"a"}), got(40s, {8, 4, 1})});
    accept({asked(), at(30s, StopBegun()), at(30s, StopEnded())});
    reject("guarantee-reclaim", {asked(), got(30001ms, {8, 4, 1})});
    reject("guarantee-reclaim", {asked(), got(1ms, {7, 4, 1})});
    reject("guarantee-reclaim", {asked(), got(1ms, {8, 2, 1})});
    reject("guarantee-reclaim", {asked(), got(1ms, {8, 4, 2})});
    reject("guarantee-reclaim", {asked(), at(30001ms, PermitGranted{"w"})});
    reject("guarantee-reclaim",
           {asked(), at(30001ms, GuaranteeWithdrawn{"c"})});
    reject("guarantee-reclaim", {asked(), at(30001ms, DomainOut{"a"})});
    reject("guarantee-reclaim",
           {asked(), at(5ms, DomainOut{"b"}), got(40s, {8, 4, 1})});
  }

  void borrowerStopsFirst() {
    const std::vector<Event> Blocked = {
        at(100ms, GuaranteeBlocked{"c", "j", 1})};
    // The borrower's second attempt does not stand in the place.
    accept(gang("j", 1, 0ms, 200ms) + gang("c", 1, 200ms, 400ms) + Blocked);
    accept(gang("j", 1, 0ms, 200ms) + gang("j", 2, 200ms, 400ms) +
           gang("c", 1, 210ms, 300ms) + Blocked);
    accept(gang("k", 1, 0ms, 400ms) + gang("c", 1, 200ms, 400ms) + Blocked);
    // The last task of the borrower stops at 199, the first of c starts at 198.
    reject("guarantee-reclaim",
           gang("j", 1, 0ms, 200ms) + gang("c", 1, 197ms, 400ms) + Blocked);
  }
};

class GangAtomicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangAtomicTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST(overlaps);
  CPPUNIT_TEST_SUITE_END();

  static Event commit() { return at(0ms, AttemptCommitted{"j", 1, 2}); }
  static Event start(core::Duration At, std::uint32_t Task) {
    return at(At, TaskStarted{"j", 1, Task, "w1", "a"});
  }
  static Event stop(core::Duration At, std::uint32_t Task, bool Done = false) {
    return at(At, TaskStopped{"j", 1, Task, Done});
  }

  void verdicts() {
    accept(gang("j", 1, 0ms, 100s));
    accept({commit(), start(1ms, 0), start(5001ms, 1)});
    accept({commit(), start(1ms, 0), stop(15001ms, 0)});
    accept(
        {commit(), start(1ms, 0), start(2ms, 1), stop(50s, 0), stop(65s, 1)});
    accept({commit(), start(1ms, 0), start(2ms, 1), stop(50s, 0, true),
            stop(90s, 1, true)});
    reject("gang-atomic", {commit(), start(1ms, 0), start(5002ms, 1)});
    reject("gang-atomic", {commit(), start(1ms, 0), stop(15002ms, 0)});
    reject("gang-atomic", {commit(), start(1ms, 0), at(15002ms, StopBegun()),
                           at(15002ms, StopEnded())});
    reject("gang-atomic", {commit(), start(1ms, 0), start(2ms, 1), stop(50s, 0),
                           stop(65001ms, 1)});
    reject("gang-atomic", {start(1ms, 0), stop(2ms, 0)});
    reject("gang-atomic", {commit(), at(1ms, AttemptCommitted{"j", 1, 2}),
                           start(2ms, 0), start(3ms, 1)});
  }

  void overlaps() {
    accept(gang("j", 1, 0ms, 100ms) + gang("j", 2, 100ms, 200ms));
    accept(gang("j", 1, 0ms, 100ms) + gang("k", 1, 50ms, 200ms));
    Events Both = gang("j", 1, 0ms, 100ms);
    Both.pop_back();
    reject("gang-atomic", Both + gang("j", 2, 97ms, 200ms));
    reject("gang-atomic",
           {commit(), start(1ms, 0), start(2ms, 1),
            at(3ms, AttemptEnded{"j", 1}), stop(4ms, 0), stop(5ms, 1)});
    reject("gang-atomic", {commit(), start(1ms, 0), start(2ms, 1), stop(3ms, 0),
                           start(4ms, 0)});
    reject("gang-atomic",
           gang("j", 1, 0ms, 100ms) + Events{start(101ms, 2), stop(102ms, 2)});
  }
};

class DomainOutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainOutTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  void verdicts() {
    const Events Out{at(0ms, DomainOut{"a"})};
    accept(Out + gang("j", 1, 2998ms, 9s));
    accept(Events{at(0ms, DomainOut{"b"})} + gang("j", 1, 5s, 9s));
    accept(Out + Events{at(4s, DomainIn{"a"})} + gang("j", 1, 4s, 9s));
    accept(Events{at(0ms, PermitRevoked{"w1"}), at(1ms, PermitGranted{"w1"})} +
           gang("j", 1, 5ms, 9s));
    reject("domain-out", Out + gang("j", 1, 3s, 9s));
    reject("domain-out",
           Out + Events{at(2ms, DomainIn{"a"}), at(10ms, DomainOut{"a"})} +
               gang("j", 1, 4s, 9s));
    // A repeated command does not begin a new grace time.
    reject("domain-out",
           Out + Events{at(2500ms, DomainOut{"a"})} + gang("j", 1, 4s, 9s));
    reject("domain-out",
           Events{at(0ms, PermitRevoked{"w1"})} + gang("j", 1, 5ms, 9s));
  }
};

class OwnAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnAnswerTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events crossed(const std::string &Digest) {
    Events Run = call("1", "", 0ms, 10ms) + call("2", "", 1ms, 11ms);
    Run.back().Body_ = CallAnswered{"2", Digest};
    return Run;
  }

  void verdicts() {
    accept(call("1", "", 0ms, 10ms) + call("2", "k", 5ms, 20ms));
    // A repeat of a key gets the stored answer of the first call.
    accept(call("1", "k", 0ms, 10ms) +
           Events{at(20ms, CallInvoked{"2", "k", "e1", false}),
                  at(21ms, CallAnswered{"2", "digest 1"})});
    reject("own-answer", crossed("digest 1"));
    reject("own-answer", crossed("digest"));
    reject("own-answer", call("1", "", 0ms, 10ms) +
                             Events{at(12ms, CallAnswered{"1", "digest 1"})});
    reject("own-answer", call("1", "", 0ms, 10ms) +
                             Events{at(12ms, CallUnknown{"1", "late"})});
    reject("own-answer", {at(0ms, CallInvoked{"1", "", "e1", true})});
    reject("own-answer", {at(0ms, CallAnswered{"1", "digest 1"})});
    Events Early = call("1", "", 0ms, 10ms);
    Early[1].At_ = Early[3].At_ + 1ms;
    Early.erase(Early.begin() + 2);
    reject("own-answer", Early);
  }
};

class TrueRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrueRefusalTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events refused(core::Duration RunsAt) {
    Events Run{at(0ms, CallInvoked{"1", "k", "e1", false}),
               at(10ms, CallRefused{"1", "busy"})};
    if (RunsAt > 0ms)
      Run.push_back(at(RunsAt, ExecutionBegun{"1", "k", "u1", "d"}));
    return Run;
  }

  void verdicts() {
    accept(refused(0ms));
    accept(refused(0ms) + call("2", "k", 20ms, 30ms));
    reject("true-refusal", refused(5ms));
    reject("true-refusal", refused(50s));
  }
};

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events again(const std::string &Call, const std::string &Work) {
    return {at(90ms, ExecutionBegun{Call, Work, "u2", "digest " + Call})};
  }

  void verdicts() {
    accept(call("1", "", 0ms, 10ms) + again("1", ""));
    accept(call("1", "k", 0ms, 10ms) + call("2", "l", 0ms, 10ms));
    reject("at-most-once", call("1", "k", 0ms, 10ms) + again("1", "k"));
    reject("at-most-once",
           call("1", "k", 0ms, 10ms) + call("2", "k", 20ms, 30ms));
    reject("at-most-once", Events{at(0ms, CallInvoked{"1", "", "e1", false}),
                                  at(5ms, CallUnknown{"1", "silent"})} +
                               again("1", "") + again("1", ""));
  }
};

class UpstreamLeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamLeaveTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  void verdicts() {
    const Events Leave{at(0ms, UpstreamLeaving{"u1"})};
    accept(Leave + call("1", "", 2999ms, 9s));
    accept(Leave + Events{at(3500ms, UpstreamReturned{"u1"})} +
           call("1", "", 4s, 9s));
    accept(Events{at(0ms, UpstreamLeaving{"u2"})} + call("1", "", 4s, 9s));
    reject("upstream-leave", Leave + call("1", "", 3s, 9s));
    reject("upstream-leave", Leave + Events{at(2s, UpstreamLeaving{"u1"})} +
                                 call("1", "", 4s, 9s));
  }
};

class GracefulStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GracefulStopTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events stop(const std::string &Process, core::Duration From,
                     core::Duration To) {
    return {at(From, StopBegun(), Process), at(To, StopEnded(), Process)};
  }
  static Events unknown(core::Duration At, bool Lost) {
    return {at(0ms, CallInvoked{"1", "", "e1", true}),
            at(At, CallUnknown{"1", "silent", Lost})};
  }

  void verdicts() {
    accept(call("1", "", 0ms, 100ms) + stop("e1", 50ms, 200ms) +
           stop("u1", 50ms, 200ms));
    accept(unknown(100ms, false) + stop("e1", 50ms, 200ms));
    accept(unknown(10ms, true) + stop("e1", 50ms, 200ms));
    accept(unknown(100ms, true) + stop("e2", 50ms, 200ms));
    reject("graceful-stop", unknown(100ms, true) + stop("e1", 50ms, 200ms));
    reject("graceful-stop", unknown(250ms, true) + stop("e1", 50ms, 200ms));
    reject("graceful-stop", call("1", "", 0ms, 100ms) + stop("u1", 50ms, 60ms));
    reject("graceful-stop", {at(0ms, StopBegun(), "e1")});
    reject("graceful-stop",
           {at(0ms, StopBegun(), "e1"), at(1ms, StopEnded{1}, "e1")});
  }
};

class ConfigMonotonicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigMonotonicTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Event accepted(core::Duration At, std::uint64_t Version) {
    return at(At, ConfigAccepted{"routes", Version, "d"});
  }
  static Event seen(core::Duration At, std::uint64_t Version,
                    const std::string &Digest = "d",
                    const std::string &Item = "routes") {
    return at(At, ConfigObserved{Item, Version, Digest}, "e1");
  }

  void verdicts() {
    accept({seen(0ms, 0), accepted(5ms, 1), seen(3005ms, 0), seen(3006ms, 1)});
    accept({accepted(0ms, 1), seen(1ms, 1), seen(2ms, 0, "", "pools")});
    // Used before its publisher hears of it.
    accept({seen(0ms, 1), accepted(5ms, 1)});
    reject("config-monotonic", {accepted(0ms, 1), seen(3001ms, 0)});
    reject("config-monotonic",
           {accepted(0ms, 1), accepted(1ms, 2), seen(2ms, 2), seen(3ms, 1)});
    reject("config-monotonic", {accepted(0ms, 1), accepted(1ms, 1)});
    reject("config-monotonic", {seen(0ms, 1)});
    reject("config-monotonic", {accepted(0ms, 1), seen(1ms, 1, "x")});
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
