#include "nutmegwell/routing/admission.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace std::chrono_literals;

/// Faults, their expected effects and the cases that produce them:
/// - requests above the limits: refused, and counts return to zero
///   (boundsHoldInAnyOrder)
/// - every request fails and retries: retries stay within the budget
///   (budgetHoldsUnderTotalFailure)
/// - idle time: the budget holds at most 10 retries (budgetIsNotSavedUp)
class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(boundsHoldInAnyOrder);
  CPPUNIT_TEST(budgetHoldsUnderTotalFailure);
  CPPUNIT_TEST(budgetIsNotSavedUp);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a limit that is exceeded, and a count that leaks.
  void boundsHoldInAnyOrder() {
    CPPUNIT_ASSERT(rc::check("bounds hold", [] {
      model::PoolRow Pool;
      Pool.Account_ = "a";
      Pool.Service_ = "s";
      Pool.RequestLimit_ = *rc::gen::inRange(0, 5);
      model::RouteRow Route;
      Route.Service_ = "s";
      Route.QueueLimit_ = *rc::gen::inRange(0, 5);
      routing::AdmissionState State;
      std::uint32_t Admitted = 0;
      std::uint32_t Waiting = 0;
      for (const int Action :
           *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
        if (Action == 0) {
          const bool Taken = routing::admit(State, Pool);
          RC_ASSERT(Taken == (Admitted < Pool.RequestLimit_));
          Admitted += Taken;
        } else if (Action == 1) {
          const bool Taken = routing::enterQueue(State, Route);
          RC_ASSERT(Taken == (Waiting < Route.QueueLimit_));
          Waiting += Taken;
        } else if (Action == 2 && Admitted > 0) {
          routing::release(State, "a", "s");
          --Admitted;
        } else if (Action == 3 && Waiting > 0) {
          routing::leaveQueue(State, "s");
          --Waiting;
        }
      }
      for (; Admitted > 0; --Admitted)
        routing::release(State, "a", "s");
      for (; Waiting > 0; --Waiting)
        routing::leaveQueue(State, "s");
      RC_ASSERT(State.InFlight_.empty() && State.Waiting_.empty());
    }));
  }

  /// Guards against retries that multiply the load during an outage.
  void budgetHoldsUnderTotalFailure() {
    CPPUNIT_ASSERT(rc::check("budget holds", [] {
      routing::RetryBudget Budget;
      core::TimePoint Now{1h};
      const core::TimePoint Begin = Now;
      std::int64_t Requests = 0;
      std::int64_t Retries = 0;
      for (const int Gap :
           *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50000))) {
        Now += core::Duration(Gap);
        routing::countRequest(Budget, Now);
        ++Requests;
        while (routing::takeRetry(Budget, Now))
          ++Retries;
      }
      const std::int64_t Microseconds = (Now - Begin).count();
      RC_ASSERT(Retries * 1'000'000 <=
                Requests * 100'000 + Microseconds * 10 + 2 * 10'000'000);
    }));
  }

  /// Guards against a budget that grows while idle and then permits thousands
  /// of retries at once.
  void budgetIsNotSavedUp() {
    routing::RetryBudget Budget;
    int Retries = 0;
    while (routing::takeRetry(Budget, core::TimePoint(2h)))
      ++Retries;
    CPPUNIT_ASSERT_EQUAL(10, Retries);
    while (routing::takeRetry(Budget, core::TimePoint(3h)))
      ++Retries;
    CPPUNIT_ASSERT_EQUAL(20, Retries);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
