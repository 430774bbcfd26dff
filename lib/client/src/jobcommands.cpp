#include "commands.h"

#include "jobs.h"
#include <algorithm>
#include <ostream>

namespace nutmegwell::client {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Longest wait asked of an entry host at one time; it waits at most 60 s.
constexpr core::Duration LongestWait = seconds(20);
/// Waits that may be answered in less than half of the time asked for; more
/// would be a loop on an entry host that does not wait.
constexpr int MaxEarlyAnswers = 4;

/// Default of --for, as docs/callers.md states it.
constexpr minutes DefaultWait(10);
/// Declared run time of a job that names none; a hint for the scheduler alone.
constexpr minutes DeclaredTime(10);
/// Longest run time that a job may declare, and longest wait for one.
constexpr hours LongestJob(24 * 30);

std::string formatIdLine(const model::Job &Job) {
  return core::toString(Job.Id_) + "\n";
}

int runSubmit(const Invocation &Call) {
  const settings::Settings &Settings = Call.Settings_;
  model::JobSpec Spec;
  Spec.Account_ = Settings.text("account");
  Spec.Service_ = Settings.text("service");
  Spec.TaskCount_ = static_cast<std::uint32_t>(Settings.count("tasks"));
  Spec.AcceleratorsPerTask_ =
      static_cast<std::uint32_t>(Settings.count("accelerators"));
  model::parseLevel(Settings.text("level"), Spec.Level_);
  model::parseJobClass(Settings.text("class"), Spec.Class_);
  Spec.DeclaredRunTime_ = Settings.duration("declared");
  for (const std::string &Word : Settings.arguments())
    Spec.Command_ += (Spec.Command_.empty() ? "" : " ") + Word;
  const std::string Body = wire::formatJobSpec(Spec);
  auto Errors = wire::parseJobSpec(Body, Spec);
  if (!Errors.empty()) {
    wire::ApiError Error;
    Error.Code_ = "invalid_job";
    Error.Step_ = "check job";
    Error.Message_ = "nothing was submitted";
    Error.ValidationErrors_ = std::move(Errors);
    return printError(Call, Error);
  }
  return printJob(Call, callApi(Call, "POST", "/v1/jobs", "", Body), Done,
                  formatIdLine);
}

int runCancel(const Invocation &Call) {
  const std::string Path = jobPath(Call);
  if (Path.empty())
    return printBadId(Call);
  return printJob(Call, callApi(Call, "DELETE", Path), Done);
}

int runExplain(const Invocation &Call) {
  const std::string Path = jobPath(Call);
  if (Path.empty())
    return printBadId(Call);
  const Reply Result = callApi(Call, "GET", Path + "/explain");
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Text = wire::parseExplanation(Result.Response_.Body_);
  if (!Text.ok())
    return printWrongAnswer(Call, Text.status());
  printAnswer(Call, Result, *Text + "\n");
  return Done;
}

int codeOf(model::JobState State) {
  if (State == model::JobState::Finished)
    return Done;
  return State == model::JobState::Refused ? RefusedNotRun : JobNotFinished;
}

int runWait(const Invocation &Call) {
  const std::string Path = jobPath(Call);
  if (Path.empty())
    return printBadId(Call);
  const core::Duration Longest = Call.Settings_.duration("for");
  const core::TimePoint End = Call.Context_.Clock_.Now_() + Longest;
  int EarlyAnswers = 0;
  for (;;) {
    const core::TimePoint Start = Call.Context_.Clock_.Now_();
    const core::Duration Left =
        std::max<core::Duration>(End - Start, core::Duration());
    const auto Asked =
        std::chrono::ceil<milliseconds>(std::min(Left, LongestWait));
    const Reply Result =
        callApi(Call, "GET", Path + "/wait",
                "timeout_ms=" + std::to_string(Asked.count()), "",
                Asked + Call.Settings_.duration("timeout"));
    if (Result.Outcome_ != Outcome::Answered)
      return printError(Call, Result.Error_);
    auto Job = wire::parseJob(Result.Response_.Body_);
    if (!Job.ok())
      return printWrongAnswer(Call, Job.status());
    const core::TimePoint Now = Call.Context_.Clock_.Now_();
    EarlyAnswers += Now - Start < Asked / 2;
    if (model::isFinal(Job->State_) || EarlyAnswers > MaxEarlyAnswers ||
        Now >= End)
      return printJob(Call, Result, codeOf(Job->State_));
  }
}

} // namespace

std::string jobPath(const Invocation &Call) {
  core::JobId Id;
  const std::string &Text = Call.Settings_.arguments().front();
  return core::parseId(Text, Id.Writer_, Id.Sequence_) ? "/v1/jobs/" + Text
                                                       : std::string();
}

int printBadId(const Invocation &Call) {
  return printUsage(Call, "'" + Call.Settings_.arguments().front() +
                              "' is not the id of a job");
}

int printJob(const Invocation &Call, const Reply &Reply, int Code,
             std::string (*Format)(const model::Job &)) {
  if (Reply.Outcome_ != Outcome::Answered)
    return printError(Call, Reply.Error_);
  auto Job = wire::parseJob(Reply.Response_.Body_);
  if (!Job.ok())
    return printWrongAnswer(Call, Job.status());
  printAnswer(Call, Reply, Format(*Job));
  return Code;
}

Command submitCommand() {
  auto Builder = commandSettings(
      "submit",
      "Submits a job, a gang of tasks that run together. Prints the job's id "
      "and nothing else, or\nwith --json the whole job. Write '--' before a "
      "command that has flags.");
  Builder.arguments(1, 1024, "COMMAND...")
      .text("account", "", "client account that the job counts for")
      .required()
      .text("service", "", "service whose pool the job uses")
      .required()
      .count("tasks", 1, 1, 64, "tasks of the gang")
      .count("accelerators", 1, 1, 64, "accelerators of each task")
      .choice("level", {"worker", "rack", "domain"}, "domain",
              "topology level within which all tasks must lie")
      .choice("class", {"urgent", "normal", "patient"}, "normal",
              "how soon the job should start")
      .duration("declared", DeclaredTime, milliseconds(1), LongestJob,
                "run time that you expect; a hint");
  return {"submit", Builder.build(), runSubmit};
}

Command waitCommand() {
  auto Builder = commandSettings(
      "wait",
      "Waits until a job has ended. Code 0: it finished; 1: it was "
      "refused; 4: it failed, was\ncancelled or has not ended in time.");
  Builder.arguments(1, 1, "JOB")
      .duration("for", DefaultWait, seconds(0), LongestJob, "longest wait");
  return {"wait", Builder.build(), runWait};
}

Command cancelCommand() {
  auto Builder =
      commandSettings("cancel", "Cancels a job; a running one is stopped.");
  Builder.arguments(1, 1, "JOB");
  return {"cancel", Builder.build(), runCancel};
}

Command explainCommand() {
  auto Builder = commandSettings(
      "explain", "Says why a job waits and what would let it start.");
  Builder.arguments(1, 1, "JOB");
  return {"explain", Builder.build(), runExplain};
}

} // namespace nutmegwell::client
