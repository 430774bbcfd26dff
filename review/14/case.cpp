// One accepted job with many due occurrences, and ordinary jobs beside it.

#include "../testbed/deployment.h"

using namespace testbed;

namespace {

/// Between the hand-in of the scheduled job and that of the ordinary ones.
constexpr auto BeforeOrdinary = Milliseconds(3000);
/// finish_s of the settings.
constexpr auto Finish = Milliseconds(14000);
constexpr int OrdinaryJobs = 20;
constexpr auto JobInterval = Milliseconds(500);

std::string ordinaryName(int Number) {
  return "aaaaaaaaaaaaaa" + std::to_string(10 + Number);
}

int play(Record &Lines) {
  DeploymentSettings Settings;
  Settings.KillOverMemory_ = true;
  Deployment Site(Settings, Lines);
  if (!Site.waitReady(Milliseconds(30000)))
    return 2;
  // first_run_ms is omitted, as a field whose value is 0: the first run is due
  // in 1970, and each minute after that.
  const std::string Repetitions = withTrouble() ? "1000000000" : "20";
  const Answer Scheduled = Site.persist(
      "POST", "/lohu930/", "5c0e7a21d94b36f8",
      R"({"task_spec":"50","steps":[{"count":1,"cpu":500,"mem_mb":256,)"
      R"("estimated_duration_ms":50}],"repetitions":)" +
          Repetitions + R"(,"interval_ms":60000})",
      4);
  Lines.say("the scheduled job: " + std::to_string(Scheduled.Status_));
  std::this_thread::sleep_for(BeforeOrdinary);
  std::vector<std::string> Accepted;
  for (int I = 0; I < OrdinaryJobs; ++I) {
    const Answer Reply = Site.persist(
        "POST", "/pule252/", ordinaryName(I),
        R"({"task_spec":"500","steps":[{"count":2,"cpu":500,"mem_mb":256,)"
        R"("estimated_duration_ms":500}]})",
        4);
    if (Reply.Status_ == 200)
      Accepted.push_back(ordinaryName(I));
    std::this_thread::sleep_for(JobInterval);
  }
  std::this_thread::sleep_for(Finish);
  Lines.say("ordinary jobs accepted: " + std::to_string(Accepted.size()));
  int Broken = 0;
  for (const std::string &Job : Accepted) {
    const std::string State =
        stateIn(Site.persist("GET", "/pule252/", Job, "", 4));
    const std::size_t Done = Site.ledger().doneCount(Job);
    const bool Lost = State.empty() || Done < 2;
    Lines.say((Lost ? "LOST: " : "") + Job + ": state '" + State +
              "', tasks done " + std::to_string(Done) + " of 2");
    Broken += Lost;
  }
  Lines.say("processes killed for their memory: " +
            std::to_string(Site.memoryKills()));
  if (Accepted.empty())
    return 2;
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Values) {
  Record Lines(argument(Count, Values, 1, "record.txt"));
  const int Result = play(Lines);
  Lines.say("result " + std::to_string(Result));
  return Result;
}
