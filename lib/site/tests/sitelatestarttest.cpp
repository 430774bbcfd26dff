#include "fakesite.h"
#include "nutmegwell/history/rules.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// Workers that carry out starts of an earlier process late.
class SiteLateStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SiteLateStartTest);
  CPPUNIT_TEST(lateStartRunsOnNoRestartedWorker);
  CPPUNIT_TEST(lateStartRunsOnNoWorkerThatRestartedWithItsAgent);
  CPPUNIT_TEST_SUITE_END();

  /// Restarts workers while their starts are pending, alone or with their
  /// agents. Returns the rule that was broken, or an empty string.
  static std::string restartWorkersOfLateStarts(core::Duration Down,
                                                bool WithAgents) {
    FakeSite Site(3);
    Site.addWorker("w0", "a", 1);
    Site.addWorker("w1", "a", 1);
    Site.run(3s);
    Site.setLateOrdersSurviveRestarts(true);
    for (int I = 0; I < 8; ++I) {
      Site.setLateOrders(1);
      Site.submit("e0", "j" + std::to_string(I),
                  jobs::JobSpecBuilder()
                      .command("9000")
                      .step(1, {1000, 1000, FakeWorkerAccelerators}, 9s)
                      .build());
      Site.run(150ms);
      Site.setLateOrders(0);
      for (const char *Worker : {"w0", "w1"})
        if (!Site.agent(Worker).Pending_.empty()) {
          Site.crashWorker(Worker);
          if (WithAgents)
            Site.killAgent(Worker);
          Site.run(Down);
          if (WithAgents)
            Site.startAgent(Worker);
          Site.startWorker(Worker);
        }
      Site.run(30s);
    }
    const history::History Run =
        history::makeHistory(std::move(Site.Events_), true);
    return history::describe(Run,
                             history::checkTaskOnce(Run, history::Bounds()));
  }

public:
  /// Guards against two runs of a task: its worker ends right after a start
  /// that gets no response, and the worker's next process carries it out.
  void lateStartRunsOnNoRestartedWorker() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         restartWorkersOfLateStarts(2500ms, false));
  }

  /// Guards against the same when the agent has lost the list of its unanswered
  /// starts before the worker's next process can be told to refuse them.
  void lateStartRunsOnNoWorkerThatRestartedWithItsAgent() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         restartWorkersOfLateStarts(1500ms, true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteLateStartTest);
