#include "nutmegwell/history/historyfile.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

class HistoryFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryFileTest);
  CPPUNIT_TEST(everyKindSurvivesRoundTrip);
  CPPUNIT_TEST(malformedLineIsReported);
  CPPUNIT_TEST_SUITE_END();

  template <std::size_t Index = 0> static void checkRoundTrip() {
    if constexpr (Index < std::variant_size_v<EventBody>) {
      Event Empty = at(7ms, EventBody(std::in_place_index<Index>), "p \"1\"");
      auto Parsed = parseEvent(formatEvent(Empty));
      CPPUNIT_ASSERT_MESSAGE(formatEvent(Empty) + Parsed.status().ToString(),
                             Parsed.ok());
      CPPUNIT_ASSERT_EQUAL(Index, Parsed->Body_.index());
      CPPUNIT_ASSERT_EQUAL(formatEvent(Empty), formatEvent(*Parsed));
      checkRoundTrip<Index + 1>();
    }
  }

  /// Guards against an event kind or a member that is lost when a history is
  /// written to a file and read back.
  void everyKindSurvivesRoundTrip() {
    checkRoundTrip();
    const std::vector<Event> Run =
        call("1", "k", 0ms, 9ms) + gang("j", 3, 5ms, 20ms) +
        std::vector<Event>{at(1ms, CallUnknown{"2", "x", true}),
                           at(1ms, StopEnded{4}),
                           at(1ms, TaskStopped{"j", 1, 2, true}),
                           at(2ms, ConfigAccepted{"routes", 1ULL << 62, "d"}),
                           at(2ms, GuaranteeRequested{"c", "a", {8, 4, 2}})};
    std::string Text;
    for (const Event &Each : Run)
      Text += formatEvent(Each) + "\n\n";
    std::istringstream In(Text);
    auto Read = readEvents(In);
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT_EQUAL(Run.size(), Read->size());
    for (std::size_t I = 0; I < Run.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(formatEvent(Run[I]), formatEvent((*Read)[I]));
    CPPUNIT_ASSERT_EQUAL(
        2u, std::get<GuaranteeRequested>(Read->back().Body_).Shape_.Level_);
  }

  /// Guards against a malformed line that is skipped, so that the rules would
  /// check an incomplete history.
  void malformedLineIsReported() {
    for (const char *Line :
         {"{", "[]", R"({"at_us":1,"event":"other"})",
          R"({"event":"stop_begun"})", R"({"at_us":"x","event":"stop_begun"})",
          R"({"at_us":1,"event":"stop_ended","cut":-1})"}) {
      std::istringstream In(formatEvent(at(1ms, StopBegun())) + "\n" + Line +
                            "\n");
      auto Read = readEvents(In);
      CPPUNIT_ASSERT(!Read.ok());
      CPPUNIT_ASSERT(Read.status().message().find("line 2") !=
                     std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryFileTest);
