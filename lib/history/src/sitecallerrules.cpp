#include "activeruns.h"
#include "eventaccess.h"
#include "nutmegwell/history/rules.h"
#include <optional>

namespace nutmegwell::history {

namespace {

/// What callers and workers observed of one job. The members named *Index_ are
/// indices of events.
struct JobObservations {
  std::size_t SubmitCount_ = 0;
  std::size_t RefusalCount_ = 0;
  std::optional<std::size_t> SubmitIndex_;
  std::optional<std::size_t> AcceptIndex_;
  std::optional<std::size_t> CancelIndex_;
  /// Last state that each process reported.
  std::map<std::string, std::string> ReportedStates_;
  /// Number of runs that ended with "failed", by task.
  std::map<TaskKey, std::uint32_t> Failures_;
};

bool mayHaveFailed(const std::map<StepKey, StepDeclared> &Steps,
                   const JobObservations &Observed) {
  return std::any_of(
      Observed.Failures_.begin(), Observed.Failures_.end(),
      [&](const auto &Row) {
        auto Step =
            Steps.find({std::get<0>(Row.first), std::get<1>(Row.first)});
        return Step != Steps.end() && Row.second >= Step->second.Attempts_;
      });
}

/// Applies the events in order and collects violations of job-kept.
struct JobKeptChecker {
  const History &Run_;
  const Bounds &Limits_;
  std::map<StepKey, StepDeclared> Steps_;
  std::map<std::string, JobObservations> Jobs_;
  Violations Found_;

  void add(std::string Message, std::vector<std::size_t> Events) {
    Found_.push_back({"job-kept", std::move(Message), std::move(Events)});
  }

  void applyReportedState(std::size_t Index, const JobShown &Reported) {
    JobObservations &Observed = Jobs_[Reported.Job_];
    Observed.ReportedStates_[Run_.Events_[Index].Process_] = Reported.State_;
    if (!Observed.SubmitIndex_ && !Reported.State_.empty())
      add("job " + Reported.Job_ + " is reported but was never submitted",
          {Index});
    if (Reported.State_.empty() && Observed.AcceptIndex_ &&
        !Observed.CancelIndex_ &&
        timeBetween(Run_, *Observed.AcceptIndex_, Index) > Limits_.Visible_)
      add("accepted job " + Reported.Job_ + " is reported as unknown", {Index});
    if (Reported.State_ == "failed" && !mayHaveFailed(Steps_, Observed))
      add("job " + Reported.Job_ +
              " is reported as failed, but no task exhausted its attempts",
          {Index});
    if (Reported.State_ == "cancelled" && !Observed.CancelIndex_)
      add("job " + Reported.Job_ +
              " is reported as cancelled, but no caller requested it",
          {Index});
  }

  void applyEvent(std::size_t Index, const EventBody &Body) {
    if (const auto *Submitted = std::get_if<JobSubmitted>(&Body))
      Jobs_[Submitted->Job_].SubmitIndex_ = Index;
    else if (const auto *Accepted = std::get_if<JobAccepted>(&Body))
      Jobs_[Accepted->Job_].AcceptIndex_ = Index;
    else if (const auto *Cancel = std::get_if<JobCancelSent>(&Body))
      Jobs_[Cancel->Job_].CancelIndex_ = Index;
    else if (const auto *Reported = std::get_if<JobShown>(&Body))
      applyReportedState(Index, *Reported);
    else if (const auto *End = std::get_if<RunEnded>(&Body))
      Jobs_[End->Id_.Job_].Failures_[taskKeyOf(End->Id_)] +=
          End->How_ == "failed";
  }

