// A client hands a job in under an id that is longer than the pages allow, and
// all entry hosts are killed afterwards.

#include "../testbed/deployment.h"
#include <csignal>
#include <cstdlib>

using namespace testbed;

namespace {

constexpr auto Dark = Milliseconds(2000);
/// finish_s of the settings.
constexpr auto Finish = Milliseconds(14000);

bool withKill() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// TROUBLE=kill leaves out only the request with the long id.
bool withLongId() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || (std::string(Value) != "0" && std::string(Value) != "kill");
}

void killEntries(Deployment &Site, Record &Lines) {
  Lines.say("platform: all entry hosts are killed");
  for (int I = 0; I < Site.entryCount(); ++I)
    Site.signalEntry(I, SIGKILL);
  std::this_thread::sleep_for(Dark);
  for (int I = 0; I < Site.entryCount(); ++I)
    Site.restartEntry(I);
}

int play(Record &Lines) {
  Deployment Site(DeploymentSettings(), Lines);
  if (!Site.waitReady(Milliseconds(30000)))
    return 2;
  const std::string Job = "5c0e7a21d94b36f8";
  const std::string Body =
      R"({"task_spec":"8000","steps":[{"count":4,"cpu":2000,"mem_mb":1024,)"
      R"("estimated_duration_ms":8000}]})";
  if (Site.persist("POST", "/lohu930/", Job, Body, 4).Status_ != 200)
    return 2;
  if (withLongId()) {
    const std::string LongId = Job + std::string(256, '0');
    const Answer Reply =
        Site.post(1, "/lohu930/", LongId,
                  R"({"task_spec":"10","steps":[{"count":1,"cpu":100}]})",
                  Milliseconds(3000), OtherAccountKey);
    Lines.say("the request with the long id: " + std::to_string(Reply.Status_));
  }
  std::this_thread::sleep_for(Milliseconds(1000));
  if (withKill())
    killEntries(Site, Lines);
  std::this_thread::sleep_for(Finish);
  const Answer Reply = Site.persist("GET", "/lohu930/", Job, "", 4);
  Lines.say("LOST? the job: " + std::to_string(Reply.Status_) + " " +
            Reply.Body_ + ", tasks done " +
            std::to_string(Site.ledger().doneCount(Job)) +
            " of 4; entry hosts ended by themselves: " +
            std::to_string(Site.crashes()));
  return stateIn(Reply) == "completed" ? 0 : 1;
}

} // namespace

int main(int Count, char **Values) {
  Record Lines(argument(Count, Values, 1, "record.txt"));
  const int Result = play(Lines);
  Lines.say("result " + std::to_string(Result));
  return Result;
}
