#include "nutmegwell/sched/plan.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;

class PlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlanTest);
  CPPUNIT_TEST(gangLiesWithinItsLevel);
  CPPUNIT_TEST(limitHoldsJobBack);
  CPPUNIT_TEST_SUITE_END();

  static sched::CellView view() {
    sched::CellView View;
    View.Domain_ = "a";
    View.Workers_ = {
        {"w1", "r1", 4, true}, {"w2", "r2", 8, true}, {"w3", "r2", 8, true}};
    model::PoolRow Pool;
    Pool.Account_ = "acc";
    Pool.Service_ = "svc";
    Pool.Limit_ = 16;
    View.Pools_ = {Pool};
    return View;
  }

  static model::JobSpec gang(std::uint32_t Tasks) {
    return model::JobSpecBuilder()
        .account("acc")
        .service("svc")
        .tasks(Tasks)
        .acceleratorsPerTask(4)
        .level(model::Level::Rack)
        .build();
  }

  /// Guards against a gang spread over racks that asked for one.
  void gangLiesWithinItsLevel() {
    sched::CellView View = view();
    View.Waiting_ = {{{1, 1}, gang(2), {}, {}, true}};
    sched::Plan Plan = sched::decide(View);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan.Starts_.size());
    for (const auto &Task : Plan.Starts_[0].Placement_)
      CPPUNIT_ASSERT(Task.Worker_ != "w1");
  }

  /// Guards against an account that holds more than its limit.
  void limitHoldsJobBack() {
    sched::CellView View = view();
    View.Pools_[0].Limit_ = 4;
    View.Waiting_ = {{{1, 1}, gang(2), {}, {}, true}};
    sched::Plan Plan = sched::decide(View);
    CPPUNIT_ASSERT(Plan.Starts_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan.Waits_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanTest);
