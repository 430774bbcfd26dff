#include "fakesite.h"
#include "nutmegwell/history/rules.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

/// Draining workers of a whole site, with faults between the notice and the
/// stop.
class SiteDepartureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SiteDepartureTest);
  CPPUNIT_TEST(lostRunIsStartedElsewhereBeforeItsWorkerLeaves);
  CPPUNIT_TEST(noticeDuringACutOfTheAgent);
  CPPUNIT_TEST(takeoverBetweenNoticeAndStop);
  CPPUNIT_TEST(storeIsSilentDuringTheNotice);
  CPPUNIT_TEST(stopOrderIsLostOnce);
  CPPUNIT_TEST(workerLeavesEarly);
  CPPUNIT_TEST(workerReturnsToReady);
  CPPUNIT_TEST_SUITE_END();

  /// A site of three entry hosts and three workers that runs one long task.
  struct Trial {
    FakeSite Site_{3, true};
    std::string Host_;

    explicit Trial(bool Checkpoints) {
      for (const char *Worker : {"w0", "w1", "w2"})
        Site_.addWorker(Worker, "a", 1);
      Site_.run(3s);
      jobs::JobSpecBuilder Builder;
      Builder.command("9000").step(1, {1000, 1000, 2}, 9s);
      if (Checkpoints)
        Builder.checkpoints();
      Site_.submit("e0", "j", Builder.build());
      Site_.run(1s);
      Host_ = hostOfRun();
      CPPUNIT_ASSERT(!Host_.empty());
    }

    /// Returns the worker that has a run, or an empty string.
    std::string hostOfRun() {
      for (const char *Worker : {"w0", "w1", "w2"})
        if (Site_.worker(Worker).runs() > 0)
          return Worker;
      return {};
    }

    void drain(core::Duration Remaining) {
      Site_.worker(Host_).drain(Site_.Now_ + Remaining);
    }

    std::size_t starts() const {
      return static_cast<std::size_t>(std::count_if(
          Site_.Events_.begin(), Site_.Events_.end(),
          [](const history::Event &Each) {
            return std::holds_alternative<history::RunStarted>(Each.Body_);
          }));
    }

    /// Fails unless the job completes after \p Starts starts without a second
    /// run at the same time.
    void expectCompletion(std::size_t Starts) {
      Site_.run(15s);
      for (const char *Entry : {"e0", "e1", "e2"})
        Site_.call(Entry, RequestKind::Query, "j");
      Site_.run(1s);
      const std::string Holder = Site_.holders().at(0);
      CPPUNIT_ASSERT(Site_.entry(Holder).View_.Jobs_.at("j").reportedState() ==
                     jobs::JobState::Completed);
      CPPUNIT_ASSERT_EQUAL(Starts, starts());
      Site_.Events_.insert(
          Site_.Events_.begin(),
          {core::TimePoint(), "caller",
           history::StepDeclared{"j", 0, 1, FakeAttempts, false}});
      const history::History Run =
          history::makeHistory(std::move(Site_.Events_), true);
      CPPUNIT_ASSERT_EQUAL(
          std::string(),
          history::describe(Run, history::checkSite(Run, history::Bounds())));
    }
  };

public:
  /// Guards against work that goes on until it is lost, end to end.
  void lostRunIsStartedElsewhereBeforeItsWorkerLeaves() {
    Trial One(false);
    One.drain(2s);
    One.Site_.run(1s);
    CPPUNIT_ASSERT(!One.hostOfRun().empty() && One.hostOfRun() != One.Host_);
    One.Site_.run(1s);
    One.Site_.crashWorker(One.Host_);
    One.expectCompletion(2);
  }

  /// Guards against a checkpoint that is lost because the holder hears of the
  /// drain after a cut and counts its time left from then on.
  void noticeDuringACutOfTheAgent() {
    Trial One(true);
    One.Site_.isolate(One.Host_);
    One.drain(4s);
    One.Site_.run(1s);
    One.Site_.reconnect(One.Host_);
    One.Site_.run(1400ms);
    CPPUNIT_ASSERT_EQUAL(One.Host_, One.hostOfRun());
    // The stop is due 1400 ms before the worker leaves.
    One.Site_.run(700ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), One.Site_.worker(One.Host_).runs());
    One.Site_.run(900ms);
    One.Site_.crashWorker(One.Host_);
    One.expectCompletion(2);
  }

  /// Guards against a run that is lost because the holder is killed before the
  /// stop is due.
  void takeoverBetweenNoticeAndStop() {
    Trial One(true);
    One.drain(5s);
    One.Site_.run(600ms);
    const std::string Killed = One.Site_.holders().at(0);
    One.Site_.kill(Killed);
    One.Site_.run(2900ms);
    CPPUNIT_ASSERT_EQUAL(One.Host_, One.hostOfRun());
    One.Site_.run(600ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), One.Site_.worker(One.Host_).runs());
    One.Site_.run(900ms);
    One.Site_.crashWorker(One.Host_);
    One.Site_.start(Killed);
    One.expectCompletion(2);
  }

  /// Guards against a stop or a new start that waits for the store.
  void storeIsSilentDuringTheNotice() {
    Trial One(false);
    One.Site_.Store_.RefusedHosts_.insert("*");
    One.drain(2s);
    One.Site_.run(1500ms);
    CPPUNIT_ASSERT(!One.hostOfRun().empty() && One.hostOfRun() != One.Host_);
    One.Site_.run(500ms);
    One.Site_.crashWorker(One.Host_);
    One.Site_.run(1s);
    One.Site_.Store_.RefusedHosts_.clear();
    One.expectCompletion(2);
  }

  /// Guards against a run that is lost with one order: the call of the agent is
  /// carried out seconds late, and the holder's repeat arrives in time.
  void stopOrderIsLostOnce() {
    Trial One(true);
    One.drain(4s);
    One.Site_.run(2500ms);
    One.Site_.setLateOrders(1);
    One.Site_.run(400ms);
    CPPUNIT_ASSERT_EQUAL(One.Host_, One.hostOfRun());
    One.Site_.setLateOrders(0);
    One.Site_.run(400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), One.Site_.worker(One.Host_).runs());
    One.Site_.run(700ms);
    One.Site_.crashWorker(One.Host_);
    One.expectCompletion(2);
  }

  /// Guards against a task that is never repeated, or twice, when its worker
  /// leaves before the announced time and before the stop.
  void workerLeavesEarly() {
    Trial One(true);
    One.drain(4s);
    One.Site_.run(1500ms);
    CPPUNIT_ASSERT_EQUAL(One.Host_, One.hostOfRun());
    One.Site_.crashWorker(One.Host_);
    One.expectCompletion(2);
  }

  /// Guards against a stop for a departure that was called off.
  void workerReturnsToReady() {
    Trial One(true);
    One.drain(4s);
    One.Site_.run(1500ms);
    One.Site_.worker(One.Host_).endDrain();
    One.expectCompletion(1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteDepartureTest);
