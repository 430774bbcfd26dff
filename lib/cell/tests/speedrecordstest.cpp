#include "nutmegwell/cell/speedrecords.h"
#include "fakecell.h"
#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Which speeds are recorded, and what a new holder reads.
class SpeedRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpeedRecordsTest);
  CPPUNIT_TEST(onlyChangesBeyondTheErrorAreRecorded);
  CPPUNIT_TEST(recordsAreBoundedByTheWorkers);
  CPPUNIT_TEST(firstReportsReplaceNoRows);
  CPPUNIT_TEST(malformedRowsAreIgnored);
  CPPUNIT_TEST(laterIncarnationCounts);
  CPPUNIT_TEST(appendsCarryOneRecordInTwoSeconds);
  CPPUNIT_TEST(outageRecordsTheLatestSpeeds);
  CPPUNIT_TEST(takeoverWithHalfOfTheRecords);
  CPPUNIT_TEST(restartOfAllProcesses);
  CPPUNIT_TEST(rowOfAnotherIncarnationIsIgnored);
  CPPUNIT_TEST(rowsOfRemovedWorkersGiveWay);
  CPPUNIT_TEST(endOfAWorkerDiscardsItsSpeed);
  CPPUNIT_TEST(nothingIsRecordedWithoutTheSetting);
  CPPUNIT_TEST_SUITE_END();

  const SpeedRecordPolicy Policy_{};

  static std::string worker(int Index) { return "w" + std::to_string(Index); }

  static SpeedsToRecord known(int First, int Last, double Speed = 1) {
    SpeedsToRecord Result;
    Result.MayReplace_ = true;
    for (int I = First; I < Last; ++I) {
      Result.Workers_.insert(worker(I));
      Result.Known_.push_back({worker(I), 1, Speed, 0.1});
    }
    return Result;
  }

  static void startLearning(FakeCell &Cell, int Workers) {
    Cell.Policy_.LearnRunTimes_ = true;
    startCell(Cell, Workers);
  }

  /// Sets the speed of every worker, as samples would.
  static void setSpeeds(FakeCell &Cell, double Speed) {
    for (const auto &[Host, Report] : Cell.Agents_)
      expect::restoreSpeed(Cell.Holder_.Speeds_, Host, {Speed, 0.1});
  }

  /// Lets the holder append something: the acceptance, start and end of a job.
  static void causeAppend(FakeCell &Cell, const std::string &Job) {
    Cell.acceptJob(Job, oneStep(1, {1000, 1000, 1}));
    Cell.advance();
    Cell.advance();
    for (const RunId &Run : Cell.runsOf(Job))
      Cell.endRun(Run, EndKind::Done);
    Cell.advance();
  }

  static std::vector<jobs::LearnedSpeeds> speedRecords(const FakeCell &Cell) {
    std::vector<jobs::LearnedSpeeds> Result;
    for (const jobs::Record &Record : Cell.Records_)
      if (const auto *Speeds = std::get_if<jobs::LearnedSpeeds>(&Record))
        Result.push_back(*Speeds);
    return Result;
  }

  static int workersOfSpeed(const FakeCell &Cell, double Speed) {
    return static_cast<int>(std::count_if(
        Cell.Agents_.begin(), Cell.Agents_.end(), [&](const auto &Entry) {
          return std::abs(
                     expect::speedOf(Cell.Holder_.Speeds_, Entry.first).Speed_ -
                     Speed) < 1e-9;
        }));
  }

