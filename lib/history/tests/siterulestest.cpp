#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::history;
using namespace nutmegwell::history::samples;

namespace {

using Events = std::vector<Event>;

/// Returns the bounds that the tests below assume.
Bounds testBounds() {
  Bounds Result;
  Result.Cancel_ = 3s;
  Result.Stop_ = 200ms;
  Result.WorkerDrain_ = 2s;
  Result.Visible_ = 3s;
  Result.DomainOut_ = 5s;
  return Result;
}

/// Fails when checkSite reports a violation in \p Run.
void expectNoViolation(Events Run, bool Complete = false) {
  const History Full = makeHistory(std::move(Run), Complete);
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       describe(Full, checkSite(Full, testBounds())));
}

/// Fails unless checkSite reports violations of \p Rule and of no other rule in
/// \p Run.
void expectViolation(const std::string &Rule, Events Run,
                     bool Complete = false) {
  const History Full = makeHistory(std::move(Run), Complete);
  const Violations Found = checkSite(Full, testBounds());
  CPPUNIT_ASSERT_MESSAGE(Rule + " was not reported as violated",
                         !Found.empty());
  for (const Violation &Each : Found)
    CPPUNIT_ASSERT_EQUAL(Rule, Each.Rule_);
}

/// Returns the events of two workers with 8 accelerators each and of an
/// accepted job "j" with one step of two tasks, each with two attempts.
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

Event acknowledged(core::Duration At, std::uint32_t Task, std::uint64_t Run,
                   const std::string &Worker = "w1") {
  return at(At, RunEndNoted{{"j", 0, Task, Run}, Worker});
}

Event reported(core::Duration At, const std::string &State) {
  return at(At, JobShown{"j", State});
}

Event lateStart(core::Duration At) {
  return at(At, RunStarted{{"j", 0, 0, 1}, "w1", "a", 1, 1, true});
}

} // namespace

