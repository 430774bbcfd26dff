#include "cells.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace nutmegwell;
using namespace nutmegwell::sched;
using namespace nutmegwell::sched::tests;

class ReclaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReclaimTest);
  CPPUNIT_TEST(freeGuaranteeIsAlwaysObtained);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t BlockSize = 4;

  /// A cell whose workers hold one or two blocks each, with all blocks
  /// guaranteed to three accounts.
  static CellView randomGuaranteedCell() {
    CellView View;
    View.Domain_ = "a";
    auto Workers = *rc::gen::inRange<std::uint32_t>(2, 7);
    std::uint32_t Blocks = 0;
    for (std::uint32_t W = 0; W < Workers; ++W) {
      auto Size = *rc::gen::element<std::uint32_t>(4, 8);
      Blocks += Size / BlockSize;
      View.Workers_.push_back(
          {"w" + std::to_string(W), "r" + std::to_string(W / 3), Size, true});
    }
    for (std::uint32_t A = 0; A < 3; ++A) {
      auto Count =
          A < 2 ? *rc::gen::inRange<std::uint32_t>(0, Blocks + 1) : Blocks;
      model::PoolRow Row;
      Row.Account_ = "acc" + std::to_string(A);
      Row.Service_ = "svc";
      Row.BlockSize_ = BlockSize;
      Row.Guaranteed_ = Count * BlockSize;
      Row.AcceleratorLimit_ = 1000;
      View.Pools_.push_back(Row);
      Blocks -= Count;
    }
    return View;
  }

  static model::JobSpec oneBlock(const model::AccountName &Account) {
    auto PerTask = *rc::gen::element<std::uint32_t>(1, 2, 4);
    return model::JobSpecBuilder()
        .account(Account)
        .service("svc")
        .tasks(BlockSize / PerTask)
        .acceleratorsPerTask(PerTask)
        .level(model::TopologyLevel::Worker)
        .build();
  }

  static bool obtained(const Plan &Plan, const CellView &View,
                       const WaitingJob &Job) {
    bool Started = std::any_of(
        Plan.Starts_.begin(), Plan.Starts_.end(),
        [&](const StartDecision &Next) { return Next.Job_ == Job.Id_; });
    bool Reclaims =
        std::any_of(Plan.Preemptions_.begin(), Plan.Preemptions_.end(),
                    [&](const PreemptDecision &Next) {
                      return Next.Preemptor_ == Job.Id_;
                    });
    bool Pending = std::any_of(
        View.Running_.begin(), View.Running_.end(),
        [](const RunningJob &Running) { return Running.Stopping_; });
    return Started || Reclaims || Pending;
  }

  /// Guards against a guarantee that its account cannot reclaim, and against
  /// the preemption of a job within its own account's guarantee. The oracle
  /// counts accelerators and does not know blocks: an account may lose a job
  /// only when it holds more than its guarantee.
  void freeGuaranteeIsAlwaysObtained() {
    CPPUNIT_ASSERT(rc::check("a free guarantee is always obtained", [] {
      CellView View = randomGuaranteedCell();
      std::uint64_t Next = 0;
      std::size_t Preempted = 0;
      for (int Round = 0; Round < 10; ++Round) {
        auto Arrivals = *rc::gen::inRange(0, 6);
        std::string Account = "acc" + std::to_string(*rc::gen::inRange(0, 3));
        for (int I = 0; I < Arrivals; ++I)
          View.Waiting_.push_back({{1, ++Next},
                                   oneBlock(Account),
                                   std::chrono::hours(1),
                                   {},
                                   true});
        Plan Plan = planCell(View);
        Preempted += Plan.Preemptions_.size();
        checkVictims(View, Plan);
        checkClaims(View, Plan);
        applyPlan(View, Plan);
        RC_ASSERT(findViolation(View) == "");
        endRandomJobs(View);
      }
      RC_CLASSIFY(Preempted > 0, "preempts");
    }));
  }

  static void checkVictims(const CellView &View, const Plan &Plan) {
    CellView After = View;
    for (const PreemptDecision &Next : Plan.Preemptions_) {
      auto Victim = std::find_if(
          After.Running_.begin(), After.Running_.end(),
          [&](const RunningJob &Job) { return Job.Id_ == Next.Job_; });
      RC_ASSERT(Victim != After.Running_.end());
      auto Row = std::find_if(After.Pools_.begin(), After.Pools_.end(),
                              [&](const model::PoolRow &Pool) {
                                return Pool.Account_ == Victim->Spec_.Account_;
                              });
      RC_ASSERT(heldBy(After, Row->Account_) > Row->Guaranteed_);
      After.Running_.erase(Victim);
    }
  }

  static void checkClaims(const CellView &View, const Plan &Plan) {
    for (const model::PoolRow &Row : View.Pools_) {
      std::uint32_t Held = heldBy(View, Row.Account_);
      for (const WaitingJob &Job : View.Waiting_) {
        if (Job.Spec_.Account_ != Row.Account_)
          continue;
        Held += BlockSize;
        if (Held <= Row.Guaranteed_)
          RC_ASSERT(obtained(Plan, View, Job));
      }
    }
  }

  static void endRandomJobs(CellView &View) {
    std::vector<RunningJob> Remaining;
    for (RunningJob &Job : View.Running_) {
      Job.RunTime_ += std::chrono::minutes(7);
      if (Job.Stopping_)
        View.Waiting_.push_back({Job.Id_, Job.Spec_, {}, {}, true});
      else if (*rc::gen::inRange(0, 4) != 0)
        Remaining.push_back(Job);
    }
    View.Running_ = std::move(Remaining);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReclaimTest);
