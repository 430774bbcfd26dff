#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/core/timers.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell::core;
using namespace std::chrono_literals;

class CoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoreTest);
  CPPUNIT_TEST(lateTimerRunsOnce);
  CPPUNIT_TEST(fullQueueRefuses);
  CPPUNIT_TEST(idsParseOnlyTheirOwnForm);
  CPPUNIT_TEST(errorKeepsStepAndPeer);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a burst of heartbeats after a paused process resumes.
  void lateTimerRunsOnce() {
    TimerService Timers;
    int Runs = 0;
    Timers.subscribe(TimePoint{}, 1s, [&](TimePoint) { ++Runs; });
    Timers.runDue(TimePoint{} + 10s);
    CPPUNIT_ASSERT_EQUAL(1, Runs);
    CPPUNIT_ASSERT(*Timers.nextDue() == TimePoint{} + 11s);
  }

  /// Guards against unbounded memory use under a burst of events.
  void fullQueueRefuses() {
    EventQueue<int> Queue(1);
    CPPUNIT_ASSERT(Queue.push(1));
    CPPUNIT_ASSERT(!Queue.push(2));
    CPPUNIT_ASSERT_EQUAL(1, *Queue.popUntil(TimePoint{}));
    Queue.close();
    CPPUNIT_ASSERT(!Queue.push(3));
  }

  /// Guards against two texts that parse to the same job id.
  void idsParseOnlyTheirOwnForm() {
    std::uint64_t Writer = 0, Sequence = 0;
    CPPUNIT_ASSERT(parseId(formatId(0xabc, 7), Writer, Sequence));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xabc}, Writer);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Sequence);
    CPPUNIT_ASSERT(!parseId("0000000000000abc-07", Writer, Sequence));
    CPPUNIT_ASSERT(!parseId("abc-7", Writer, Sequence));
    CPPUNIT_ASSERT(!parseId("", Writer, Sequence));
  }

  /// Guards against errors without the step and the peer at which they
  /// occurred.
  void errorKeepsStepAndPeer() {
    auto Error = makeError(absl::StatusCode::kUnavailable, "append",
                           "127.0.0.1:9", "connection refused");
    CPPUNIT_ASSERT_EQUAL(std::string("append"), stepOf(Error));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9"), peerOf(Error));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);
