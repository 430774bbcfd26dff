// A client hands a job in under an id that the pages don't allow, and ordinary
// jobs come beside it.

#include "../testbed/deployment.h"

using namespace testbed;

namespace {

constexpr int Jobs = 6;
constexpr auto BeforeJobs = Milliseconds(2000);
/// finish_s of the settings.
constexpr auto Finish = Milliseconds(14000);

std::string jobName(int Number) {
  return "bbbbbbbbbbbbbb" + std::to_string(10 + Number);
}

int play(Record &Lines) {
  Deployment Site(DeploymentSettings(), Lines);
  if (!Site.waitReady(Milliseconds(30000)))
    return 2;
  if (withTrouble()) {
    const Answer Reply = Site.post(
        1, "/lohu930/", "5c0e7a21.94b36f8",
        R"({"task_spec":"100","steps":[{"count":60,"cpu":4000,"mem_mb":256,)"
        R"("estimated_duration_ms":100}]})",
        Milliseconds(3000), OtherAccountKey);
    Lines.say("the request with a dot in its id: " +
              std::to_string(Reply.Status_));
  }
  std::this_thread::sleep_for(BeforeJobs);
  std::vector<std::string> Accepted;
  for (int I = 0; I < Jobs; ++I)
    if (Site.persist("POST", "/pule252/", jobName(I),
                     R"({"task_spec":"500","steps":[{"count":2,"cpu":500,)"
                     R"("mem_mb":256,"estimated_duration_ms":500}]})",
                     4)
            .Status_ == 200)
      Accepted.push_back(jobName(I));
  Lines.say("jobs accepted: " + std::to_string(Accepted.size()));
  if (Accepted.empty())
    return 2;
  std::this_thread::sleep_for(Finish);
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
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Values) {
  Record Lines(argument(Count, Values, 1, "record.txt"));
  const int Result = play(Lines);
  Lines.say("result " + std::to_string(Result));
  return Result;
}
