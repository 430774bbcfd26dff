#include "nutmegwell/jobs/progressrecords.h"
#include "nutmegwell/jobs/view.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

using namespace nutmegwell;
using namespace nutmegwell::jobs;
using namespace std::chrono_literals;

/// Sets of numbers, due occurrences and the progress of jobs with many of them.
class ProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgressTest);
  CPPUNIT_TEST(setsAgreeWithPlainOnes);
  CPPUNIT_TEST(adjacentRangesAreOne);
  CPPUNIT_TEST(dueOccurrencesAreCounted);
  CPPUNIT_TEST(farTimesDoNotOverflow);
  CPPUNIT_TEST(stepsBecomeReadyByOccurrence);
  CPPUNIT_TEST(doneStepsTakeNoMemory);
  CPPUNIT_TEST(recordKeepsTheProgress);
  CPPUNIT_TEST(partsKeepTheProgressInAnyOrder);
  CPPUNIT_TEST(oneRecordDoesNotReplaceParts);
  CPPUNIT_TEST(finalStateReplacesParts);
  CPPUNIT_TEST(wideStepsHaveFewParts);
  CPPUNIT_TEST(manyDoneStepsAreOneRow);
  CPPUNIT_TEST(largeResourcesDoNotOverflow);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Resources OneCore{1000, 0, 0};

  static JobSpec twoSteps(OccurrenceNumber Repetitions) {
    return JobSpecBuilder()
        .step(3, OneCore, 1s)
        .step(2, OneCore, 1s)
        .after({0})
        .repeat(Repetitions, WallTime(10s), 2s)
        .build();
  }

