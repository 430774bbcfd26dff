#include "nutmegwell/aio/inputbudget.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace nutmegwell;
using namespace nutmegwell::aio;
using namespace std::chrono_literals;

namespace {

core::TimePoint at(core::Duration SinceStart) {
  return core::TimePoint() + 1h + SinceStart;
}

InputBudget budgetOf(std::size_t MaxBytes, std::size_t MaxConnections = 100) {
  InputBudget Budget;
  Budget.Limits_.MaxBytes_ = MaxBytes;
  Budget.Limits_.MaxConnections_ = MaxConnections;
  return Budget;
}

std::vector<InputId> idsOf(const std::vector<InputVictim> &Victims) {
  std::vector<InputId> Result;
  for (const InputVictim &Victim : Victims)
    Result.push_back(Victim.Id_);
  return Result;
}

/// Sum of what the connections hold, in total and by peer.
bool sumsAreConsistent(const InputBudget &Budget) {
  std::size_t Total = 0;
  std::map<std::string, std::size_t> ByPeer;
  for (const auto &[Id, Entry] : Budget.Connections_)
    if (Entry.Held_ > 0) {
      Total += Entry.Held_;
      ByPeer[Entry.Peer_] += Entry.Held_;
    }
  return Total == Budget.Held_ && ByPeer == Budget.HeldByPeer_;
}

} // namespace

class InputBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InputBudgetTest);
  CPPUNIT_TEST(largestForLongestIsClosedFirst);
  CPPUNIT_TEST(peerAboveItsShareIsClosedFirst);
  CPPUNIT_TEST(completeRequestHoldsNothing);
  CPPUNIT_TEST(unreadResponsesCount);
  CPPUNIT_TEST(unservedConnectionsMakeRoom);
  CPPUNIT_TEST(handledRequestsStayOpen);
  CPPUNIT_TEST(slowRequestsAreNamedInTime);
  CPPUNIT_TEST(slowRequestWithinTheRateIsKept);
  CPPUNIT_TEST(generatedCallsKeepTheBounds);
  CPPUNIT_TEST(generatedSmallRequestsGetIn);
  CPPUNIT_TEST(generatedSteadyRequestsAreNotSlow);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a budget that stays with requests that never end.
  void largestForLongestIsClosedFirst() {
    InputBudget Budget = budgetOf(1000);
    for (InputId Id : {1, 2, 3})
      onConnected(Budget, Id, "peer", at(0ms));
    onInput(Budget, 1, 400, 400, at(0ms));
    onInput(Budget, 2, 400, 400, at(1s));
    const auto Victims = onInput(Budget, 3, 400, 400, at(2s));
    CPPUNIT_ASSERT(idsOf(Victims) == std::vector<InputId>{1});
    CPPUNIT_ASSERT(Victims[0].Cause_ == InputRefusal::Budget);
    CPPUNIT_ASSERT_EQUAL(std::string("peer"), Victims[0].Peer_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(800), Budget.Held_);
  }

  /// Guards against one client that takes the budget from all others.
  void peerAboveItsShareIsClosedFirst() {
    InputBudget Budget = budgetOf(1000);
    onConnected(Budget, 1, "ordinary", at(0ms));
    onInput(Budget, 1, 300, 300, at(0ms));
    for (InputId Id : {2, 3, 4})
      onConnected(Budget, Id, "greedy", at(5s));
    onInput(Budget, 2, 300, 300, at(5s));
    onInput(Budget, 3, 300, 300, at(5s));
    const auto Victims = onInput(Budget, 4, 300, 300, at(6s));
    CPPUNIT_ASSERT(idsOf(Victims) == std::vector<InputId>{2});
  }

  void completeRequestHoldsNothing() {
    InputBudget Budget = budgetOf(1000);
    onConnected(Budget, 1, "peer", at(0ms));
    onInput(Budget, 1, 400, 400, at(0ms));
    onRequestComplete(Budget, 1, at(1ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Budget.Held_);
    CPPUNIT_ASSERT(Budget.HeldByPeer_.empty());
  }

  /// Guards against responses that pile up for clients that do not read.
  void unreadResponsesCount() {
    InputBudget Budget = budgetOf(1000);
    for (InputId Id : {1, 2}) {
      onConnected(Budget, Id, "peer", at(0ms));
      onInput(Budget, Id, 10, 10, at(0ms));
      onRequestComplete(Budget, Id, at(0ms));
    }
    CPPUNIT_ASSERT(onResponse(Budget, 1, 600, at(1s)).empty());
    CPPUNIT_ASSERT(idsOf(onResponse(Budget, 2, 600, at(2s))) ==
                   std::vector<InputId>{1});
    onResponseSent(Budget, 2, at(3s));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Budget.Held_);
  }

  /// Guards against clients that only connect and lock out all others.
  void unservedConnectionsMakeRoom() {
    InputBudget Budget = budgetOf(1000, 2);
    onConnected(Budget, 1, "served", at(0ms));
    onInput(Budget, 1, 10, 10, at(0ms));
    onRequestComplete(Budget, 1, at(0ms));
    onResponse(Budget, 1, 10, at(0ms));
    onResponseSent(Budget, 1, at(0ms));
    onConnected(Budget, 2, "silent", at(1s));
    const auto Victims = onConnected(Budget, 3, "new", at(2s));
    CPPUNIT_ASSERT(idsOf(Victims) == std::vector<InputId>{2});
    CPPUNIT_ASSERT(Victims[0].Cause_ == InputRefusal::Connections);
  }

  /// Guards against a request that runs although its connection was refused.
  void handledRequestsStayOpen() {
    InputBudget Budget = budgetOf(1000, 2);
    for (InputId Id : {1, 2}) {
      onConnected(Budget, Id, "peer", at(0ms));
      onInput(Budget, Id, 10, 10, at(0ms));
      onRequestComplete(Budget, Id, at(0ms));
    }
    CPPUNIT_ASSERT(idsOf(onConnected(Budget, 3, "new", at(1s))) ==
                   std::vector<InputId>{3});
  }

  void slowRequestsAreNamedInTime() {
    InputBudget Budget = budgetOf(100000);
    Budget.Limits_.MinBytesPerSecond_ = 1024;
    onConnected(Budget, 1, "peer", at(0ms));
    core::TimePoint Wake;
    CPPUNIT_ASSERT(slowInputs(Budget, at(1h), Wake).empty());
    CPPUNIT_ASSERT(Wake == core::TimePoint::max());
    onInput(Budget, 1, 512, 2048, at(0ms));
    CPPUNIT_ASSERT(slowInputs(Budget, at(3s), Wake).empty());
    CPPUNIT_ASSERT(Wake == at(3500ms));
    const auto Victims = slowInputs(Budget, Wake, Wake);
    CPPUNIT_ASSERT(idsOf(Victims) == std::vector<InputId>{1});
    CPPUNIT_ASSERT(Victims[0].Cause_ == InputRefusal::Rate);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Budget.Held_);
  }

  /// Guards against a large request on a thin path that is cut although it
  /// keeps the rate.
  void slowRequestWithinTheRateIsKept() {
    InputBudget Budget = budgetOf(1000000);
    onConnected(Budget, 1, "peer", at(0ms));
    core::TimePoint Wake;
    for (int Second = 0; Second < 200; ++Second) {
      onInput(Budget, 1, 1200 * (Second + 1), 2048,
              at(std::chrono::seconds(Second)));
      CPPUNIT_ASSERT(
          slowInputs(Budget, at(std::chrono::seconds(Second)), Wake).empty());
    }
  }

  /// Whatever happens, what is held stays within the budget, the number of
  /// connections within its bound, the sums are right, no connection is named
  /// twice and none that is being handled is named.
  void generatedCallsKeepTheBounds() {
    const bool Holds = rc::check("bounds", [] {
      InputBudget Budget = budgetOf(*rc::gen::inRange<std::size_t>(1, 5000),
                                    *rc::gen::inRange<std::size_t>(1, 12));
      std::set<InputId> Named;
      InputId NextId = 1;
      core::TimePoint Now = at(0ms);
      const int Calls = *rc::gen::inRange(1, 120);
      for (int I = 0; I < Calls; ++I) {
        Now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
        const InputBudget Before = Budget;
        const auto Id = *rc::gen::inRange<InputId>(1, NextId + 1);
        const auto Held = *rc::gen::inRange<std::size_t>(0, 3000);
        core::TimePoint Wake;
        std::vector<InputVictim> Victims;
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
          Victims = onConnected(
              Budget, NextId++,
              "peer" + std::to_string(*rc::gen::inRange(0, 3)), Now);
          break;
        case 2:
        case 3:
          Victims = onInput(Budget, Id, Held, Held, Now);
          break;
        case 4:
          onRequestComplete(Budget, Id, Now);
          break;
        case 5:
          Victims = onResponse(Budget, Id, Held, Now);
          break;
        case 6:
          onResponseSent(Budget, Id, Now);
          break;
        default:
          Victims = slowInputs(Budget, Now, Wake);
          RC_ASSERT(Wake > Now);
        }
        for (const InputVictim &Victim : Victims) {
          RC_ASSERT(Named.insert(Victim.Id_).second);
          RC_ASSERT(Budget.Connections_.count(Victim.Id_) == 0);
          const auto Found = Before.Connections_.find(Victim.Id_);
          if (Found != Before.Connections_.end() && Victim.Id_ != Id)
            RC_ASSERT(Found->second.Phase_ != InputPhase::Handling);
        }
        RC_ASSERT(Budget.Held_ <= Budget.Limits_.MaxBytes_);
        RC_ASSERT(Budget.Connections_.size() <= Budget.Limits_.MaxConnections_);
        RC_ASSERT(sumsAreConsistent(Budget));
      }
    });
    CPPUNIT_ASSERT(Holds);
  }

  /// A small request arrives while a crowd of larger ones holds the budget.
  void generatedSmallRequestsGetIn() {
    const bool Holds = rc::check("small requests", [] {
      constexpr std::size_t Small = 2048;
      InputBudget Budget = budgetOf(1 << 20, 1000);
      const int Count = *rc::gen::inRange(1, 200);
      for (InputId Id = 1; Id <= static_cast<InputId>(Count); ++Id) {
        const auto Since = std::chrono::milliseconds(*rc::gen::inRange(0, 900));
        onConnected(Budget, Id, "crowd", at(Since));
        onInput(Budget, Id, 1,
                *rc::gen::inRange<std::size_t>(Small + 1, 262144), at(Since));
      }
      constexpr InputId Ordinary = 100000;
      const std::string Peer =
          *rc::gen::elementOf(std::vector<std::string>{"crowd", "other"});
      const auto Named = [=](const std::vector<InputVictim> &Victims) {
        const auto Ids = idsOf(Victims);
        return std::count(Ids.begin(), Ids.end(), Ordinary) > 0;
      };
      RC_ASSERT(!Named(onConnected(Budget, Ordinary, Peer, at(1s))));
      RC_ASSERT(!Named(onInput(Budget, Ordinary, Small, Small, at(1s))));
      onRequestComplete(Budget, Ordinary, at(1s));
      RC_ASSERT(!Named(onResponse(Budget, Ordinary, Small, at(1s))));
      RC_ASSERT(Budget.Connections_.count(Ordinary) == 1);
    });
    CPPUNIT_ASSERT(Holds);
  }

  /// A request that keeps the rate is never named as slow.
  void generatedSteadyRequestsAreNotSlow() {
    const bool Holds = rc::check("steady requests", [] {
      InputBudget Budget = budgetOf(1 << 30);
      const auto Step = std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
      const auto Rate = *rc::gen::inRange<std::size_t>(1024, 100000);
      onConnected(Budget, 1, "peer", at(0ms));
      core::TimePoint Wake;
      for (int I = 0; I < 50; ++I) {
        const std::size_t Received =
            1 + Rate * static_cast<std::size_t>((I * Step).count()) / 1000;
        onInput(Budget, 1, Received, Received, at(I * Step));
        RC_ASSERT(slowInputs(Budget, at(I * Step), Wake).empty());
      }
    });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InputBudgetTest);
