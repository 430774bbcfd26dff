#include "nutmegwell/sched/plan.h"
#include "nutmegwell/sched/migration.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;

class PlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlanTest);
  CPPUNIT_TEST(gangLiesWithinItsLevel);
  CPPUNIT_TEST(limitHoldsJobBack);
  CPPUNIT_TEST(jobMigratesOnlyToAFreeGuarantee);
  CPPUNIT_TEST(gangPreemptsJobsOfItsAccount);
  CPPUNIT_TEST_SUITE_END();

  static sched::CellView view() {
    sched::CellView View;
    View.Domain_ = "a";
    View.Workers_ = {
        {"w1", "r1", 4, true}, {"w2", "r2", 8, true}, {"w3", "r2", 8, true}};
    model::PoolRow Pool;
    Pool.Account_ = "acc";
    Pool.Service_ = "svc";
    Pool.AcceleratorLimit_ = 16;
    View.Pools_ = {Pool};
    return View;
  }

  static model::JobSpec gang(std::uint32_t Tasks) {
    return model::JobSpecBuilder()
        .account("acc")
        .service("svc")
        .tasks(Tasks)
        .acceleratorsPerTask(4)
        .level(model::TopologyLevel::Rack)
        .build();
  }

  /// Guards against a gang that asked for one rack and is spread over several.
  void gangLiesWithinItsLevel() {
    sched::CellView View = view();
    View.Waiting_ = {{{1, 1}, gang(2), {}, {}, true}};
    sched::Plan Plan = sched::planCell(View);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan.Starts_.size());
    for (const auto &Task : Plan.Starts_[0].Placement_)
      CPPUNIT_ASSERT(Task.Worker_ != "w1");
  }

  /// Guards against an account that holds more than its limit.
  void limitHoldsJobBack() {
    sched::CellView View = view();
    View.Pools_[0].AcceleratorLimit_ = 4;
    View.Waiting_ = {{{1, 1}, gang(2), {}, {}, true}};
    sched::Plan Plan = sched::planCell(View);
    CPPUNIT_ASSERT(Plan.Starts_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan.Waits_.size());
  }

  /// Two domains with one worker of 8 accelerators each. Account "other" has a
  /// guarantee of 4 in each, and its job in the first blocks a gang of 8.
  static std::vector<sched::CellView> cellsWithGang() {
    std::vector<sched::CellView> Cells;
    for (const char *Domain : {"a", "b"}) {
      sched::CellView View = view();
      View.Domain_ = Domain;
      View.Workers_ = {{std::string(Domain) + "1", "r1", 8, true}};
      View.Pools_.push_back(View.Pools_[0]);
      View.Pools_[1].Account_ = "other";
      View.Pools_[1].Guaranteed_ = View.Pools_[1].BlockSize_ = 4;
      View.Waiting_ = {{{1, 1}, gang(2), std::chrono::hours(1), {}, true}};
      View.Running_.resize(1);
      View.Running_[0].Id_ = {1, 2};
      View.Running_[0].Spec_ = gang(1);
      View.Running_[0].Spec_.Account_ = "other";
      View.Running_[0].Placement_ = {{View.Workers_[0].Name_, 15}};
      View.Running_[0].RunTime_ = std::chrono::hours(1);
      Cells.push_back(View);
    }
    return Cells;
  }

  /// Guards against a migration without a free guarantee in another cell, and
  /// against a migrated job that returns to the place that it left for a gang.
  void jobMigratesOnlyToAFreeGuarantee() {
    std::vector<sched::CellView> Cells = cellsWithGang();
    sched::planMigrations(Cells);
    CPPUNIT_ASSERT(sched::planCell(Cells[0]).Preemptions_.empty());
    Cells[1].Running_.clear();
    Cells[1].MayStart_ = false;
    sched::planMigrations(Cells);
    CPPUNIT_ASSERT(sched::planCell(Cells[0]).Preemptions_.empty());
    Cells[1].MayStart_ = true;
    Cells[1].Workers_[0].Accelerators_ = 4;
    sched::planMigrations(Cells);
    sched::Plan Plan = sched::planCell(Cells[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan.Preemptions_.size());
    CPPUNIT_ASSERT(Plan.Preemptions_[0].Migration_);
    Cells[0].Waiting_.push_back({{1, 2}, Cells[0].Running_[0].Spec_, {}, {}});
    Cells[0].Waiting_[1].MigratedFrom_ = "a";
    Cells[0].Running_.clear();
    Plan = sched::planCell(Cells[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan.Starts_.size());
    CPPUNIT_ASSERT(Plan.Starts_[0].Job_ == Cells[0].Waiting_[0].Id_);
  }

  /// Guards against a gang that waits forever behind jobs of its own account.
  void gangPreemptsJobsOfItsAccount() {
    sched::CellView View = cellsWithGang()[0];
    View.Running_[0].Spec_.Account_ = "acc";
    View.Pools_[0].AcceleratorLimit_ = 8;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         sched::planCell(View).Preemptions_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanTest);
