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

/// Collects the events of a reader and an appender and waits for them.
struct Collector {
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<core::RecordId> Read_;
  std::vector<AppendReport> Reports_;
  std::vector<StartPoint> Restarts_;
  std::vector<bool> Available_;
  unsigned Tails_ = 0;

  template <typename Function> void update(Function Record) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Record();
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
      update([&] {
        for (const auto &Record : Entry)
          Read_.push_back(Record.Id_);
      });
    };
    Events.OnTail_ = [=](core::TimePoint ReadStartedAt) {
      if (Writer)
        Writer->noteTail(ReadStartedAt);
      update([&] { ++Tails_; });
    };
    Events.OnRestart_ = [=](const StartPoint &Start) {
      if (Writer)
        Writer->noteRestart(Start.State_);
      update([&] { Restarts_.push_back(Start); });
    };
    return Events;
  }

  AppenderEvents appenderEvents() {
    return {[=](const AppendReport &Report) {
              update([&] { Reports_.push_back(Report); });
            },
            [=](bool Value) { update([&] { Available_.push_back(Value); }); }};
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
  CPPUNIT_TEST(binaryEntryIsUnchangedOverHttp);
  CPPUNIT_TEST(oldestRetainedOffsetIsReturnedOverHttp);
  CPPUNIT_TEST(malformedResponseIsRejected);
  CPPUNIT_TEST(lostResponseAppendsOnce);
  CPPUNIT_TEST(outageIsReportedAndRecovers);
  CPPUNIT_TEST(hungAppendDoesNotDelayDeadlines);
  CPPUNIT_TEST(tailTimeIsStartOfRead);
  CPPUNIT_TEST(readerSkipsUndecodableEntries);
  CPPUNIT_TEST(readerRestartsFromSnapshot);
  CPPUNIT_TEST(readerRestartsFromPeer);
  CPPUNIT_TEST(startIsTheLatestUsableSnapshot);
  CPPUNIT_TEST(startUsesOffsetOfSnapshotState);
  CPPUNIT_TEST_SUITE_END();

  const net::Address Address_{"127.0.0.1", net::reserveTcpPort()};
  standins::LogStore Store_{64};
  Collector Events_;
  ReaderSettings ReaderSettings_;

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
  /// Guards against entry bytes that are changed by the encoding of the
  /// response.
  void binaryEntryIsUnchangedOverHttp() {
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

  /// Guards against a reader that does not learn the oldest retained offset and
  /// so cannot continue after retention has removed entries.
  void oldestRetainedOffsetIsReturnedOverHttp() {
    auto Server = serve();
    for (int I = 0; I < 70; ++I)
      CPPUNIT_ASSERT(Store_.append("x").ok());
    auto Result = http().Read_(0, 10, 0s);
    CPPUNIT_ASSERT_EQUAL(core::Offset{6}, *firstRetained(Result.status()));
    CPPUNIT_ASSERT_EQUAL(core::Offset{6}, http().Read_(6, 1, 0s)->First_);
  }

  /// Guards against entries with wrong offsets, and against exceptions caused
  /// by malformed responses.
  void malformedResponseIsRejected() {
    for (const char *Body :
         {"", "{}", R"({"first":0})", R"({"first":0,"next":5,"entries":[]})",
          R"({"first":-1,"next":4,"entries":[]})",
          R"({"first":0,"next":5,"entries":["!?"]})"})
      CPPUNIT_ASSERT(
          !parseReadResponse({200, "application/json", Body}, 4, 9, "log")
               .ok());
    CPPUNIT_ASSERT(!parseReadResponse({500, "", "{}"}, 4, 9, "log").ok());
  }

  /// Guards against a record that is in the log twice after a lost response.
  void lostResponseAppendsOnce() {
    auto Server = serve();
    Appender Writer(http(), 9, AppenderSettings(), Events_.appenderEvents());
    Reader Tail(http(), 0, ReaderSettings_, Events_.readerEvents(&Writer));
    standins::LogFaults Faults;
    Faults.LoseAnswers_ = 3;
    Store_.setFaults(Faults);
    for (int I = 0; I < 5; ++I) {
      CPPUNIT_ASSERT(Writer.submit(model::CellRenewed{"a", 1}, 60s).ok());
      Events_.waitFor([&] { return Events_.Reports_.size() > std::size_t(I); });
    }
    Events_.waitFor([&] { return Events_.Read_.size() >= 5; });
    CPPUNIT_ASSERT_EQUAL(core::Offset{5}, Store_.next());
    for (const auto &Report : Events_.Reports_)
      CPPUNIT_ASSERT(Report.Outcome_ == AppendOutcome::Appended);
  }

  /// Guards against an outage that is not reported, and against a log that
  /// stays marked as unavailable after the outage.
  void outageIsReportedAndRecovers() {
    Appender Writer(serviceOf(Store_), 9, AppenderSettings(),
                    Events_.appenderEvents());
    Reader Tail(serviceOf(Store_), 0, ReaderSettings_,
                Events_.readerEvents(&Writer));
    standins::LogFaults Faults;
    Faults.Outage_ = true;
    Store_.setFaults(Faults);
    CPPUNIT_ASSERT(Writer.submit(model::CellRenewed{"a", 1}, 60s).ok());
    Events_.waitFor([&] { return !Events_.Available_.empty(); });
    CPPUNIT_ASSERT(!Writer.available());
    Store_.setFaults(standins::LogFaults());
    Events_.waitFor([&] { return Events_.Available_.size() == 2; });
    CPPUNIT_ASSERT(Events_.Available_[1]);
    CPPUNIT_ASSERT_EQUAL(core::Offset{1}, Store_.next());
  }

  /// Guards against a refusal that is not reported at its deadline because an
  /// append hangs.
  void hungAppendDoesNotDelayDeadlines() {
    standins::LogFaults Faults;
    Faults.Slow_ = 1h;
    Store_.setFaults(Faults);
    Appender Writer(serviceOf(Store_), 9, AppenderSettings(),
                    Events_.appenderEvents());
    CPPUNIT_ASSERT(Writer.submit(model::CellRenewed{"a", 1}, 60s).ok());
    Events_.waitFor([&] { return !Events_.Available_.empty(); });
    auto Second = Writer.submit(model::CellRenewed{"a", 1}, 1ms);
    Events_.waitFor([&] { return !Events_.Reports_.empty(); });
    CPPUNIT_ASSERT(Events_.Reports_[0].Id_ == *Second);
    CPPUNIT_ASSERT(Events_.Reports_[0].Outcome_ == AppendOutcome::Refused);
    Store_.close();
    Writer.stop();
    CPPUNIT_ASSERT(Events_.Reports_.at(1).Outcome_ == AppendOutcome::Unknown);
  }

  /// Guards against start permits based on an outdated view of the log: when a
  /// read takes long, the tail is as old as the start of that read.
  void tailTimeIsStartOfRead() {
    core::TimePoint Now{1h};
    LogService Log;
    Log.Read_ = [&](core::Offset From, std::size_t, core::Duration) {
      Now += 5s;
      ReadResult Result;
      Result.Next_ = From;
      Result.AtTail_ = true;
      return Result;
    };
    core::TimePoint TailTime;
    ReaderEvents Events;
    Events.OnTail_ = [&](core::TimePoint ReadStartedAt) {
      TailTime = ReadStartedAt;
    };
    ReaderState State(3);
    CPPUNIT_ASSERT(readOnce(State, Log, ReaderSettings_, Events,
                            core::Clock{[&] { return Now; }}));
    CPPUNIT_ASSERT(TailTime == core::TimePoint(1h));
    CPPUNIT_ASSERT(State.LastTail_.load() == core::Duration(1h));
  }

  /// Guards against a single entry in an unknown format that stops every entry
  /// host.
  void readerSkipsUndecodableEntries() {
    for (const auto &Bytes : {renewal(1), std::string("junk"), renewal(2)})
      CPPUNIT_ASSERT(Store_.append(Bytes).ok());
    Reader Tail(serviceOf(Store_), 0, ReaderSettings_,
                Events_.readerEvents(nullptr));
    Events_.waitFor([&] { return Events_.Tails_ > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Events_.Read_.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Tail.undecodableEntries());
    CPPUNIT_ASSERT(Tail.lastTail() > core::TimePoint());
  }

  /// Guards against a gap in the state when retention removes entries that the
  /// reader has not read.
  void readerRestartsFromSnapshot() {
    for (core::Offset I = 0; I < 100; ++I)
      CPPUNIT_ASSERT(
          Store_.append(I == 80 ? snapshot(70, 71) : renewal(I)).ok());
    Reader Tail(serviceOf(Store_), 10, ReaderSettings_,
                Events_.readerEvents(nullptr));
    Events_.waitFor([&] { return Events_.Tails_ > 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Events_.Restarts_.size());
    CPPUNIT_ASSERT_EQUAL(core::Offset{71}, Events_.Restarts_[0].From_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{29}, Events_.Read_.size());
  }

  /// Guards against a host that retries the log forever after retention has
  /// removed entries that it has not read and no snapshot is retained, and
  /// against a peer's state that is too old.
  void readerRestartsFromPeer() {
    for (core::Offset I = 0; I < 100; ++I)
      CPPUNIT_ASSERT(Store_.append(renewal(I)).ok());
    Store_.dropBelow(40);
    LogService Log = serviceOf(Store_);
    core::Offset AtLeast = 60;
    std::map<model::NodeName, model::ControlState> Offered;
    ReaderEvents Events = Events_.readerEvents(nullptr);
    Events.FindStart_ = [&] {
      return findBestStart(
          Log, 8,
          {[&] { return AtLeast; }, [&](core::Offset) { return Offered; }});
    };
    ReaderState State(10);
    auto Read = [&] {
      return readOnce(State, Log, ReaderSettings_, Events, core::steadyClock());
    };
    CPPUNIT_ASSERT(!Read());
    Offered["old"].NextOffset_ = 39;
    Offered["behind"].NextOffset_ = 59;
    CPPUNIT_ASSERT(!Read());
    Offered["e2"].NextOffset_ = 61;
    CPPUNIT_ASSERT(Read());
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Events_.Restarts_.at(0).Peer_);
    CPPUNIT_ASSERT(Read());
    CPPUNIT_ASSERT_EQUAL(std::size_t{39}, Events_.Read_.size());
  }

  /// Guards against starting from a corrupt snapshot, or from one whose
  /// following entries are no longer retained.
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

  /// Guards against skipped entries when a snapshot's LastIncludedOffset_ is
  /// higher than the offset in its state.
  void startUsesOffsetOfSnapshotState() {
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
