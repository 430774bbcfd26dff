#include "logstore.h"
#include "nutmegwell/logclient/appender.h"
#include "nutmegwell/logclient/httplog.h"
#include "nutmegwell/logclient/reader.h"
#include "nutmegwell/wire/binary.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::logclient;
using namespace std::chrono_literals;

namespace {

/// Collects what a reader and an appender report, and waits for it.
struct Collector {
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<core::RecordId> Read_;
  std::vector<AppendReport> Reports_;
  std::vector<StartPoint> Restarts_;
  std::vector<bool> Available_;
  unsigned Tails_ = 0;

  template <typename Function> void note(Function Change) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Change();
    }
    Changed_.notify_all();
  }

  template <typename Function> void waitFor(Function Condition) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    CPPUNIT_ASSERT(Changed_.wait_for(Lock, 60s, Condition));
  }

  ReaderEvents readerEvents(Appender *Writer) {
    ReaderEvents Events;
    Events.OnBatch_ = [=](core::Offset At, const model::Batch &Entry) {
      if (Writer)
        Writer->noteBatch(At, Entry);
      note([&] {
        for (const auto &Change : Entry)
          Read_.push_back(Change.Id_);
      });
    };
    Events.OnTail_ = [=](core::TimePoint Began) {
      if (Writer)
        Writer->noteTail(Began);
      note([&] { ++Tails_; });
    };
    Events.OnRestart_ = [=](const StartPoint &Start) {
      if (Writer)
        Writer->noteRestart(Start.State_);
      note([&] { Restarts_.push_back(Start); });
    };
    return Events;
  }

  AppenderEvents appenderEvents() {
    return {[=](const AppendReport &Report) {
              note([&] { Reports_.push_back(Report); });
            },
            [=](bool Value) { note([&] { Available_.push_back(Value); }); }};
  }
};

std::string snapshot(core::Offset AsOf, core::Offset Next) {
  model::ControlState State;
  State.NextOffset_ = Next;
  return wire::encode(model::Batch{
      {{3, AsOf}, model::SnapshotTaken{AsOf, wire::encode(State)}}});
}

std::string renewal(std::uint64_t Sequence) {
  return wire::encode(
      model::Batch{{{2, Sequence}, model::CellRenewed{"a", 1}}});
}

} // namespace

class LogClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogClientTest);
  CPPUNIT_TEST(binaryEntrySurvivesHttp);
  CPPUNIT_TEST(retainedRangeIsToldOverHttp);
  CPPUNIT_TEST(malformedAnswerIsRefused);
  CPPUNIT_TEST(lostAnswersAppendOnce);
  CPPUNIT_TEST(outageIsReportedAndEnds);
  CPPUNIT_TEST(hungAppendDoesNotDelayRefusals);
  CPPUNIT_TEST(tailIsAsOldAsItsRead);
  CPPUNIT_TEST(readerSkipsUndecodableEntries);
  CPPUNIT_TEST(readerRestartsFromSnapshot);
  CPPUNIT_TEST(readerTurnsToAPeer);
  CPPUNIT_TEST(startIsTheLatestUsableSnapshot);
  CPPUNIT_TEST(startTrustsTheStateOfASnapshot);
  CPPUNIT_TEST_SUITE_END();

  const net::Address Address_{"127.0.0.1", net::reserveTcpPort()};
  standins::LogStore Store_{64};
  Collector Seen_;
  ReaderSettings Reading_;

  net::HttpServer serve() {
    return net::HttpServer(Address_, standins::logServerLimits(),
                           [this](const net::HttpRequest &Request) {
                             return standins::handleLog(Store_, Request);
                           });
  }

  LogService http() {
    HttpLogSettings Settings;
    Settings.Server_ = Address_;
    return httpLogService(Settings);
  }

