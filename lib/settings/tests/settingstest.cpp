#include "nutmegwell/settings/settings.h"
#include "nutmegwell/settings/daemon.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace nutmegwell;
using namespace std::chrono_literals;

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(flagOverridesVariableOverridesDefault);
  CPPUNIT_TEST(invalidValuesAreRejectedByName);
  CPPUNIT_TEST(requiredSettingsDependOnRole);
  CPPUNIT_TEST(listCollectsEveryAddress);
  CPPUNIT_TEST(helpNamesEverySettingWithUnitAndDefault);
  CPPUNIT_TEST(operatorsPageListsEverySetting);
  CPPUNIT_TEST(checkExitsWithZeroOrOne);
  CPPUNIT_TEST(durationSurvivesRoundTrip);
  CPPUNIT_TEST(arbitraryTextNeverCrashes);
  CPPUNIT_TEST_SUITE_END();

  const settings::SettingsSpec Spec_ = settings::daemonSettings();

  absl::StatusOr<settings::Settings>
  parse(std::vector<std::string> Flags,
        const settings::Environment &Variables = {}) const {
    std::vector<const char *> Argv{"nutmegwelld"};
    for (const std::string &Flag : Flags)
      Argv.push_back(Flag.c_str());
    return settings::parse(Spec_, int(Argv.size()), Argv.data(), Variables);
  }

  static std::vector<std::string> entryFlags() {
    return {"--role=entry",
            "--node=e1",
            "--domain=a",
            "--log-address=127.0.0.1:9000",
            "--http-listen=127.0.0.1:0",
            "--udp-listen=127.0.0.1:0",
            "--tcp-listen=127.0.0.1:0"};
  }

  absl::StatusOr<settings::Settings>
  parseWithFlag(const std::string &Flag) const {
    auto Flags = entryFlags();
    Flags.push_back(Flag);
    return parse(Flags);
  }

  /// Asserts that \p Parsed is an error that names \p Setting.
  static void expectError(const absl::StatusOr<settings::Settings> &Parsed,
                          const char *Setting) {
    CPPUNIT_ASSERT_MESSAGE(Setting, !Parsed.ok());
    const std::string Message(Parsed.status().message());
    CPPUNIT_ASSERT_MESSAGE(Message, Message.find(Setting) != Message.npos);
  }

  /// Guards against an environment variable that overrides a flag, and against
  /// a default that overrides either.
  void flagOverridesVariableOverridesDefault() {
    auto Flags = entryFlags();
    Flags.push_back("--silent-after=3s");
    auto Parsed = parse(Flags, {{"NUTMEGWELL_SILENT_AFTER", "4s"},
                                {"NUTMEGWELL_LAPSE_AFTER", "7.5s"}});
    CPPUNIT_ASSERT(Parsed.ok());
    CPPUNIT_ASSERT(Parsed->duration("silent-after") == 3s);
    CPPUNIT_ASSERT(Parsed->duration("lapse-after") == 7500ms);
    CPPUNIT_ASSERT(Parsed->duration("task-lease") == 15s);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9000"),
                         settings::toString(Parsed->address("log-address")));
  }

  /// Guards against a daemon that starts with an invalid setting, and against
  /// an error message that does not name the setting.
  void invalidValuesAreRejectedByName() {
    const std::pair<const char *, const char *> Cases[] = {
        {"--silent-after=3", "silent-after"},
        {"--silent-after=-3s", "silent-after"},
        {"--silent-after=10ms", "silent-after"},
        {"--silent-after=6s", "silent-after"},
        {"--start-permit=2500ms", "start-permit"},
        {"--heartbeat-interval=2s", "heartbeat-interval"},
        {"--max-body=0", "max-body"},
        {"--max-body=10x", "max-body"},
        {"--max-body=99999999999999999999", "max-body"},
        {"--log-address=localhost:80", "log-address"},
        {"--log-address=127.0.0.1:0", "log-address"},
        {"--log-address=127.0.0.1:65536", "log-address"},
        {"--peers=127.0.0.1:1,,127.0.0.1:2", "peers"},
        {"--log-format=xml", "log-format"},
        {"--no-such-flag", "no-such-flag"},
        {"--no-such-flag=1", "no-such-flag"},
        {"-x", "-x"},
        {"--peers", "peers"},
        {"stray", "stray"}};
    for (const auto &Case : Cases)
      expectError(parseWithFlag(Case.first), Case.second);
    expectError(parse(entryFlags(), {{"NUTMEGWELL_MAX_BODY", "big"}}),
                "NUTMEGWELL_MAX_BODY");
  }

  /// Guards against an agent that starts without the addresses of its entry
  /// hosts.
  void requiredSettingsDependOnRole() {
    auto Flags = entryFlags();
    CPPUNIT_ASSERT(parse(Flags).ok());
    Flags[0] = "--role=agent";
    expectError(parse(Flags), "kind");
    Flags.push_back("--kind=upstream");
    expectError(parse(Flags), "entries");
    Flags.push_back("--entries=127.0.0.1:7000");
    expectError(parse(Flags), "announce-listen");
    Flags.push_back("--announce-listen=127.0.0.1:0");
    CPPUNIT_ASSERT(parse(Flags).ok());
  }

  /// Guards against addresses lost from a repeated flag or a comma-separated
  /// list.
  void listCollectsEveryAddress() {
    auto Flags = entryFlags();
    Flags.push_back("--peers=127.0.0.1:1,127.0.0.1:2");
    Flags.push_back("--peers=127.0.0.1:3");
    auto Parsed = parse(Flags);
    CPPUNIT_ASSERT(Parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Parsed->addresses("peers").size());
  }

  /// Guards against a setting that --help does not document.
  void helpNamesEverySettingWithUnitAndDefault() {
    const std::string Help = settings::help(Spec_);
    for (const auto &Setting : Spec_.Settings_) {
      CPPUNIT_ASSERT(Help.find("--" + Setting.Name_) != std::string::npos);
      CPPUNIT_ASSERT(Help.find("default " + Setting.Default_) !=
                     std::string::npos);
    }
    CPPUNIT_ASSERT(Help.find("in bytes") != std::string::npos);
  }

  /// Guards against settings or defaults that differ between docs/operators.md
  /// and the program.
  void operatorsPageListsEverySetting() {
    std::ifstream In(NUTMEGWELL_DOCS "/operators.md");
    std::stringstream Text;
    Text << In.rdbuf();
    const std::string Page = Text.str();
    for (const auto &Setting : Spec_.Settings_) {
      const std::string Row =
          "| `" + Setting.Name_ + "` | " + Setting.Default_ + " |";
      CPPUNIT_ASSERT_MESSAGE(Row, Page.find(Row) != std::string::npos);
    }
    const std::size_t Table = Page.find("| setting |");
    CPPUNIT_ASSERT(Table != std::string::npos);
    // The heading and the separator line, then one line for each setting.
    CPPUNIT_ASSERT_EQUAL(
        std::ptrdiff_t(Spec_.Settings_.size() + 2),
        std::count(Page.begin() + std::ptrdiff_t(Table), Page.end(), '\n'));
  }

  /// Guards against --check that accepts an invalid setting.
  void checkExitsWithZeroOrOne() {
    std::ostringstream Out, Err;
    auto Valid = parseWithFlag("--check");
    CPPUNIT_ASSERT(settings::exitCode(Spec_, Valid, Out, Err) == 0);
    auto Invalid = parse({"--check"});
    CPPUNIT_ASSERT(settings::exitCode(Spec_, Invalid, Out, Err) == 1);
    CPPUNIT_ASSERT(Err.str().find("role") != std::string::npos);
    auto HelpResult = parse({"--help"});
    CPPUNIT_ASSERT(settings::exitCode(Spec_, HelpResult, Out, Err) == 0);
    CPPUNIT_ASSERT(
        !settings::exitCode(Spec_, parseWithFlag("--node=e2"), Out, Err));
  }

  /// Guards against a duration that changes when it is formatted and parsed.
  void durationSurvivesRoundTrip() {
    const bool Passed = rc::check("duration round trip", [] {
      const core::Duration Value(
          *rc::gen::inRange<std::int64_t>(0, 1000000000000));
      core::Duration Parsed{};
      RC_ASSERT(
          settings::parseDuration(settings::formatDuration(Value), Parsed));
      RC_ASSERT(Parsed == Value);
    });
    CPPUNIT_ASSERT(Passed);
  }

  /// Guards against a flag value that crashes the parser.
  void arbitraryTextNeverCrashes() {
    const bool Passed = rc::check("arbitrary values", [this] {
      const auto Index =
          *rc::gen::inRange<std::size_t>(0, Spec_.Settings_.size());
      const auto Text = *rc::gen::arbitrary<std::string>();
      (void)parseWithFlag("--" + Spec_.Settings_[Index].Name_ + "=" + Text);
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
