#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

namespace {

using Events = std::vector<Event>;

/// Bounds of the rules that have one, as the tests below assume them.
Bounds limits() {
  Bounds Result;
  Result.Cancel_ = 3s;
  Result.Stop_ = 200ms;
  Result.WorkerDrain_ = 2s;
  Result.Visible_ = 3s;
  Result.DomainOut_ = 5s;
  return Result;
}

/// Fails unless the rules of a site accept \p Run.
void accept(Events Run, bool Complete = false) {
  const History Whole = makeHistory(std::move(Run), Complete);
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       describe(Whole, checkSite(Whole, limits())));
}

/// Fails unless exactly the rule \p Rule rejects \p Run.
void reject(const std::string &Rule, Events Run, bool Complete = false) {
  const History Whole = makeHistory(std::move(Run), Complete);
  const Violations Found = checkSite(Whole, limits());
  CPPUNIT_ASSERT_MESSAGE(Rule + " accepted its break", !Found.empty());
  for (const Violation &Each : Found)
    CPPUNIT_ASSERT_EQUAL(Rule, Each.Rule_);
}

/// A job "j" of one step with two tasks and two attempts each, and two workers
/// with 8 accelerators.
Events site() {
  return {at(0ms, WorkerBorn{"w1", 8}), at(0ms, WorkerBorn{"w2", 8}),
          at(0ms, StepDeclared{"j", 0, 2, 2, false}),
          at(0ms, JobSubmitted{"j", "e1"}), at(1ms, JobAccepted{"j"})};
}

Event start(core::Duration At, std::uint32_t Task, std::uint64_t Run,
            const std::string &Worker = "w1", std::uint32_t Accelerators = 1) {
  return at(At, RunStarted{{"j", 0, Task, Run}, Worker, "a", Accelerators, 1});
}

Event end(core::Duration At, std::uint32_t Task, std::uint64_t Run,
          const std::string &How, const std::string &Worker = "w1") {
  return at(At, RunEnded{{"j", 0, Task, Run}, Worker, How});
}

Event noted(core::Duration At, std::uint32_t Task, std::uint64_t Run,
            const std::string &Worker = "w1") {
  return at(At, RunEndNoted{{"j", 0, Task, Run}, Worker});
}

Event shown(core::Duration At, const std::string &State) {
  return at(At, JobShown{"j", State});
}

Event lateStart(core::Duration At) {
  return at(At, RunStarted{{"j", 0, 0, 1}, "w1", "a", 1, 1, true});
}

} // namespace

