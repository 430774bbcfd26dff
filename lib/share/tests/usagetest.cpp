#include "nutmegwell/share/usage.h"
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <rapidcheck.h>
#include <vector>

using namespace nutmegwell;
using namespace nutmegwell::share;
using namespace std::chrono_literals;

class UsageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageTest);
  CPPUNIT_TEST(usageHalvesWithinAHalfLife);
  CPPUNIT_TEST(unknownAccountHasNone);
  CPPUNIT_TEST(burstRanksAfterSteadyAccounts);
  CPPUNIT_TEST(smallLeadGivesNoRank);
  CPPUNIT_TEST(idleAccountIsRemoved);
  CPPUNIT_TEST(invalidSharesAreBounded);
  CPPUNIT_TEST(timeThatRunsBackChangesNothing);
  CPPUNIT_TEST(usageStaysWithinTheSharesSeen);
  CPPUNIT_TEST(numberOfUpdatesDoesNotMatter);
  CPPUNIT_TEST(ledgerIsBoundedByAccountsInUse);
  CPPUNIT_TEST_SUITE_END();

  const core::TimePoint Start_{1000s};
  UsageLedger Ledger_;

  void checkUsage(const std::string &Account, core::TimePoint At,
                  double Expected) const {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Expected, usageOf(Ledger_, Account, At),
                                 0.001);
  }

  static rc::Gen<std::vector<std::pair<double, int>>> sharesAndPauses() {
    return rc::gen::container<std::vector<std::pair<double, int>>>(
        rc::gen::pair(rc::gen::map(rc::gen::inRange(0, 1001),
                                   [](int Value) { return Value / 1000.0; }),
                      rc::gen::inRange(0, 120'000)));
  }

  /// Guards against usage that grows or decays at another rate than the
  /// half-life says.
  void usageHalvesWithinAHalfLife() {
    setCurrentShares(Ledger_, {{"a", 0.8}}, Start_);
    checkUsage("a", Start_, 0);
    checkUsage("a", Start_ + 30s, 0.4);
    checkUsage("a", Start_ + 60s, 0.6);
    setCurrentShares(Ledger_, {}, Start_ + 60s);
    checkUsage("a", Start_ + 90s, 0.3);
    checkUsage("a", Start_ + 120s, 0.15);
  }

  /// Guards against a new account that ranks after others.
  void unknownAccountHasNone() {
    checkUsage("a", Start_, 0);
    CPPUNIT_ASSERT_EQUAL(0, usageRank(Ledger_, "a", Start_));
  }

  /// Guards against a burst that ranks with accounts that use little.
  void burstRanksAfterSteadyAccounts() {
    std::map<std::string, double> Shares{{"burst", 0.6}};
    for (int I = 0; I < 9; ++I)
      Shares["steady" + std::to_string(I)] = 0.04;
    setCurrentShares(Ledger_, Shares, Start_);
    const core::TimePoint Later = Start_ + 5s;
    CPPUNIT_ASSERT_EQUAL(0, usageRank(Ledger_, "steady0", Later));
    CPPUNIT_ASSERT_EQUAL(0, usageRank(Ledger_, "steady8", Later));
    CPPUNIT_ASSERT(usageRank(Ledger_, "burst", Later) > 0);
  }

  /// Guards against an order by usages that hardly differ.
  void smallLeadGivesNoRank() {
    setCurrentShares(Ledger_, {{"a", 0.14}, {"b", 0.11}}, Start_);
    const core::TimePoint Later = Start_ + 600s;
    CPPUNIT_ASSERT_EQUAL(usageRank(Ledger_, "a", Later),
                         usageRank(Ledger_, "b", Later));
  }

  /// Guards against a ledger that grows with each account name ever seen.
  void idleAccountIsRemoved() {
    setCurrentShares(Ledger_, {{"a", 1}}, Start_);
    setCurrentShares(Ledger_, {}, Start_ + 60s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Ledger_.Accounts_.size());
    setCurrentShares(Ledger_, {}, Start_ + 60s + 10 * 30s);
    CPPUNIT_ASSERT(Ledger_.Accounts_.empty());
  }

  /// Guards against the shares of a service that has lost all its workers.
  void invalidSharesAreBounded() {
    setCurrentShares(Ledger_,
                     {{"nan", std::numeric_limits<double>::quiet_NaN()},
                      {"infinite", std::numeric_limits<double>::infinity()},
                      {"negative", -1}},
                     Start_);
    checkUsage("nan", Start_ + 600s, 0);
    checkUsage("infinite", Start_ + 600s, 1);
    checkUsage("negative", Start_ + 600s, 0);
  }

  /// Guards against a negative time that multiplies usage.
  void timeThatRunsBackChangesNothing() {
    setCurrentShares(Ledger_, {{"a", 1}}, Start_);
    setCurrentShares(Ledger_, {{"a", 1}}, Start_ + 30s);
    checkUsage("a", Start_, 0.5);
    setCurrentShares(Ledger_, {{"a", 1}}, Start_);
    checkUsage("a", Start_ + 30s, 0.5);
  }

  /// Guards against usage below or above all shares that an account had.
  void usageStaysWithinTheSharesSeen() {
    const bool Passed = rc::check("usage stays within the shares seen", [&] {
      UsageLedger Ledger;
      core::TimePoint Now = Start_;
      double Highest = 0;
      for (const auto &[Share, Pause] : *sharesAndPauses()) {
        setCurrentShares(Ledger, {{"a", Share}}, Now);
        Now += std::chrono::milliseconds(Pause);
        Highest = std::max(Highest, Share);
        const double Usage = usageOf(Ledger, "a", Now);
        RC_ASSERT(Usage >= 0 && Usage <= Highest + 1e-9);
        const int Rank = usageRank(Ledger, "a", Now);
        RC_ASSERT(Rank >= 0 && Rank <= 20);
      }
    });
    CPPUNIT_ASSERT(Passed);
  }

  /// Guards against usage that depends on how often the holder decides.
  void numberOfUpdatesDoesNotMatter() {
    const bool Passed = rc::check("updates in between change no usage", [&] {
      UsageLedger Once;
      UsageLedger Often;
      core::TimePoint Now = Start_;
      for (const auto &[Share, Pause] : *sharesAndPauses()) {
        const core::Duration Span = std::chrono::milliseconds(Pause);
        setCurrentShares(Once, {{"a", Share}, {"b", 0.5}}, Now);
        for (int I = 0; I < 4; ++I)
          setCurrentShares(Often, {{"a", Share}, {"b", 0.5}},
                           Now + Span * I / 4);
        Now += Span;
        RC_ASSERT(std::abs(usageOf(Once, "a", Now) - usageOf(Often, "a", Now)) <
                  1e-6);
      }
    });
    CPPUNIT_ASSERT(Passed);
  }

  /// Guards against memory that callers control through account names.
  void ledgerIsBoundedByAccountsInUse() {
    const bool Passed = rc::check("accounts without use leave the ledger", [&] {
      UsageLedger Ledger;
      core::TimePoint Now = Start_;
      const auto Names = *rc::gen::container<std::vector<std::string>>(
          rc::gen::map(rc::gen::inRange(0, 50),
                       [](int I) { return std::to_string(I); }));
      for (const std::string &Name : Names) {
        setCurrentShares(Ledger, {{Name, 0.3}}, Now);
        Now += 1s;
      }
      setCurrentShares(Ledger, {}, Now);
      setCurrentShares(Ledger, {{"last", 0.1}}, Now + 600s);
      RC_ASSERT(Ledger.Accounts_.size() == 1u);
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTest);