public:
  /// Guards against tasks that are lost or repeated because a range is cut or
  /// joined wrongly.
  void setsAgreeWithPlainOnes() {
    constexpr std::uint64_t Largest = 60;
    for (unsigned Seed = 1; Seed <= 200; ++Seed) {
      std::mt19937 Random(Seed);
      std::uniform_int_distribution<std::uint64_t> Any(0, Largest);
      NumberSet Set;
      std::set<std::uint64_t> Plain;
      for (int I = 0; I < 12; ++I) {
        const std::uint64_t First = Any(Random);
        const NumberRange Range{First, First + Any(Random) % 5};
        Set.insert(Range);
        for (auto N = Range.First_; N < Range.End_; ++N)
          Plain.insert(N);
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(Plain.size()), Set.count());
      for (std::uint64_t N = 0; N <= Largest + 5; ++N) {
        CPPUNIT_ASSERT_EQUAL(Plain.count(N) > 0, Set.contains(N));
        std::uint64_t Missing = N;
        while (Plain.count(Missing))
          ++Missing;
        CPPUNIT_ASSERT_EQUAL(Missing, Set.firstMissing(N));
        const auto Next = Plain.lower_bound(N);
        const NumberRange Found = Set.firstRange(N);
        CPPUNIT_ASSERT_EQUAL(Next == Plain.end(), Found.empty());
        if (Next != Plain.end())
          CPPUNIT_ASSERT_EQUAL(*Next, Found.First_);
      }
    }
  }

  /// Guards against a set that grows with its members instead of its gaps.
  void adjacentRangesAreOne() {
    NumberSet Set;
    for (std::uint64_t N = 0; N < 1000; N += 2)
      Set.insert(N);
    CPPUNIT_ASSERT_EQUAL(std::size_t(500), Set.rangeCount());
    for (std::uint64_t N = 1; N < 1000; N += 2)
      Set.insert(N);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Set.rangeCount());
  }

  /// Guards against occurrences that start early, late or never.
  void dueOccurrencesAreCounted() {
    const JobSpec Spec = twoSteps(4);
    const std::pair<core::Duration, OccurrenceNumber> Cases[] = {
        {9999ms, 0}, {10s, 1}, {11999ms, 1}, {12s, 2}, {16s, 4}, {90s, 4}};
    for (const auto &[At, Due] : Cases)
      CPPUNIT_ASSERT_EQUAL(Due, Spec.dueCount(WallTime(At)));
    CPPUNIT_ASSERT(Spec.dueAt(3) == WallTime(16s));
    JobSpec AtOnce = twoSteps(4);
    AtOnce.Interval_ = -2s;
    CPPUNIT_ASSERT_EQUAL(OccurrenceNumber(4), AtOnce.dueCount(WallTime(10s)));
  }

  /// Guards against times that overflow, as a caller may name any.
  void farTimesDoNotOverflow() {
    JobSpec Spec = twoSteps(UINT64_MAX);
    Spec.FirstDue_ = WallTime(core::Duration::min() / 2);
    Spec.Interval_ = core::Duration::max() / 2;
    CPPUNIT_ASSERT(Spec.dueAt(0) == Spec.FirstDue_);
    CPPUNIT_ASSERT(Spec.dueAt(2) > Spec.dueAt(1));
    CPPUNIT_ASSERT(Spec.dueAt(UINT64_MAX) == WallTime::max());
    CPPUNIT_ASSERT_EQUAL(OccurrenceNumber(2), Spec.dueCount(WallTime(1s)));
    Spec.Interval_ = 1us;
    CPPUNIT_ASSERT(Spec.dueCount(WallTime(1s)) > (1ull << 62));
  }

  /// Guards against a step that starts before the steps that it depends on have
  /// ended in the same occurrence.
  void stepsBecomeReadyByOccurrence() {
    const JobSpec Spec = twoSteps(100);
    JobProgress Progress;
    const NumberRange All{0, 100};
    CPPUNIT_ASSERT((nextReady(Spec, Progress, 0, All) == NumberRange{0, 100}));
    CPPUNIT_ASSERT(nextReady(Spec, Progress, 1, All).empty());
    for (OccurrenceNumber K : {0, 1, 2, 5, 6})
      Progress.finishStep(K, 0);
    Progress.finishStep(1, 1);
    CPPUNIT_ASSERT((nextReady(Spec, Progress, 0, All) == NumberRange{3, 5}));
    CPPUNIT_ASSERT(
        (nextReady(Spec, Progress, 0, {5, 100}) == NumberRange{7, 100}));
    CPPUNIT_ASSERT((nextReady(Spec, Progress, 1, All) == NumberRange{0, 1}));
    CPPUNIT_ASSERT(
        (nextReady(Spec, Progress, 1, {1, 100}) == NumberRange{2, 3}));
    CPPUNIT_ASSERT(
        (nextReady(Spec, Progress, 1, {3, 100}) == NumberRange{5, 7}));
    CPPUNIT_ASSERT(nextReady(Spec, Progress, 1, {7, 100}).empty());
  }

  /// Guards against progress that grows with the life of a job.
  void doneStepsTakeNoMemory() {
    const JobSpec Spec = twoSteps(5000);
    JobProgress Progress;
    for (OccurrenceNumber K = 0; K < 5000; ++K)
      for (std::uint32_t Step : {0, 1}) {
        CPPUNIT_ASSERT(!Progress.allDone(Spec));
        for (std::uint32_t I = 0; I < Spec.Steps_[Step].Count_; ++I)
          Progress.step(K, Step).finish(I);
        Progress.finishStep(K, Step);
      }
    CPPUNIT_ASSERT(Progress.allDone(Spec));
    CPPUNIT_ASSERT(Progress.BegunSteps_.empty());
    for (const NumberSet &Done : Progress.DoneSteps_)
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Done.rangeCount());
  }

  /// Guards against a record from which the next holder repeats tasks, forgets
  /// failures, or loses checkpoints.
  void recordKeepsTheProgress() {
    const JobSpec Spec = twoSteps(9);
    JobProgress Progress;
    Progress.State_ = JobState::Running;
    Progress.finishStep(4, 0);
    Progress.step(4, 1).finish(1);
    Progress.step(4, 1).Tasks_[0] = {false, 2, 71, "c"};
    const JobProgress Read = fromRecord(toRecord(Spec, Progress));
    CPPUNIT_ASSERT(Read.State_ == JobState::Running);
    CPPUNIT_ASSERT(Read.DoneSteps_ == Progress.DoneSteps_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read.BegunSteps_.size());
    const StepProgress *Step = Read.find(4, 1);
    CPPUNIT_ASSERT(Step && Step->isDone(1) && !Step->isDone(0));
    CPPUNIT_ASSERT_EQUAL(2u, Step->Tasks_.at(0).Failures_);
    CPPUNIT_ASSERT_EQUAL(RunNumber(71), Step->Tasks_.at(0).FailedRun_);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Step->checkpoint(0));
  }

  static constexpr std::uint32_t Wide = 3 * TasksPerPart + 7;

  static StepProgress someProgress() {
    StepProgress Step;
    Step.Done_.insert({0, TasksPerPart + 5});
    Step.Done_.insert(2 * TasksPerPart + 1);
    Step.Tasks_[2 * TasksPerPart] = {false, 2, 71, "c"};
    return Step;
  }

  static JobEntry entryOf(const std::vector<Record> &Records) {
    View State;
    for (std::size_t I = 0; I < Records.size(); ++I)
      applyNewestRecord(State, {I, Records[I]});
    return State.Jobs_.at("j");
  }

  /// Returns the records of a job in which occurrences 0 and 1 of the first
  /// step are done, and occurrence 2 has someProgress().
  static std::vector<Record> recordsInParts() {
    JobProgress Progress;
    Progress.State_ = JobState::Running;
    Progress.finishStep(0, 0);
    Progress.finishStep(1, 0);
    const StepProgress Step = someProgress();
    std::vector<Record> Records{summaryOf("j", Progress),
                                partsDone("j", {2, 0}, Step, Wide)};
    for (std::uint32_t Part : begunParts(Step))
      Records.push_back(
          recordOf("j", {{2, 0}, Part}, Step, {{2 * TasksPerPart, {70}}}));
    // A part of a step that is done, whose removal was not read.
    Records.push_back(TasksProgressed{"j", 1, 0, 0, {{0, 3}}, {}});
    return Records;
  }

  /// Guards against tasks that are repeated, or failures that are forgotten,
  /// because records of one job are read in another order than written: pages
  /// of keys come in the order of keys, relays in that of offsets.
  void partsKeepTheProgressInAnyOrder() {
    std::vector<Record> Records = recordsInParts();
    for (unsigned Seed = 1; Seed <= 100; ++Seed) {
      std::shuffle(Records.begin(), Records.end(), std::mt19937(Seed));
      const JobEntry Job = entryOf(Records);
      const JobProgress &Progress = Job.Progress_;
      CPPUNIT_ASSERT(Progress.State_ == JobState::Running);
      CPPUNIT_ASSERT((Progress.doneOccurrences(0).ranges() ==
                      std::vector<NumberRange>{{0, 2}}));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Progress.BegunSteps_.size());
      const StepProgress *Step = Progress.find(2, 0);
      CPPUNIT_ASSERT(Step && Step->Done_ == someProgress().Done_);
      const TaskProgress &Task = Step->Tasks_.at(2 * TasksPerPart);
      CPPUNIT_ASSERT_EQUAL(2u, Task.Failures_);
      CPPUNIT_ASSERT_EQUAL(RunNumber(71), Task.FailedRun_);
      CPPUNIT_ASSERT_EQUAL(std::string("c"), Task.Checkpoint_);
      CPPUNIT_ASSERT((Job.EarlierFailures_.at({2, 0}) ==
                      EarlierFailures{{2 * TasksPerPart, {70}}}));
    }
  }

  /// Guards against progress that goes back to the last record before the
  /// parts, which the store keeps.
  void oneRecordDoesNotReplaceParts() {
    JobProgressed Before{"j", {JobState::Running, {}}};
    Before.Progress_.Occurrences_[7] = {{{TaskProgress{true, 0, 0, ""}}}};
    std::vector<Record> Records = recordsInParts();
    for (const bool First : {true, false}) {
      std::vector<Record> Read = Records;
      Read.insert(First ? Read.begin() : Read.end(), Before);
      const JobEntry Job = entryOf(Read);
      CPPUNIT_ASSERT(Job.Progress_.stepDone(1, 0));
      CPPUNIT_ASSERT(Job.Progress_.find(2, 0));
      CPPUNIT_ASSERT(!Job.Progress_.stepDone(7, 0));
    }
  }

  /// Guards against a job that goes on after its end because a part of it is
  /// read after the final state.
  void finalStateReplacesParts() {
    std::vector<Record> Records = recordsInParts();
    Records.push_back(JobProgressed{"j", {JobState::Completed, {}}});
    for (unsigned Seed = 1; Seed <= 100; ++Seed) {
      std::shuffle(Records.begin(), Records.end(), std::mt19937(Seed));
      const JobEntry Job = entryOf(Records);
      CPPUNIT_ASSERT(Job.Progress_.State_ == JobState::Completed);
      CPPUNIT_ASSERT(Job.Progress_.BegunSteps_.empty());
    }
  }

  /// Guards against a record, or a number of records, that grows with the tasks
  /// of a step that are done.
  void wideStepsHaveFewParts() {
    constexpr std::uint32_t Count = 1'000'000'000;
    StepProgress Step;
    Step.Done_.insert({0, Count / 2 + 1});
    Step.Done_.insert({Count / 2 + 5, Count / 2 + 100'000'000});
    CPPUNIT_ASSERT(begunParts(Step).size() <= 4);
    const PartsDone Record = partsDone("j", {0, 0}, Step, Count);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Record.Parts_.size());
    for (std::uint32_t Part : begunParts(Step))
      CPPUNIT_ASSERT(recordOf("j", {{0, 0}, Part}, Step, {}).Done_.size() <= 2);
  }

  /// Guards against a record that grows with the steps of a job.
  void manyDoneStepsAreOneRow() {
    JobProgress Progress;
    for (std::uint32_t Step = 0; Step < 50'000; ++Step)
      Progress.finishStep(0, Step);
    Progress.finishStep(0, 50'002);
    const ProgressSummarized Record = summaryOf("j", Progress);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Record.DoneSteps_.size());
  }

  /// Guards against a huge request that overflows into a small one.
  void largeResourcesDoNotOverflow() {
    const Resources Large{INT64_MAX / 3, 5, INT64_MAX};
    const Resources Sum = Large.times(1'000'000);
    CPPUNIT_ASSERT(Sum.Cpu_ > INT64_MAX / 3);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5'000'000), Sum.MemoryMb_);
    CPPUNIT_ASSERT(Sum.Accelerators_ > INT64_MAX / 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressTest);
