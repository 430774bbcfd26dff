#include "nutmegwell/client/run.h"
#include "nutmegwell/wire/apijson.h"
#include "nutmegwell/wire/tablejson.h"
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <mutex>
#include <sstream>

using namespace nutmegwell;
using namespace std::chrono_literals;

// Failures of an entry host and the exit code and reaction of the client:
//
// | failure                             | client                              |
// |-------------------------------------|-------------------------------------|
// | connection refused                  | tries the next one; else exit code 1|
// | response does not follow the API    | exit code 3, "wrong_answer"         |
// | request refused, not run            | exit code 1, error code, step, peer |
// | table has validation errors         | exit code 1, one line for each      |
// | version conflict                    | exit code 1, current version        |
// | outcome unknown                     | exit code 3, no other host is tried |
// | response timeout                    | exit code 3, no other host is tried |
// | waits repeatedly return early       | stops after 5 requests, exit code 4 |
// | version cannot be read              | exit code 1, nothing is published   |

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(usageErrorsSendNothing);
  CPPUNIT_TEST(helpOfEveryCommandShowsUnitsAndDefaults);
  CPPUNIT_TEST(requestCarriesAccountKeyAndBody);
  CPPUNIT_TEST(requestRefusesHeaderInjection);
  CPPUNIT_TEST(unreachableEntryIsSkipped);
  CPPUNIT_TEST(unknownOutcomeIsNotRetried);
  CPPUNIT_TEST(responseTimeoutIsAnUnknownOutcome);
  CPPUNIT_TEST(malformedResponseIsNotSuccess);
  CPPUNIT_TEST(submitSendsTheJobAndPrintsItsId);
  CPPUNIT_TEST(waitExitCodeFollowsTheJobState);
  CPPUNIT_TEST(waitStopsAfterEarlyResponses);
  CPPUNIT_TEST(publishSendsTheCurrentVersion);
  CPPUNIT_TEST(malformedTableIsNotSent);
  CPPUNIT_TEST(validationErrorsOfTheServerArePrinted);
  CPPUNIT_TEST(versionConflictShowsTheCurrentVersion);
  CPPUNIT_TEST(malformedVersionPublishesNothing);
  CPPUNIT_TEST(checkValidatesAgainstPublishedTables);
  CPPUNIT_TEST(domainChangeSendsTheCurrentVersion);
  CPPUNIT_TEST(statusAndBurnArePrintedAsTables);
  CPPUNIT_TEST_SUITE_END();

  struct CommandResult {
    int Code_;
    std::string Out_;
    std::string Err_;
  };

  const net::Address Entry_{"127.0.0.1", net::reserveTcpPort()};
  std::unique_ptr<net::HttpServer> Server_;
  std::mutex Mutex_;
  /// "METHOD PATH?QUERY" of each request that the server received.
  std::vector<std::string> Requests_;
  net::HttpRequest LastRequest_;
  std::string FileContent_;
  core::Clock Clock_ = core::steadyClock();

  void serve(const net::HttpHandler &Handler) {
    Server_ = std::make_unique<net::HttpServer>(
        Entry_, net::HttpLimits(), [this, Handler](const auto &Request) {
          {
            std::lock_guard<std::mutex> Lock(Mutex_);
            Requests_.push_back(
                Request.Method_ + " " + Request.Path_ +
                (Request.Query_.empty() ? "" : "?" + Request.Query_));
            LastRequest_ = Request;
          }
          return Handler(Request);
        });
  }

  void serveAlways(unsigned Status, const std::string &Body) {
    serve([=](const net::HttpRequest &) {
      return net::HttpResponse{Status, "application/json", Body};
    });
  }

  /// Responds to /v1/status with a status, and to other paths with \p Body.
  void serveStatusAndBody(const std::string &Body) {
    serve([=](const net::HttpRequest &Request) {
      return net::HttpResponse{200, "application/json",
                               Request.Path_ == "/v1/status" ? statusBody()
                                                             : Body};
    });
  }

  /// Runs the command line. The server is the last entry host, after \p Entries
  /// in reverse order.
  CommandResult run(std::vector<std::string> Words,
                    const std::vector<std::string> &Entries = {}) {
    std::string List = net::toString(Entry_);
    for (const std::string &Entry : Entries)
      List = Entry + "," + List;
    std::vector<const char *> Argv = {"nutmegwell"};
    for (const std::string &Word : Words)
      Argv.push_back(Word.c_str());
    std::ostringstream Out, Err;
    const client::Context Context{
        client::httpTransport(),
        Clock_,
        {{"NUTMEGWELL_ENTRY", List}},
        [this](const std::string &) { return FileContent_; },
        Out,
        Err};
    const int Code =
        client::run(static_cast<int>(Argv.size()), Argv.data(), Context);
    return {Code, Out.str(), Err.str()};
  }

  /// Runs the command line and asserts the exit code \p Code. A failure is
  /// reported at the caller's line.
  CommandResult expect(int Code, std::vector<std::string> Words,
                       const std::vector<std::string> &Entries = {},
                       int Line = __builtin_LINE()) {
    CommandResult Result = run(std::move(Words), Entries);
    CPPUNIT_NS::assertEquals(Code, Result.Code_,
                             CPPUNIT_NS::SourceLine(__FILE__, Line),
                             Result.Err_);
    return Result;
  }

  static std::string unreachableAddress() {
    return "127.0.0.1:" + std::to_string(net::reserveTcpPort());
  }

  static std::string errorBody(const std::string &Code,
                               wire::ApiOutcome Outcome) {
    wire::ApiError Error;
    Error.Code_ = Code;
    Error.Outcome_ = Outcome;
    Error.Step_ = "dispatch";
    Error.Peer_ = "u1";
    Error.Message_ = "m";
    return wire::formatError(Error);
  }

  static std::string jobBody(model::JobState State) {
    model::Job Job;
    Job.Id_ = {1, 2};
    Job.Spec_.Account_ = "a";
    Job.Spec_.Service_ = "s";
    Job.State_ = State;
    return wire::formatJob(Job);
  }

  static std::string statusBody() {
    wire::StatusView Status;
    Status.Node_ = "e1";
    Status.Domains_ = {{"d1", true, 6, "e1", 2}};
    Status.Nodes_ = {{"w1", "worker", "alive", "d1", "r1", 8}};
    return wire::formatStatus(Status);
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  static constexpr const char *Job = "0000000000000001-2";

public:
  void tearDown() override {
    Server_.reset();
    Requests_.clear();
  }

private:
  /// Guards against an invalid command line that sends a request.
  void usageErrorsSendNothing() {
    serveAlways(200, "{}");
    const std::vector<std::vector<std::string>> Lines = {
        {},
        {"nonsense"},
        {"tables"},
        {"request"},
        {"request", "/a"},
        {"request", "--account=a", ""},
        {"request", "--account=a", "a"},
        {"status", "--no-such-flag"},
        {"wait", "12"},
        {"cancel", "../tables"},
        {"domain", "out", "a/b"},
        {"domain", "out", "a", "--version=-1"},
        {"tables", "publish", "colours", "f"},
        {"submit", "--account=a", "--service=s", "--tasks=65", "run"},
        {"submit", "--account=a", "--service=s"}};
    for (const auto &Line : Lines) {
      const CommandResult Result = expect(client::UsageError, Line);
      CPPUNIT_ASSERT(!Result.Err_.empty());
    }
    CPPUNIT_ASSERT(Requests_.empty());
  }

  /// Guards against a command whose flags cannot be discovered.
  void helpOfEveryCommandShowsUnitsAndDefaults() {
    for (const char *Name :
         {"request", "submit", "status", "wait", "cancel", "explain",
          "tables publish", "tables show", "tables check", "domain out",
          "domain in", "report burn"}) {
      std::vector<std::string> Words;
      std::istringstream In(Name);
      for (std::string Word; In >> Word;)
        Words.push_back(Word);
      Words.push_back("--help");
      const CommandResult Result = expect(client::Success, Words);
      CPPUNIT_ASSERT(contains(Result.Out_, "default 30s"));
      CPPUNIT_ASSERT(contains(Result.Out_, "Exit codes: 0 success"));
    }
    CPPUNIT_ASSERT(contains(run({"--help"}).Out_, "tables publish"));
  }

  /// Guards against a request that lacks its headers, method or body.
  void requestCarriesAccountKeyAndBody() {
    serveAlways(200, "answer");
    FileContent_ = "text";
    const CommandResult Result =
        expect(client::Success, {"request", "--account=a", "--key=k",
                                 "--method=POST", "--body=f", "/x?y=1"});
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), Result.Out_);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /x?y=1"), Requests_.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         LastRequest_.header("X-Client-Account"));
    CPPUNIT_ASSERT_EQUAL(std::string("k"),
                         LastRequest_.header("Idempotency-Key"));
    CPPUNIT_ASSERT_EQUAL(std::string("text"), LastRequest_.Body_);
  }

  /// Guards against a flag value that injects a header or a second request.
  void requestRefusesHeaderInjection() {
    serveAlways(200, "");
    for (const char *Flag : {"--account=a\r\nX-Other: 1", "--key=k\n"})
      expect(client::UsageError, {"request", "--account=a", Flag, "/x"});
    expect(client::UsageError, {"request", "--account=a", "/x HTTP/1.1\r\n"});
    CPPUNIT_ASSERT(Requests_.empty());
  }

  /// Guards against a request that fails because one entry host is unreachable.
  void unreachableEntryIsSkipped() {
    serveAlways(200, "answer");
    const CommandResult Result =
        expect(client::Success, {"request", "--account=a", "/x"},
               {unreachableAddress(), unreachableAddress()});
    Server_.reset();
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"request", "--account=a", "/x"}).Err_,
        "refused, not run: unreachable"));
  }

  /// Guards against a request that is sent again although it may have run.
  void unknownOutcomeIsNotRetried() {
    serveAlways(504, errorBody("agent_lost", wire::ApiOutcome::Unknown));
    const std::string Same = net::toString(Entry_);
    const CommandResult Result =
        expect(client::OutcomeUnknown,
               {"request", "--account=a", "--key=k", "/x"}, {Same});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Requests_.size());
    CPPUNIT_ASSERT(contains(Result.Err_, "outcome unknown: agent_lost: m (step "
                                         "dispatch, peer u1)"));
    CPPUNIT_ASSERT(contains(Result.Err_, "same key"));
  }

  /// Guards against reporting "not run" for a request that the server received
  /// but did not answer in time.
  void responseTimeoutIsAnUnknownOutcome() {
    std::mutex Gate;
    std::unique_lock<std::mutex> Closed(Gate);
    serve([&](const net::HttpRequest &) {
      std::lock_guard<std::mutex> Wait(Gate);
      return net::HttpResponse();
    });
    const CommandResult Result =
        expect(client::OutcomeUnknown,
               {"request", "--account=a", "--timeout=100ms", "/x"},
               {net::toString(Entry_)});
    Closed.unlock();
    Server_.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Requests_.size());
  }

  /// Guards against exit code 0 for a response that does not follow the API.
  void malformedResponseIsNotSuccess() {
    FileContent_ = R"({"routes":[]})";
    const std::vector<std::vector<std::string>> Lines = {
        {"submit", "--account=a", "--service=s", "run"},
        {"status"},
        {"status", Job},
        {"wait", Job},
        {"cancel", Job},
        {"explain", Job},
        {"tables", "publish", "routes", "f", "--version=1"},
        {"tables", "show", "routes"},
        {"domain", "in", "d1", "--version=1"},
        {"report", "burn"}};
    for (const auto &Response : {std::pair<unsigned, std::string>{200, "[]"},
                                 {200, "not json"},
                                 {500, "{}"}}) {
      serveAlways(Response.first, Response.second);
      for (const auto &Line : Lines) {
        const CommandResult Result = run(Line);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Line.front(), int(client::OutcomeUnknown),
                                     Result.Code_);
        CPPUNIT_ASSERT(contains(Result.Err_, "wrong_answer"));
      }
      Server_.reset();
    }
  }

  /// Guards against a submitted job that differs from the command line.
  void submitSendsTheJobAndPrintsItsId() {
    serveAlways(202, jobBody(model::JobState::Waiting));
    const CommandResult Result = expect(
        client::Success, {"submit", "--account=a", "--service=s", "--tasks=4",
                          "--accelerators=8", "--level=rack", "--class=urgent",
                          "--declared=90s", "--", "train", "--epochs", "3"});
    CPPUNIT_ASSERT_EQUAL(std::string(Job) + "\n", Result.Out_);
    model::JobSpec Spec;
    CPPUNIT_ASSERT(wire::parseJobSpec(LastRequest_.Body_, Spec).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("train --epochs 3"), Spec.Command_);
    CPPUNIT_ASSERT_EQUAL(32u, Spec.accelerators());
    CPPUNIT_ASSERT(Spec.Level_ == model::TopologyLevel::Rack);
    CPPUNIT_ASSERT(Spec.Class_ == model::JobClass::Urgent);
    CPPUNIT_ASSERT(Spec.DeclaredRunTime_ == 90s);
    const std::vector<std::vector<std::string>> Lines = {
        {"--json", "cancel", Job},
        {"--json", "submit", "--account=a", "--service=s", "run"}};
    for (const auto &Line : Lines)
      CPPUNIT_ASSERT_EQUAL(jobBody(model::JobState::Waiting) + "\n",
                           run(Line).Out_);
  }

  /// Guards against exit code 0 for a job that did not finish.
  void waitExitCodeFollowsTheJobState() {
    const std::pair<model::JobState, int> Cases[] = {
        {model::JobState::Finished, client::Success},
        {model::JobState::Refused, client::RefusedNotRun},
        {model::JobState::Failed, client::JobNotFinished},
        {model::JobState::Cancelled, client::JobNotFinished}};
    for (const auto &Case : Cases) {
      serveAlways(200, jobBody(Case.first));
      CPPUNIT_ASSERT_EQUAL(Case.second, run({"wait", Job}).Code_);
      Server_.reset();
    }
  }

  /// Guards against a busy loop on an entry host that does not wait.
  void waitStopsAfterEarlyResponses() {
    Clock_ = {[] { return core::TimePoint(1000s); }};
    serveAlways(200, jobBody(model::JobState::Waiting));
    expect(client::JobNotFinished, {"wait", "--for=720h", Job});
    CPPUNIT_ASSERT(Requests_.size() <= 5);
    CPPUNIT_ASSERT(contains(Requests_.at(0), "/wait?timeout_ms=20000"));
  }

  /// Guards against a publication without the version that it replaces, which
  /// could overwrite a concurrent one.
  void publishSendsTheCurrentVersion() {
    FileContent_ = R"({"routes":[{"path":"/a","service":"s"}]})";
    serve([](const net::HttpRequest &Request) {
      return net::HttpResponse{200, "application/json",
                               Request.Method_ == "GET"
                                   ? wire::formatRoutesAnswer(7, {})
                                   : wire::formatVersion(8)};
    });
    const CommandResult Result =
        expect(client::Success, {"tables", "publish", "routes", "f"});
    CPPUNIT_ASSERT_EQUAL(std::string("PUT /v1/tables/routes?version=7"),
                         Requests_.at(1));
    CPPUNIT_ASSERT_EQUAL(FileContent_, LastRequest_.Body_);
    CPPUNIT_ASSERT(contains(Result.Out_, "version 8"));
    expect(client::Success,
           {"tables", "publish", "routes", "f", "--version", "3"});
    CPPUNIT_ASSERT_EQUAL(std::string("PUT /v1/tables/routes?version=3"),
                         Requests_.at(2));
  }

  /// Guards against a malformed table that is sent to the entry host.
  void malformedTableIsNotSent() {
    serveAlways(200, wire::formatVersion(1));
    FileContent_ = R"({"pools":[{"name":"p","account":"a","service":"s",)"
                   R"("domain":"d","limt":4}]})";
    const CommandResult Result =
        expect(client::RefusedNotRun, {"tables", "publish", "pools", "f"});
    CPPUNIT_ASSERT_EQUAL(std::string("pools row 1 field limt: unknown field\n"),
                         Result.Out_);
    CPPUNIT_ASSERT(Requests_.empty());
  }

  /// Guards against validation errors of the entry host that are not printed.
  void validationErrorsOfTheServerArePrinted() {
    FileContent_ = R"({"routes":[{"path":"/a","service":"s"}]})";
    serveAlways(422, wire::formatError(wire::invalidTable(
                         {{"routes", 1, "service", "has no pools row"}})));
    const CommandResult Result =
        expect(client::RefusedNotRun,
               {"tables", "publish", "routes", "f", "--version=1"});
    CPPUNIT_ASSERT_EQUAL(
        std::string("routes row 1 field service: has no pools row\n"),
        Result.Out_);
    const CommandResult Json =
        run({"tables", "publish", "routes", "f", "--version=1", "--json"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         wire::parseError(Json.Out_)->ValidationErrors_.size());
  }

  /// Guards against a version conflict that is reported as success or without
  /// the current version.
  void versionConflictShowsTheCurrentVersion() {
    FileContent_ = R"({"routes":[]})";
    serveAlways(409, wire::formatError(wire::staleVersion("routes", 9)));
    CPPUNIT_ASSERT(
        contains(expect(client::RefusedNotRun,
                        {"tables", "publish", "routes", "f", "--version=7"})
                     .Err_,
                 "version 9 is current, 7 was expected"));
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"domain", "out", "d1", "--version=7"})
            .Err_,
        "current version is 9"));
  }

  /// Guards against a publication without a known current version, and against
  /// "outcome unknown" although nothing was published.
  void malformedVersionPublishesNothing() {
    FileContent_ = R"({"routes":[]})";
    serveAlways(200, "{}");
    expect(client::RefusedNotRun, {"tables", "publish", "routes", "f"});
    expect(client::RefusedNotRun, {"domain", "out", "d1"});
    for (const std::string &Request : Requests_)
      CPPUNIT_ASSERT_EQUAL(std::string("GET"), Request.substr(0, 3));
  }

  /// Guards against a check that ignores the other published table.
  void checkValidatesAgainstPublishedTables() {
    serve([](const net::HttpRequest &Request) {
      return net::HttpResponse{200, "application/json",
                               Request.Path_ == "/v1/status" ? statusBody()
                               : contains(Request.Path_, "pools")
                                   ? wire::formatPoolsAnswer(1, {})
                                   : wire::formatRoutesAnswer(1, {})};
    });
    FileContent_ = R"({"routes":[{"path":"/a","service":"s"}]})";
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"tables", "check", "routes", "f"}).Out_,
        "routes row 1 field service"));
    FileContent_ = R"({"pools":[{"name":"p","account":"a","service":"s",)"
                   R"("domain":"d1","guaranteed":16,"limit":16}]})";
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"tables", "check", "pools", "f"}).Out_,
        "pools row 1 field guaranteed"));
    FileContent_ = R"({"pools":[{"name":"p","account":"a","service":"s",)"
                   R"("domain":"d1","guaranteed":8,"limit":16}]})";
    expect(client::Success, {"tables", "check", "pools", "f"});
  }

  /// Guards against a domain change that overwrites a concurrent one.
  void domainChangeSendsTheCurrentVersion() {
    serveStatusAndBody(wire::formatDomainChange({"d1", false, 7, "", 0}));
    const CommandResult Result =
        expect(client::Success, {"domain", "out", "d1"});
    CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/domains/d1/out?version=6"),
                         Requests_.at(1));
    CPPUNIT_ASSERT_EQUAL(
        std::string("domain d1 is out of service, version 7\n"), Result.Out_);
    expect(client::RefusedNotRun, {"domain", "out", "d9"});
  }

  /// Guards against tables that omit a node or an alert.
  void statusAndBurnArePrintedAsTables() {
    serveStatusAndBody(
        R"({"short_ms":1,"long_ms":2,"rows":[{"account":"a","service":"s",)"
        R"("short":{"burn":20.126},"long":{"burn":15,"requests":9,)"
        R"("refused":1,"unknown":2,"slow":3},"alert":true}]})");
    const CommandResult Status = run({"status"});
    CPPUNIT_ASSERT(contains(Status.Out_, "w1    worker  alive"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("ACCOUNT  SERVICE  BURN SHORT  BURN LONG  REQUESTS  "
                    "REFUSED/UNKNOWN/SLOW  ALERT\n"
                    "a        s        20.13       15.00      9         "
                    "1/2/3                 yes\n"),
        run({"report", "burn"}).Out_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);
