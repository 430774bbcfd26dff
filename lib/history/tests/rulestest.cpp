#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

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
    return at(0, GuaranteeRequested{"c", "a", {8, 4, 1}});
  }
  static Event got(int At, GuaranteeShape Shape) {
    return at(At, GuaranteeObtained{"c", Shape});
  }

  void verdicts() {
    accept({asked(), got(30000, {8, 4, 1})});
    accept({asked(), got(1, {9, 8, 0})});
    accept({asked(), at(1, GuaranteeWithdrawn{"c"}), got(40000, {8, 4, 1})});
    accept({asked(), at(5, DomainOut{"a"}), got(40000, {8, 4, 1})});
    accept({asked(), at(30000, StopBegun()), at(30000, StopEnded())});
    reject("guarantee-reclaim", {asked(), got(30001, {8, 4, 1})});
    reject("guarantee-reclaim", {asked(), got(1, {7, 4, 1})});
    reject("guarantee-reclaim", {asked(), got(1, {8, 2, 1})});
    reject("guarantee-reclaim", {asked(), got(1, {8, 4, 2})});
    reject("guarantee-reclaim", {asked(), at(30001, PermitGranted{"w"})});
    reject("guarantee-reclaim", {asked(), at(30001, GuaranteeWithdrawn{"c"})});
    reject("guarantee-reclaim", {asked(), at(30001, DomainOut{"a"})});
    reject("guarantee-reclaim",
           {asked(), at(5, DomainOut{"b"}), got(40000, {8, 4, 1})});
  }

  void borrowerStopsFirst() {
    const std::vector<Event> Blocked = {at(100, GuaranteeBlocked{"c", "j", 1})};
    // The borrower's second attempt does not stand in the place.
    accept(gang("j", 1, 0, 200) + gang("c", 1, 200, 400) + Blocked);
    accept(gang("j", 1, 0, 200) + gang("j", 2, 200, 400) +
           gang("c", 1, 210, 300) + Blocked);
    accept(gang("k", 1, 0, 400) + gang("c", 1, 200, 400) + Blocked);
    // The last task of the borrower stops at 199, the first of c starts at 198.
    reject("guarantee-reclaim",
           gang("j", 1, 0, 200) + gang("c", 1, 197, 400) + Blocked);
  }
};

class GangAtomicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangAtomicTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST(overlaps);
  CPPUNIT_TEST_SUITE_END();

  static Event commit() { return at(0, AttemptCommitted{"j", 1, 2}); }
  static Event start(int At, std::uint32_t Task) {
    return at(At, TaskStarted{"j", 1, Task, "w1", "a"});
  }
  static Event stop(int At, std::uint32_t Task, bool Done = false) {
    return at(At, TaskStopped{"j", 1, Task, Done});
  }

  void verdicts() {
    accept(gang("j", 1, 0, 100000));
    accept({commit(), start(1, 0), start(5001, 1)});
    accept({commit(), start(1, 0), stop(15001, 0)});
    accept(
        {commit(), start(1, 0), start(2, 1), stop(50000, 0), stop(65000, 1)});
    accept({commit(), start(1, 0), start(2, 1), stop(50000, 0, true),
            stop(90000, 1, true)});
    reject("gang-atomic", {commit(), start(1, 0), start(5002, 1)});
    reject("gang-atomic", {commit(), start(1, 0), stop(15002, 0)});
    reject("gang-atomic", {commit(), start(1, 0), at(15002, StopBegun()),
                           at(15002, StopEnded())});
    reject("gang-atomic", {commit(), start(1, 0), start(2, 1), stop(50000, 0),
                           stop(65001, 1)});
    reject("gang-atomic", {start(1, 0), stop(2, 0)});
    reject("gang-atomic", {commit(), at(1, AttemptCommitted{"j", 1, 2}),
                           start(2, 0), start(3, 1)});
  }

  void overlaps() {
    accept(gang("j", 1, 0, 100) + gang("j", 2, 100, 200));
    accept(gang("j", 1, 0, 100) + gang("k", 1, 50, 200));
    Events Both = gang("j", 1, 0, 100);
    Both.pop_back();
    reject("gang-atomic", Both + gang("j", 2, 97, 200));
    reject("gang-atomic",
           {commit(), start(1, 0), start(2, 1), at(3, AttemptEnded{"j", 1}),
            stop(4, 0), stop(5, 1)});
    reject("gang-atomic",
           {commit(), start(1, 0), start(2, 1), stop(3, 0), start(4, 0)});
    reject("gang-atomic",
           gang("j", 1, 0, 100) + Events{start(101, 2), stop(102, 2)});
  }
};

class DomainOutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainOutTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  void verdicts() {
    accept(Events{at(0, DomainOut{"a"})} + gang("j", 1, 2998, 9000));
    accept(Events{at(0, DomainOut{"b"})} + gang("j", 1, 5000, 9000));
    accept(Events{at(0, DomainOut{"a"}), at(4000, DomainIn{"a"})} +
           gang("j", 1, 4000, 9000));
    accept(Events{at(0, PermitRevoked{"w1"}), at(1, PermitGranted{"w1"})} +
           gang("j", 1, 5, 9000));
    reject("domain-out",
           Events{at(0, DomainOut{"a"})} + gang("j", 1, 3000, 9000));
    reject("domain-out", Events{at(0, DomainOut{"a"}), at(2, DomainIn{"a"}),
                                at(10, DomainOut{"a"})} +
                             gang("j", 1, 4000, 9000));
    // A repeated command does not begin a new grace time.
    reject("domain-out",
           Events{at(0, DomainOut{"a"}), at(2500, DomainOut{"a"})} +
               gang("j", 1, 4000, 9000));
    reject("domain-out",
           Events{at(0, PermitRevoked{"w1"})} + gang("j", 1, 5, 9000));
  }
};

class OwnAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnAnswerTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events crossed(const std::string &Digest) {
    Events Run = call("1", "", 0, 10) + call("2", "", 1, 11);
    Run.back().Body_ = CallAnswered{"2", Digest};
    return Run;
  }

  void verdicts() {
    accept(call("1", "", 0, 10) + call("2", "k", 5, 20));
    // A repeat of a key gets the stored answer of the first call.
    accept(call("1", "k", 0, 10) +
           Events{at(20, CallInvoked{"2", "k", "e1", false}),
                  at(21, CallAnswered{"2", "digest 1"})});
    reject("own-answer", crossed("digest 1"));
    reject("own-answer", crossed("digest"));
    reject("own-answer", call("1", "", 0, 10) +
                             Events{at(12, CallAnswered{"1", "digest 1"})});
    reject("own-answer",
           call("1", "", 0, 10) + Events{at(12, CallUnknown{"1", "late"})});
    reject("own-answer", {at(0, CallInvoked{"1", "", "e1", true})});
    reject("own-answer", {at(0, CallAnswered{"1", "digest 1"})});
    Events Early = call("1", "", 0, 10);
    Early[1].At_ = Early[3].At_ + std::chrono::milliseconds(1);
    Early.erase(Early.begin() + 2);
    reject("own-answer", Early);
  }
};

class TrueRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrueRefusalTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events refused(int RunsAt) {
    Events Run{at(0, CallInvoked{"1", "k", "e1", false}),
               at(10, CallRefused{"1", "busy"})};
    if (RunsAt > 0)
      Run.push_back(at(RunsAt, ExecutionBegun{"1", "k", "u1", "d"}));
    return Run;
  }

  void verdicts() {
    accept(refused(0));
    accept(refused(0) + call("2", "k", 20, 30));
    reject("true-refusal", refused(5));
    reject("true-refusal", refused(50000));
  }
};

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events again(const std::string &Call, const std::string &Work) {
    return {at(90, ExecutionBegun{Call, Work, "u2", "digest " + Call})};
  }

  void verdicts() {
    accept(call("1", "", 0, 10) + again("1", ""));
    accept(call("1", "k", 0, 10) + call("2", "l", 0, 10));
    reject("at-most-once", call("1", "k", 0, 10) + again("1", "k"));
    reject("at-most-once", call("1", "k", 0, 10) + call("2", "k", 20, 30));
    reject("at-most-once", Events{at(0, CallInvoked{"1", "", "e1", false}),
                                  at(5, CallUnknown{"1", "silent"})} +
                               again("1", "") + again("1", ""));
  }
};

class UpstreamLeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamLeaveTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  void verdicts() {
    const Events Leave{at(0, UpstreamLeaving{"u1"})};
    accept(Leave + call("1", "", 2999, 9000));
    accept(Leave + Events{at(3500, UpstreamReturned{"u1"})} +
           call("1", "", 4000, 9000));
    accept(Events{at(0, UpstreamLeaving{"u2"})} + call("1", "", 4000, 9000));
    reject("upstream-leave", Leave + call("1", "", 3000, 9000));
    reject("upstream-leave", Leave + Events{at(2000, UpstreamLeaving{"u1"})} +
                                 call("1", "", 4000, 9000));
  }
};

class GracefulStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GracefulStopTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Events stop(const std::string &Process, int From, int To) {
    return {at(From, StopBegun(), Process), at(To, StopEnded(), Process)};
  }
  static Events unknown(int At, bool Lost) {
    return {at(0, CallInvoked{"1", "", "e1", true}),
            at(At, CallUnknown{"1", "silent", Lost})};
  }

  void verdicts() {
    accept(call("1", "", 0, 100) + stop("e1", 50, 200) + stop("u1", 50, 200));
    accept(unknown(100, false) + stop("e1", 50, 200));
    accept(unknown(10, true) + stop("e1", 50, 200));
    accept(unknown(100, true) + stop("e2", 50, 200));
    reject("graceful-stop", unknown(100, true) + stop("e1", 50, 200));
    reject("graceful-stop", unknown(250, true) + stop("e1", 50, 200));
    reject("graceful-stop", call("1", "", 0, 100) + stop("u1", 50, 60));
    reject("graceful-stop", {at(0, StopBegun(), "e1")});
    reject("graceful-stop",
           {at(0, StopBegun(), "e1"), at(1, StopEnded{1}, "e1")});
  }
};

class ConfigMonotonicTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigMonotonicTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST_SUITE_END();

  static Event accepted(int At, std::uint64_t Version) {
    return at(At, ConfigAccepted{"routes", Version, "d"});
  }
  static Event seen(int At, std::uint64_t Version,
                    const std::string &Digest = "d",
                    const std::string &Item = "routes") {
    return at(At, ConfigObserved{Item, Version, Digest}, "e1");
  }

  void verdicts() {
    accept({seen(0, 0), accepted(5, 1), seen(3005, 0), seen(3006, 1)});
    accept({accepted(0, 1), seen(1, 1), seen(2, 0, "", "pools")});
    // Used before its publisher hears of it.
    accept({seen(0, 1), accepted(5, 1)});
    reject("config-monotonic", {accepted(0, 1), seen(3001, 0)});
    reject("config-monotonic",
           {accepted(0, 1), accepted(1, 2), seen(2, 2), seen(3, 1)});
    reject("config-monotonic", {accepted(0, 1), accepted(1, 1)});
    reject("config-monotonic", {seen(0, 1)});
    reject("config-monotonic", {accepted(0, 1), seen(1, 1, "x")});
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