public:
  /// Guards against appends of noise.
  void onlyChangesBeyondTheErrorAreRecorded() {
    SpeedRecords Recorded;
    CPPUNIT_ASSERT(nextSpeedRecord(Policy_, Recorded, known(0, 3)));
    CPPUNIT_ASSERT(!nextSpeedRecord(Policy_, Recorded, known(0, 3)));
    CPPUNIT_ASSERT(!nextSpeedRecord(Policy_, Recorded, known(0, 3, 1.1)));
    const auto Next = nextSpeedRecord(Policy_, Recorded, known(0, 3, 1.2));
    CPPUNIT_ASSERT(Next);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Next->Workers_.size());
    SpeedsToRecord Restarted = known(0, 3, 1.2);
    Restarted.Known_[1].WorkerIncarnation_ = 2;
    CPPUNIT_ASSERT(nextSpeedRecord(Policy_, Recorded, Restarted));
  }

  /// Guards against keys that are never removed and grow with the names of
  /// workers that come and go, against rows that move between records, and
  /// against records that grow.
  void recordsAreBoundedByTheWorkers() {
    CPPUNIT_ASSERT(rc::check("records are bounded by the workers", [] {
      SpeedRecordPolicy Policy;
      Policy.MaxRows_ = 5;
      SpeedRecords Recorded;
      std::map<std::uint32_t, std::vector<jobs::LearnedSpeed>> Store;
      std::size_t MostWorkers = 0;
      const int Rounds = *rc::gen::inRange(1, 30);
      for (int Round = 0; Round < Rounds; ++Round) {
        const int First = *rc::gen::inRange(0, 40);
        const SpeedsToRecord Current =
            known(First, First + *rc::gen::inRange(1, 20),
                  *rc::gen::element(0.6, 1.0, 1.6));
        MostWorkers = std::max(MostWorkers, Current.Workers_.size());
        const SpeedRecords Before = Recorded;
        for (int Records = 0; Records < 8; ++Records)
          if (const auto Next = nextSpeedRecord(Policy, Recorded, Current)) {
            RC_ASSERT(Next->Workers_.size() <= Policy.MaxRows_);
            Store[Next->Number_] = Next->Workers_;
          }
        RC_ASSERT(!nextSpeedRecord(Policy, Recorded, Current));
        RC_ASSERT(Store.size() <= (MostWorkers + 4) / 5);
        for (const auto &[Host, Row] : Recorded.Rows_)
          if (auto It = Before.Rows_.find(Host); It != Before.Rows_.end())
            RC_ASSERT(It->second.Number_ == Row.Number_);
        // A new holder reads what the earlier one has written.
        Recorded = readSpeedRecords(Policy, Store);
        for (const jobs::LearnedSpeed &Row : Current.Known_)
          RC_ASSERT(recordedSpeed(Policy, Recorded, Row.Host_, 1)->Speed_ ==
                    Row.Speed_);
      }
    }));
  }

  /// Guards against rows that are lost because their agents connect later than
  /// others to a new holder.
  void firstReportsReplaceNoRows() {
    SpeedRecords Recorded;
    CPPUNIT_ASSERT(nextSpeedRecord(Policy_, Recorded, known(0, 100)));
    SpeedsToRecord Early = known(100, 101);
    Early.MayReplace_ = false;
    CPPUNIT_ASSERT(!nextSpeedRecord(Policy_, Recorded, Early));
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), Recorded.Rows_.size());
    const auto Next = nextSpeedRecord(Policy_, Recorded, known(100, 101));
    CPPUNIT_ASSERT(Next);
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), Next->Workers_.size());
  }

  /// Guards against a malformed row that disables the model or the other rows
  /// of its record.
  void malformedRowsAreIgnored() {
    FakeCell Cell;
    const double NaN = std::numeric_limits<double>::quiet_NaN();
    const double Infinity = std::numeric_limits<double>::infinity();
    std::vector<jobs::LearnedSpeed> Rows;
    for (double Speed : {0.0, -1.0, NaN, Infinity, 1e-300})
      Rows.push_back({worker(static_cast<int>(Rows.size())), 1, Speed, 0.1});
    for (double Error : {0.0, -0.1, NaN, Infinity})
      Rows.push_back({worker(static_cast<int>(Rows.size())), 1, 0.6, Error});
    const std::size_t Malformed = Rows.size();
    Rows.push_back({worker(static_cast<int>(Malformed)), 1, 0.6, 0.1});
    jobs::applyRecord(Cell.View_,
                      {Cell.View_.NextOffset_, jobs::LearnedSpeeds{0, Rows}});
    startLearning(Cell, static_cast<int>(Rows.size()));
    for (std::size_t I = 0; I < Malformed; ++I)
      CPPUNIT_ASSERT_EQUAL(
          1.0, expect::speedOf(Cell.Holder_.Speeds_, Rows[I].Host_).Speed_);
    CPPUNIT_ASSERT_EQUAL(1, workersOfSpeed(Cell, 0.6));
    causeAppend(Cell, "j");
    Cell.runFor(3s);
    causeAppend(Cell, "k");
    CPPUNIT_ASSERT_EQUAL(
        std::ptrdiff_t(1),
        std::count_if(Cell.LogEvents_.begin(), Cell.LogEvents_.end(),
                      [](const core::LogEvent &Line) {
                        return Line.Event_ == "speed_rows_ignored";
                      }));
  }

  /// Guards against a row that stays behind in a record from which its worker
  /// has been replaced.
  void laterIncarnationCounts() {
    const SpeedRecords Recorded = readSpeedRecords(
        Policy_, {{0, {{"w0", 7, 0.6, 0.1}}}, {1, {{"w0", 5, 1.6, 0.1}}}});
    CPPUNIT_ASSERT_EQUAL(0u, Recorded.Rows_.at("w0").Number_);
    CPPUNIT_ASSERT(!recordedSpeed(Policy_, Recorded, "w0", 5));
    CPPUNIT_ASSERT(recordedSpeed(Policy_, Recorded, "w0", 7));
  }

  /// Guards against appends that are made only for speeds, and against a record
  /// with each append.
  void appendsCarryOneRecordInTwoSeconds() {
    FakeCell Cell;
    startLearning(Cell, 3);
    // The settled term is recorded once.
    Cell.runFor(7s);
    setSpeeds(Cell, 0.6);
    Cell.Records_.clear();
    Cell.runFor(3s);
    CPPUNIT_ASSERT(Cell.Records_.empty());
    causeAppend(Cell, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), speedRecords(Cell).size());
    setSpeeds(Cell, 1.6);
    causeAppend(Cell, "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), speedRecords(Cell).size());
    Cell.runFor(2s);
    causeAppend(Cell, "c");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), speedRecords(Cell).size());
  }

  /// Guards against a queue of records while the store is down.
  void outageRecordsTheLatestSpeeds() {
    FakeCell Cell;
    startLearning(Cell, 3);
    Cell.runFor(7s);
    Cell.StoreAvailable_ = false;
    causeAppend(Cell, "a");
    Cell.Records_.clear();
    for (double Speed : {0.6, 1.6, 0.8}) {
      setSpeeds(Cell, Speed);
      Cell.runFor(3s);
    }
    CPPUNIT_ASSERT(speedRecords(Cell).empty());
    Cell.StoreAvailable_ = true;
    onAppended(Cell.Holder_);
    causeAppend(Cell, "b");
    const auto Written = speedRecords(Cell);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Written.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, Written[0].Workers_[0].Speed_, 1e-9);
  }

  /// Guards against a takeover that discards what was recorded, or takes
  /// workers without a record for others: the earlier holder has written the
  /// first of two records.
  void takeoverWithHalfOfTheRecords() {
    FakeCell Cell;
    startLearning(Cell, 150);
    setSpeeds(Cell, 0.6);
    Cell.runFor(2s);
    causeAppend(Cell, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), speedRecords(Cell).size());
    Cell.claimCell(Cell.Now_);
    Cell.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(100, workersOfSpeed(Cell, 0.6));
    CPPUNIT_ASSERT_EQUAL(50, workersOfSpeed(Cell, 1));
    setSpeeds(Cell, 0.6);
    Cell.runFor(2s);
    causeAppend(Cell, "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Cell.View_.LearnedSpeeds_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(50),
                         Cell.View_.LearnedSpeeds_.at(1).size());
  }

  /// Guards against speeds that are learned anew after a restart of all
  /// processes, which read the newest record of each key in any order.
  void restartOfAllProcesses() {
    FakeCell Before;
    startLearning(Before, 3);
    setSpeeds(Before, 1.6);
    Before.runFor(2s);
    causeAppend(Before, "a");
    FakeCell After;
    std::for_each(Before.Records_.rbegin(), Before.Records_.rend(),
                  [&](const jobs::Record &Record) {
                    if (std::holds_alternative<jobs::LearnedSpeeds>(Record))
                      jobs::applyNewestRecord(After.View_, {9, Record});
                  });
    startLearning(After, 3);
    CPPUNIT_ASSERT_EQUAL(3, workersOfSpeed(After, 1.6));
  }

  /// Guards against a machine that is judged by the one before it at the same
  /// host name, at the begin of a tenure and later.
  void rowOfAnotherIncarnationIsIgnored() {
    FakeCell Cell;
    startLearning(Cell, 3);
    setSpeeds(Cell, 0.6);
    Cell.runFor(2s);
    causeAppend(Cell, "a");
    Cell.Agents_["w0"].Worker_->WorkerIncarnation_ = 2;
    Cell.claimCell(Cell.Now_);
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(2, workersOfSpeed(Cell, 0.6));
    Cell.Agents_["w1"].Worker_->WorkerIncarnation_ = 2;
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(1, workersOfSpeed(Cell, 0.6));
  }

  /// Guards against keys that grow with the names of workers that come and go
  /// within one tenure, whose agents go with them.
  void rowsOfRemovedWorkersGiveWay() {
    FakeCell Cell;
    Cell.Policy_.SpeedRecords_.MaxRows_ = 3;
    startLearning(Cell, 3);
    setSpeeds(Cell, 0.6);
    Cell.runFor(7s);
    causeAppend(Cell, "a");
    Cell.Agents_.erase("w1");
    onAgentDisconnected(Cell.Holder_, "w1");
    Cell.runFor(10s);
    Cell.addWorker("w9", "r0");
    Cell.runFor(300ms);
    setSpeeds(Cell, 0.6);
    Cell.runFor(2s);
    causeAppend(Cell, "b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.View_.LearnedSpeeds_.size());
    std::set<std::string> Hosts;
    for (const jobs::LearnedSpeed &Row : Cell.View_.LearnedSpeeds_.at(0))
      Hosts.insert(Row.Host_);
    CPPUNIT_ASSERT((Hosts == std::set<std::string>{"w0", "w2", "w9"}));
  }

  /// Guards against a model that grows with workers that have ended.
  void endOfAWorkerDiscardsItsSpeed() {
    FakeCell Cell;
    startLearning(Cell, 2);
    setSpeeds(Cell, 0.6);
    Cell.Agents_["w0"].Worker_.reset();
    Cell.EndedWorkers_ = {"w0"};
    Cell.runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cell.Holder_.Speeds_.Workers_.size());
  }

  /// Guards against records that a deployment without the setting writes.
  void nothingIsRecordedWithoutTheSetting() {
    FakeCell Cell;
    startCell(Cell, 3);
    setSpeeds(Cell, 0.6);
    Cell.runFor(3s);
    causeAppend(Cell, "a");
    CPPUNIT_ASSERT(!Cell.Records_.empty());
    CPPUNIT_ASSERT(speedRecords(Cell).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeedRecordsTest);
