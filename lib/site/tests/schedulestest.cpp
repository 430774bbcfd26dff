#include "fakesite.h"
#include "nutmegwell/history/rules.h"
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

namespace {

constexpr int EntryHosts = 3;
constexpr int WorkerHosts = 5;
constexpr core::Duration LoadTime = 30s;
constexpr int LongRunMs = 6000;
/// Time without faults at the end of a schedule. Covers leases of 6 s, a tenure
/// of 6 s, orders that are up to 12 s late, and two runs of 6 s.
constexpr core::Duration RecoveryTime = 45s;

/// Runs a site under random load and faults that are generated from a seed.
class Schedule {
public:
  explicit Schedule(std::uint64_t Seed, bool VacatesWorkers = false)
      : Random_(Seed), Site_(EntryHosts, VacatesWorkers) {
    for (int I = 0; I < WorkerHosts; ++I)
      // The workers' clocks run from 2% slow to exact.
      Site_.addWorker(workerName(I), I % 2 ? "a" : "b", 0.98 + 0.005 * I);
    Site_.run(3s);
  }

  /// Returns the violated rules and their events, or an empty string.
  std::string run(void (Schedule::*Fault)(), const history::Bounds &Limits) {
    for (core::Duration Past(0); Past < LoadTime;) {
      sendRandomRequest();
      if (randomNumber(0, 3) == 0)
        (this->*Fault)();
      const core::Duration Pause = randomNumber(2, 30) * 10ms;
      Site_.run(Pause);
      runDueActions(Pause);
      Past += Pause;
    }
    runDueActions(LoadTime);
    for (const std::string &Domain : std::exchange(OutOfService_, {}))
      Site_.setDomainOutOfService(Domain, false);
    Site_.run(RecoveryTime);
    queryAllJobs();
    if (const std::string Host = hostWithOutdatedDomains(); !Host.empty())
      return Host + " has outdated domains\n";
    const history::History Run =
        history::makeHistory(std::move(Site_.Events_), true);
    return history::describe(Run, history::checkSite(Run, Limits));
  }

  /// Injects a random fault.
  void injectFault() {
    const std::string Entry = entryName(randomNumber(0, EntryHosts - 1));
    const std::string Worker = workerName(randomNumber(0, WorkerHosts - 1));
    const std::string Either = randomNumber(0, 1) ? Entry : Worker;
    const core::Duration Span = randomNumber(10, 900) * 10ms;
    switch (randomNumber(0, 11)) {
    case 0:
      Site_.kill(Entry);
      return runAfter(Span, [=] { restart(Entry); });
    case 1:
      Site_.killAgent(Worker);
      return runAfter(Span, [=] { restartAgent(Worker); });
    case 2:
      Site_.pause(Either);
      return runAfter(Span, [=] { Site_.resume(Either); });
    case 3:
      Site_.isolate(Either);
      return runAfter(Span, [=] { Site_.reconnect(Either); });
    case 4:
      Site_.Store_.RefusedHosts_.insert(Entry);
      return runAfter(Span, [=] { Site_.Store_.RefusedHosts_.erase(Entry); });
    case 5:
      Site_.Store_.RefusedHosts_.insert("*");
      return runAfter(Span, [=] { Site_.Store_.RefusedHosts_.erase("*"); });
    case 6:
      Site_.Store_.LosesResponses_ = true;
      return runAfter(Span, [=] { Site_.Store_.LosesResponses_ = false; });
    case 7:
      Site_.Store_.ApplyDelay_ = randomNumber(10, 300) * 10ms;
      return runAfter(Span, [=] { Site_.Store_.ApplyDelay_ = 0ms; });
    case 8:
      Site_.Store_.dropRecordsBefore(
          Site_.Store_.Records_[store::Stream::Cell].size());
      return;
    case 9:
      Site_.setLateOrders(0.3);
      return runAfter(Span, [=] { Site_.setLateOrders(0); });
    case 10:
      return Site_.worker(Worker).restart(Site_.Now_);
    default:
      Site_.worker(Worker).setStalled(true);
      return runAfter(Span, [=] { Site_.worker(Worker).setStalled(false); });
    }
  }

