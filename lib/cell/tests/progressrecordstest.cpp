#include "nutmegwell/jobs/progressrecords.h"
#include "fakecell.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Records of jobs that live long or have many tasks.
class ProgressRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgressRecordsTest);
  CPPUNIT_TEST(recordsDoNotGrowWithTheLifeOfAJob);
  CPPUNIT_TEST(endedJobsLeaveOneRecord);
  CPPUNIT_TEST(nextHolderContinuesAJobInParts);
  CPPUNIT_TEST(failuresAreCountedOnceAcrossHolders);
  CPPUNIT_TEST(checkpointsOfGangsAreKept);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t Tasks = 20;

  static jobs::JobSpec scheduledJob(jobs::OccurrenceNumber Repetitions) {
    jobs::JobSpec Spec = oneStep(Tasks, {1000, 1000, 0});
    Spec.Repetitions_ = Repetitions;
    Spec.FirstDue_ = jobs::WallTime(1s);
    Spec.Interval_ = 1ms;
    return Spec;
  }

  /// Returns the number of tasks and ranges that a record names.
  struct SizeOf {
    std::size_t operator()(const jobs::JobProgressed &Value) const {
      std::size_t Size = 0;
      for (const auto &[Occurrence, Steps] : Value.Progress_.Occurrences_)
        for (const jobs::RecordedStep &Step : Steps)
          Size += Step.Tasks_.size();
      return Size;
    }
    std::size_t operator()(const jobs::ProgressSummarized &Value) const {
      std::size_t Size = 0;
      for (const jobs::DoneSteps &Row : Value.DoneSteps_)
        Size += Row.Occurrences_.size();
      return Size;
    }
    std::size_t operator()(const jobs::PartsDone &Value) const {
      return Value.Parts_.size();
    }
    std::size_t operator()(const jobs::TasksProgressed &Value) const {
      return Value.Done_.size() + Value.Tasks_.size();
    }
    template <typename Other> std::size_t operator()(const Other &) const {
      return 0;
    }
  };

  static void endRuns(FakeCell &Cell, std::size_t Most) {
    std::vector<RunId> Runs = Cell.runsOf("j");
    Runs.resize(std::min(Most, Runs.size()));
    for (const RunId &Id : Runs)
      Cell.endRun(Id, EndKind::Done);
    Cell.advance();
  }

  /// Ends some runs at a time until the job has ended.
  static void finishJob(FakeCell &Cell) {
    for (int I = 0; I < 5000 && !jobs::isFinal(Cell.stateOf("j")); ++I)
      endRuns(Cell, 23);
    CPPUNIT_ASSERT(Cell.stateOf("j") == jobs::JobState::Completed);
  }

  /// Starts a cell with a job whose progress has outgrown one record.
  static void startInParts(FakeCell &Cell, const jobs::JobSpec &Spec) {
    startCell(Cell, 2);
    Cell.acceptJob("j", Spec);
    Cell.advance();
    while (!Cell.View_.Jobs_.at("j").Progress_.InParts_)
      endRuns(Cell, 30);
  }

  /// Returns the keys of a job's progress that have a record.
  static std::map<std::string, std::size_t>
  progressKeys(const std::vector<jobs::Record> &Records) {
    std::map<std::string, std::size_t> Keys;
    for (const jobs::Record &Record : Records) {
      const std::string Key = jobs::keyOf(Record);
      if (std::holds_alternative<jobs::RecordRemoved>(Record))
        Keys.erase(Key);
      else if (std::string("fpqtu").find(Key[0]) != std::string::npos)
        Keys[Key] = std::visit(SizeOf(), Record);
    }
    return Keys;
  }