public:
  /// Guards against bytes that the encoding of the answer changes.
  void binaryEntrySurvivesHttp() {
    auto Server = serve();
    LogService Log = http();
    std::string Bytes;
    for (int I = 0; I < 3000; ++I)
      Bytes.push_back(static_cast<char>(I * 7));
    for (std::size_t Size : {0, 1, 2, 3, 3000})
      CPPUNIT_ASSERT(Log.Append_(Bytes.substr(0, Size)).ok());
    auto Result = Log.Read_(1, 10, 0s);
    CPPUNIT_ASSERT(Result.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Result->Entries_.size());
    CPPUNIT_ASSERT(Result->AtTail_);
    CPPUNIT_ASSERT_EQUAL(core::Offset{5}, Result->Next_);
    CPPUNIT_ASSERT_EQUAL(core::Offset{4}, Result->Entries_[3].At_);
    CPPUNIT_ASSERT(Bytes == Result->Entries_[3].Bytes_);
    CPPUNIT_ASSERT(!Log.Read_(1, 4, 0s)->AtTail_);
    CPPUNIT_ASSERT(Log.Read_(5, 4, 1ms)->Entries_.empty());
  }

  /// Guards against a reader that cannot tell where to continue.
  void retainedRangeIsToldOverHttp() {
    auto Server = serve();
    for (int I = 0; I < 70; ++I)
      CPPUNIT_ASSERT(Store_.append("x").ok());
    auto Result = http().Read_(0, 10, 0s);
    CPPUNIT_ASSERT_EQUAL(core::Offset{6}, *firstRetained(Result.status()));
    CPPUNIT_ASSERT_EQUAL(core::Offset{6}, http().Read_(6, 1, 0s)->First_);
  }

  /// Guards against entries taken at wrong offsets, and input that throws.
  void malformedAnswerIsRefused() {
    for (const char *Body :
         {"", "{}", R"({"first":0})", R"({"first":0,"next":5,"entries":[]})",
          R"({"first":-1,"next":4,"entries":[]})",
          R"({"first":0,"next":5,"entries":["!?"]})"})
      CPPUNIT_ASSERT(
          !parseReadAnswer({200, "application/json", Body}, 4, 9, "log").ok());
    CPPUNIT_ASSERT(!parseReadAnswer({500, "", "{}"}, 4, 9, "log").ok());
  }

  /// Guards against a record that is in the log twice after a lost answer.
  void lostAnswersAppendOnce() {
    auto Server = serve();
    Appender Writer(http(), 9, AppenderSettings(), Seen_.appenderEvents());
    Reader Tail(http(), 0, Reading_, Seen_.readerEvents(&Writer));
    standins::LogFaults Faults;
    Faults.LoseAnswers_ = 3;
    Store_.setFaults(Faults);
    for (int I = 0; I < 5; ++I) {
      CPPUNIT_ASSERT(Writer.submit(model::CellRenewed{"a", 1}, 60s).ok());
      Seen_.waitFor([&] { return Seen_.Reports_.size() > std::size_t(I); });
    }
    Seen_.waitFor([&] { return Seen_.Read_.size() >= 5; });
    CPPUNIT_ASSERT_EQUAL(core::Offset{5}, Store_.next());
    for (const auto &Report : Seen_.Reports_)
      CPPUNIT_ASSERT(Report.Outcome_ == AppendOutcome::Appended);
  }

  /// Guards against an outage that is not noticed, or that never ends.
  void outageIsReportedAndEnds() {
    Appender Writer(serviceOf(Store_), 9, AppenderSettings(),
                    Seen_.appenderEvents());
    Reader Tail(serviceOf(Store_), 0, Reading_, Seen_.readerEvents(&Writer));
    standins::LogFaults Faults;
    Faults.Outage_ = true;
    Store_.setFaults(Faults);
    CPPUNIT_ASSERT(Writer.submit(model::CellRenewed{"a", 1}, 60s).ok());
    Seen_.waitFor([&] { return !Seen_.Available_.empty(); });
    CPPUNIT_ASSERT(!Writer.available());
    Store_.setFaults(standins::LogFaults());
    Seen_.waitFor([&] { return Seen_.Available_.size() == 2; });
    CPPUNIT_ASSERT(Seen_.Available_[1]);
    CPPUNIT_ASSERT_EQUAL(core::Offset{1}, Store_.next());
  }

  /// Guards against refusals that wait behind a log that does not answer.
  void hungAppendDoesNotDelayRefusals() {
    standins::LogFaults Faults;
    Faults.Slow_ = 1h;
    Store_.setFaults(Faults);
    Appender Writer(serviceOf(Store_), 9, AppenderSettings(),
                    Seen_.appenderEvents());
    CPPUNIT_ASSERT(Writer.submit(model::CellRenewed{"a", 1}, 60s).ok());
    Seen_.waitFor([&] { return !Seen_.Available_.empty(); });
    auto Second = Writer.submit(model::CellRenewed{"a", 1}, 1ms);
    Seen_.waitFor([&] { return !Seen_.Reports_.empty(); });
    CPPUNIT_ASSERT(Seen_.Reports_[0].Id_ == *Second);
    CPPUNIT_ASSERT(Seen_.Reports_[0].Outcome_ == AppendOutcome::Refused);
    Store_.close();
    Writer.stop();
    CPPUNIT_ASSERT(Seen_.Reports_.at(1).Outcome_ == AppendOutcome::InDoubt);
  }

  /// Guards against start permits on a view of the log that is older than it
  /// seems, because the answer to a read took long.
  void tailIsAsOldAsItsRead() {
    core::TimePoint Now{1h};
    LogService Log;
    Log.Read_ = [&](core::Offset From, std::size_t, core::Duration) {
      Now += 5s;
      ReadResult Result;
      Result.Next_ = From;
      Result.AtTail_ = true;
      return Result;
    };
    core::TimePoint Told;
    ReaderEvents Events;
    Events.OnTail_ = [&](core::TimePoint Began) { Told = Began; };
    ReaderState State(3);
    CPPUNIT_ASSERT(readOnce(State, Log, Reading_, Events,
                            core::Clock{[&] { return Now; }}));
    CPPUNIT_ASSERT(Told == core::TimePoint(1h));
    CPPUNIT_ASSERT(State.LastTail_.load() == core::Duration(1h));
  }

  /// Guards against one foreign entry that stops every entry host.
  void readerSkipsUndecodableEntries() {
    for (const auto &Bytes : {renewal(1), std::string("junk"), renewal(2)})
      CPPUNIT_ASSERT(Store_.append(Bytes).ok());
    Reader Tail(serviceOf(Store_), 0, Reading_, Seen_.readerEvents(nullptr));
    Seen_.waitFor([&] { return Seen_.Tails_ > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Seen_.Read_.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Tail.undecodable());
    CPPUNIT_ASSERT(Tail.lastTail() > core::TimePoint());
  }

  /// Guards against a gap in the state when retention overtakes a reader.
  void readerRestartsFromSnapshot() {
    for (core::Offset I = 0; I < 100; ++I)
      CPPUNIT_ASSERT(
          Store_.append(I == 80 ? snapshot(70, 71) : renewal(I)).ok());
    Reader Tail(serviceOf(Store_), 10, Reading_, Seen_.readerEvents(nullptr));
    Seen_.waitFor([&] { return Seen_.Tails_ > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Seen_.Restarts_.size());
    CPPUNIT_ASSERT_EQUAL(core::Offset{71}, Seen_.Restarts_[0].From_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{29}, Seen_.Read_.size());
  }

  /// Guards against a host that asks the log for good when retention has
  /// overtaken it and no snapshot is retained, and against older states.
  void readerTurnsToAPeer() {
    for (core::Offset I = 0; I < 100; ++I)
      CPPUNIT_ASSERT(Store_.append(renewal(I)).ok());
    Store_.dropBelow(40);
    LogService Log = serviceOf(Store_);
    core::Offset AtLeast = 60;
    std::map<model::NodeName, model::ControlState> Offered;
    ReaderEvents Events = Seen_.readerEvents(nullptr);
    Events.FindStart_ = [&] {
      return findBestStart(
          Log, 8,
          {[&] { return AtLeast; }, [&](core::Offset) { return Offered; }});
    };
    ReaderState State(10);
    auto Read = [&] {
      return readOnce(State, Log, Reading_, Events, core::steadyClock());
    };
    CPPUNIT_ASSERT(!Read());
    Offered["old"].NextOffset_ = 39;
    Offered["behind"].NextOffset_ = 59;
    CPPUNIT_ASSERT(!Read());
    Offered["e2"].NextOffset_ = 61;
    CPPUNIT_ASSERT(Read());
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Seen_.Restarts_.at(0).Peer_);
    CPPUNIT_ASSERT(Read());
    CPPUNIT_ASSERT_EQUAL(std::size_t{39}, Seen_.Read_.size());
  }

  /// Guards against starting from a broken snapshot, or from one whose
  /// following entries are gone.
  void startIsTheLatestUsableSnapshot() {
    LogService Log = serviceOf(Store_);
    CPPUNIT_ASSERT_EQUAL(core::Offset{0}, findStart(Log, 8)->From_);
    for (core::Offset I = 0; I < 100; ++I) {
      std::string Bytes = renewal(I);
      if (I == 50)
        Bytes = snapshot(47, 48);
      else if (I == 55)
        Bytes = snapshot(45, 46);
      else if (I == 60)
        Bytes = snapshot(200, 201);
      else if (I == 61)
        Bytes = wire::encode(
            model::Batch{{{3, 99}, model::SnapshotTaken{59, "cut"}}});
      else if (I == 90)
        Bytes = snapshot(20, 21);
      CPPUNIT_ASSERT(Store_.append(Bytes).ok());
    }
    for (std::size_t Chunk : {3, 8, 1000}) {
      auto Start = findStart(Log, Chunk);
      CPPUNIT_ASSERT(Start.ok());
      CPPUNIT_ASSERT(Start->From_ == 46 || Start->From_ == 48);
    }
    CPPUNIT_ASSERT_EQUAL(core::Offset{48}, findStart(Log, 1000)->From_);
    Store_.dropBelow(49);
    CPPUNIT_ASSERT(absl::IsNotFound(findStart(Log, 8).status()));
  }

  /// Guards against entries that are skipped because a snapshot claims more
  /// than its state has.
  void startTrustsTheStateOfASnapshot() {
    LogService Log = serviceOf(Store_);
    for (core::Offset I = 0; I < 30; ++I)
      CPPUNIT_ASSERT(
          Store_.append(I == 20 ? snapshot(19, 10) : renewal(I)).ok());
    CPPUNIT_ASSERT_EQUAL(core::Offset{10}, findStart(Log, 8)->From_);
    Store_.dropBelow(11);
    CPPUNIT_ASSERT(absl::IsNotFound(findStart(Log, 8).status()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogClientTest);