  /// Injects a random fault; in one case of three, a worker's process ends and
  /// starts again later, or workers' responses are lost.
  void injectFaultOrCrash() {
    const int Kind = randomNumber(0, 5);
    if (Kind > 1)
      return injectFault();
    if (Kind == 1) {
      Site_.setLostResponses(0.3);
      return runAfter(randomNumber(10, 600) * 10ms,
                      [=] { Site_.setLostResponses(0); });
    }
    const std::string Worker = workerName(randomNumber(0, WorkerHosts - 1));
    Site_.crashWorker(Worker);
    runAfter(randomNumber(1, 1200) * 10ms, [=] { Site_.startWorker(Worker); });
  }

  /// Injects a random fault; in one case of three, an entry host loses its
  /// links to some other hosts, and in half of these cases the store as well.
  void injectFaultOrCut() {
    if (randomNumber(0, 2) > 0)
      return injectFault();
    const std::string Entry = entryName(randomNumber(0, EntryHosts - 1));
    std::vector<std::string> Others;
    for (int I = 0; I < EntryHosts; ++I)
      if (entryName(I) != Entry && randomNumber(0, 3) > 0)
        Others.push_back(entryName(I));
    for (int I = 0; I < WorkerHosts; ++I)
      if (randomNumber(0, 1))
        Others.push_back(workerName(I));
    const bool LosesStore = randomNumber(0, 1) > 0;
    for (const std::string &Other : Others)
      Site_.cutLink(Entry, Other);
    if (LosesStore)
      Site_.Store_.RefusedHosts_.insert(Entry);
    runAfter(randomNumber(100, 1200) * 10ms, [=] {
      for (const std::string &Other : Others)
        Site_.restoreLink(Entry, Other);
      if (LosesStore)
        Site_.Store_.RefusedHosts_.erase(Entry);
    });
  }

  /// Takes a domain out of service or back in, or makes a host miss changes.
  void changeDomainOrMissChanges() {
    const std::string Entry = entryName(randomNumber(0, EntryHosts - 1));
    switch (randomNumber(0, 7)) {
    case 0:
      Site_.pause(Entry);
      return runAfter(randomNumber(100, 600) * 10ms,
                      [=] { Site_.resume(Entry); });
    case 1:
      Site_.kill(Entry);
      return restart(Entry);
    case 2:
    case 3:
      Site_.Store_.RefusedHosts_.insert(Entry);
      return runAfter(randomNumber(100, 600) * 10ms,
                      [=] { Site_.Store_.RefusedHosts_.erase(Entry); });
    default:
      // Workers are in the domains "a" and "b" only.
      const std::string Domain(1, static_cast<char>(randomNumber('a', 'z')));
      const bool Out = OutOfService_.insert(Domain).second;
      if (!Out)
        OutOfService_.erase(Domain);
      return Site_.setDomainOutOfService(Domain, Out);
    }
  }

  /// Makes some orders late and lets a worker end and start again meanwhile;
  /// its next process carries out the late ones.
  void restartWithLateOrders() {
    const std::string Worker = workerName(randomNumber(0, WorkerHosts - 1));
    Site_.setLateOrdersSurviveRestarts(true);
    Site_.setLateOrders(0.5);
    runAfter(300ms, [=] {
      Site_.setLateOrders(0);
      Site_.crashWorker(Worker);
    });
    runAfter(randomNumber(50, 800) * 10ms, [=] { Site_.startWorker(Worker); });
  }