public:
  /// Guards against a record that reaches the size that the store takes, after
  /// which no record of the holder becomes durable.
  void recordsDoNotGrowWithTheLifeOfAJob() {
    FakeCell Cell;
    startCell(Cell, 2);
    Cell.acceptJob("j", scheduledJob(1000));
    Cell.advance();
    finishJob(Cell);
    for (const jobs::Record &Record : Cell.Records_)
      CPPUNIT_ASSERT(std::visit(SizeOf(), Record) <= 4096);
  }

  /// Guards against records of ended steps and jobs that stay in the store.
  void endedJobsLeaveOneRecord() {
    FakeCell Cell;
    startInParts(Cell, scheduledJob(400));
    // At most 128 tasks run at a time.
    CPPUNIT_ASSERT(progressKeys(Cell.Records_).size() < 20);
    finishJob(Cell);
    const auto Keys = progressKeys(Cell.Records_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Keys.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p/j"), Keys.begin()->first);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Keys.begin()->second);
  }

  /// Guards against tasks that the next holder repeats, or never runs.
  void nextHolderContinuesAJobInParts() {
    for (const jobs::JobSpec &Spec :
         {scheduledJob(400), oneStep(8000, {1000, 1000, 0})}) {
      FakeCell Cell;
      startInParts(Cell, Spec);
      for (int I = 0; I < 10; ++I) {
        endRuns(Cell, 17);
        Cell.claimCell(Cell.Now_);
        Cell.runFor(300ms);
      }
      finishJob(Cell);
      std::map<TaskId, unsigned> Starts;
      for (const auto &[Host, Orders] : Cell.Orders_)
        for (const StartOrder &Order : Orders.Starts_)
          ++Starts[Order.Id_.Task_];
      CPPUNIT_ASSERT_EQUAL(std::size_t(8000), Starts.size());
      for (const auto &[Task, Count] : Starts)
        CPPUNIT_ASSERT_EQUAL(1u, Count);
    }
  }

  /// Guards against failures that the next holder counts again, or forgets.
  void failuresAreCountedOnceAcrossHolders() {
    FakeCell Cell;
    startInParts(Cell, scheduledJob(400));
    const RunId First = Cell.runsOf("j").at(0);
    Cell.endRun(First, EndKind::Failed);
    Cell.runFor(300ms);
    Cell.claimCell(Cell.Now_);
    Cell.runFor(300ms);
    const auto Again = Cell.runsOf("j");
    const auto Second =
        std::find_if(Again.begin(), Again.end(),
                     [&](const RunId &Id) { return Id.Task_ == First.Task_; });
    CPPUNIT_ASSERT(Second != Again.end());
    Cell.endRun(*Second, EndKind::Failed);
    Cell.runFor(300ms);
    Cell.claimCell(Cell.Now_);
    Cell.runFor(300ms);
    const jobs::JobEntry &Job = Cell.View_.Jobs_.at("j");
    const jobs::StepProgress *Step =
        Job.Progress_.find(First.Task_.Occurrence_, 0);
    CPPUNIT_ASSERT(Step);
    const jobs::TaskProgress &Task = Step->Tasks_.at(First.Task_.Index_);
    CPPUNIT_ASSERT_EQUAL(2u, Task.Failures_);
    CPPUNIT_ASSERT_EQUAL(Second->Run_, Task.FailedRun_);
    CPPUNIT_ASSERT((Job.EarlierFailures_.at({First.Task_.Occurrence_, 0}) ==
                    jobs::EarlierFailures{{First.Task_.Index_, {First.Run_}}}));
  }

  /// Guards against a gang that starts from its beginning after a new holder
  /// has taken over.
  void checkpointsOfGangsAreKept() {
    jobs::JobSpec Spec = jobs::JobSpecBuilder()
                             .step(4, {1000, 1000, 1}, 2s)
                             .gang()
                             .checkpoints()
                             .repeat(2000, jobs::WallTime(1s), 1ms)
                             .build();
    FakeCell Cell;
    startInParts(Cell, Spec);
    Cell.advance();
    const RunId Member = Cell.runsOf("j").at(0);
    Cell.endRun(Member, EndKind::Failed, "saved");
    Cell.runFor(500ms);
    Cell.claimCell(Cell.Now_);
    Cell.runFor(300ms);
    const jobs::StepProgress *Step =
        Cell.View_.Jobs_.at("j").Progress_.find(Member.Task_.Occurrence_, 0);
    CPPUNIT_ASSERT(Step);
    CPPUNIT_ASSERT_EQUAL(std::string("saved"), Step->checkpoint(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressRecordsTest);
