#include "nutmegwell/settings/logging.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>
#include <iostream>
#include <sstream>

using namespace nutmegwell;

class LoggingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoggingTest);
  CPPUNIT_TEST(textLineKeepsHostileValueOnOneLine);
  CPPUNIT_TEST(jsonLineIsOneObject);
  CPPUNIT_TEST(levelSuppressesLessSevereLines);
  CPPUNIT_TEST_SUITE_END();

  template <typename Function> static std::string captured(Function Call) {
    std::ostringstream Out;
    std::streambuf *Before = std::cout.rdbuf(Out.rdbuf());
    Call();
    std::cout.rdbuf(Before);
    return Out.str();
  }

  /// Guards against a value that forges a second line or field.
  void textLineKeepsHostileValueOnOneLine() {
    settings::configureLogging(settings::LogFormat::Text,
                               settings::LogLevel::Info);
    const std::string Line = captured([] {
      settings::logStateChange("node_lapsed",
                               {{"node", "w1"}, {"reason", "a\nlevel=x %msg"}});
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Line.find("time="));
    const std::string Tail = " level=INFO event=node_lapsed node=w1 "
                             "reason=\"a\\nlevel=x %msg\"\n";
    CPPUNIT_ASSERT_EQUAL(Tail, Line.substr(Line.size() - Tail.size()));
  }

  /// Guards against a line that a log collector cannot parse.
  void jsonLineIsOneObject() {
    settings::configureLogging(settings::LogFormat::Json,
                               settings::LogLevel::Info);
    std::istringstream Line(captured([] {
      settings::logStateChange("cell_claimed", {{"domain", "a\"\n{"}},
                               settings::LogLevel::Warning);
    }));
    cxxtools::SerializationInfo Object;
    Line >> cxxtools::Json(Object);
    std::string Domain, Level;
    Object.getMember("domain", Domain);
    Object.getMember("level", Level);
    CPPUNIT_ASSERT_EQUAL(std::string("a\"\n{"), Domain);
    CPPUNIT_ASSERT_EQUAL(std::string("WARNING"), Level);
  }

  /// Guards against a level setting without effect.
  void levelSuppressesLessSevereLines() {
    settings::configureLogging(settings::LogFormat::Text,
                               settings::LogLevel::Error);
    const std::string Lines = captured([] {
      settings::logStateChange("a", {});
      settings::logStateChange("b", {}, settings::LogLevel::Warning);
      settings::logStateChange("c", {}, settings::LogLevel::Error);
    });
    CPPUNIT_ASSERT(Lines.find("event=a") == std::string::npos);
    CPPUNIT_ASSERT(Lines.find("event=b") == std::string::npos);
    CPPUNIT_ASSERT(Lines.find("event=c") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);
