#include "cells.h"
#include "nutmegwell/core/random.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace std::chrono_literals;

/// A full cell of 16 accelerators and an unending supply of urgent jobs. No
/// accelerators stay free that only a small job could use.
class WaitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitTest);
  CPPUNIT_TEST(patientJobStarts);
  CPPUNIT_TEST(smallPatientJobIsNotStarved);
  CPPUNIT_TEST_SUITE_END();

  /// Interval between decisions, and the time that a preempted job takes to
  /// stop.
  static constexpr auto Step = 10s;
  static constexpr auto LongestRun = 60min;
  const core::JobId Patient_{1, 1};
  core::Random Random_;
  sched::CellView View_;
  std::map<core::JobId, core::Duration> RemainingRunTime_;

  std::map<model::JobClass, std::uint32_t> Accelerators_ = {
      {model::JobClass::Urgent, 4}, {model::JobClass::Patient, 4}};

  void addWaiting(const core::JobId &Id, model::JobClass Class,
                  core::Duration Run) {
    auto Spec = model::JobSpecBuilder()
                    .acceleratorsPerTask(Accelerators_[Class])
                    .jobClass(Class);
    View_.Waiting_.push_back({Id, Spec.build(), {}, {}, true});
    RemainingRunTime_[Id] = Run;
  }

  void runStep() {
    for (sched::WaitingJob &Job : View_.Waiting_)
      Job.Waited_ += Step;
    std::vector<sched::RunningJob> Running;
    for (sched::RunningJob &Job : View_.Running_) {
      Job.SinceCheckpoint_ = Job.RunTime_ += Step;
      if (Job.Stopping_)
        View_.Waiting_.push_back({Job.Id_, Job.Spec_, {}, {}, true});
      else if ((RemainingRunTime_[Job.Id_] -= Step) > 0s)
        Running.push_back(Job);
    }
    View_.Running_ = Running;
    while (View_.Waiting_.size() < 8)
      addWaiting({2, RemainingRunTime_.size()}, model::JobClass::Urgent,
                 (1 + core::randomBelow(Random_, 60)) * LongestRun / 60);
    std::stable_sort(
        View_.Waiting_.begin(), View_.Waiting_.end(),
        [](const auto &A, const auto &B) { return A.Waited_ > B.Waited_; });
    sched::tests::applyPlan(View_, sched::planCell(View_));
  }

  const sched::RunningJob *findPatientJob() const {
    for (const sched::RunningJob &Job : View_.Running_)
      if (Job.Id_ == Patient_)
        return &Job;
    return nullptr;
  }

  /// Guards against a patient job that never starts, or is preempted at once,
  /// while urgent jobs keep arriving.
  void patientJobStarts() {
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      Random_ = core::seededRandom(Seed);
      View_ = sched::CellView();
      View_.Workers_ = {{"w1", "r1", 8, true}, {"w2", "r1", 8, true}};
      View_.Pools_.emplace_back().AcceleratorLimit_ = 1000;
      for (int I = 0; I < 1000; ++I)
        runStep();
      const auto Ahead = static_cast<unsigned>(View_.Waiting_.size());
      addWaiting(Patient_, model::JobClass::Patient, 10h);
      core::Duration Left = 2h + (Ahead + 1) * LongestRun + Step;
      for (; !findPatientJob() && Left > Step; Left -= Step)
        runStep();
      CPPUNIT_ASSERT(findPatientJob());
      while (!findPatientJob()->Stopping_ && findPatientJob()->RunTime_ < 10min)
        runStep();
      CPPUNIT_ASSERT(findPatientJob()->RunTime_ >= 10min);
    }
  }

  /// Guards against a small patient job that is overtaken by every larger
  /// urgent job when more of these arrive than the cell can run.
  void smallPatientJobIsNotStarved() {
    Random_ = core::seededRandom(1);
    Accelerators_ = {{model::JobClass::Urgent, 8},
                     {model::JobClass::Patient, 1}};
    View_.Workers_ = {{"w1", "r1", 8, true}, {"w2", "r1", 8, true}};
    View_.Pools_.emplace_back().AcceleratorLimit_ = 1000;
    const auto Next = [this](int Round) {
      if (Round % 40 == 0)
        addWaiting({3, RemainingRunTime_.size()}, model::JobClass::Urgent,
                   LongestRun);
      runStep();
    };
    for (int I = 0; I < 6h / Step; ++I)
      Next(I);
    core::Duration Left = 8h + (View_.Waiting_.size() + 1) * LongestRun + Step;
    addWaiting(Patient_, model::JobClass::Patient, 10h);
    for (int I = 0; !findPatientJob() && Left > Step; ++I, Left -= Step)
      Next(I);
    CPPUNIT_ASSERT(findPatientJob());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitTest);