  /// Submits a job to a host that may be suspended, refused by the store or cut
  /// off, and cancels it at another host soon after.
  void cancelNewJob() {
    const int First = randomNumber(0, EntryHosts - 1);
    const std::string Entry = entryName(First);
    const std::string Other =
        entryName((First + randomNumber(1, EntryHosts - 1)) % EntryHosts);
    const core::Duration Span = randomNumber(10, 600) * 10ms;
    switch (randomNumber(0, 3)) {
    case 0:
      Site_.pause(Entry);
      runAfter(Span, [=] { Site_.resume(Entry); });
      break;
    case 1:
      Site_.Store_.RefusedHosts_.insert(Entry);
      runAfter(Span, [=] { Site_.Store_.RefusedHosts_.erase(Entry); });
      break;
    case 2:
      Site_.isolate(Entry);
      runAfter(Span, [=] { Site_.reconnect(Entry); });
      break;
    default:
      break;
    }
    submit(Entry);
    const std::string Job = "j" + std::to_string(Jobs_);
    runAfter(randomNumber(1, 80) * 10ms,
             [=] { Site_.call(Other, RequestKind::Cancel, Job); });
  }

  /// Injects a random fault; in one case of three, one or two workers announce
  /// that they leave in 2 s. They leave then, or in a quarter of the cases
  /// after 1 s.
  void injectFaultOrDeparture() {
    if (randomNumber(0, 2) > 0)
      return injectFault();
    for (int I = randomNumber(0, 1); I >= 0; --I) {
      const std::string Worker = workerName(randomNumber(0, WorkerHosts - 1));
      Site_.worker(Worker).drain(Site_.Now_ + 2s);
      const core::Duration Stay = randomNumber(0, 3) ? 2s : 1s;
      runAfter(Stay, [=] { Site_.crashWorker(Worker); });
      runAfter(Stay + randomNumber(10, 600) * 10ms,
               [=] { Site_.startWorker(Worker); });
    }
  }

  /// Performs a random planned operation.
  void performOperation() {
    const std::string Entry = entryName(randomNumber(0, EntryHosts - 1));
    const std::string Worker = workerName(randomNumber(0, WorkerHosts - 1));
    switch (randomNumber(0, 3)) {
    case 0:
      // Operators stop one entry host at a time.
      if (!StoppingEntry_.empty())
        return;
      StoppingEntry_ = Entry;
      Site_.stop(Entry);
      return runAfter(3s, [=] {
        Site_.kill(Entry);
        Site_.start(Entry);
        runAfter(1s, [=] { StoppingEntry_.clear(); });
      });
    case 1: {
      Site_.worker(Worker).drain();
      return runAfter(5s, [=] { Site_.worker(Worker).restart(Site_.Now_); });
    }
    case 2:
      Site_.setDomainOutOfService("a", true);
      return runAfter(7s, [=] { Site_.setDomainOutOfService("a", false); });
    default:
      // Starts at version 10, since version 9 removes the callers' key.
      return Site_.Store_.publish("tables", std::to_string(10 + Version_++));
    }
  }

private:
  struct DelayedAction {
    core::Duration Remaining_;
    std::function<void()> Action_;
  };

  static std::string entryName(int I) { return "e" + std::to_string(I); }
  static std::string workerName(int I) { return "w" + std::to_string(I); }

  int randomNumber(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random_);
  }

  void runAfter(core::Duration After, std::function<void()> Action) {
    DelayedActions_.push_back({After, std::move(Action)});
  }

  /// Runs the delayed actions that are due after \p Past, such as ends of
  /// faults.
  void runDueActions(core::Duration Past) {
    std::vector<std::function<void()>> Due;
    for (std::size_t I = 0; I < DelayedActions_.size();) {
      DelayedActions_[I].Remaining_ -= Past;
      if (DelayedActions_[I].Remaining_ > 0ms) {
        ++I;
        continue;
      }
      Due.push_back(std::move(DelayedActions_[I].Action_));
      DelayedActions_.erase(DelayedActions_.begin() +
                            static_cast<std::ptrdiff_t>(I));
    }
    for (const auto &Action : Due)
      Action();
  }

