// Another writer sends one announcement of a service that the configuration
// does not name to an agent whose executor runs a task.

#include "../cluster.h"
#include <thread>

using namespace review;

namespace {

constexpr int MaxAttempts = 3;
constexpr char Job[] = "7d21f0c95ab3e416";
constexpr char Body[] =
    R"({"task_spec":"scoring","steps":[{"count":1,"cpu":1000,"mem_mb":256,)"
    R"("gpu":1,"estimated_duration_ms":8000}]})";
constexpr milliseconds RunLength(8000);
/// The run, a second one, and their records.
constexpr milliseconds EndLimit(60000);

/// Sends an announcement under an id of its own, of a service that the
/// configuration does not name.
void announceForeign(Record &Log, const Executor &Target) {
  ExecutorSettings Foreign = Target.settings();
  Foreign.Id_ = "i-foreign";
  Foreign.Service_ = "otherservice";
  const std::int64_t Born =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Path_ = "/executors/" + Foreign.Id_;
  Request.Body_ = announcement(Foreign, Born, milliseconds(1000), 1).dump();
  const auto Response =
      sendRequest(Foreign.AgentPort_, Request, milliseconds(1000));
  Log.add("other writer", "PUT " + Request.Path_ + " " + Request.Body_ + ": " +
                              (Response ? std::to_string(Response->Status_)
                                        : std::string("no answer")));
}

/// Returns whether two runs of the task overlapped, on executors that were up
/// all the while.
bool ranTwice(const std::vector<RunHistory> &Runs) {
  for (std::size_t I = 0; I < Runs.size(); ++I)
    for (std::size_t J = I + 1; J < Runs.size(); ++J)
      if (Runs[I].How_.empty() || Runs[J].StartedAt_ < Runs[I].EndedAt_)
        return true;
  return false;
}

std::optional<bool> run(Record &Log, bool Trouble) {
  auto Plan = [](const std::string &, const std::string &,
                 const std::string &) {
    return RunPlan{RunLength, false};
  };
  Cluster Site(Log, 3, 4, MaxAttempts, Plan);
  if (!Site.waitReady() || Site.submit(0, Job, Body) != 200 ||
      !waitUntil([&] { return !Site.runsOf(Job).empty(); }, milliseconds(5000)))
    return std::nullopt;
  std::this_thread::sleep_for(milliseconds(1000));
  const std::string Name = Site.runsOf(Job).front().Executor_;
  if (Trouble)
    for (std::size_t I = 0; I < Site.executorCount(); ++I)
      if (Site.executor(I).settings().Id_ == Name)
        announceForeign(Log, Site.executor(I));
  waitUntil(
      [&] {
        std::this_thread::sleep_for(milliseconds(1000));
        return Site.state(1, Job) == "completed";
      },
      EndLimit);
  const bool Twice = ranTwice(Site.runsOf(Job));
  Log.add("test", Twice ? "two runs of the task went on at the same time"
                        : "no two runs of the task went on at the same time");
  return !Twice;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
