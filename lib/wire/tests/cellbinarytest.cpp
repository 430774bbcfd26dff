#include "nutmegwell/wire/cellbinary.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;

/// Encodings of a cell's records, which hosts of two versions share during a
/// rolling restart.
class CellBinaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellBinaryTest);
  CPPUNIT_TEST(progressKeepsItsEncoding);
  CPPUNIT_TEST(failuresSurviveRoundTrip);
  CPPUNIT_TEST(unknownRecordsAreRejected);
  CPPUNIT_TEST_SUITE_END();

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

  /// Guards against a record of a later version that ends the process or is
  /// taken for another kind.
  void unknownRecordsAreRejected() {
    constexpr std::size_t KindAt = 4;
    std::string Bytes = wire::encode(jobs::Record(sampleProgress()));
    Bytes[KindAt] = std::variant_size_v<jobs::Record>;
    CPPUNIT_ASSERT(!wire::decodeRecord(Bytes).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellBinaryTest);