/// Guards against a checker that accepts a break of its rule, or that rejects a
/// run which keeps it.
class SiteRulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SiteRulesTest);
  CPPUNIT_TEST(jobKept);
  CPPUNIT_TEST(jobShown);
  CPPUNIT_TEST(taskOnce);
  CPPUNIT_TEST(stepOrder);
  CPPUNIT_TEST(attemptBudget);
  CPPUNIT_TEST(startAsked);
  CPPUNIT_TEST(cancelledWorkEnds);
  CPPUNIT_TEST(workerDrain);
  CPPUNIT_TEST(domainOut);
  CPPUNIT_TEST(workerRoom);
  CPPUNIT_TEST(oneHolder);
  CPPUNIT_TEST_SUITE_END();

  static Events bothDone() {
    return site() + Events{start(10ms, 0, 1), start(10ms, 1, 2),
                           end(20ms, 0, 1, "done"), end(30ms, 1, 2, "done")};
  }

  void jobKept() {
    accept(bothDone() + Events{shown(40ms, "completed")}, true);
    accept(site() + Events{shown(3001ms, "")});
    reject("job-kept", site() + Events{shown(3002ms, "")});
    reject("job-kept", site() + Events{shown(3s, "running")}, true);
    reject("job-kept", bothDone(), true);
    // Every host has to show the end.
    reject("job-kept",
           bothDone() + Events{at(30ms, JobShown{"j", "running"}, "e1"),
                               at(40ms, JobShown{"j", "completed"}, "e2")},
           true);
    reject("job-kept", {shown(1s, "queued")});
    reject("job-kept", site() + Events{shown(1s, "cancelled")});
    reject("job-kept", site() + Events{shown(1s, "failed")});
    const Events TwoFailures{start(10ms, 0, 1), end(20ms, 0, 1, "failed"),
                             start(30ms, 0, 2), end(40ms, 0, 2, "failed")};
    accept(site() + TwoFailures + Events{shown(50ms, "failed")}, true);
    // One failed run of each task is no cause for a job to fail.
    reject("job-kept",
           site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "failed"),
                           start(30ms, 1, 2), end(40ms, 1, 2, "failed"),
                           shown(50ms, "failed")});
    accept(site() + Events{at(1s, JobCancelSent{"j"}), shown(2s, "cancelled"),
                           shown(9s, "")});
  }

  void jobShown() {
    accept(bothDone() + Events{shown(30ms, "completed")});
    reject("job-shown", bothDone() + Events{shown(29ms, "completed")});
    reject("job-shown",
           site() + Events{start(10ms, 0, 1), start(10ms, 1, 2),
                           end(20ms, 0, 1, "done"), end(30ms, 1, 2, "stopped"),
                           shown(40ms, "completed")});
  }

  void taskOnce() {
    accept(site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "stopped"),
                           start(20ms, 0, 2, "w2")});
    reject("task-once",
           site() + Events{start(10ms, 0, 1), start(20ms, 0, 2, "w2"),
                           end(20ms, 0, 1, "stopped")});
    reject("task-once",
           site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                           noted(25ms, 0, 1), start(30ms, 0, 2, "w2")});
    // An end that is noted later counts from the beginning.
    reject("task-once",
           site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                           start(30ms, 0, 2, "w2"), noted(35ms, 0, 1)});
    // One that a new incarnation took away is as if it had not been.
    accept(site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                           at(25ms, WorkerBorn{"w1", 8}),
                           start(30ms, 0, 2, "w2"), noted(35ms, 0, 1)});
    // So is one that was not noted before the worker's leases lapsed.
    accept(site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                           at(25ms, WorkerLapsed{"w1"}),
                           start(30ms, 0, 2, "w2"), noted(35ms, 0, 1)});
    reject("task-once",
           site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                           at(25ms, WorkerLapsed{"w2"}),
                           start(30ms, 0, 2, "w2"), noted(35ms, 0, 1)});
    accept(site() + Events{start(10ms, 0, 1), at(15ms, WorkerBorn{"w1", 8}),
                           start(20ms, 0, 2, "w2")});
    Events Copies = site();
    Copies[2].Body_ = StepDeclared{"j", 0, 2, 2, true};
    accept(Copies + Events{start(10ms, 0, 1), start(20ms, 0, 2, "w2")});
  }

  void stepOrder() {
    const Events Second{at(0ms, StepDeclared{"j", 1, 1, 1, false}),
                        at(0ms, StepNeeds{"j", 1, 0})};
    const Event Start = at(30ms, RunStarted{{"j", 1, 0, 9}, "w2", "a", 1, 1});
    accept(bothDone() + Second + Events{Start});
    Events Early = bothDone() + Second + Events{Start};
    Early.back().At_ -= 1ms;
    reject("step-order", Early);
  }

  void attemptBudget() {
    const Events Failures =
        site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "failed"),
                        noted(21ms, 0, 1), start(30ms, 0, 2),
                        end(40ms, 0, 2, "failed")};
    accept(Failures);
    accept(Failures + Events{noted(41ms, 0, 2), start(50ms, 1, 3)});
    accept(Failures + Events{start(50ms, 0, 3)});
    reject("attempt-budget",
           Failures + Events{noted(41ms, 0, 2), start(50ms, 0, 3)});
    reject("attempt-budget",
           Failures + Events{start(50ms, 0, 3), noted(60ms, 0, 2)});
  }

  void startAsked() {
    Events Refused = site();
    Refused.back().Body_ = JobRefused{"j"};
    reject("start-asked", Refused + Events{start(10ms, 0, 1)});
    // The second attempt was not refused.
    accept(Refused +
           Events{at(5ms, JobSubmitted{"j", "e2"}), start(10ms, 0, 1)});
    reject("start-asked",
           Events{at(0ms, WorkerBorn{"w1", 8}), start(10ms, 0, 1),
                  at(20ms, JobSubmitted{"j", "e1"})});
  }

  void cancelledWorkEnds() {
    const Events Gone = site() + Events{at(1s, JobCancelled{"j"})};
    accept(Gone + Events{start(4s, 0, 1), end(4200ms, 0, 1, "stopped")});
    reject("start-asked",
           Gone + Events{start(4001ms, 0, 1), end(4100ms, 0, 1, "stopped")});
    reject("start-asked",
           Gone + Events{start(4s, 0, 1), end(4201ms, 0, 1, "stopped")});
    reject("start-asked", Gone + Events{start(4s, 0, 1), shown(5s, "queued")});
    accept(Gone + Events{lateStart(6s), end(9s, 0, 1, "stopped")});
  }

  void workerDrain() {
    const Events Leaves = site() + Events{at(1s, WorkerDrainNoted{"w1"})};
    accept(Leaves + Events{start(3s, 0, 1), start(9s, 1, 2, "w2")});
    accept(Leaves + Events{lateStart(9s)});
    accept(Leaves + Events{at(4s, WorkerBorn{"w1", 8}), start(5s, 0, 1)});
    reject("worker-drain", Leaves + Events{start(3001ms, 0, 1)});
  }

  void domainOut() {
    const Events Out = site() + Events{at(1s, DomainOut{"a"})};
    accept(Out + Events{start(6s, 0, 1)});
    accept(Out + Events{lateStart(7s)});
    accept(Out + Events{at(6s, DomainIn{"a"}), start(7s, 0, 1)});
    reject("domain-out", Out + Events{start(6001ms, 0, 1)});
  }

  void workerRoom() {
    accept(site() + Events{start(10ms, 0, 1, "w1", 5),
                           end(20ms, 0, 1, "stopped"),
                           start(20ms, 1, 2, "w1", 8)});
    reject("worker-room", site() + Events{start(10ms, 0, 1, "w1", 5),
                                          start(20ms, 1, 2, "w1", 4)});
  }

  void oneHolder() {
    const auto Tenure = [](core::Duration At, std::uint64_t Term) {
      return at(At, TenureBegun{Term}, "e" + std::to_string(At.count()));
    };
    const auto Order = [](core::Duration At, std::uint32_t Task,
                          std::uint64_t Term) {
      return at(At, RunStarted{{"j", 0, Task, Term}, "w1", "a", 1, Term});
    };
    accept(site() + Events{Tenure(1ms, 1), Tenure(2ms, 2), Order(10ms, 0, 1),
                           Order(20ms, 1, 2)});
    accept(site() + Events{Order(10ms, 0, 2), at(15ms, WorkerBorn{"w1", 8}),
                           Order(20ms, 1, 1)});
    reject("one-holder", site() + Events{Tenure(1ms, 1), Tenure(2ms, 1)});
    reject("one-holder", site() + Events{Order(10ms, 0, 2), Order(20ms, 1, 1)});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteRulesTest);
