#include "nutmegwell/client/run.h"
#include "nutmegwell/wire/apijson.h"
#include "nutmegwell/wire/tablejson.h"
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <mutex>
#include <sstream>

using namespace nutmegwell;
using namespace std::chrono_literals;

// Faults of an entry host and what the client makes of them:
//
// | fault                               | client                              |
// |-------------------------------------|-------------------------------------|
// | nothing listens                     | tries the next one; else code 1     |
// | answer is not what the API says     | code 3, "wrong_answer"              |
// | refusal, not run                    | code 1 with code, step and peer     |
// | table has validation errors         | code 1, one line for each           |
// | another publication came first      | code 1 and the winner's version     |
// | outcome unknown                     | code 3, no other entry host is asked|
// | no answer in time                   | code 3, no other entry host is asked|
// | wait is answered at once, again     | stops after a few, code 4           |
// | version cannot be read              | code 1, nothing is published        |

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(usageErrorsSendNothing);
  CPPUNIT_TEST(helpOfEveryCommandShowsUnitsAndDefaults);
  CPPUNIT_TEST(requestCarriesAccountKeyAndBody);
  CPPUNIT_TEST(requestRefusesHeaderInjection);
  CPPUNIT_TEST(unreachableEntryIsSkipped);
  CPPUNIT_TEST(unknownOutcomeStopsAtTheFirstEntry);
  CPPUNIT_TEST(silentEntryIsAnUnknownOutcome);
  CPPUNIT_TEST(wrongAnswerIsNotSuccess);
  CPPUNIT_TEST(submitSendsTheJobAndPrintsItsId);
  CPPUNIT_TEST(waitEndsWithTheStateOfTheJob);
  CPPUNIT_TEST(waitDoesNotSpin);
  CPPUNIT_TEST(publishUsesTheVersionInForce);
  CPPUNIT_TEST(badTableIsNotSent);
  CPPUNIT_TEST(validationErrorsOfTheServerArePrinted);
  CPPUNIT_TEST(lostRaceShowsTheWinnersVersion);
  CPPUNIT_TEST(unreadableVersionPublishesNothing);
  CPPUNIT_TEST(checkJoinsTheTablesInForce);
  CPPUNIT_TEST(domainChangeUsesTheVersionShown);
  CPPUNIT_TEST(statusAndBurnArePrintedAsTables);
  CPPUNIT_TEST_SUITE_END();

  struct Result {
    int Code_;
    std::string Out_;
    std::string Err_;
  };

  const net::Address Entry_{"127.0.0.1", net::reserveTcpPort()};
  std::unique_ptr<net::HttpServer> Server_;
  std::mutex Mutex_;
  /// "METHOD PATH?QUERY" of each request that the server got.
  std::vector<std::string> Requests_;
  net::HttpRequest Last_;
  std::string File_;
  core::Clock Clock_ = core::steadyClock();

  void serve(const net::HttpHandler &Handler) {
    Server_ = std::make_unique<net::HttpServer>(
        Entry_, net::HttpLimits(), [this, Handler](const auto &Request) {
          {
            std::lock_guard<std::mutex> Lock(Mutex_);
            Requests_.push_back(
                Request.Method_ + " " + Request.Path_ +
                (Request.Query_.empty() ? "" : "?" + Request.Query_));
            Last_ = Request;
          }
          return Handler(Request);
        });
  }

  void serveAlways(unsigned Status, const std::string &Body) {
    serve([=](const net::HttpRequest &) {
      return net::HttpResponse{Status, "application/json", Body};
    });
  }

  /// Answers the path of the status, and every other path with \p Body.
  void serveBesideStatus(const std::string &Body) {
    serve([=](const net::HttpRequest &Request) {
      return net::HttpResponse{200, "application/json",
                               Request.Path_ == "/v1/status" ? statusBody()
                                                             : Body};
    });
  }

  /// Runs the command line with the server as its entry host.
  Result run(std::vector<std::string> Words,
             const std::vector<std::string> &Entries = {}) {
    std::string List = net::toString(Entry_);
    for (const std::string &Entry : Entries)
      List = Entry + "," + List;
    std::vector<const char *> Argv = {"nutmegwell"};
    for (const std::string &Word : Words)
      Argv.push_back(Word.c_str());
    std::ostringstream Out, Err;
    const client::Context Context{client::httpTransport(),
                                  Clock_,
                                  {{"NUTMEGWELL_ENTRY", List}},
                                  [this](const std::string &) { return File_; },
                                  Out,
                                  Err};
    const int Code =
        client::run(static_cast<int>(Argv.size()), Argv.data(), Context);
    return {Code, Out.str(), Err.str()};
  }

  /// Runs the command line; fails at the caller's line unless it ends with
  /// \p Code.
  Result expect(int Code, std::vector<std::string> Words,
                const std::vector<std::string> &Entries = {},
                int Line = __builtin_LINE()) {
    Result Ended = run(std::move(Words), Entries);
    CPPUNIT_NS::assertEquals(
        Code, Ended.Code_, CPPUNIT_NS::SourceLine(__FILE__, Line), Ended.Err_);
    return Ended;
  }

  static std::string unreachable() {
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
  /// Guards against a misread command line that reaches an entry host.
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
      const Result Ended = expect(client::Usage, Line);
      CPPUNIT_ASSERT(!Ended.Err_.empty());
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
      const Result Ended = expect(client::Done, Words);
      CPPUNIT_ASSERT(contains(Ended.Out_, "default 30s"));
      CPPUNIT_ASSERT(contains(Ended.Out_, "Exit codes: 0 done"));
    }
    CPPUNIT_ASSERT(contains(run({"--help"}).Out_, "tables publish"));
  }

  /// Guards against a header, a method or a body that gets lost.
  void requestCarriesAccountKeyAndBody() {
    serveAlways(200, "answer");
    File_ = "text";
    const Result Ended =
        expect(client::Done, {"request", "--account=a", "--key=k",
                              "--method=POST", "--body=f", "/x?y=1"});
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), Ended.Out_);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /x?y=1"), Requests_.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Last_.header("X-Client-Account"));
    CPPUNIT_ASSERT_EQUAL(std::string("k"), Last_.header("Idempotency-Key"));
    CPPUNIT_ASSERT_EQUAL(std::string("text"), Last_.Body_);
  }

  /// Guards against a value that adds a header or a second request.
  void requestRefusesHeaderInjection() {
    serveAlways(200, "");
    for (const char *Flag : {"--account=a\r\nX-Other: 1", "--key=k\n"})
      expect(client::Usage, {"request", "--account=a", Flag, "/x"});
    expect(client::Usage, {"request", "--account=a", "/x HTTP/1.1\r\n"});
    CPPUNIT_ASSERT(Requests_.empty());
  }

  /// Guards against one dead entry host that stops callers.
  void unreachableEntryIsSkipped() {
    serveAlways(200, "answer");
    const Result Ended = expect(client::Done, {"request", "--account=a", "/x"},
                                {unreachable(), unreachable()});
    Server_.reset();
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"request", "--account=a", "/x"}).Err_,
        "refused, not run: unreachable"));
  }

  /// Guards against a request that may have run and is sent again.
  void unknownOutcomeStopsAtTheFirstEntry() {
    serveAlways(504, errorBody("agent_lost", wire::ApiOutcome::Unknown));
    const std::string Same = net::toString(Entry_);
    const Result Ended =
        expect(client::OutcomeUnknown,
               {"request", "--account=a", "--key=k", "/x"}, {Same});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Requests_.size());
    CPPUNIT_ASSERT(contains(Ended.Err_, "outcome unknown: agent_lost: m (step "
                                        "dispatch, peer u1)"));
    CPPUNIT_ASSERT(contains(Ended.Err_, "same key"));
  }

  /// Guards against "not run" for a request that the server had received.
  void silentEntryIsAnUnknownOutcome() {
    std::mutex Gate;
    std::unique_lock<std::mutex> Closed(Gate);
    serve([&](const net::HttpRequest &) {
      std::lock_guard<std::mutex> Wait(Gate);
      return net::HttpResponse();
    });
    const Result Ended =
        expect(client::OutcomeUnknown,
               {"request", "--account=a", "--timeout=100ms", "/x"},
               {net::toString(Entry_)});
    Closed.unlock();
    Server_.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Requests_.size());
  }

  /// Guards against code 0 for an answer that says something else.
  void wrongAnswerIsNotSuccess() {
    File_ = R"({"routes":[]})";
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
    for (const auto &Answer : {std::pair<unsigned, std::string>{200, "[]"},
                               {200, "not json"},
                               {500, "{}"}}) {
      serveAlways(Answer.first, Answer.second);
      for (const auto &Line : Lines) {
        const Result Ended = run(Line);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Line.front(), int(client::OutcomeUnknown),
                                     Ended.Code_);
        CPPUNIT_ASSERT(contains(Ended.Err_, "wrong_answer"));
      }
      Server_.reset();
    }
  }

  /// Guards against a job that runs with other values than asked for.
  void submitSendsTheJobAndPrintsItsId() {
    serveAlways(202, jobBody(model::JobState::Waiting));
    const Result Ended = expect(
        client::Done, {"submit", "--account=a", "--service=s", "--tasks=4",
                       "--accelerators=8", "--level=rack", "--class=urgent",
                       "--declared=90s", "--", "train", "--epochs", "3"});
    CPPUNIT_ASSERT_EQUAL(std::string(Job) + "\n", Ended.Out_);
    model::JobSpec Spec;
    CPPUNIT_ASSERT(wire::parseJobSpec(Last_.Body_, Spec).empty());
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

  /// Guards against code 0 for a job that did not finish.
  void waitEndsWithTheStateOfTheJob() {
    const std::pair<model::JobState, int> Cases[] = {
        {model::JobState::Finished, client::Done},
        {model::JobState::Refused, client::RefusedNotRun},
        {model::JobState::Failed, client::JobNotFinished},
        {model::JobState::Cancelled, client::JobNotFinished}};
    for (const auto &Case : Cases) {
      serveAlways(200, jobBody(Case.first));
      CPPUNIT_ASSERT_EQUAL(Case.second, run({"wait", Job}).Code_);
      Server_.reset();
    }
  }

  /// Guards against a loop on an entry host that answers a wait at once.
  void waitDoesNotSpin() {
    Clock_ = {[] { return core::TimePoint(1000s); }};
    serveAlways(200, jobBody(model::JobState::Waiting));
    expect(client::JobNotFinished, {"wait", "--for=720h", Job});
    CPPUNIT_ASSERT(Requests_.size() <= 5);
    CPPUNIT_ASSERT(contains(Requests_.at(0), "/wait?timeout_ms=20000"));
  }

  /// Guards against a publication that does not name what it replaces.
  void publishUsesTheVersionInForce() {
    File_ = R"({"routes":[{"path":"/a","service":"s"}]})";
    serve([](const net::HttpRequest &Request) {
      return net::HttpResponse{200, "application/json",
                               Request.Method_ == "GET"
                                   ? wire::formatRoutesAnswer(7, {})
                                   : wire::formatVersion(8)};
    });
    const Result Ended =
        expect(client::Done, {"tables", "publish", "routes", "f"});
    CPPUNIT_ASSERT_EQUAL(std::string("PUT /v1/tables/routes?version=7"),
                         Requests_.at(1));
    CPPUNIT_ASSERT_EQUAL(File_, Last_.Body_);
    CPPUNIT_ASSERT(contains(Ended.Out_, "version 8"));
    expect(client::Done,
           {"tables", "publish", "routes", "f", "--version", "3"});
    CPPUNIT_ASSERT_EQUAL(std::string("PUT /v1/tables/routes?version=3"),
                         Requests_.at(2));
  }

  /// Guards against a malformed table that reaches the entry host.
  void badTableIsNotSent() {
    serveAlways(200, wire::formatVersion(1));
    File_ = R"({"pools":[{"name":"p","account":"a","service":"s",)"
            R"("domain":"d","limt":4}]})";
    const Result Ended =
        expect(client::RefusedNotRun, {"tables", "publish", "pools", "f"});
    CPPUNIT_ASSERT_EQUAL(std::string("pools row 1 field limt: unknown field\n"),
                         Ended.Out_);
    CPPUNIT_ASSERT(Requests_.empty());
  }

  /// Guards against validation errors that operators do not see.
  void validationErrorsOfTheServerArePrinted() {
    File_ = R"({"routes":[{"path":"/a","service":"s"}]})";
    serveAlways(422, wire::formatError(wire::invalidTable(
                         {{"routes", 1, "service", "has no pools row"}})));
    const Result Ended =
        expect(client::RefusedNotRun,
               {"tables", "publish", "routes", "f", "--version=1"});
    CPPUNIT_ASSERT_EQUAL(
        std::string("routes row 1 field service: has no pools row\n"),
        Ended.Out_);
    const Result Json =
        run({"tables", "publish", "routes", "f", "--version=1", "--json"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         wire::parseError(Json.Out_)->ValidationErrors_.size());
  }

  /// Guards against an operator who believes that their change won.
  void lostRaceShowsTheWinnersVersion() {
    File_ = R"({"routes":[]})";
    serveAlways(409, wire::formatError(wire::staleVersion("routes", 9)));
    CPPUNIT_ASSERT(
        contains(expect(client::RefusedNotRun,
                        {"tables", "publish", "routes", "f", "--version=7"})
                     .Err_,
                 "version 9 is in force, 7 was expected"));
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"domain", "out", "d1", "--version=7"})
            .Err_,
        "version 9 is in force"));
  }

  /// Guards against a publication over an unknown version, and against
  /// "outcome unknown" when nothing was published.
  void unreadableVersionPublishesNothing() {
    File_ = R"({"routes":[]})";
    serveAlways(200, "{}");
    expect(client::RefusedNotRun, {"tables", "publish", "routes", "f"});
    expect(client::RefusedNotRun, {"domain", "out", "d1"});
    for (const std::string &Request : Requests_)
      CPPUNIT_ASSERT_EQUAL(std::string("GET"), Request.substr(0, 3));
  }

  /// Guards against a check that leaves out the other table.
  void checkJoinsTheTablesInForce() {
    serve([](const net::HttpRequest &Request) {
      return net::HttpResponse{200, "application/json",
                               Request.Path_ == "/v1/status" ? statusBody()
                               : contains(Request.Path_, "pools")
                                   ? wire::formatPoolsAnswer(1, {})
                                   : wire::formatRoutesAnswer(1, {})};
    });
    File_ = R"({"routes":[{"path":"/a","service":"s"}]})";
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"tables", "check", "routes", "f"}).Out_,
        "routes row 1 field service"));
    File_ = R"({"pools":[{"name":"p","account":"a","service":"s",)"
            R"("domain":"d1","guaranteed":16,"limit":16}]})";
    CPPUNIT_ASSERT(contains(
        expect(client::RefusedNotRun, {"tables", "check", "pools", "f"}).Out_,
        "pools row 1 field guaranteed"));
    File_ = R"({"pools":[{"name":"p","account":"a","service":"s",)"
            R"("domain":"d1","guaranteed":8,"limit":16}]})";
    expect(client::Done, {"tables", "check", "pools", "f"});
  }

  /// Guards against a change that overwrites one which nobody has seen.
  void domainChangeUsesTheVersionShown() {
    serveBesideStatus(wire::formatDomainChange({"d1", false, 7, "", 0}));
    const Result Ended = expect(client::Done, {"domain", "out", "d1"});
    CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/domains/d1/out?version=6"),
                         Requests_.at(1));
    CPPUNIT_ASSERT_EQUAL(
        std::string("domain d1 is out of service, version 7\n"), Ended.Out_);
    expect(client::RefusedNotRun, {"domain", "out", "d9"});
  }

  /// Guards against columns that hide a node or an alert.
  void statusAndBurnArePrintedAsTables() {
    serveBesideStatus(
        R"({"short_ms":1,"long_ms":2,"rows":[{"account":"a","service":"s",)"
        R"("short":{"burn":20.126},"long":{"burn":15,"requests":9,)"
        R"("refused":1,"unknown":2,"slow":3},"alert":true}]})");
    const Result Status = run({"status"});
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
