#include "nutmegwell/wire/cellbinary.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;

/// Encodings of a cell's records, which hosts of two versions share during a
/// rolling restart.
class CellBinaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellBinaryTest);
  CPPUNIT_TEST(progressKeepsItsEncoding);
  CPPUNIT_TEST(failuresSurviveRoundTrip);
  CPPUNIT_TEST(speedsSurviveRoundTrip);
  CPPUNIT_TEST(unknownRecordsAreRejected);
  CPPUNIT_TEST(loadReportSurvivesRoundTrip);
  CPPUNIT_TEST(truncatedLoadReportsAreRejected);
  CPPUNIT_TEST(kindsOfMessagesKeepTheirNumbers);
  CPPUNIT_TEST(partialEndsShareAByteWithReachability);
  CPPUNIT_TEST(largeOccurrencesExtendTheEncoding);
  CPPUNIT_TEST(progressInPartsSurvivesRoundTrip);
  CPPUNIT_TEST(largeJobSurvivesRoundTrip);
  CPPUNIT_TEST(largeJobIsNoLargerThanItsRequest);
  CPPUNIT_TEST(truncatedLargeJobsAreRejected);
  CPPUNIT_TEST(forgedLengthIsRejectedBeforeItIsAllocated);
  CPPUNIT_TEST(largestOrdinaryMessagesAreRead);
  CPPUNIT_TEST_SUITE_END();

  /// Position of the kind of a record in its encoding.
  static constexpr std::size_t KindAt = 4;

  static jobs::JobProgressed sampleProgress() {
    jobs::JobProgressed Value;
    Value.Job_ = "j";
    Value.Progress_.State_ = jobs::JobState::Running;
    jobs::TaskProgress Task;
    Task.Failures_ = 2;
    Task.FailedRun_ = 0x0102030405060708;
    Task.Checkpoint_ = "c";
    Value.Progress_.Occurrences_[3] = {{{Task}}};
    return Value;
  }

  static cell::LoadReport sampleReport() {
    cell::CellLoad Load;
    Load.Service_ = "s";
    Load.Queues_ = {{"q", 1, 30, 20, 5, 7}};
    Load.Accelerators_ = 16;
    Load.Capacity_ = {64000, 1000, 16};
    Load.Free_ = {1, 2, 3};
    return {"e1", 12, true, {Load}};
  }

