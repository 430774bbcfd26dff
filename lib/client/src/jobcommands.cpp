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

/// Longest wait requested from an entry host in one request; entry hosts limit
/// it to 60 s.
constexpr core::Duration MaxWaitPerRequest = seconds(20);
/// Number of wait requests that may return in less than half of the requested
/// time. The limit prevents a busy loop on an entry host that does not wait.
constexpr int MaxEarlyResponses = 4;

/// Default of --for, documented in docs/callers.md.
constexpr minutes DefaultWait(10);
/// Default of --declared. The declared run time is only a hint for the
/// scheduler.
constexpr minutes DefaultDeclaredRunTime(10);
/// Longest run time that a job may declare, and longest wait for a job.
constexpr hours MaxJobDuration(24 * 30);

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
    Error.Message_ = "the job is invalid and was not submitted";
    Error.ValidationErrors_ = std::move(Errors);
    return printError(Call, Error);
  }
  return printJob(Call, callApi(Call, "POST", "/v1/jobs", "", Body), Success,
                  formatIdLine);
}

int runCancel(const Invocation &Call) {
  const std::string Path = jobPath(Call);
  if (Path.empty())
    return printInvalidJobId(Call);
  return printJob(Call, callApi(Call, "DELETE", Path), Success);
}

int runExplain(const Invocation &Call) {
  const std::string Path = jobPath(Call);
  if (Path.empty())
    return printInvalidJobId(Call);
  const ExchangeResult Result = callApi(Call, "GET", Path + "/explain");
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Text = wire::parseExplanation(Result.Response_.Body_);
  if (!Text.ok())
    return printMalformedResponse(Call, Text.status());
  printResponse(Call, Result, *Text + "\n");
  return Success;
}

int exitCodeFor(model::JobState State) {
  if (State == model::JobState::Finished)
    return Success;
  return State == model::JobState::Refused ? RefusedNotRun : JobNotFinished;
}

int runWait(const Invocation &Call) {
  const std::string Path = jobPath(Call);
  if (Path.empty())
    return printInvalidJobId(Call);
  const core::Duration MaxWait = Call.Settings_.duration("for");
  const core::TimePoint Deadline = Call.Context_.Clock_.Now_() + MaxWait;
  int EarlyResponses = 0;
  for (;;) {
    const core::TimePoint Start = Call.Context_.Clock_.Now_();
    const core::Duration Remaining =
        std::max<core::Duration>(Deadline - Start, core::Duration());
    const auto RequestedWait =
        std::chrono::ceil<milliseconds>(std::min(Remaining, MaxWaitPerRequest));
    const ExchangeResult Result =
        callApi(Call, "GET", Path + "/wait",
                "timeout_ms=" + std::to_string(RequestedWait.count()), "",
                RequestedWait + Call.Settings_.duration("timeout"));
    if (Result.Outcome_ != Outcome::Answered)
      return printError(Call, Result.Error_);
    auto Job = wire::parseJob(Result.Response_.Body_);
    if (!Job.ok())
      return printMalformedResponse(Call, Job.status());
    const core::TimePoint Now = Call.Context_.Clock_.Now_();
    EarlyResponses += Now - Start < RequestedWait / 2;
    if (model::isFinal(Job->State_) || EarlyResponses > MaxEarlyResponses ||
        Now >= Deadline)
      return printJob(Call, Result, exitCodeFor(Job->State_));
  }
}

} // namespace

std::string jobPath(const Invocation &Call) {
  core::JobId Id;
  const std::string &Text = Call.Settings_.arguments().front();
  return core::parseId(Text, Id.Writer_, Id.Sequence_) ? "/v1/jobs/" + Text
                                                       : std::string();
}

int printInvalidJobId(const Invocation &Call) {
  return printUsageError(Call,
                         "'" + Call.Settings_.arguments().front() +
                             "' is not a job id; 'nutmegwell submit' prints "
                             "the id of a job");
}

int printJob(const Invocation &Call, const ExchangeResult &Result, int Code,
             std::string (*Format)(const model::Job &)) {
  if (Result.Outcome_ != Outcome::Answered)
    return printError(Call, Result.Error_);
  auto Job = wire::parseJob(Result.Response_.Body_);
  if (!Job.ok())
    return printMalformedResponse(Call, Job.status());
  printResponse(Call, Result, Format(*Job));
  return Code;
}

Command submitCommand() {
  auto Builder = commandSettings(
      "submit",
      "Submits a job, a gang of tasks that run together. Prints only the job "
      "id, or the whole job\nwith --json. Write '--' before a command that has "
      "flags.");
  Builder.arguments(1, 1024, "COMMAND...")
      .text("account", "", "client account to which the job is charged")
      .required()
      .text("service", "", "service whose pool the job uses")
      .required()
      .count("tasks", 1, 1, 64, "number of tasks in the gang")
      .count("accelerators", 1, 1, 64, "accelerators per task")
      .choice("level", {"worker", "rack", "domain"}, "domain",
              "topology level within which all tasks are placed")
      .choice("class", {"urgent", "normal", "patient"}, "normal",
              "scheduling class: how soon the job should start")
      .duration("declared", DefaultDeclaredRunTime, milliseconds(1),
                MaxJobDuration, "expected run time; a hint for the scheduler");
  return {"submit", Builder.build(), runSubmit};
}

Command waitCommand() {
  auto Builder = commandSettings(
      "wait",
      "Waits until a job ends. Exit code 0: it finished; 1: it was "
      "refused; 4: it failed, was\ncancelled or has not ended in time.");
  Builder.arguments(1, 1, "JOB")
      .duration("for", DefaultWait, seconds(0), MaxJobDuration,
                "maximum time to wait");
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
      "explain", "Explains why a job is waiting and what would let it start.");
  Builder.arguments(1, 1, "JOB");
  return {"explain", Builder.build(), runExplain};
}

} // namespace nutmegwell::client
