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
constexpr core::Duration SettleTime = 45s;

/// Runs a site under random load and faults that are generated from a seed.
class Schedule {
public:
  explicit Schedule(std::uint64_t Seed) : Random_(Seed), Site_(EntryHosts) {
    for (int I = 0; I < WorkerHosts; ++I)
      // The workers' clocks run from 2% slow to exact.
      Site_.addWorker(workerName(I), I % 2 ? "a" : "b", 0.98 + 0.005 * I);
    Site_.run(3s);
  }

  /// Returns the violated rules and their events, or an empty string.
  std::string play(void (Schedule::*Fault)(), const history::Bounds &Limits) {
    for (core::Duration Past(0); Past < LoadTime;) {
      oneCall();
      if (number(0, 3) == 0)
        (this->*Fault)();
      const core::Duration Pause = number(2, 30) * 10ms;
      Site_.run(Pause);
      undo(Pause);
      Past += Pause;
    }
    undo(LoadTime);
    Site_.run(SettleTime);
    askAll();
    const history::History Run =
        history::makeHistory(std::move(Site_.Events_), true);
    return history::describe(Run, history::checkSite(Run, Limits));
  }

  /// Injects a random fault.
  void roughFault() {
    const std::string Entry = entryName(number(0, EntryHosts - 1));
    const std::string Worker = workerName(number(0, WorkerHosts - 1));
    const std::string Either = number(0, 1) ? Entry : Worker;
    const core::Duration Span = number(10, 900) * 10ms;
    switch (number(0, 11)) {
    case 0:
      Site_.kill(Entry);
      return later(Span, [=] { restart(Entry); });
    case 1:
      Site_.killAgent(Worker);
      return later(Span, [=] { restartAgent(Worker); });
    case 2:
      Site_.freeze(Either);
      return later(Span, [=] { Site_.thaw(Either); });
    case 3:
      Site_.cut(Either);
      return later(Span, [=] { Site_.heal(Either); });
    case 4:
      Site_.Store_.Refused_.insert(Entry);
      return later(Span, [=] { Site_.Store_.Refused_.erase(Entry); });
    case 5:
      Site_.Store_.Refused_.insert("*");
      return later(Span, [=] { Site_.Store_.Refused_.erase("*"); });
    case 6:
      Site_.Store_.LosesAnswers_ = true;
      return later(Span, [=] { Site_.Store_.LosesAnswers_ = false; });
    case 7:
      Site_.Store_.LateBy_ = number(10, 300) * 10ms;
      return later(Span, [=] { Site_.Store_.LateBy_ = 0ms; });
    case 8:
      Site_.Store_.FirstRetained_ =
          Site_.Store_.Records_[store::Stream::Cell].size();
      return;
    case 9:
      Site_.setLateOrders(0.3);
      return later(Span, [=] { Site_.setLateOrders(0); });
    case 10:
      return Site_.worker(Worker).restart(Site_.Now_);
    default:
      Site_.worker(Worker).setHanging(true);
      return later(Span, [=] { Site_.worker(Worker).setHanging(false); });
    }
  }

  /// Performs a random planned operation.
  void plannedWork() {
    const std::string Entry = entryName(number(0, EntryHosts - 1));
    const std::string Worker = workerName(number(0, WorkerHosts - 1));
    switch (number(0, 3)) {
    case 0:
      // Operators stop one entry host at a time.
      if (!Rolling_.empty())
        return;
      Rolling_ = Entry;
      Site_.stop(Entry);
      return later(3s, [=] {
        Site_.kill(Entry);
        Site_.start(Entry);
        later(1s, [=] { Rolling_.clear(); });
      });
    case 1: {
      Site_.worker(Worker).drain();
      return later(5s, [=] { Site_.worker(Worker).restart(Site_.Now_); });
    }
    case 2:
      Site_.setDomainOut("a", true);
      return later(7s, [=] { Site_.setDomainOut("a", false); });
    default:
      // Starts at version 10, since version 9 removes the callers' key.
      return Site_.Store_.publish("tables", std::to_string(10 + Version_++));
    }
  }

private:
  struct Undo {
    core::Duration After_;
    std::function<void()> Do_;
  };

