#include "cells.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::sched;
using namespace nutmegwell::sched::tests;

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(plansKeepEveryRule);
  CPPUNIT_TEST(nothingStartsInAClosedCell);
  CPPUNIT_TEST_SUITE_END();

  static void addWaiting(CellView &View, std::uint64_t &Next) {
    auto Count = *rc::gen::inRange(1, 8);
    for (int I = 0; I < Count; ++I)
      View.Waiting_.push_back(
          {{1, ++Next}, randomSpec(), std::chrono::hours(1), {}, true});
  }

  /// Removes stopping jobs and some running ones.
  static void endRandomJobs(CellView &View) {
    std::vector<RunningJob> Remaining;
    for (RunningJob &Job : View.Running_) {
      Job.RunTime_ += std::chrono::minutes(7);
      if (!Job.Stopping_ && *rc::gen::inRange(0, 3) != 0)
        Remaining.push_back(Job);
    }
    View.Running_ = std::move(Remaining);
  }

  /// Guards against an accelerator that two jobs hold, a gang placed in part or
  /// outside its level, an account over its limit, and a task on an unusable
  /// worker, over random histories of a cell.
  void plansKeepEveryRule() {
    CPPUNIT_ASSERT(rc::check("plans keep every rule", [] {
      CellView View = randomCell();
      std::uint64_t Next = 0;
      for (int Round = 0; Round < 8; ++Round) {
        addWaiting(View, Next);
        Plan Plan = planCell(View);
        std::size_t Waiting = View.Waiting_.size();
        RC_ASSERT(Plan.Starts_.size() + Plan.Waits_.size() == Waiting);
        for (const WaitReason &Wait : Plan.Waits_)
          RC_ASSERT(Wait.Reason_.find(" can start ") != std::string::npos);
        applyPlan(View, Plan);
        RC_ASSERT(findViolation(View) == "");
        endRandomJobs(View);
      }
    }));
  }

  /// Guards against a start in a domain that is out of service.
  void nothingStartsInAClosedCell() {
    CPPUNIT_ASSERT(rc::check("nothing starts in a closed cell", [] {
      CellView View = randomCell();
      View.MayStart_ = false;
      std::uint64_t Next = 0;
      addWaiting(View, Next);
      Plan Plan = planCell(View);
      RC_ASSERT(Plan.Starts_.empty());
      RC_ASSERT(Plan.Waits_.size() == View.Waiting_.size());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
