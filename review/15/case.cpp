// A scheduled job whose progress grows beyond the largest record of the store,
// and ordinary jobs beside it.

#include "../testbed/deployment.h"

using namespace testbed;

namespace {

constexpr auto MaxGrowth = Milliseconds(70000);
constexpr auto AckTimeout = Milliseconds(4000);
constexpr int OrdinaryJobs = 6;
constexpr int OrdinaryTasks = 2;

std::string ordinaryName(int Number) {
  return "aaaaaaaaaaaaaa0" + std::to_string(Number);
}

long unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Waits until \p Tasks tasks of the job have ended done, or MaxGrowth is over.
void waitForRuns(Deployment &Site, const std::string &Job, std::size_t Tasks) {
  const Clock::time_point End = Clock::now() + MaxGrowth;
  while (Site.ledger().doneCount(Job) < Tasks && Clock::now() < End)
    std::this_thread::sleep_for(Milliseconds(200));
}

int play(Record &Lines) {
  Deployment Site(DeploymentSettings(), Lines);
  if (!Site.waitReady(Milliseconds(30000)))
    return 2;
  const std::string Job = "5c0e7a21d94b36f8";
  const int Repetitions = withTrouble() ? 1200 : 300;
  constexpr int TasksEach = 20;
  const std::string Body =
      R"({"task_spec":"30","steps":[{"count":20,"cpu":500,"mem_mb":256,)"
      R"("estimated_duration_ms":30}],"repetitions":)" +
      std::to_string(Repetitions) + R"(,"interval_ms":50,"first_run_ms":)" +
      std::to_string(unixMilliseconds()) + "}";
  if (Site.persist("POST", "/lohu930/", Job, Body, 4).Status_ != 200)
    return 2;
  waitForRuns(Site, Job, static_cast<std::size_t>(Repetitions) * TasksEach);
  Lines.say("scheduled job: tasks done " +
            std::to_string(Site.ledger().doneCount(Job)) + ", acknowledged " +
            std::to_string(Site.ledger().notedCount(Job)));
  std::size_t Ordinary = 0;
  for (int I = 0; I < OrdinaryJobs; ++I)
    Ordinary +=
        Site.persist("POST", "/pule252/", ordinaryName(I),
                     R"({"task_spec":"500","steps":[{"count":2,"cpu":500,)"
                     R"("mem_mb":256,"estimated_duration_ms":500}]})",
                     4)
            .Status_ == 200;
  Lines.say("ordinary jobs accepted: " + std::to_string(Ordinary));
  std::this_thread::sleep_for(Milliseconds(2000) + AckTimeout);
  std::size_t Completed = 0;
  std::size_t Done = 0;
  std::size_t Noted = 0;
  for (int I = 0; I < OrdinaryJobs; ++I) {
    const std::string State =
        stateIn(Site.persist("GET", "/pule252/", ordinaryName(I), "", 4));
    Lines.say(ordinaryName(I) + " is shown as " + State);
    Completed += State == "completed";
    Done += Site.ledger().doneCount(ordinaryName(I));
    Noted += Site.ledger().notedCount(ordinaryName(I));
  }
  const std::size_t AllDone = Site.ledger().doneCount(Job) + Done;
  const std::size_t AllNoted = Site.ledger().notedCount(Job) + Noted;
  Lines.say("ordinary jobs completed: " + std::to_string(Completed) + " of " +
            std::to_string(OrdinaryJobs) + "; ends of their " +
            std::to_string(OrdinaryJobs * OrdinaryTasks) + " tasks listed " +
            std::to_string(Done) + ", taken note of " + std::to_string(Noted));
  Lines.say("Acks: ends listed " + std::to_string(AllDone) +
            ", taken note of " + std::to_string(AllNoted));
  constexpr std::size_t Fifth = 5;
  const bool Broken = (AllDone - AllNoted) * Fifth > AllDone;
  return Broken ? 1 : 0;
}

} // namespace

int main(int Count, char **Values) {
  Record Lines(argument(Count, Values, 1, "record.txt"));
  const int Result = play(Lines);
  Lines.say("result " + std::to_string(Result));
  return Result;
}
