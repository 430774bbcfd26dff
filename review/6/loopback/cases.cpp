// Cases that cannot be put as a day of the users' bench. Usage: cases NAME
// FOLDER. Exits with 1 when the rule was broken, 0 when it held, and 2 when the
// case could not run. TROUBLE=0 leaves the disruption out.

#include "deployment.h"
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

namespace loopback {

namespace {

enum Outcome : int { Held = 0, Broken = 1, NotRun = 2 };

// Bounds of the users' small deployments.
constexpr Milliseconds ContactTimeout(3000);
constexpr Milliseconds CancelTime(3000);
constexpr Milliseconds StopTime(200);
constexpr Milliseconds VisibleTime(3000);
constexpr Milliseconds WaitingCountAge(2000);
constexpr Milliseconds FinishTime(14000);
constexpr Milliseconds EvacuationTime(5000);

/// Reserve for the time that this program takes itself.
constexpr Milliseconds Reserve(1000);

using Clock = std::chrono::steady_clock;

Outcome verdict(Deployment &Site, bool RuleHeld, const std::string &Reason) {
  Site.record().write("case", (RuleHeld ? "held: " : "broken: ") + Reason);
  return RuleHeld ? Held : Broken;
}

Outcome notRun(Deployment &Site, const std::string &Reason) {
  Site.record().write("case", "could not run: " + Reason);
  return NotRun;
}

/// A host freezes while a client hands in a job there. The client gets no
/// answer and cancels the job at another host.
Outcome cancelAfterFreeze(const std::string &Folder, bool Trouble) {
  constexpr Milliseconds FreezeTime(4000);
  const std::string Job = "5c0e7a21d94b36f8";
  Deployment Site(Folder);
  Site.addEntry("frontend-a-1", "a");
  Site.addEntry("frontend-b-1", "b");
  Host &Frozen = Site.addEntry("frontend-c-1", "c");
  Executor &First = Site.addExecutor("a", {"a", "r1"});
  Executor &Second = Site.addExecutor("b", {"a", "r2"});
  if (!Site.start())
    return notRun(Site, "the processes are not ready");
  const auto FrozenAt = Clock::now();
  if (Trouble)
    Site.signal(Frozen, SIGSTOP, "freezes");
  Site.submit(Frozen, Job, Milliseconds(40000));
  const Answer Cancelled =
      Site.request(Site.entry(0), "DELETE", "/queue/" + Job);
  if (Cancelled.Status_ != 410 && Cancelled.Status_ / 100 != 2)
    return notRun(Site, "the cancellation was not acknowledged");
  if (Trouble) {
    std::this_thread::sleep_until(FrozenAt + FreezeTime);
    Site.signal(Frozen, SIGCONT, "wakes");
  }
  std::this_thread::sleep_for(ContactTimeout + CancelTime + StopTime + Reserve);
  const std::string Shown = Site.state(Site.entry(0), Job);
  const bool Runs = First.running().size() + Second.running().size() > 0;
  return verdict(Site, !Runs,
                 Runs ? "a task of the cancelled job runs on; the job is " +
                            Shown
                      : "no task of the cancelled job runs");
}

/// The store turns the holder's host away while the only other entry host is
/// restarted and a zone is taken back into service.
Outcome zoneTakenBack(const std::string &Folder, bool Trouble) {
  constexpr Milliseconds CutTime(9000);
  const std::string Job = "8d1f02c6a7e94b53";
  Deployment Site(Folder);
  Site.addEntry("frontend-a-1", "a");
  Site.addEntry("frontend-b-1", "b");
  Site.addExecutor("a", {"a", "r1"});
  Site.addExecutor("a", {"a", "r1"});
  Executor &First = Site.addExecutor("b", {"b", "r2"});
  Executor &Second = Site.addExecutor("b", {"b", "r2"});
  if (!Site.start())
    return notRun(Site, "the processes are not ready");
  const long FirstTerm = Deployment::newestTerm(Site.entry(0));
  const long SecondTerm = Deployment::newestTerm(Site.entry(1));
  if (FirstTerm == SecondTerm)
    return notRun(Site, "no host holds the cell");
  const bool FirstHolds = FirstTerm > SecondTerm;
  Host &Holder = Site.entry(FirstHolds ? 0 : 1);
  Host &Other = Site.entry(FirstHolds ? 1 : 0);
  Site.record().write("case", Holder.Name_ + " holds the cell");
  Site.record().write("operator", "evacuates zone b");
  Site.store().publish("evacuate/b", "{}");
  std::this_thread::sleep_for(EvacuationTime);
  const auto CutAt = Clock::now();
  if (Trouble) {
    Site.record().write("store", "leaves calls of " + Holder.Name_ +
                                     " without an answer");
    Site.store().setSilent(Holder.Name_, true);
  }
  std::this_thread::sleep_for(Milliseconds(500));
  Site.signal(Other, SIGTERM, "stops");
  Deployment::waitForEnd(Other);
  Site.record().write("operator", "takes zone b back");
  Site.store().publish("evacuate/b", "");
  std::this_thread::sleep_for(Milliseconds(500));
  Site.launch(Other);
  if (!Site.waitReady(Other, Milliseconds(5000)))
    return notRun(Site, "the restarted host is not ready");
  std::this_thread::sleep_until(CutAt + CutTime);
  if (Trouble) {
    Site.record().write("store", "serves " + Holder.Name_ + " again");
    Site.store().setSilent(Holder.Name_, false);
  }
  std::this_thread::sleep_for(ContactTimeout + Reserve);
  if (Site.submit(Other, Job, Milliseconds(2000), R"({"requirements":"b"})")
          .Status_ != 200)
    return notRun(Site, "the job was not accepted");
  const std::string Task = Job + ".0.0.0";
  const bool Started =
      waitUntil([&] { return First.starts(Task) + Second.starts(Task) > 0; },
                FinishTime + Reserve);
  const std::string Shown = Site.state(Other, Job);
  return verdict(Site, Started,
                 Started ? "the job started in the zone that was taken back"
                         : "the job is " + Shown +
                               " and has not started, while both executors "
                               "that can run it are idle");
}

/// Executors turn unhealthy and refuse all starts; clients ask how many jobs
/// wait. Each job can run on one executor only.
Outcome waitingCount(const std::string &Folder, bool Trouble) {
  const std::map<std::string, std::string> JobsByLabel = {
      {"a", "1a5e0c7294d8b360"},
      {"b", "2b6f1d83a5e9c471"},
      {"c", "3c70e294b6fad582"},
      {"d", "4d81f3a5c70be693"}};
  Deployment Site(Folder);
  Site.addEntry("frontend-a-1", "a");
  Site.addEntry("frontend-b-1", "b");
  std::vector<Executor *> Executors;
  for (const auto &[Label, Job] : JobsByLabel)
    Executors.push_back(&Site.addExecutor("a", {Label, "r1"}));
  if (!Site.start())
    return notRun(Site, "the processes are not ready");
  if (Trouble) {
    Site.record().write("executors",
                        "turn unhealthy and answer starts with 503");
    for (Executor *Each : Executors)
      Each->setUnhealthy(true);
  }
  for (const auto &[Label, Job] : JobsByLabel)
    if (Site.submit(Site.entry(0), Job, Milliseconds(20000),
                    R"({"requirements":")" + Label + R"("})")
            .Status_ != 200)
      return notRun(Site, "a job was not accepted");
  std::this_thread::sleep_for(VisibleTime + WaitingCountAge + Reserve);
  std::size_t Unbegun = 0;
  for (const auto &[Label, Job] : JobsByLabel)
    Unbegun += std::none_of(Executors.begin(), Executors.end(),
                            [Task = Job + ".0.0.0"](const Executor *Each) {
                              return Each->starts(Task) > 0;
                            });
  bool RuleHeld = true;
  for (std::size_t I = 0; I < 2; ++I) {
    const Answer Count = Site.request(Site.entry(I), "GET", "/queue/");
    if (Count.Status_ != 200)
      return notRun(Site, "the count was not answered");
    const auto Waiting =
        nlohmann::json::parse(Count.Body_).value("waiting", std::size_t{0});
    RuleHeld &= 2 * Waiting >= Unbegun;
  }
  return verdict(Site, RuleHeld,
                 std::to_string(Unbegun) + " of " +
                     std::to_string(JobsByLabel.size()) +
                     " jobs have not begun");
}

/// An executor leaves a start without an answer, crashes and starts again under
/// its id; the start is carried out after that.
Outcome startAfterRestart(const std::string &Folder, bool Trouble) {
  constexpr Milliseconds OrderDelay(6000);
  const std::string Task = "9e20b7d1f3a8546c.0.0.0";
  Deployment Site(Folder);
  Site.addEntry("frontend-a-1", "a");
  Site.addEntry("frontend-b-1", "b");
  Executor &First = Site.addExecutor("a", {"a", "r1"});
  Executor &Second = Site.addExecutor("b", {"a", "r2"});
  if (!Site.start())
    return notRun(Site, "the processes are not ready");
  if (Trouble) {
    First.delayNextStart(OrderDelay);
    Second.delayNextStart(OrderDelay);
  }
  if (Site.submit(Site.entry(0), "9e20b7d1f3a8546c", Milliseconds(25000))
          .Status_ != 200)
    return notRun(Site, "the job was not accepted");
  if (Trouble) {
    const auto Delayed = [&] {
      return First.hasDelayedStart() || Second.hasDelayedStart();
    };
    if (!waitUntil(Delayed, Milliseconds(3000)))
      return notRun(Site, "no executor got the start");
    Executor &Crashed = First.hasDelayedStart() ? First : Second;
    Executor &Sound = First.hasDelayedStart() ? Second : First;
    Sound.delayNextStart(Milliseconds(0));
    Crashed.crash();
    std::this_thread::sleep_for(Milliseconds(2500));
    Crashed.restart();
  }
  const bool Twice = waitUntil(
      [&] {
        return First.running().count(Task) > 0 &&
               Second.running().count(Task) > 0;
      },
      Milliseconds(12000));
  return verdict(Site, !Twice,
                 Twice ? "two runs of the task at the same time"
                       : "the task ran once at a time");
}

} // namespace

} // namespace loopback

int main(int Count, char **Arguments) {
  using loopback::Outcome;
  if (Count != 3) {
    std::cerr << "usage: cases NAME FOLDER\n";
    return Outcome::NotRun;
  }
  const std::map<std::string, Outcome (*)(const std::string &, bool)> Cases = {
      {"cancel-after-freeze", loopback::cancelAfterFreeze},
      {"zone-taken-back", loopback::zoneTakenBack},
      {"waiting-count", loopback::waitingCount},
      {"start-after-restart", loopback::startAfterRestart}};
  const auto It = Cases.find(Arguments[1]);
  if (It == Cases.end()) {
    std::cerr << "unknown case " << Arguments[1] << "\n";
    return Outcome::NotRun;
  }
  loopback::endProcessesOnSignal();
  const char *Trouble = std::getenv("TROUBLE");
  try {
    return It->second(Arguments[2], !Trouble || std::string(Trouble) != "0");
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return Outcome::NotRun;
  }
}