  void checkFinalStates() {
    for (const auto &[Job, Observed] : Jobs_) {
      if (!Observed.AcceptIndex_)
        continue;
      if (Observed.ReportedStates_.empty())
        add("accepted job " + Job + " is never reported",
            {*Observed.AcceptIndex_});
      for (const auto &[Process, State] : Observed.ReportedStates_)
        if (State != "completed" && State != "failed" && State != "cancelled")
          add("accepted job " + Job + " has not ended: " + Process +
                  " last reported it as '" + State + "'",
              {*Observed.AcceptIndex_});
    }
  }
};

} // namespace

Violations checkJobKept(const History &Run, const Bounds &Limits) {
  JobKeptChecker Checker{Run, Limits, declaredSteps(Run), {}, {}};
  for (std::size_t I = 0; I < Run.Events_.size(); ++I)
    Checker.applyEvent(I, Run.Events_[I].Body_);
  if (Run.Complete_)
    Checker.checkFinalStates();
  return std::move(Checker.Found_);
}

Violations checkJobShown(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  CompletedTasks Completed;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    recordCompletion(Completed, Run.Events_[I].Body_);
    const auto *Reported = std::get_if<JobShown>(&Run.Events_[I].Body_);
    if (!Reported || Reported->State_ != "completed")
      continue;
    for (auto It = Steps.lower_bound({Reported->Job_, 0});
         It != Steps.end() && It->first.first == Reported->Job_; ++It)
      if (!isStepComplete(Completed, It->second))
        Found.push_back({"job-shown",
                         "job " + Reported->Job_ +
                             " is reported as completed before step " +
                             std::to_string(It->second.Step_) + " is done",
                         {I}});
  }
  return Found;
}

namespace {

/// Adds a violation for each task that starts or still runs after the bounds
/// that follow the cancellation of its job.
void checkCancelled(const History &Run, const Bounds &Limits,
                    Violations &Found) {
  std::map<std::string, std::size_t> Cancelled;
  ActiveRuns Active;
  std::set<RunKey> LateRuns;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Cancel = std::get_if<JobCancelled>(&Body))
      Cancelled.emplace(Cancel->Job_, I);
    if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      auto Since = Cancelled.find(Start->Id_.Job_);
      if (Start->Late_)
        LateRuns.insert(runKeyOf(Start->Id_, Start->Worker_));
      else if (Since != Cancelled.end() &&
               timeBetween(Run, Since->second, I) > Limits.Cancel_)
        Found.push_back({"start-asked",
                         "task " + taskName(Start->Id_) +
                             " starts after its job was cancelled",
                         {Since->second, I}});
    }
    if (const auto *End = std::get_if<RunEnded>(&Body)) {
      auto Since = Cancelled.find(End->Id_.Job_);
      if (Since != Cancelled.end() &&
          !LateRuns.count(runKeyOf(End->Id_, End->Worker_)) &&
          timeBetween(Run, Since->second, I) > Limits.Cancel_ + Limits.Stop_)
        Found.push_back({"start-asked",
                         "task " + taskName(End->Id_) +
                             " kept running after its job was cancelled",
                         {Since->second, I}});
    }
    Active.applyEvent(I, Body);
  }
  const std::size_t Last = Run.Events_.size() - 1;
  for (const ActiveRuns::Entry &Each : Active.runs()) {
    auto Since = Cancelled.find(Each.Id_.Job_);
    if (Since != Cancelled.end() &&
        !LateRuns.count(runKeyOf(Each.Id_, Each.Worker_)) &&
        timeBetween(Run, Since->second, Last) > Limits.Cancel_ + Limits.Stop_)
      Found.push_back({"start-asked",
                       "task " + taskName(Each.Id_) +
                           " still runs after its job was cancelled",
                       {Since->second, Each.StartIndex_}});
  }
}

} // namespace

Violations checkStartAsked(const History &Run, const Bounds &Limits) {
  Violations Found;
  std::map<std::string, JobObservations> Jobs;
  forEachEvent<JobSubmitted>(
      Run, [&](std::size_t Index, const JobSubmitted &Submitted) {
        JobObservations &Observed = Jobs[Submitted.Job_];
        ++Observed.SubmitCount_;
        if (!Observed.SubmitIndex_)
          Observed.SubmitIndex_ = Index;
      });
  forEachEvent<JobRefused>(Run, [&](std::size_t, const JobRefused &Refusal) {
    ++Jobs[Refusal.Job_].RefusalCount_;
  });
  forEachEvent<RunStarted>(
      Run, [&](std::size_t Index, const RunStarted &Start) {
        const JobObservations &Observed = Jobs[Start.Id_.Job_];
        if (!Observed.SubmitIndex_ || *Observed.SubmitIndex_ > Index)
          Found.push_back({"start-asked",
                           "task " + taskName(Start.Id_) +
                               " starts before its job was submitted",
                           {Index}});
        else if (Observed.RefusalCount_ >= Observed.SubmitCount_)
          Found.push_back({"start-asked",
                           "task " + taskName(Start.Id_) +
                               " starts although its job was refused",
                           {*Observed.SubmitIndex_, Index}});
      });
  if (!Run.Events_.empty())
    checkCancelled(Run, Limits, Found);
  return Found;
}

} // namespace nutmegwell::history
