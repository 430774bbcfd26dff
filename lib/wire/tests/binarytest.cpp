#include "nutmegwell/wire/binary.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace nutmegwell;

class BinaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BinaryTest);
  CPPUNIT_TEST(datagramSurvivesRoundTrip);
  CPPUNIT_TEST(everyTruncationIsRejected);
  CPPUNIT_TEST(forgedLengthIsRejected);
  CPPUNIT_TEST(corruptBytesAreHandled);
  CPPUNIT_TEST(stateSurvivesRoundTrip);
  CPPUNIT_TEST_SUITE_END();

  static std::string sampleHeartbeat() {
    model::Heartbeat Beat;
    Beat.Node_ = "w1";
    Beat.Tasks_.push_back({{3, 4}, 2, model::TaskState::Running, 0xFF, "cp"});
    return wire::encode(model::Datagram(Beat));
  }

  /// Guards against fields that are encoded but not decoded.
  void datagramSurvivesRoundTrip() {
    auto Decoded = wire::decodeDatagram(sampleHeartbeat());
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Beat = std::get<model::Heartbeat>(*Decoded);
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), Beat.Node_);
    CPPUNIT_ASSERT(Beat.Tasks_.at(0).State_ == model::TaskState::Running);
    CPPUNIT_ASSERT_EQUAL(std::string("cp"), Beat.Tasks_.at(0).Checkpoint_);
  }

  /// Guards against a truncated datagram that is decoded as a shorter message.
  void everyTruncationIsRejected() {
    const std::string Bytes = sampleHeartbeat();
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!wire::decodeDatagram(Bytes.substr(0, Size)).ok());
  }

  /// Guards against a forged length that causes an allocation of gigabytes.
  void forgedLengthIsRejected() {
    std::string Bytes = sampleHeartbeat().substr(0, 8);
    Bytes += "\xff\xff\xff\xff";
    CPPUNIT_ASSERT(!wire::decodeDatagram(Bytes).ok());
  }

  /// Guards against corrupt input that crashes the process.
  void corruptBytesAreHandled() {
    const bool Passed = rc::check("flipped bytes", [] {
      std::string Bytes = sampleHeartbeat();
      const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[At] = static_cast<char>(*rc::gen::arbitrary<unsigned char>());
      auto Decoded = wire::decodeDatagram(Bytes);
      if (Decoded.ok())
        wire::encode(*Decoded);
    });
    CPPUNIT_ASSERT(Passed);
  }

  /// Guards against control state that is lost when a snapshot is encoded.
  void stateSurvivesRoundTrip() {
    model::ControlState State;
    model::Record Change{{1, 1}, model::CellClaimed{"a", 1, "e1", 9}};
    model::applyRecord(State, Change, 4);
    auto Decoded = wire::decodeState(wire::encode(State));
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(core::Offset{5}, Decoded->NextOffset_);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Decoded->Cells_["a"].Holder_);
    CPPUNIT_ASSERT_EQUAL(std::string("repeated_record"),
                         model::applyRecord(*Decoded, Change, 5).Code_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BinaryTest);