  static std::string entryName(int I) { return "e" + std::to_string(I); }
  static std::string workerName(int I) { return "w" + std::to_string(I); }

  int number(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random_);
  }

  void later(core::Duration After, std::function<void()> Do) {
    Undos_.push_back({After, std::move(Do)});
  }

  /// Runs the delayed actions that are due after \p Past, such as ends of
  /// faults.
  void undo(core::Duration Past) {
    std::vector<std::function<void()>> Due;
    for (std::size_t I = 0; I < Undos_.size();) {
      Undos_[I].After_ -= Past;
      if (Undos_[I].After_ > 0ms) {
        ++I;
        continue;
      }
      Due.push_back(std::move(Undos_[I].Do_));
      Undos_.erase(Undos_.begin() + static_cast<std::ptrdiff_t>(I));
    }
    for (const auto &Do : Due)
      Do();
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
  void oneCall() {
    const std::string Entry = entryName(number(0, EntryHosts - 1));
    if (!Site_.runs(Entry))
      return;
    const std::string Known =
        "j" + std::to_string(number(0, static_cast<int>(Jobs_)));
    const int Kind = number(0, 9);
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
    const int Length = number(0, 9) == 0 ? LongRunMs : 100 * number(1, 20);
    const bool Hopeless = number(0, 19) == 0;
    jobs::JobSpecBuilder Builder;
    Builder.command((Hopeless ? "fail" : "") + std::to_string(Length));
    const int Steps = number(1, 2);
    for (int I = 0; I < Steps; ++I) {
      const auto Tasks = static_cast<std::uint32_t>(number(1, 4));
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
    if (number(0, 4) == 0)
      later(300ms, [=] {
        const std::string Other = entryName(number(0, EntryHosts - 1));
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
  void askAll() {
    for (std::size_t Job = 1; Job <= Jobs_; ++Job)
      for (int I = 0; I < EntryHosts; ++I)
        Site_.call(entryName(I), RequestKind::Query, "j" + std::to_string(Job));
    Site_.run(1s);
  }

  std::mt19937_64 Random_;
  FakeSite Site_;
  std::vector<Undo> Undos_;
  std::string Rolling_;
  std::size_t Jobs_ = 0;
  int Version_ = 0;
};

/// Bounds that hold under any fault: a holder that cannot reach the store stops
/// granting leases when its tenure ends, a start that was sent by then is
/// refused after its permit, and a lease ends after the longest lease time on
/// the slowest clock.
history::Bounds roughLimits() {
  const cell::HolderPolicy Policy;
  history::Bounds Limits;
  Limits.Cancel_ = Policy.TenureValidity_ + 2 * Policy.StartPermit_;
  Limits.Stop_ = core::Duration(static_cast<std::int64_t>(
      static_cast<double>(Policy.MaxLease_.count()) / Policy.MinClockRate_));
  Limits.Visible_ = LoadTime;
  return Limits;
}

/// The bounds that users are promised while there are no faults.
history::Bounds plannedLimits() {
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
  CPPUNIT_TEST(roughSchedules);
  CPPUNIT_TEST(plannedSchedules);
  CPPUNIT_TEST_SUITE_END();

  static void playSeeds(std::uint64_t First, void (Schedule::*Fault)(),
                        const history::Bounds &Limits) {
    const char *Only = std::getenv("NUTMEGWELL_SEED");
    const char *Count = std::getenv("NUTMEGWELL_SEEDS");
    const std::uint64_t From = Only ? std::stoull(Only) : First;
    const std::uint64_t Seeds = Count ? std::stoull(Count) : Only ? 1 : 40;
    std::size_t Broken = 0;
    for (std::uint64_t Seed = From; Seed < From + Seeds; ++Seed) {
      Schedule Each(Seed);
      const std::string Found = Each.play(Fault, Limits);
      if (Found.empty())
        continue;
      ++Broken;
      std::cout << "seed " << Seed << ":\n" << Found;
    }
    std::cout << Seeds << " schedules from seed " << From << ", " << Broken
              << " broken\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Broken);
  }

  void roughSchedules() {
    playSeeds(1000, &Schedule::roughFault, roughLimits());
  }
  void plannedSchedules() {
    playSeeds(2000, &Schedule::plannedWork, plannedLimits());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulesTest);
