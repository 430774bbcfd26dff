#include "cells.h"
#include "nutmegwell/core/random.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace nutmegwell;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr core::JobId Patient{1, 1};
/// Time between decisions, and time that a preempted job takes to stop.
constexpr seconds Step{10};
constexpr minutes LongestUrgentRun{60};

/// A full cell of 16 accelerators and urgent jobs without end. All jobs have
/// one shape, so that none slips into a gap that the others cannot use.
struct Stream {
  explicit Stream(std::uint64_t Seed) : Random_(core::seededRandom(Seed)) {
    View_.Workers_ = {{"w1", "r1", 8, true}, {"w2", "r1", 8, true}};
    model::PoolRow Pool;
    Pool.Account_ = "acc";
    Pool.Service_ = "svc";
    Pool.Limit_ = 1000;
    View_.Pools_ = {Pool};
  }

  void add(const core::JobId &Id, std::uint32_t Tasks, std::uint32_t PerTask,
           model::JobClass Class) {
    auto Spec = model::JobSpecBuilder().account("acc").service("svc");
    Spec.tasks(Tasks).acceleratorsPerTask(PerTask).jobClass(Class);
    View_.Waiting_.push_back({Id, Spec.build(), {}, {}, true});
    Left_[Id] = minutes(1 + core::below(Random_, LongestUrgentRun.count()));
  }

  /// Lets time pass for a running job. Returns false when it has left its
  /// place.
  bool goesOn(sched::RunningJob &Job) {
    Job.RunTime_ += Step;
    Job.SinceCheckpoint_ = Job.RunTime_;
    if (Job.Stopping_)
      View_.Waiting_.push_back({Job.Id_, Job.Spec_, {}, {}, true});
    return !Job.Stopping_ && (Left_[Job.Id_] -= Step) > Step.zero();
  }

  void advance() {
    auto &Running = View_.Running_;
    for (sched::WaitingJob &Job : View_.Waiting_)
      Job.Waited_ += Step;
    Running.erase(std::remove_if(Running.begin(), Running.end(),
                                 [this](auto &Job) { return !goesOn(Job); }),
                  Running.end());
    while (View_.Waiting_.size() < 8)
      add({2, ++Urgent_}, 1, 4, model::JobClass::Urgent);
    std::stable_sort(
        View_.Waiting_.begin(), View_.Waiting_.end(),
        [](const auto &A, const auto &B) { return A.Waited_ > B.Waited_; });
    sched::tests::apply(View_, sched::decide(View_));
  }

  const sched::RunningJob *patient() const {
    for (const sched::RunningJob &Job : View_.Running_)
      if (Job.Id_ == Patient)
        return &Job;
    return nullptr;
  }

  core::Random Random_;
  sched::CellView View_;
  std::map<core::JobId, core::Duration> Left_;
  std::uint64_t Urgent_ = 0;
};

} // namespace

class WaitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitTest);
  CPPUNIT_TEST(patientWorkGetsItsTurn);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against patient work that never starts, or is stopped at once,
  /// while urgent work never ends.
  void patientWorkGetsItsTurn() {
    core::Duration Longest{0};
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      Stream Cell(Seed);
      for (core::Duration Time{0}; Time < hours(3); Time += Step)
        Cell.advance();
      const auto Ahead = static_cast<std::int64_t>(Cell.View_.Waiting_.size());
      Cell.add(Patient, 1, 4, model::JobClass::Patient);
      Cell.Left_[Patient] = hours(10);
      core::Duration Waited{0};
      for (; !Cell.patient() && Waited < hours(24); Waited += Step)
        Cell.advance();
      Longest = std::max(Longest, Waited);
      CPPUNIT_ASSERT(Waited <=
                     hours(2) + (Ahead + 1) * LongestUrgentRun + Step);
      while (!Cell.patient()->Stopping_ &&
             Cell.patient()->RunTime_ < minutes(10))
        Cell.advance();
      CPPUNIT_ASSERT(Cell.patient()->RunTime_ >= minutes(10));
    }
    std::cout << " longest wait "
              << std::chrono::duration_cast<seconds>(Longest).count() << " s";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitTest);
