#include "nutmegwell/site/loadadmission.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

namespace {

constexpr jobs::Resources OneAccelerator{1000, 1000, 1};

/// Returns a report of a cell with 100 accelerators, all in use, and \p Waiting
/// accelerator-seconds of work of priority 1.
cell::CellLoad fullCell(double Waiting) {
  cell::CellLoad Load;
  Load.Service_ = "service";
  Load.Accelerators_ = 100;
  Load.Capacity_ = {800000, 1600000, 100};
  cell::QueueLoad Queue;
  Queue.Queue_ = "q1";
  Queue.Priority_ = 1;
  Queue.Waiting_ = Waiting;
  Load.Queues_.push_back(Queue);
  return Load;
}

/// Returns a submission of 2 s with an objective of 6 s.
LoadAdmissionInput submissionTo(const cell::CellLoad &Load) {
  LoadAdmissionInput Submission;
  Submission.Job_ = "j";
  Submission.Priority_ = 1;
  Submission.RunTime_ = 2s;
  Submission.Objective_ = 6s;
  Submission.Needs_ = OneAccelerator;
  Submission.Load_ = Load;
  return Submission;
}

core::Duration anyDuration(int MaxMilliseconds) {
  return std::chrono::milliseconds(*rc::gen::inRange(0, MaxMilliseconds));
}

cell::CellLoad anyLoad() {
  cell::CellLoad Load = fullCell(0);
  Load.Accelerators_ = *rc::gen::inRange(0, 200);
  Load.Free_.Accelerators_ = *rc::gen::inRange(0, 4);
  Load.Free_.Cpu_ = *rc::gen::inRange(0, 4) * 1000;
  Load.Free_.MemoryMb_ = 100000;
  Load.Queues_.clear();
  for (int Priority = 0; Priority < 3; ++Priority) {
    cell::QueueLoad Queue;
    Queue.Priority_ = Priority;
    Queue.Late_ = *rc::gen::inRange(0, 1000);
    Queue.Expired_ = *rc::gen::inRange(0, 1000);
    Queue.Waiting_ = Queue.Late_ + Queue.Expired_ + *rc::gen::inRange(0, 1000);
    Load.Queues_.push_back(Queue);
  }
  return Load;
}

LoadAdmissionInput anySubmission() {
  LoadAdmissionInput Submission;
  Submission.Job_ = std::to_string(*rc::gen::arbitrary<int>());
  Submission.Priority_ = *rc::gen::inRange(0, 3);
  Submission.Guaranteed_ = *rc::gen::arbitrary<bool>();
  Submission.RunTime_ = anyDuration(10000);
  Submission.Objective_ = anyDuration(30000);
  Submission.Needs_ = OneAccelerator.times(*rc::gen::inRange(0, 8));
  Submission.Waited_ = anyDuration(20000);
  if (*rc::gen::inRange(0, 10) > 0)
    Submission.Load_ = anyLoad();
  Submission.ReportAge_ = anyDuration(1500);
  Submission.AdmittedWork_ = *rc::gen::inRange(0, 100);
  Submission.AdmittedNeeds_ = OneAccelerator.times(*rc::gen::inRange(0, 8));
  Submission.EntryHosts_ = *rc::gen::inRange(1, 12);
  return Submission;
}

} // namespace

/// Decisions of entry hosts about submissions to an overloaded cell.
class LoadAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadAdmissionTest);
  CPPUNIT_TEST(hopelessJobIsRefused);
  CPPUNIT_TEST(urgentGuaranteeIsNeverRefused);
  CPPUNIT_TEST(unknownLoadRefusesNothing);
  CPPUNIT_TEST(onlyHopelessJobsAreRefused);
  CPPUNIT_TEST(callersReturnWithinBounds);
  CPPUNIT_TEST(callersReturnApart);
  CPPUNIT_TEST(entryHostsShareTheRoom);
  CPPUNIT_TEST(oneHostAdmitsItsShareOfTheFreeRoom);
  CPPUNIT_TEST_SUITE_END();

  LoadAdmissionPolicy Policy_;

