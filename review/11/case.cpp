// Many short tasks end while the store is down, so that a worker holds more
// ends than one response lists.

#include "../testbed/deployment.h"

using namespace testbed;

namespace {

constexpr auto BeforeOutage = Milliseconds(3000);
/// The longest outage of the whole store in the site file.
constexpr auto Outage = Milliseconds(4500);
constexpr auto MaxPlay = Milliseconds(60000);

int play(Record &Lines) {
  Deployment Site(DeploymentSettings(), Lines);
  if (!Site.waitReady(Milliseconds(30000)))
    return 2;
  const std::string Job = "5c0e7a21d94b36f8";
  const std::string Body =
      R"({"task_spec":"850","steps":[{"count":6000,"cpu":250,"mem_mb":128,)"
      R"("estimated_duration_ms":900}]})";
  if (Site.persist("POST", "/lohu930/", Job, Body, 4).Status_ != 200)
    return 2;
  std::this_thread::sleep_for(BeforeOutage);
  if (withTrouble()) {
    Lines.say("platform: the store is silent");
    Site.store().setMode(Store::Mode::Silent);
  }
  std::this_thread::sleep_for(Outage);
  Site.store().setMode(Store::Mode::Up);
  Lines.say("platform: the store answers");
  const Clock::time_point End = Clock::now() + MaxPlay;
  std::string State;
  while (State != "completed" && Clock::now() < End) {
    std::this_thread::sleep_for(Milliseconds(500));
    State = stateIn(Site.persist("GET", "/lohu930/", Job, "", 4));
  }
  const std::vector<std::string> Repeated = Site.ledger().repeatedStarts();
  for (std::size_t I = 0; I < Repeated.size() && I < 20; ++I)
    Lines.say("TWICE: " + Repeated[I]);
  Lines.say("job " + State + ", starts " +
            std::to_string(Site.ledger().startCount()) + ", repeated starts " +
            std::to_string(Repeated.size()));
  return Repeated.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Values) {
  Record Lines(argument(Count, Values, 1, "record.txt"));
  const int Result = play(Lines);
  Lines.say("result " + std::to_string(Result));
  return Result;
}
