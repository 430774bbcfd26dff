#include "load.h"
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <functional>

using namespace std::chrono_literals;
using namespace nutmegwell::history;
using e2e::assertFinished;
using e2e::Cluster;
using e2e::DefaultTimes;
using e2e::JobLoad;
using e2e::Load;
using e2e::pass;
using e2e::Recorder;
using e2e::start;

// Fault table: fault; expected effect; test. The comment is not reflowed by the
// formatter, since each line is an item of a list.
//
// - domain out under load; no start there after 3 s; domainOut
// - holder stopped at that time; the same; domainOutHolderPaused
// - entry host paused; no gang runs twice; holderPaused
// - agent killed; gang ends, runs elsewhere; agentKilled
// - log stopped, then back; true refusals, work goes on; logOut
// - entry host replaced, no log; state from its peer; entryReplaced
// - entry host and agent stop; nothing cut; gracefulStops
// - upstream leaves; no new work after 3 s; upstreamLeaves
// - operators race; one winner; operatorsRace
// - entry host restarted; versions never go back; configAcrossRestarts
class FaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultTest);
  CPPUNIT_TEST(domainOut);
  CPPUNIT_TEST(domainOutHolderPaused);
  CPPUNIT_TEST(holderPaused);
  CPPUNIT_TEST(agentKilled);
  CPPUNIT_TEST(logOut);
  CPPUNIT_TEST(entryReplaced);
  CPPUNIT_TEST(gracefulStops);
  CPPUNIT_TEST(upstreamLeaves);
  CPPUNIT_TEST(operatorsRace);
  CPPUNIT_TEST(configAcrossRestarts);
  CPPUNIT_TEST_SUITE_END();

  /// Returns the number of the entry host that holds domain "a".
  static int holderOf(Cluster &All) {
    CPPUNIT_ASSERT(All.waitStatus(1, R"("holder":"e)"));
    auto Body = All.call(1, "GET", "/v1/status").Body_;
    return Body.find(R"("holder":"e1")") != std::string::npos ? 1 : 2;
  }

  static void changeDomain(Cluster &All, Recorder &Run, int Entry, bool Out,
                           int Version) {
    if (!Out)
      Run.add("operator", DomainIn{"a"});
    auto Response =
        All.call(Entry, "POST",
                 std::string("/v1/domains/a/") + (Out ? "out" : "in") +
                     "?version=" + std::to_string(Version));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Response.Body_, 200u, Response.Status_);
    if (Out)
      Run.add("operator", DomainOut{"a"});
  }

  /// Guards against starts in a domain that operators took out.
  void domainOut() {
    Cluster All(DefaultTimes);
    Recorder Run;
    start(All, 5, 0);
    JobLoad Jobs(All, 1);
    CPPUNIT_ASSERT(All.Runtimes_["w0"]->waitForLine("started") >= 0);
    changeDomain(All, Run, 2, true, 0);
    pass(8s);
    changeDomain(All, Run, 1, false, 1);
    int Lines = static_cast<int>(All.Runtimes_["w0"]->lines().size());
    CPPUNIT_ASSERT(All.Runtimes_["w0"]->waitForLine("started", Lines) >= 0);
    assertFinished(All, 1, Jobs.stop());
    e2e::assertRules(Run.finish(All));
  }

  /// Guards against permits that outlive a holder which cannot be told.
  void domainOutHolderPaused() {
    Cluster All(DefaultTimes);
    Recorder Run;
    start(All, 5, 0);
    const int Holder = holderOf(All), Other = 3 - Holder;
    JobLoad Jobs(All, Other);
    CPPUNIT_ASSERT(All.Runtimes_["w0"]->waitForLine("started") >= 0);
    All.EntryHosts_[Holder]->signal(SIGSTOP);
    changeDomain(All, Run, Other, true, 0);
    pass(10s);
    All.EntryHosts_[Holder]->signal(SIGCONT);
    pass(4s);
    changeDomain(All, Run, Other, false, 1);
    assertFinished(All, Other, Jobs.stop());
    e2e::assertRules(Run.finish(All));
  }

  /// Guards against two holders that both start the same gangs.
  void holderPaused() {
    Cluster All;
    Recorder Run;
    start(All, 5, 0);
    const int Holder = holderOf(All), Other = 3 - Holder;
    JobLoad Jobs(All, Other);
    for (int Round = 0; Round < 2; ++Round) {
      CPPUNIT_ASSERT(All.Runtimes_["w0"]->waitForLine("started") >= 0);
      All.EntryHosts_[Holder]->signal(SIGSTOP);
      CPPUNIT_ASSERT(All.waitStatus(Other, "\"holder\":\"e" +
                                               std::to_string(Other) + "\""));
      All.EntryHosts_[Holder]->signal(SIGCONT);
      pass(1s);
    }
    assertFinished(All, Other, Jobs.stop());
    e2e::assertRules(Run.finish(All));
  }

  /// Guards against a gang that goes on without one of its tasks.
  void agentKilled() {
    Cluster All;
    Recorder Run;
    start(All, 5, 0);
    std::string Job = All.submit(1, 2, 8, "rack", "run:4000");
    int First = -1;
    for (int I = 0; I < 5 && First < 0; ++I)
      if (All.Runtimes_["w" + std::to_string(I)]->waitForLine("started", 0,
                                                              1000ms) >= 0)
        First = I;
    CPPUNIT_ASSERT(First >= 0);
    All.Agents_["w" + std::to_string(First)]->signal(SIGKILL);
    assertFinished(All, 1, {Job});
    CPPUNIT_ASSERT(All.countStarts("started " + Job + ".") >= 4);
    // The runtime ends the orphan when its lease runs out.
    CPPUNIT_ASSERT(
        All.Runtimes_["w" + std::to_string(First)]->waitForLine("ended") >= 0);
    Run.finish(All);
  }

  /// Guards against lost work and false refusals while the log is down.
  void logOut() {
    Cluster All;
    Recorder Run;
    start(All, 5, 2);
    Load Calls(All, Run, 4);
    CPPUNIT_ASSERT(Calls.waitAnswers(40));
    std::string Running = All.submit(1, 2, 8, "rack", "run:6000");
    CPPUNIT_ASSERT(All.waitStatus(1, R"("state":"running")"));
    All.Log_->signal(SIGSTOP);
    pass(8s);
    // Idempotent requests need no log.
    CPPUNIT_ASSERT(Calls.waitAnswers(40));
    auto Refused =
        All.call(1, "POST", "/v1/jobs",
                 R"({"account":"acc","service":"svc","command":"x"})");
    CPPUNIT_ASSERT(Refused.Status_ != 202);
    All.Log_->signal(SIGCONT);
    CPPUNIT_ASSERT(All.waitStatus(1, R"("log_available":true)"));
    CPPUNIT_ASSERT(Calls.waitAnswers(40));
    assertFinished(All, 1, {Running});
    std::string Job;
    for (int Try = 0; Try < 20 && Job.empty(); ++Try)
      Job = All.submit(1, 2, 8, "rack", "run:200");
    assertFinished(All, 1, {Job});
    Calls.stop();
    CPPUNIT_ASSERT_EQUAL(1, All.countStarts("started " + Running + ".1.0") / 2);
    e2e::assertRules(Run.finish(All));
  }

  /// Guards against a new entry host that knows nothing while the log is out.
  void entryReplaced() {
    Cluster All;
    Recorder Run;
    start(All, 2, 2);
    CPPUNIT_ASSERT_EQUAL(200u, All.call(2, "GET", "/svc/before").Status_);
    All.Log_->signal(SIGSTOP);
    All.EntryHosts_[2]->signal(SIGKILL);
    e2e::Process &Entry = All.startEntry(2);
    CPPUNIT_ASSERT(Entry.waitForLine("event=state_from_peer") >= 0);
    CPPUNIT_ASSERT(All.waitStatus(2, "\"u1\""));
    auto Response = All.call(2, "GET", "/svc/after");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Response.Body_, 200u, Response.Status_);
    All.Log_->signal(SIGCONT);
  }

  /// Guards against a planned stop that cuts a request.
  void gracefulStops() {
    Cluster All;
    Recorder Run;
    start(All, 1, 3);
    Load Calls(All, Run, 6);
    CPPUNIT_ASSERT(Calls.waitAnswers(60));
    for (const char *Name : {"e2", "u0"}) {
      auto &Target = Name[0] == 'e' ? All.EntryHosts_[2] : All.Agents_[Name];
      // The upstream beside the agent goes on, so the agent has its own name.
      const std::string Process = Name[0] == 'e' ? Name : "agent-u0";
      Run.add(Process, StopBegun());
      Target->signal(SIGTERM);
      CPPUNIT_ASSERT_EQUAL(0, Target->wait());
      Run.add(Process, StopEnded{0});
      CPPUNIT_ASSERT(Calls.waitAnswers(60));
    }
    Calls.stop();
    CPPUNIT_ASSERT_EQUAL(0, Calls.unknown());
    e2e::assertRules(Run.finish(All));
  }

  /// Guards against work sent to an upstream that said it leaves.
  void upstreamLeaves() {
    Cluster All(DefaultTimes);
    Recorder Run;
    start(All, 1, 2);
    Load Calls(All, Run, 4);
    CPPUNIT_ASSERT(Calls.waitAnswers(40));
    Run.add("u0", UpstreamLeaving{"u0"});
    All.Upstreams_["u0"]->signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, All.Upstreams_["u0"]->wait());
    CPPUNIT_ASSERT(Calls.waitAnswers(40));
    Calls.stop();
    e2e::assertRules(Run.finish(All));
  }

  /// Guards against a publication that silently undoes another one.
  void operatorsRace() {
    Cluster All;
    start(All, 2, 0);
    for (int Round = 1; Round <= 10; ++Round) {
      std::atomic<int> Won{0}, Lost{0};
      std::vector<std::thread> Operators;
      for (int Entry : {1, 2})
        Operators.emplace_back([&, Entry] {
          auto Response =
              All.call(Entry, "PUT",
                       "/v1/tables/routes?version=" + std::to_string(Round),
                       R"({"routes":[{"path":"/svc","service":"svc","queue":)" +
                           std::to_string(Round * 10 + Entry) + "}]}");
          ++(Response.Status_ == 200 ? Won : Lost);
        });
      for (std::thread &Operator : Operators)
        Operator.join();
      CPPUNIT_ASSERT_EQUAL(1, Won.load());
      CPPUNIT_ASSERT_EQUAL(1, Lost.load());
    }
  }

  /// Guards against a restarted entry host that shows an older version.
  void configAcrossRestarts() {
    Cluster All;
    Recorder Run;
    start(All, 2, 0);
    Run.add("operator", ConfigAccepted{"routes", 1, ""});
    e2e::ConfigWatch Watch(All, Run);
    for (int Version = 1; Version <= 6; ++Version) {
      auto Response = All.call(
          1, "PUT", "/v1/tables/routes?version=" + std::to_string(Version),
          R"({"routes":[{"path":"/svc","service":"svc","queue":)" +
              std::to_string(Version) + "}]}");
      CPPUNIT_ASSERT_EQUAL(200u, Response.Status_);
      Run.add("operator",
              ConfigAccepted{"routes", static_cast<unsigned>(Version + 1), ""});
      All.EntryHosts_[2]->signal(SIGKILL);
      All.startEntry(2);
      CPPUNIT_ASSERT(All.waitStatus(2, R"("log_available":true)"));
      pass(300ms);
    }
    Watch.stop();
    e2e::assertRules(Run.finish(All));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTest);