public:
  void setUp() override { Policy_.Enabled_ = true; }

  /// Guards against a limit that is off: a job of 2 s that must end within 18 s
  /// is worth waiting 16 s for.
  void hopelessJobIsRefused() {
    CPPUNIT_ASSERT(!refuseForLoad(Policy_, submissionTo(fullCell(1600))));
    CPPUNIT_ASSERT(refuseForLoad(Policy_, submissionTo(fullCell(1601))));
    LoadAdmissionInput Returned = submissionTo(fullCell(1500));
    CPPUNIT_ASSERT(!refuseForLoad(Policy_, Returned));
    Returned.Waited_ = 2s;
    CPPUNIT_ASSERT(refuseForLoad(Policy_, Returned));
    Policy_.Enabled_ = false;
    CPPUNIT_ASSERT(!refuseForLoad(Policy_, Returned));
  }

  /// Guards against a broken guarantee.
  void urgentGuaranteeIsNeverRefused() {
    CPPUNIT_ASSERT(rc::check("guaranteed urgent jobs are admitted", [this] {
      LoadAdmissionInput Submission = anySubmission();
      Submission.Priority_ = 0;
      Submission.Guaranteed_ = true;
      RC_ASSERT(!refuseForLoad(Policy_, Submission));
    }));
  }

  /// Guards against refusals by a view of the load that may be outdated.
  void unknownLoadRefusesNothing() {
    CPPUNIT_ASSERT(rc::check("old and missing reports admit", [this] {
      LoadAdmissionInput Submission = anySubmission();
      if (*rc::gen::arbitrary<bool>())
        Submission.Load_.reset();
      else
        Submission.ReportAge_ =
            Policy_.MaxReportAge_ + 1us + anyDuration(100000);
      RC_ASSERT(!refuseForLoad(Policy_, Submission));
    }));
  }

  /// Guards against refusals of jobs that would be worth something, and
  /// against waits of those that would not.
  void onlyHopelessJobsAreRefused() {
    CPPUNIT_ASSERT(rc::check("refuses what ends too late", [this] {
      LoadAdmissionInput Submission = anySubmission();
      Submission.Guaranteed_ &= Submission.Priority_ > 0;
      Submission.Load_ = anyLoad();
      Submission.ReportAge_ = anyDuration(1000);
      Submission.Objective_ += 1ms;
      Submission.AdmittedWork_ = 0;
      Submission.AdmittedNeeds_ = {};
      const core::Duration Spent = Submission.Waited_ + Submission.RunTime_;
      const core::Duration End =
          Spent + cell::expectedWait(*Submission.Load_, Submission.Priority_,
                                     Submission.Needs_,
                                     Submission.Objective_ - Spent);
      RC_ASSERT(refuseForLoad(Policy_, Submission).has_value() ==
                (End > 3 * Submission.Objective_));
    }));
  }

  /// Guards against callers that return at once, or after they gave up.
  void callersReturnWithinBounds() {
    CPPUNIT_ASSERT(rc::check("callers return within bounds", [this] {
      const auto RetryAfter = refuseForLoad(Policy_, anySubmission());
      RC_PRE(RetryAfter.has_value());
      RC_ASSERT(*RetryAfter >= 1s);
      RC_ASSERT(*RetryAfter <= 10s);
    }));
  }

  /// Guards against a thousand callers that were refused together and return
  /// together, also where their ids differ only at the end.
  void callersReturnApart() {
    for (double Backlog : {1650.0, 2000.0, 1e6}) {
      std::map<std::int64_t, int> Returns;
      core::Duration First = 10s;
      core::Duration Last = 0s;
      for (int I = 0; I < 1000; ++I) {
        LoadAdmissionInput Submission = submissionTo(fullCell(Backlog));
        Submission.Job_ = "batch-7/job-" + std::to_string(I);
        const auto RetryAfter = refuseForLoad(Policy_, Submission);
        CPPUNIT_ASSERT(RetryAfter);
        ++Returns[*RetryAfter / 100ms];
        First = std::min(First, *RetryAfter);
        Last = std::max(Last, *RetryAfter);
      }
      // Evenly spread over a quarter of 1 s, at most 0.4 of them return in any
      // 100 ms.
      for (const auto &[Slot, Count] : Returns)
        CPPUNIT_ASSERT(Count < 500);
      CPPUNIT_ASSERT(Last - First >= First * 0.24);
    }
  }

  /// Guards against entry hosts that all see the same room and admit for it in
  /// step: with room for 100 jobs, eleven hosts together admit no more.
  void entryHostsShareTheRoom() {
    constexpr unsigned Hosts = 11;
    constexpr int Room = 100;
    constexpr double WorkOfJob = 2;
    int Admitted = 0;
    for (unsigned Host = 0; Host < Hosts; ++Host) {
      LoadAdmissionInput Submission =
          submissionTo(fullCell(1600 - Room * WorkOfJob));
      Submission.EntryHosts_ = Hosts;
      for (int I = 0; I < Room; ++I)
        if (!refuseForLoad(Policy_, Submission)) {
          ++Admitted;
          Submission.AdmittedWork_ += WorkOfJob;
        }
    }
    // A share is rounded up to whole jobs.
    CPPUNIT_ASSERT(Admitted >= Room);
    CPPUNIT_ASSERT(Admitted <= Room + static_cast<int>(Hosts));
  }

  /// Guards against a host that fills all free accelerators before the next
  /// report, while the others do the same.
  void oneHostAdmitsItsShareOfTheFreeRoom() {
    cell::CellLoad Load = fullCell(1e6);
    Load.Free_ = OneAccelerator.times(20);
    LoadAdmissionInput Submission = submissionTo(Load);
    Submission.EntryHosts_ = 4;
    int Admitted = 0;
    while (!refuseForLoad(Policy_, Submission)) {
      ++Admitted;
      Submission.AdmittedNeeds_ += OneAccelerator;
    }
    CPPUNIT_ASSERT_EQUAL(5, Admitted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadAdmissionTest);