/// Guards against a rule that misses a violation or that rejects a valid run.
class SiteRulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SiteRulesTest);
  CPPUNIT_TEST(jobKept);
  CPPUNIT_TEST(jobShown);
  CPPUNIT_TEST(taskOnce);
  CPPUNIT_TEST(stepOrder);
  CPPUNIT_TEST(attemptBudget);
  CPPUNIT_TEST(startAsked);
  CPPUNIT_TEST(cancelledTasksStop);
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
    expectNoViolation(bothDone() + Events{reported(40ms, "completed")}, true);
    expectNoViolation(site() + Events{reported(3001ms, "")});
    expectViolation("job-kept", site() + Events{reported(3002ms, "")});
    expectViolation("job-kept", site() + Events{reported(3s, "running")}, true);
    expectViolation("job-kept", bothDone(), true);
    // Every entry host has to report the final state.
    expectViolation("job-kept",
                    bothDone() +
                        Events{at(30ms, JobShown{"j", "running"}, "e1"),
                               at(40ms, JobShown{"j", "completed"}, "e2")},
                    true);
    expectViolation("job-kept", {reported(1s, "queued")});
    expectViolation("job-kept", site() + Events{reported(1s, "cancelled")});
    expectViolation("job-kept", site() + Events{reported(1s, "failed")});
    const Events TwoFailures{start(10ms, 0, 1), end(20ms, 0, 1, "failed"),
                             start(30ms, 0, 2), end(40ms, 0, 2, "failed")};
    expectNoViolation(site() + TwoFailures + Events{reported(50ms, "failed")},
                      true);
    // One failed run of each task does not exhaust the attempts of any task.
    expectViolation("job-kept", site() + Events{start(10ms, 0, 1),
                                                end(20ms, 0, 1, "failed"),
                                                start(30ms, 1, 2),
                                                end(40ms, 1, 2, "failed"),
                                                reported(50ms, "failed")});
    expectNoViolation(site() + Events{at(1s, JobCancelSent{"j"}),
                                      reported(2s, "cancelled"),
                                      reported(9s, "")});
  }

  void jobShown() {
    expectNoViolation(bothDone() + Events{reported(30ms, "completed")});
    expectViolation("job-shown",
                    bothDone() + Events{reported(29ms, "completed")});
    expectViolation("job-shown",
                    site() + Events{start(10ms, 0, 1), start(10ms, 1, 2),
                                    end(20ms, 0, 1, "done"),
                                    end(30ms, 1, 2, "stopped"),
                                    reported(40ms, "completed")});
  }

  void taskOnce() {
    expectNoViolation(site() + Events{start(10ms, 0, 1),
                                      end(20ms, 0, 1, "stopped"),
                                      start(20ms, 0, 2, "w2")});
    expectViolation("task-once",
                    site() + Events{start(10ms, 0, 1), start(20ms, 0, 2, "w2"),
                                    end(20ms, 0, 1, "stopped")});
    expectViolation("task-once",
                    site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                                    acknowledged(25ms, 0, 1),
                                    start(30ms, 0, 2, "w2")});
    // An end that is acknowledged after the second start still counts.
    expectViolation("task-once",
                    site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                                    start(30ms, 0, 2, "w2"),
                                    acknowledged(35ms, 0, 1)});
    // An end that was not acknowledged before the worker restarted is
    // ignored.
    expectNoViolation(
        site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                        at(25ms, WorkerBorn{"w1", 8}), start(30ms, 0, 2, "w2"),
                        acknowledged(35ms, 0, 1)});
    // So is an end that was not acknowledged before the worker's leases
    // expired.
    expectNoViolation(
        site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                        at(25ms, WorkerLapsed{"w1"}), start(30ms, 0, 2, "w2"),
                        acknowledged(35ms, 0, 1)});
    expectViolation("task-once",
                    site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "done"),
                                    at(25ms, WorkerLapsed{"w2"}),
                                    start(30ms, 0, 2, "w2"),
                                    acknowledged(35ms, 0, 1)});
    expectNoViolation(site() + Events{start(10ms, 0, 1),
                                      at(15ms, WorkerBorn{"w1", 8}),
                                      start(20ms, 0, 2, "w2")});
    Events Speculative = site();
    Speculative[2].Body_ = StepDeclared{"j", 0, 2, 2, true};
    expectNoViolation(Speculative +
                      Events{start(10ms, 0, 1), start(20ms, 0, 2, "w2")});
  }

  void stepOrder() {
    const Events SecondStep{at(0ms, StepDeclared{"j", 1, 1, 1, false}),
                            at(0ms, StepNeeds{"j", 1, 0})};
    const Event Start = at(30ms, RunStarted{{"j", 1, 0, 9}, "w2", "a", 1, 1});
    expectNoViolation(bothDone() + SecondStep + Events{Start});
    Events Early = bothDone() + SecondStep + Events{Start};
    Early.back().At_ -= 1ms;
    expectViolation("step-order", Early);
  }

  void attemptBudget() {
    const Events Failures =
        site() + Events{start(10ms, 0, 1), end(20ms, 0, 1, "failed"),
                        acknowledged(21ms, 0, 1), start(30ms, 0, 2),
                        end(40ms, 0, 2, "failed")};
    expectNoViolation(Failures);
    expectNoViolation(Failures +
                      Events{acknowledged(41ms, 0, 2), start(50ms, 1, 3)});
    expectNoViolation(Failures + Events{start(50ms, 0, 3)});
    expectViolation("attempt-budget",
                    Failures +
                        Events{acknowledged(41ms, 0, 2), start(50ms, 0, 3)});
    expectViolation("attempt-budget",
                    Failures +
                        Events{start(50ms, 0, 3), acknowledged(60ms, 0, 2)});
  }

  void startAsked() {
    Events Refused = site();
    Refused.back().Body_ = JobRefused{"j"};
    expectViolation("start-asked", Refused + Events{start(10ms, 0, 1)});
    // The second submission was not refused.
    expectNoViolation(
        Refused + Events{at(5ms, JobSubmitted{"j", "e2"}), start(10ms, 0, 1)});
    expectViolation("start-asked",
                    Events{at(0ms, WorkerBorn{"w1", 8}), start(10ms, 0, 1),
                           at(20ms, JobSubmitted{"j", "e1"})});
  }

  void cancelledTasksStop() {
    const Events Cancelled = site() + Events{at(1s, JobCancelled{"j"})};
    expectNoViolation(Cancelled +
                      Events{start(4s, 0, 1), end(4200ms, 0, 1, "stopped")});
    expectViolation(
        "start-asked",
        Cancelled + Events{start(4001ms, 0, 1), end(4100ms, 0, 1, "stopped")});
    expectViolation("start-asked",
                    Cancelled +
                        Events{start(4s, 0, 1), end(4201ms, 0, 1, "stopped")});
    expectViolation("start-asked", Cancelled + Events{start(4s, 0, 1),
                                                      reported(5s, "queued")});
    expectNoViolation(Cancelled +
                      Events{lateStart(6s), end(9s, 0, 1, "stopped")});
  }

  void workerDrain() {
    const Events Drained = site() + Events{at(1s, WorkerDrainNoted{"w1"})};
    expectNoViolation(Drained + Events{start(3s, 0, 1), start(9s, 1, 2, "w2")});
    expectNoViolation(Drained + Events{lateStart(9s)});
    expectNoViolation(Drained +
                      Events{at(4s, WorkerBorn{"w1", 8}), start(5s, 0, 1)});
    expectViolation("worker-drain", Drained + Events{start(3001ms, 0, 1)});
  }

  void domainOut() {
    const Events Out = site() + Events{at(1s, DomainOut{"a"})};
    expectNoViolation(Out + Events{start(6s, 0, 1)});
    expectNoViolation(Out + Events{lateStart(7s)});
    expectNoViolation(Out + Events{at(6s, DomainIn{"a"}), start(7s, 0, 1)});
    expectViolation("domain-out", Out + Events{start(6001ms, 0, 1)});
  }

  void workerRoom() {
    expectNoViolation(site() + Events{start(10ms, 0, 1, "w1", 5),
                                      end(20ms, 0, 1, "stopped"),
                                      start(20ms, 1, 2, "w1", 8)});
    expectViolation("worker-room", site() + Events{start(10ms, 0, 1, "w1", 5),
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
    expectNoViolation(site() + Events{Tenure(1ms, 1), Tenure(2ms, 2),
                                      Order(10ms, 0, 1), Order(20ms, 1, 2)});
    expectNoViolation(site() + Events{Order(10ms, 0, 2),
                                      at(15ms, WorkerBorn{"w1", 8}),
                                      Order(20ms, 1, 1)});
    expectViolation("one-holder",
                    site() + Events{Tenure(1ms, 1), Tenure(2ms, 1)});
    expectViolation("one-holder",
                    site() + Events{Order(10ms, 0, 2), Order(20ms, 1, 1)});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteRulesTest);