public:
  /// Guards against a progress record that hosts of the version before cannot
  /// read.
  void progressKeepsItsEncoding() {
    const std::string Bytes = wire::encode(jobs::Record(sampleProgress()));
    std::string Hex;
    for (unsigned char Byte : Bytes) {
      Hex += "0123456789abcdef"[Byte >> 4];
      Hex += "0123456789abcdef"[Byte & 15];
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string("6e77010502000000010000006a0101000000030000000100000001"
                    "000000000200000008070605040302010100000063"),
        Hex);
  }

  /// Guards against failures that the next holder counts again.
  void failuresSurviveRoundTrip() {
    const jobs::FailuresCounted Value{"j", 3, 1, {{0, {70, 71}}, {9, {80}}}};
    const auto Decoded = wire::decodeRecord(wire::encode(jobs::Record(Value)));
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Read = std::get<jobs::FailuresCounted>(*Decoded);
    CPPUNIT_ASSERT_EQUAL(std::string("f/j.3.1"), jobs::keyOf(*Decoded));
    CPPUNIT_ASSERT(Read.Runs_ == Value.Runs_);
  }

  /// Guards against speeds that are lost in a restart of all processes, and
  /// against a kind of record that shifts the numbers of the others.
  void speedsSurviveRoundTrip() {
    const jobs::LearnedSpeeds Value{3, {{"w0", 71, 0.625, 0.125}}};
    const std::string Bytes = wire::encode(jobs::Record(Value));
    CPPUNIT_ASSERT_EQUAL(8, int(Bytes[KindAt]));
    const auto Decoded = wire::decodeRecord(Bytes);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("l/3"), jobs::keyOf(*Decoded));
    const auto &Rows = std::get<jobs::LearnedSpeeds>(*Decoded).Workers_;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w0"), Rows[0].Host_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(71), Rows[0].WorkerIncarnation_);
    CPPUNIT_ASSERT_EQUAL(0.625, Rows[0].Speed_);
    CPPUNIT_ASSERT_EQUAL(0.125, Rows[0].LogError_);
  }

  /// Guards against a record of a later version that ends the process or is
  /// taken for another kind.
  void unknownRecordsAreRejected() {
    std::string Bytes = wire::encode(jobs::Record(sampleProgress()));
    Bytes[KindAt] = std::variant_size_v<jobs::Record>;
    CPPUNIT_ASSERT(!wire::decodeRecord(Bytes).ok());
  }

  /// Guards against numbers that change places on their way.
  void loadReportSurvivesRoundTrip() {
    const std::string Bytes = wire::encode(cell::PeerMessage(sampleReport()));
    const auto Decoded = wire::decodePeerMessage(Bytes);
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Read = std::get<cell::LoadReport>(*Decoded);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Read.Host_);
    CPPUNIT_ASSERT_EQUAL(core::Term(12), Read.Term_);
    CPPUNIT_ASSERT(Read.Overloaded_);
    const cell::CellLoad &Load = Read.Services_.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Load.Service_);
    CPPUNIT_ASSERT_EQUAL(16.0, Load.Accelerators_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(64000), Load.Capacity_.Cpu_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(3), Load.Free_.Accelerators_);
    const cell::QueueLoad &Queue = Load.Queues_.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("q"), Queue.Queue_);
    CPPUNIT_ASSERT_EQUAL(1, Queue.Priority_);
    CPPUNIT_ASSERT_EQUAL(30.0, Queue.Waiting_);
    CPPUNIT_ASSERT_EQUAL(20.0, Queue.Late_);
    CPPUNIT_ASSERT_EQUAL(5.0, Queue.Expired_);
    CPPUNIT_ASSERT_EQUAL(7.0, Queue.Running_);
  }

  /// Guards against a forged count that ends the process or allocates much.
  void truncatedLoadReportsAreRejected() {
    const std::string Bytes = wire::encode(cell::PeerMessage(sampleReport()));
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!wire::decodePeerMessage(Bytes.substr(0, Size)).ok());
    // The count of services follows the kind, the host, the term and the flag.
    constexpr std::size_t CountAt = 4 + 4 + (4 + 2) + 8 + 1;
    std::string Forged = Bytes;
    CPPUNIT_ASSERT_EQUAL('\1', Forged[CountAt]);
    Forged.replace(CountAt, 4, "\xff\xff\xff\xff");
    CPPUNIT_ASSERT(!wire::decodePeerMessage(Forged).ok());
  }

  /// Guards against a new kind of message that shifts the others, which hosts
  /// of the version before would misread.
  void kindsOfMessagesKeepTheirNumbers() {
    constexpr std::size_t KindAt = 4;
    const auto KindOf = [](const cell::PeerMessage &Message) {
      return static_cast<int>(wire::encode(Message)[KindAt]);
    };
    CPPUNIT_ASSERT_EQUAL(0, KindOf(cell::EntryHeartbeat()));
    CPPUNIT_ASSERT_EQUAL(1, KindOf(cell::RelayedRecords()));
    CPPUNIT_ASSERT_EQUAL(2, KindOf(cell::ForwardedAppendRequest()));
    CPPUNIT_ASSERT_EQUAL(3, KindOf(cell::ForwardedAppendResponse()));
    CPPUNIT_ASSERT_EQUAL(4, KindOf(cell::EntryInfo()));
    CPPUNIT_ASSERT_EQUAL(5, KindOf(cell::AgentReport()));
    CPPUNIT_ASSERT_EQUAL(6, KindOf(cell::HolderOrders()));
    CPPUNIT_ASSERT_EQUAL(7, KindOf(cell::RecordsRequest()));
    CPPUNIT_ASSERT_EQUAL(8, KindOf(cell::LoadReport()));
  }

  /// Guards against reports that hosts of the version before cannot read: they
  /// read any value of the byte but 0 as a reachable worker.
  void partialEndsShareAByteWithReachability() {
    // The kind, the host, the agent's incarnation, the sequence, the term and
    // the flag of the absent worker precede the byte.
    constexpr std::size_t ByteAt = KindAt + 4 + 4 + 3 * 8 + 1;
    const auto Encoded = [](bool Reachable, bool Complete) {
      cell::AgentReport Report;
      Report.AgentIncarnation_ = 1;
      Report.WorkerReachable_ = Reachable;
      Report.EndsComplete_ = Complete;
      return wire::encode(cell::PeerMessage(Report));
    };
    CPPUNIT_ASSERT_EQUAL(0, int(Encoded(false, true)[ByteAt]));
    CPPUNIT_ASSERT_EQUAL(1, int(Encoded(true, true)[ByteAt]));
    CPPUNIT_ASSERT_EQUAL(3, int(Encoded(true, false)[ByteAt]));
    const auto Decoded = wire::decodePeerMessage(Encoded(true, false));
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Read = std::get<cell::AgentReport>(*Decoded);
    CPPUNIT_ASSERT(Read.WorkerReachable_);
    CPPUNIT_ASSERT(!Read.EndsComplete_);
  }

  /// Guards against occurrences that change their number on their way, and
  /// against an encoding that hosts of the version before cannot read: they
  /// know four bytes.
  void largeOccurrencesExtendTheEncoding() {
    const auto Encoded = [](jobs::OccurrenceNumber Number) {
      cell::AgentReport Report;
      Report.Pending_ = {{{"j", Number, 1, 2}, 3}};
      return wire::encode(cell::PeerMessage(Report));
    };
    const std::size_t Short = Encoded(7).size();
    CPPUNIT_ASSERT_EQUAL(Short, Encoded(UINT32_MAX - 1).size());
    CPPUNIT_ASSERT_EQUAL(Short + 8, Encoded(UINT32_MAX).size());
    for (jobs::OccurrenceNumber Number :
         {0ul, 7ul, 0xfffffffeul, 0xfffffffful, 0x100000000ul, UINT64_MAX}) {
      const auto Decoded = wire::decodePeerMessage(Encoded(Number));
      CPPUNIT_ASSERT(Decoded.ok());
      CPPUNIT_ASSERT_EQUAL(Number, std::get<cell::AgentReport>(*Decoded)
                                       .Pending_.at(0)
                                       .Task_.Occurrence_);
    }
  }

  /// Guards against progress that changes on its way, and against kinds of
  /// records that change their numbers.
  void progressInPartsSurvivesRoundTrip() {
    const jobs::OccurrenceNumber Large = 1ull << 40;
    const jobs::RecordedTask Task{2571, {false, 2, 71, "c"}, {70}};
    const jobs::Record Records[] = {
        jobs::ProgressSummarized{
            "j", jobs::JobState::Running, {{{0, 3}, {{0, 7}, {9, Large}}}}},
        jobs::PartsDone{"j", Large, 2, {{0, 4}}},
        jobs::TasksProgressed{"j", Large, 2, 5, {{2560, 2570}}, {Task}}};
    const char *Keys[] = {"q/j", "u/j.1099511627776.2",
                          "t/j.1099511627776.2.5"};
    for (int I = 0; I < 3; ++I) {
      const std::string Bytes = wire::encode(Records[I]);
      CPPUNIT_ASSERT_EQUAL(9 + I, int(Bytes[KindAt]));
      const auto Decoded = wire::decodeRecord(Bytes);
      CPPUNIT_ASSERT(Decoded.ok());
      CPPUNIT_ASSERT_EQUAL(std::string(Keys[I]), jobs::keyOf(*Decoded));
      CPPUNIT_ASSERT_EQUAL(Bytes, wire::encode(*Decoded));
    }
    const auto Tasks = *wire::decodeRecord(wire::encode(Records[2]));
    const jobs::RecordedTask &Row =
        std::get<jobs::TasksProgressed>(Tasks).Tasks_.at(0);
    CPPUNIT_ASSERT_EQUAL(2571u, Row.Index_);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Row.Progress_.Checkpoint_);
    CPPUNIT_ASSERT_EQUAL(jobs::RunNumber(70), Row.EarlierFailedRuns_.at(0));
  }

  static jobs::LargeJobAccepted sampleLargeJob() {
    jobs::StepSpec Full;
    Full.Count_ = UINT32_MAX;
    Full.PerTask_ = {500, 1'000'000'000, 3};
    Full.Estimate_ = std::chrono::hours(24 * 365);
    Full.DependsOn_ = {0, 300};
    Full.Checkpoints_ = Full.SameRack_ = Full.LongRunning_ = true;
    Full.RequiredLabel_ = "label";
    Full.DataRack_ = "r1";
    Full.SpreadLimit_ = 2;
    Full.Image_ = "image";
    Full.TargetLatency_ = std::chrono::milliseconds(40);
    Full.MaxUnavailable_ = 0;
    jobs::StepSpec Flags;
    Flags.Gang_ = Flags.Speculative_ = Flags.BestEffort_ = true;
    jobs::LargeJobAccepted Value;
    Value.Job_.Job_ = "j";
    Value.Job_.Queue_ = "q";
    Value.Job_.Priority_ = -1;
    Value.Job_.Spec_.Command_ = "command";
    Value.Job_.Spec_.Repetitions_ = 1ull << 40;
    Value.Job_.Spec_.Interval_ = std::chrono::seconds(-5);
    Value.Job_.Spec_.Steps_ = {Full, {}, Flags};
    return Value;
  }

  /// Guards against a step that loses or gains a property in the record.
  void largeJobSurvivesRoundTrip() {
    const jobs::LargeJobAccepted Value = sampleLargeJob();
    const std::string Bytes = wire::encode(jobs::Record(Value));
    CPPUNIT_ASSERT_EQUAL(13, int(Bytes[KindAt]));
    const auto Decoded = wire::decodeRecord(Bytes);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("j/j"), jobs::keyOf(*Decoded));
    // The other encoding of the job names all fields.
    CPPUNIT_ASSERT_EQUAL(
        wire::encode(jobs::Record(Value.Job_)),
        wire::encode(jobs::Record(*jobs::acceptedJob(*Decoded))));
  }

  /// Guards against a job that is refused although its request is within the
  /// limits: a request of 256 KiB has room for 87,000 steps.
  void largeJobIsNoLargerThanItsRequest() {
    constexpr std::size_t MaxRequest = 262144;
    jobs::LargeJobAccepted Value;
    Value.Job_.Spec_.Steps_.resize(MaxRequest / std::string("{},").size());
    CPPUNIT_ASSERT(wire::encode(jobs::Record(Value)).size() < MaxRequest);
    const std::string Dependent = R"({"after":[10000]},)";
    Value.Job_.Spec_.Steps_.resize(MaxRequest / Dependent.size());
    for (jobs::StepSpec &Step : Value.Job_.Spec_.Steps_)
      Step.DependsOn_ = {10000};
    CPPUNIT_ASSERT(wire::encode(jobs::Record(Value)).size() < MaxRequest);
  }

  /// Guards against a forged count that ends the process or allocates much.
  void truncatedLargeJobsAreRejected() {
    const std::string Bytes = wire::encode(jobs::Record(sampleLargeJob()));
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!wire::decodeRecord(Bytes.substr(0, Size)).ok());
  }

  /// Guards against a frame that makes the receiver allocate many times its
  /// size: zeros are valid runs of the least encoded size.
  void forgedLengthIsRejectedBeforeItIsAllocated() {
    constexpr std::size_t FrameSize = 1 << 20;
    cell::AgentReport Report;
    const std::string Bytes = wire::encode(cell::PeerMessage(Report));
    Report.Running_.emplace_back();
    const std::string Longer = wire::encode(cell::PeerMessage(Report));
    const auto Length =
        std::mismatch(Bytes.begin(), Bytes.end(), Longer.begin()).first;
    std::string Forged(Bytes.begin(), Length);
    Forged += std::string("\x00\x40\x00\x00", 4); // 16,384 runs
    Forged.resize(FrameSize);
    const auto Decoded = wire::decodePeerMessage(Forged);
    CPPUNIT_ASSERT(!Decoded.ok());
    CPPUNIT_ASSERT(Decoded.status().ToString().find("too much memory") !=
                   std::string::npos);
  }

  /// Guards against a bound that messages of a cell at the design size meet.
  void largestOrdinaryMessagesAreRead() {
    constexpr int Workers = 16000;
    constexpr int Records = 40000;
    cell::EntryHeartbeat Heartbeat;
    cell::RelayedRecords Relayed;
    for (int I = 0; I < Workers; ++I)
      Heartbeat.EmptyWorkers_.push_back("side-region-" + std::to_string(I));
    for (int I = 0; I < Records; ++I)
      Relayed.Records_.push_back(
          {core::Offset(I), "p/" + std::to_string(I), std::string(60, 'x')});
    CPPUNIT_ASSERT(
        wire::decodePeerMessage(wire::encode(cell::PeerMessage(Heartbeat)))
            .ok());
    CPPUNIT_ASSERT(
        wire::decodePeerMessage(wire::encode(cell::PeerMessage(Relayed))).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellBinaryTest);
