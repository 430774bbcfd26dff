#include "nutmegwell/logclient/snapshots.h"
#include "nutmegwell/wire/binary.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::logclient;

class SnapshotsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotsTest);
  CPPUNIT_TEST(snapshotIsDueAfterLongTail);
  CPPUNIT_TEST(snapshotIsDueBeforeRetention);
  CPPUNIT_TEST(higherRankWaitsLonger);
  CPPUNIT_TEST(largeStateIsRefused);
  CPPUNIT_TEST(startIsNeverOlderThanSeen);
  CPPUNIT_TEST_SUITE_END();

  SnapshotPolicy Policy_{100, 1000, 1 << 20};

  static StartKind kind(const StartSources &Sources) {
    return chooseStart(Sources).Kind_;
  }

  /// Guards against a start that reads the log for minutes because too many
  /// entries follow the last snapshot.
  void snapshotIsDueAfterLongTail() {
    SnapshotView View;
    CPPUNIT_ASSERT(!snapshotDue(Policy_, View));
    View.Next_ = 99;
    CPPUNIT_ASSERT(!snapshotDue(Policy_, View));
    View.BytesSince_ = 1000;
    CPPUNIT_ASSERT(snapshotDue(Policy_, View));
    // The byte limit grows with the size of the last snapshot.
    View.SnapshotBytes_ = 251;
    CPPUNIT_ASSERT(!snapshotDue(Policy_, View));
    View.BytesSince_ = 1004;
    CPPUNIT_ASSERT(snapshotDue(Policy_, View));
    View.BytesSince_ = 0;
    View.Next_ = 100;
    CPPUNIT_ASSERT(snapshotDue(Policy_, View));
    View.Pending_ = true;
    CPPUNIT_ASSERT(!snapshotDue(Policy_, View));
    View = SnapshotView();
    View.Next_ = View.Covered_ = 500;
    CPPUNIT_ASSERT(!snapshotDue(Policy_, View));
  }

  /// Guards against retention that removes entries which no snapshot covers.
  /// For every retention and rank, a snapshot must be due before that.
  void snapshotIsDueBeforeRetention() {
    Policy_.MaxEntries_ = 1000000;
    for (core::Offset Retained : {8, 50, 1000})
      for (unsigned Rank : {0u, 1u, 2u, 9u}) {
        SnapshotView View;
        View.Rank_ = Rank;
        View.First_ = 1;
        View.Next_ = 1 + Retained;
        View.Covered_ = View.Next_;
        while (!snapshotDue(Policy_, View)) {
          ++View.First_;
          ++View.Next_;
        }
        CPPUNIT_ASSERT(View.Covered_ > View.First_);
      }
  }

  /// Guards against all entry hosts writing the same snapshot.
  void higherRankWaitsLonger() {
    SnapshotView View;
    View.Next_ = 100;
    View.Rank_ = 1;
    CPPUNIT_ASSERT(!snapshotDue(Policy_, View));
    View.Next_ = 125;
    CPPUNIT_ASSERT(snapshotDue(Policy_, View));
  }

  /// Guards against a snapshot that is too large for the log, and against a
  /// wrong LastIncludedOffset_.
  void largeStateIsRefused() {
    model::ControlState State;
    CPPUNIT_ASSERT(!makeSnapshot(Policy_, State).ok());
    State.NextOffset_ = 7;
    auto Snapshot = makeSnapshot(Policy_, State);
    CPPUNIT_ASSERT(Snapshot.ok());
    CPPUNIT_ASSERT_EQUAL(core::Offset{6}, Snapshot->LastIncludedOffset_);
    CPPUNIT_ASSERT_EQUAL(core::Offset{7},
                         wire::decodeState(Snapshot->State_)->NextOffset_);
    Policy_.MaxSnapshot_ = Snapshot->State_.size() - 1;
    CPPUNIT_ASSERT(
        absl::IsResourceExhausted(makeSnapshot(Policy_, State).status()));
  }

  /// Guards against a restart that loses an accepted configuration because it
  /// starts from a state older than one seen before.
  void startIsNeverOlderThanSeen() {
    StartSources Sources;
    CPPUNIT_ASSERT(kind(Sources) == StartKind::Wait);
    Sources.Peers_ = {{"e1", 5}, {"e2", 9}, {"e3", 7}};
    Sources.AtLeast_ = 9;
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), chooseStart(Sources).Peer_);
    Sources.AtLeast_ = 10;
    CPPUNIT_ASSERT(kind(Sources) == StartKind::Wait);
    Sources.LogReadable_ = true;
    Sources.LogNextOffset_ = 9;
    CPPUNIT_ASSERT(kind(Sources) == StartKind::Wait);
    Sources.LogNextOffset_ = 10;
    CPPUNIT_ASSERT(kind(Sources) == StartKind::Log);
    // Without a retained snapshot, a peer's state must reach the oldest
    // retained offset.
    Sources.LogNextOffset_.reset();
    Sources.AtLeast_ = 0;
    Sources.First_ = 9;
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), chooseStart(Sources).Peer_);
    Sources.First_ = 10;
    CPPUNIT_ASSERT(kind(Sources) == StartKind::Wait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotsTest);