  void restart(const std::string &Entry) {
    if (!Site_.runs(Entry))
      Site_.start(Entry);
  }
  void restartAgent(const std::string &Worker) {
    if (!Site_.runs(Worker))
      Site_.startAgent(Worker);
  }

  /// Submits, queries or cancels a job.
  void sendRandomRequest() {
    const std::string Entry = entryName(randomNumber(0, EntryHosts - 1));
    if (!Site_.runs(Entry))
      return;
    const std::string Known =
        "j" + std::to_string(randomNumber(0, static_cast<int>(Jobs_)));
    const int Kind = randomNumber(0, 9);
    if (Kind == 0 && Jobs_ > 0)
      Site_.call(Entry, RequestKind::Cancel, Known);
    else if (Kind < 4 && Jobs_ > 0)
      Site_.call(Entry, RequestKind::Query, Known);
    else
      submit(Entry);
  }

  void submit(const std::string &Entry) {
    const std::string Job = "j" + std::to_string(++Jobs_);
    // One job in ten runs longer than a cancelled job is allowed to.
    const int Length =
        randomNumber(0, 9) == 0 ? LongRunMs : 100 * randomNumber(1, 20);
    const bool AlwaysFails = randomNumber(0, 19) == 0;
    jobs::JobSpecBuilder Builder;
    Builder.command((AlwaysFails ? "fail" : "") + std::to_string(Length));
    const int Steps = randomNumber(1, 2);
    for (int I = 0; I < Steps; ++I) {
      const auto Tasks = static_cast<std::uint32_t>(randomNumber(1, 4));
      Builder.step(Tasks, {1000, 1000, FakeTaskAccelerators}, Length * 1ms);
      const auto Step = static_cast<std::uint32_t>(I);
      declare({Job, Step, Tasks, FakeAttempts, false});
      if (I > 0) {
        Builder.after({Step - 1});
        declare(history::StepNeeds{Job, Step, Step - 1});
      }
    }
    const jobs::JobSpec Spec = Builder.build();
    Site_.submit(Entry, Job, Spec);
    // A caller without a reply submits the job again to another host.
    if (randomNumber(0, 4) == 0)
      runAfter(300ms, [=] {
        const std::string Other = entryName(randomNumber(0, EntryHosts - 1));
        if (Site_.runs(Other))
          Site_.submit(Other, Job, Spec);
      });
  }

  void declare(history::StepDeclared Step) {
    Site_.Events_.push_back({Site_.Now_, "caller", std::move(Step)});
  }
  void declare(history::StepNeeds Need) {
    Site_.Events_.push_back({Site_.Now_, "caller", std::move(Need)});
  }

  /// Queries every job at every entry host.
  void queryAllJobs() {
    for (std::size_t Job = 1; Job <= Jobs_; ++Job)
      for (int I = 0; I < EntryHosts; ++I)
        Site_.call(entryName(I), RequestKind::Query, "j" + std::to_string(Job));
    Site_.run(1s);
  }

  /// Returns the name of an entry host that has failure domains out of service
  /// after all have returned, or an empty string.
  std::string hostWithOutdatedDomains() {
    for (int I = 0; I < EntryHosts; ++I)
      if (!Site_.entry(entryName(I)).OutOfServiceDomains_.empty())
        return entryName(I);
    return {};
  }

  std::mt19937_64 Random_;
  FakeSite Site_;
  std::set<std::string> OutOfService_;
  std::vector<DelayedAction> DelayedActions_;
  std::string StoppingEntry_;
  std::size_t Jobs_ = 0;
  int Version_ = 0;
};

