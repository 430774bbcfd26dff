#include "cluster.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

using namespace std::chrono_literals;
using e2e::Cluster;

/// Runs the whole path with separate processes: two entry hosts, seven workers
/// and three upstreams.
class PathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathTest);
  CPPUNIT_TEST(entryHostKilledUnderLoad);
  CPPUNIT_TEST_SUITE_END();

  static void start(Cluster &All) {
    All.startLog();
    All.startEntry(1);
    All.startEntry(2);
    for (int I = 0; I < 7; ++I)
      All.startWorker("w" + std::to_string(I), I < 4 ? "a" : "b",
                      "r" + std::to_string(I / 3));
    for (int I = 0; I < 3; ++I)
      All.startUpstream("u" + std::to_string(I), I < 2 ? "a" : "b", "svc");
    for (int Entry : {1, 2}) {
      // The tables are checked against the workers that the entry host knows,
      // and agents announce themselves in any order.
      for (const char *Node :
           {"w0", "w1", "w2", "w3", "w4", "w5", "w6", "u0", "u1", "u2"})
        CPPUNIT_ASSERT(All.waitStatus(Entry, Node));
      CPPUNIT_ASSERT(All.waitStatus(Entry, R"("log_available":true)"));
    }
    CPPUNIT_ASSERT(All.publishTables(1, {"a", "b"}));
    CPPUNIT_ASSERT(All.waitStatus(2, R"("name":"b","in_service":true)"));
  }

  /// Guards against accepted work that is lost when an entry host dies.
  void entryHostKilledUnderLoad() {
    Cluster All;
    start(All);
    std::vector<std::string> Jobs;
    for (int I = 0; I < 6; ++I)
      Jobs.push_back(All.submit(1 + I % 2, 2, 8, "rack", "run:1500"));
    std::atomic<int> Wrong{0};
    std::atomic<int> Answered{0};
    std::vector<std::thread> Callers;
    for (int Caller = 0; Caller < 4; ++Caller)
      Callers.emplace_back([&, Caller] {
        for (int I = 0; I < 50; ++I) {
          const std::string Key =
              "k" + std::to_string(Caller) + "-" + std::to_string(I);
          // A caller asks again through another entry host until it has an
          // answer; the key makes that safe.
          for (int Try = 0; Try < 20; ++Try) {
            auto Response = All.call(1 + (Caller + Try) % 2, "POST", "/svc/x",
                                     "body-" + Key, Key);
            if (Response.Status_ != 200)
              continue;
            ++Answered;
            if (Response.Body_.find("body-" + Key + "\"") == std::string::npos)
              ++Wrong;
            break;
          }
        }
      });
    All.EntryHosts_[2]->signal(SIGKILL);
    for (std::thread &Caller : Callers)
      Caller.join();
    CPPUNIT_ASSERT_EQUAL(200, Answered.load());
    CPPUNIT_ASSERT_EQUAL(0, Wrong.load());
    for (int Caller = 0; Caller < 4; ++Caller)
      for (int I = 0; I < 50; ++I)
        CPPUNIT_ASSERT_EQUAL(1, All.countRuns("\"key\":\"k" +
                                              std::to_string(Caller) + "-" +
                                              std::to_string(I) + "\""));
    for (const std::string &Job : Jobs)
      CPPUNIT_ASSERT_EQUAL(std::string("finished"), All.waitJob(1, Job, 60s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);
