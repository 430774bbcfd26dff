#include "nutmegwell/settings/logging.h"
#include "nutmegwell/wire/json.h"
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <sstream>

using namespace nutmegwell;

class LoggingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoggingTest);
  CPPUNIT_TEST(textLineEscapesUntrustedValues);
  CPPUNIT_TEST(jsonLineIsOneObject);
  CPPUNIT_TEST(levelSuppressesLessSevereLines);
  CPPUNIT_TEST_SUITE_END();

  template <typename Function> static std::string captureOutput(Function Call) {
    std::ostringstream Out;
    std::streambuf *PreviousBuffer = std::cout.rdbuf(Out.rdbuf());
    Call();
    std::cout.rdbuf(PreviousBuffer);
    return Out.str();
  }

  /// Guards against a field value that injects a second line or field.
  void textLineEscapesUntrustedValues() {
    settings::configureLogging(settings::LogFormat::Text,
                               settings::LogLevel::Info);
    const std::string Line = captureOutput([] {
      settings::logStateChange("node_lapsed",
                               {{"node", "w1"}, {"reason", "a\nlevel=x %msg"}});
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Line.find("time="));
    const std::string ExpectedEnd = " level=INFO event=node_lapsed node=w1 "
                                    "reason=\"a\\nlevel=x %msg\"\n";
    CPPUNIT_ASSERT_EQUAL(ExpectedEnd,
                         Line.substr(Line.size() - ExpectedEnd.size()));
  }

  /// Guards against a line that is not valid JSON, and against UTF-8 values
  /// that are encoded as if they were Latin-1.
  void jsonLineIsOneObject() {
    settings::configureLogging(settings::LogFormat::Json,
                               settings::LogLevel::Info);
    const std::string Account = "a\"\n{\xC3\xBC\xE2\x82\xAC";
    const auto Object = wire::parseJson(captureOutput([&Account] {
      settings::logStateChange("job_state", {{"account", Account}},
                               settings::LogLevel::Warning);
    }));
    CPPUNIT_ASSERT_EQUAL(Account, wire::textMember(*Object, "account"));
    CPPUNIT_ASSERT_EQUAL(std::string("WARNING"),
                         wire::textMember(*Object, "level"));
  }

  /// Guards against a log level that does not suppress less severe lines.
  void levelSuppressesLessSevereLines() {
    settings::configureLogging(settings::LogFormat::Text,
                               settings::LogLevel::Error);
    const std::string Lines = captureOutput([] {
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
