#include "../src/handlinglimit.h"
#include "../src/resourcelimits.h"
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace nutmegwell::sitehost;

class HandlingLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandlingLimitTest);
  CPPUNIT_TEST(manyLargeRequestsStayWithinTheMemory);
  CPPUNIT_TEST(singleLargeRequestIsHandled);
  CPPUNIT_TEST(endedRequestsMakeRoom);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests that are each within the limits and together take
  /// more than the memory.
  void manyLargeRequestsStayWithinTheMemory() {
    HandledMemory Memory;
    Memory.MaxBytes_ = 1000;
    int Handled = 0;
    for (int I = 0; I < 100; ++I)
      if (beginHandling(Memory, 300) == HandlingDecision::Handle)
        ++Handled;
    CPPUNIT_ASSERT_EQUAL(3, Handled);
    CPPUNIT_ASSERT(beginHandling(Memory, 300) == HandlingDecision::Later);
    CPPUNIT_ASSERT(beginHandling(Memory, 100) == HandlingDecision::Handle);
  }

  /// Guards against a single request within the limits that is refused in calm.
  void singleLargeRequestIsHandled() {
    HandledMemory Memory;
    Memory.MaxBytes_ = 1000;
    CPPUNIT_ASSERT(beginHandling(Memory, 1000) == HandlingDecision::Handle);
    endHandling(Memory, 1000);
    CPPUNIT_ASSERT(beginHandling(Memory, 1001) == HandlingDecision::TooLarge);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Memory.Bytes_);
  }

  /// Guards against memory that counts as used after its request was answered.
  void endedRequestsMakeRoom() {
    HandledMemory Memory;
    Memory.MaxBytes_ = 1000;
    for (int I = 0; I < 10; ++I) {
      CPPUNIT_ASSERT(beginHandling(Memory, 900) == HandlingDecision::Handle);
      endHandling(Memory, 900);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Memory.Bytes_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandlingLimitTest);