/// Bounds that hold under any fault: a holder that cannot reach the store stops
/// granting leases when its tenure ends, a start that was sent by then is
/// refused after its permit, and a lease ends after the longest lease time on
/// the slowest clock.
history::Bounds faultBounds() {
  const cell::HolderPolicy Policy;
  history::Bounds Limits;
  Limits.Cancel_ = Policy.TenureValidity_ + 2 * Policy.StartPermit_;
  Limits.Stop_ = core::Duration(static_cast<std::int64_t>(
      static_cast<double>(Policy.MaxLease_.count()) / Policy.MinClockRate_));
  Limits.Visible_ = LoadTime;
  return Limits;
}

/// The bounds that users are promised while there are no faults.
history::Bounds operationBounds() {
  history::Bounds Limits;
  Limits.DomainOut_ = 5s;
  return Limits;
}

} // namespace

/// Guards against lost jobs, tasks that run twice or beyond a worker's
/// capacity, and every other violation that checkSite finds, under faults in
/// any order.
class SchedulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulesTest);
  CPPUNIT_TEST(schedulesWithFaults);
  CPPUNIT_TEST(schedulesWithCrashes);
  CPPUNIT_TEST(schedulesWithCutLinks);
  CPPUNIT_TEST(schedulesWithOperations);
  CPPUNIT_TEST(schedulesWithDomainChanges);
  CPPUNIT_TEST(schedulesWithEarlyCancellations);
  CPPUNIT_TEST(schedulesWithLateRestarts);
  CPPUNIT_TEST(schedulesWithDepartures);
  CPPUNIT_TEST_SUITE_END();

  static void runSeeds(std::uint64_t First, void (Schedule::*Fault)(),
                       const history::Bounds &Limits,
                       bool VacatesWorkers = false) {
    const char *Only = std::getenv("NUTMEGWELL_SEED");
    const char *Count = std::getenv("NUTMEGWELL_SEEDS");
    const std::uint64_t From = Only ? std::stoull(Only) : First;
    const std::uint64_t Seeds = Count ? std::stoull(Count) : Only ? 1 : 40;
    std::size_t Broken = 0;
    for (std::uint64_t Seed = From; Seed < From + Seeds; ++Seed) {
      Schedule Trial(Seed, VacatesWorkers);
      const std::string Violations = Trial.run(Fault, Limits);
      if (Violations.empty())
        continue;
      ++Broken;
      std::cout << "seed " << Seed << ":\n" << Violations;
    }
    std::cout << Seeds << " schedules from seed " << From << ", " << Broken
              << " broken\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Broken);
  }

  void schedulesWithFaults() {
    runSeeds(1000, &Schedule::injectFault, faultBounds());
  }
  void schedulesWithCrashes() {
    runSeeds(3000, &Schedule::injectFaultOrCrash, faultBounds());
  }
  void schedulesWithCutLinks() {
    runSeeds(4100, &Schedule::injectFaultOrCut, faultBounds());
  }
  void schedulesWithOperations() {
    runSeeds(2000, &Schedule::performOperation, operationBounds());
  }
  /// Guards against hosts that keep a domain out of service for good after they
  /// have missed its return.
  void schedulesWithDomainChanges() {
    history::Bounds Limits = faultBounds();
    // Hosts without a path to the store learn of no change.
    Limits.DomainOut_ = LoadTime + RecoveryTime;
    runSeeds(5000, &Schedule::changeDomainOrMissChanges, Limits);
  }
  /// Guards against jobs that run although they were cancelled, by callers who
  /// were told that they do not exist.
  void schedulesWithEarlyCancellations() {
    runSeeds(6000, &Schedule::cancelNewJob, faultBounds());
  }
  /// Guards against second runs of tasks whose first start the next process of
  /// a worker carries out late.
  void schedulesWithLateRestarts() {
    runSeeds(7000, &Schedule::restartWithLateOrders, faultBounds());
  }
  /// Guards against second runs and lost jobs when the holder stops the runs of
  /// draining workers.
  void schedulesWithDepartures() {
    runSeeds(8000, &Schedule::injectFaultOrDeparture, faultBounds(), true);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulesTest);
