// A task fails twice, both failures are recorded in one append, and the holder
// is killed before it can acknowledge them.

#include "../cluster.h"
#include <thread>

using namespace review;

namespace {

constexpr int MaxAttempts = 3;
constexpr int FailingRuns = 2;
constexpr milliseconds FailingRun(10);
/// Goes on over the takeover.
constexpr milliseconds LastRun(6800);
constexpr char Job[] = "5c0e7a21d94b36f8";
constexpr char Body[] =
    R"({"task_spec":"scoring","steps":[{"count":1,"cpu":1000,"mem_mb":256,)"
    R"("gpu":1,"estimated_duration_ms":6800}]})";
/// 60 times the 4 ms that an answer of the store usually takes.
constexpr milliseconds SlowAnswer(240);
constexpr milliseconds UsualAnswer(4);
/// Longest time for which the store is slow.
constexpr milliseconds SlowFor(4500);
/// The takeover, the remaining run and its record.
constexpr milliseconds EndLimit(60000);

std::size_t failedRuns(const Cluster &Site) {
  std::size_t Count = 0;
  for (const RunHistory &Run : Site.runsOf(Job))
    Count += Run.How_ == "failed";
  return Count;
}

std::optional<bool> run(Record &Log, bool Trouble) {
  std::atomic<int> Starts{0};
  std::atomic<int> ToKill{-1};
  const std::string Progress = std::string("p/") + Job;
  auto Plan = [&Starts](const std::string &, const std::string &,
                        const std::string &) {
    return ++Starts <= FailingRuns ? RunPlan{FailingRun, true}
                                   : RunPlan{LastRun, false};
  };
  Cluster Site(Log, 3, 4, MaxAttempts, Plan);
  if (!Site.waitReady())
    return std::nullopt;

  // The host that last wrote to the store under a condition is killed when it
  // has written the progress of the job after its second failure.
  Site.store().onAppended([&](const Store::Appended &Append) {
    for (const std::string &Key : Append.Keys_)
      if (Trouble && Key == Progress && ToKill < 0 &&
          failedRuns(Site) == FailingRuns)
        ToKill = static_cast<int>(Append.Source_);
  });
  if (Trouble)
    Site.store().setAnswerTime(SlowAnswer);
  const auto SlowSince = Clock::now();
  if (Site.submit(0, Job, Body) != 200)
    return std::nullopt;
  if (Trouble) {
    if (!waitUntil([&] { return ToKill >= 0; }, SlowFor - SlowAnswer))
      return std::nullopt;
    Site.killEntry(static_cast<std::size_t>(ToKill), milliseconds(500));
    std::this_thread::sleep_until(SlowSince + SlowFor);
    Site.store().setAnswerTime(UsualAnswer);
  }

  std::string State;
  const bool Ended = waitUntil(
      [&] {
        std::this_thread::sleep_for(milliseconds(500));
        State = Site.state(1, Job);
        return State == "completed" || State == "failed";
      },
      EndLimit);
  const std::size_t Failed = failedRuns(Site);
  Log.add("test", "the job is shown as " + State + "; " +
                      std::to_string(Failed) + " of " +
                      std::to_string(MaxAttempts) +
                      " attempts have ended failed");
  if (!Ended)
    return std::nullopt;
  return State == "completed" || Failed >= MaxAttempts;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, run); }
