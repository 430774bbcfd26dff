#include "nutmegwell/wire/apijson.h"
#include "nutmegwell/wire/json.h"
#include "nutmegwell/wire/tablejson.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace nutmegwell;
using namespace std::chrono_literals;

class ApiJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiJsonTest);
  CPPUNIT_TEST(jobSpecSurvivesRoundTrip);
  CPPUNIT_TEST(invalidJobSpecReportsEveryField);
  CPPUNIT_TEST(jobSurvivesRoundTrip);
  CPPUNIT_TEST(errorSurvivesRoundTrip);
  CPPUNIT_TEST(errorWithoutOutcomeIsRejected);
  CPPUNIT_TEST(tableResponseCanBePublished);
  CPPUNIT_TEST(statusSurvivesRoundTrip);
  CPPUNIT_TEST(textIsUtf8);
  CPPUNIT_TEST(textAfterValueIsRejected);
  CPPUNIT_TEST(corruptResponsesAreHandled);
  CPPUNIT_TEST_SUITE_END();

  static model::JobSpec sampleSpec() {
    return model::JobSpecBuilder()
        .account("a")
        .service("train")
        .tasks(4)
        .acceleratorsPerTask(8)
        .level(model::TopologyLevel::Rack)
        .jobClass(model::JobClass::Urgent)
        .declaredTime(90s)
        .command("run \"x\"\n")
        .build();
  }

  static model::Job sampleJob() {
    model::Job Job;
    Job.Id_ = {7, 9};
    Job.Spec_ = sampleSpec();
    Job.State_ = model::JobState::Running;
    Job.Attempt_ = 2;
    Job.Domain_ = "d1";
    Job.Reason_ = "r";
    Job.Placement_ = {{"w1", 0xFF}, {"w2", std::uint64_t{1} << 63}};
    return Job;
  }

  static std::string sampleStatus() {
    wire::StatusView Status;
    Status.Node_ = "e1";
    Status.ConfigOffset_ = 12;
    Status.LogAvailable_ = true;
    Status.Domains_ = {{"d1", false, 3, "e2", 8}};
    Status.Nodes_ = {{"w1", "worker", "alive", "d1", "r1", 8},
                     {"w2", "worker", "lapsed", "d1", "r1", 8},
                     {"u1", "upstream", "alive", "d1", "", 0}};
    Status.Jobs_ = {sampleJob()};
    return wire::formatStatus(Status);
  }

  /// Guards against a job that is submitted with other values than the client
  /// specified.
  void jobSpecSurvivesRoundTrip() {
    model::JobSpec Read;
    auto Errors = wire::parseJobSpec(wire::formatJobSpec(sampleSpec()), Read);
    CPPUNIT_ASSERT(Errors.empty());
    CPPUNIT_ASSERT_EQUAL(wire::formatJobSpec(sampleSpec()),
                         wire::formatJobSpec(Read));
    CPPUNIT_ASSERT(Read.DeclaredRunTime_ == 90s);
    CPPUNIT_ASSERT_EQUAL(32u, Read.accelerators());
  }

  /// Guards against a job that is accepted although a field is invalid or
  /// unknown.
  void invalidJobSpecReportsEveryField() {
    model::JobSpec Spec;
    auto Errors = wire::parseJobSpec(
        R"({"account":"","service":"s","tasks":65,"accelerators_per_task":0,)"
        R"("level":"region","class":"fast","declared_ms":"soon","colour":1})",
        Spec);
    std::string Fields;
    for (const auto &Error : Errors)
      Fields += Error.Field_ + " ";
    CPPUNIT_ASSERT_EQUAL(std::string("account tasks accelerators_per_task "
                                     "level class declared_ms command "
                                     "colour "),
                         Fields);
    for (const char *Text : {"", "[]", "3", "{"})
      CPPUNIT_ASSERT(!wire::parseJobSpec(Text, Spec).empty());
  }

  /// Guards against a placement that is read with other accelerators than were
  /// written.
  void jobSurvivesRoundTrip() {
    auto Read = wire::parseJob(wire::formatJob(sampleJob()));
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT(Read->Id_ == sampleJob().Id_);
    CPPUNIT_ASSERT(Read->State_ == model::JobState::Running);
    CPPUNIT_ASSERT_EQUAL(wire::formatJob(sampleJob()), wire::formatJob(*Read));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1} << 63,
                         Read->Placement_.at(1).Accelerators_);
    CPPUNIT_ASSERT(
        wire::parseJob(R"({"id":"0000000000000007-9","state":"failed"})").ok());
  }

  /// Guards against validation errors, or the version in force, that are lost
  /// on the way to the client.
  void errorSurvivesRoundTrip() {
    auto Invalid = wire::parseError(wire::formatError(
        wire::invalidTable({{"routes", 2, "service", "no pools row"}})));
    CPPUNIT_ASSERT(Invalid.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Invalid->ValidationErrors_.at(0).Row_);
    CPPUNIT_ASSERT_EQUAL(std::string("service"),
                         Invalid->ValidationErrors_.at(0).Field_);
    CPPUNIT_ASSERT(!Invalid->Version_);
    auto Stale = wire::parseError(
        wire::formatError(wire::staleVersion("routes table", 5)));
    CPPUNIT_ASSERT(Stale.ok());
    CPPUNIT_ASSERT(Stale->Version_ == core::Version{5});
    CPPUNIT_ASSERT(Stale->Outcome_ == wire::ApiOutcome::NotRun);
  }

  /// Guards against an error body of another program, such as a proxy, that is
  /// read as the outcome "not_run".
  void errorWithoutOutcomeIsRejected() {
    for (const char *Text :
         {"", "{}", R"({"code":"busy"})", R"({"outcome":"not_run"})",
          R"({"code":"busy","outcome":"maybe"})"})
      CPPUNIT_ASSERT(!wire::parseError(Text).ok());
  }

  /// Guards against a table response that an operator cannot edit and publish.
  void tableResponseCanBePublished() {
    model::RoutesTable Table, Read;
    Table.Rows_ = {{"/a", "s", 5s, true, 9}};
    const std::string Text = wire::formatRoutesAnswer(4, Table);
    CPPUNIT_ASSERT(wire::parseRoutes(Text, Read).empty());
    CPPUNIT_ASSERT_EQUAL(9u, Read.Rows_.at(0).QueueLimit_);
    CPPUNIT_ASSERT(Read.Rows_.at(0).Idempotent_);
    CPPUNIT_ASSERT(!wire::parseRoutes(R"({"routes":[{"path":"/","service":"s",)"
                                      R"("idempotent":"true"}]})",
                                      Read)
                        .empty());
    CPPUNIT_ASSERT_EQUAL(core::Version{4}, *wire::parseVersion(Text));
  }

  /// Guards against a domain, a node or a job that is lost from the status.
  void statusSurvivesRoundTrip() {
    auto Read = wire::parseStatus(sampleStatus());
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT_EQUAL(sampleStatus(), wire::formatStatus(*Read));
    CPPUNIT_ASSERT(!Read->Domains_.at(0).InService_);
    CPPUNIT_ASSERT_EQUAL(8u, wire::capacityOf(*Read)["d1"]);
  }

  /// Guards against UTF-8 text that is read or written as Latin-1.
  void textIsUtf8() {
    const std::string Text = "Z\xC3\xBCrich \xE2\x82\xAC \xF0\x9F\x98\x80";
    CPPUNIT_ASSERT_EQUAL(
        Text, *wire::parseExplanation(wire::formatExplanation({1, 1}, Text)));
    CPPUNIT_ASSERT_EQUAL(
        Text, *wire::parseExplanation(R"({"explanation":")" + Text + "\"}"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("\xC3\xBC"),
        *wire::parseExplanation(R"({"explanation":"\u00fc"})"));
    // Bytes that are not valid UTF-8 must not end the process with an
    // exception.
    CPPUNIT_ASSERT(
        wire::parseExplanation(wire::formatExplanation({1, 1}, "\xFF\xC3"))
            .ok());
  }

  /// Guards against a file with two JSON values of which only the first is
  /// published.
  void textAfterValueIsRejected() {
    CPPUNIT_ASSERT(wire::parseJson("{} \n").ok());
    CPPUNIT_ASSERT(wire::parseJson("3").ok());
    CPPUNIT_ASSERT(!wire::parseJson("{} {}").ok());
    CPPUNIT_ASSERT(!wire::parseJson("{}]").ok());
  }

  /// Guards against a truncated or corrupt response that crashes the client.
  void corruptResponsesAreHandled() {
    const bool Passed = rc::check("flipped status", [] {
      std::string Text = sampleStatus();
      const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
      Text[At] = static_cast<char>(*rc::gen::arbitrary<unsigned char>());
      (void)wire::parseStatus(Text);
      RC_ASSERT(!wire::parseStatus(Text.substr(0, At)).ok());
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiJsonTest);
