#include "nutmegwell/history/rules.h"
#include "select.h"
#include "siteruns.h"
#include <optional>

namespace nutmegwell::history {

namespace {

/// What the callers and the workers know of one job.
struct JobStory {
  std::size_t Attempts_ = 0;
  std::size_t Refused_ = 0;
  std::optional<std::size_t> Submitted_;
  std::optional<std::size_t> Accepted_;
  std::optional<std::size_t> CancelSent_;
  /// Last state that each process showed.
  std::map<std::string, std::string> Shown_;
  /// Ends "failed" by task.
  std::map<TaskKey, std::uint32_t> Failures_;
};

bool mayHaveFailed(const std::map<StepKey, StepDeclared> &Steps,
                   const JobStory &Story) {
  return std::any_of(
      Story.Failures_.begin(), Story.Failures_.end(), [&](const auto &Row) {
        auto Step =
            Steps.find({std::get<0>(Row.first), std::get<1>(Row.first)});
        return Step != Steps.end() && Row.second >= Step->second.Attempts_;
      });
}

/// Walks the events in order and collects breaks of job-kept.
struct JobKeptWalk {
  const History &Run_;
  const Bounds &Limits_;
  std::map<StepKey, StepDeclared> Steps_;
  std::map<std::string, JobStory> Jobs_;
  Violations Found_;

  void add(std::string Message, std::vector<std::size_t> Events) {
    Found_.push_back({"job-kept", std::move(Message), std::move(Events)});
  }

  void show(std::size_t Index, const JobShown &Shown) {
    JobStory &Story = Jobs_[Shown.Job_];
    Story.Shown_[Run_.Events_[Index].Process_] = Shown.State_;
    if (!Story.Submitted_ && !Shown.State_.empty())
      add("job " + Shown.Job_ + " is shown and was never submitted", {Index});
    if (Shown.State_.empty() && Story.Accepted_ && !Story.CancelSent_ &&
        between(Run_, *Story.Accepted_, Index) > Limits_.Visible_)
      add("accepted job " + Shown.Job_ + " is not known", {Index});
    if (Shown.State_ == "failed" && !mayHaveFailed(Steps_, Story))
      add("job " + Shown.Job_ + " is shown as failed without a cause", {Index});
    if (Shown.State_ == "cancelled" && !Story.CancelSent_)
      add("job " + Shown.Job_ + " is shown as cancelled without a cause",
          {Index});
  }

  void take(std::size_t Index, const EventBody &Body) {
    if (const auto *Sent = std::get_if<JobSubmitted>(&Body))
      Jobs_[Sent->Job_].Submitted_ = Index;
    else if (const auto *Taken = std::get_if<JobAccepted>(&Body))
      Jobs_[Taken->Job_].Accepted_ = Index;
    else if (const auto *Gone = std::get_if<JobCancelSent>(&Body))
      Jobs_[Gone->Job_].CancelSent_ = Index;
    else if (const auto *Shown = std::get_if<JobShown>(&Body))
      show(Index, *Shown);
    else if (const auto *End = std::get_if<RunEnded>(&Body))
      Jobs_[End->Id_.Job_].Failures_[taskOf(End->Id_)] += End->How_ == "failed";
  }

  void finish() {
    for (const auto &[Job, Story] : Jobs_) {
      if (!Story.Accepted_)
        continue;
      if (Story.Shown_.empty())
        add("accepted job " + Job + " is never shown", {*Story.Accepted_});
      for (const auto &[Process, State] : Story.Shown_)
        if (State != "completed" && State != "failed" && State != "cancelled")
          add("accepted job " + Job + " has not ended; " + Process +
                  " shows it last as '" + State + "'",
              {*Story.Accepted_});
    }
  }
};

} // namespace

Violations checkJobKept(const History &Run, const Bounds &Limits) {
  JobKeptWalk Walk{Run, Limits, declaredSteps(Run), {}, {}};
  for (std::size_t I = 0; I < Run.Events_.size(); ++I)
    Walk.take(I, Run.Events_[I].Body_);
  if (Run.Complete_)
    Walk.finish();
  return std::move(Walk.Found_);
}

Violations checkJobShown(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  DoneTasks Done;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    takeDone(Done, Run.Events_[I].Body_);
    const auto *Shown = std::get_if<JobShown>(&Run.Events_[I].Body_);
    if (!Shown || Shown->State_ != "completed")
      continue;
    for (auto It = Steps.lower_bound({Shown->Job_, 0});
         It != Steps.end() && It->first.first == Shown->Job_; ++It)
      if (!isDone(Done, It->second))
        Found.push_back({"job-shown",
                         "job " + Shown->Job_ +
                             " is shown as completed before step " +
                             std::to_string(It->second.Step_) + " is done",
                         {I}});
  }
  return Found;
}

namespace {

/// Adds starts and runs of jobs beyond the bounds of their cancellation.
void checkCancelled(const History &Run, const Bounds &Limits,
                    Violations &Found) {
  std::map<std::string, std::size_t> Cancelled;
  OpenRuns Open;
  std::set<RunKey> Late;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Gone = std::get_if<JobCancelled>(&Body))
      Cancelled.emplace(Gone->Job_, I);
    if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      auto Since = Cancelled.find(Start->Id_.Job_);
      if (Start->Late_)
        Late.insert(keyOf(Start->Id_, Start->Worker_));
      else if (Since != Cancelled.end() &&
               between(Run, Since->second, I) > Limits.Cancel_)
        Found.push_back(
            {"start-asked",
             "task " + name(Start->Id_) + " starts after its job was cancelled",
             {Since->second, I}});
    }
    if (const auto *End = std::get_if<RunEnded>(&Body)) {
      auto Since = Cancelled.find(End->Id_.Job_);
      if (Since != Cancelled.end() &&
          !Late.count(keyOf(End->Id_, End->Worker_)) &&
          between(Run, Since->second, I) > Limits.Cancel_ + Limits.Stop_)
        Found.push_back(
            {"start-asked",
             "task " + name(End->Id_) + " ran on after its job was cancelled",
             {Since->second, I}});
    }
    Open.take(I, Body);
  }
  const std::size_t Last = Run.Events_.size() - 1;
  for (const OpenRuns::Open &Each : Open.all()) {
    auto Since = Cancelled.find(Each.Id_.Job_);
    if (Since != Cancelled.end() &&
        !Late.count(keyOf(Each.Id_, Each.Worker_)) &&
        between(Run, Since->second, Last) > Limits.Cancel_ + Limits.Stop_)
      Found.push_back(
          {"start-asked",
           "task " + name(Each.Id_) + " runs on after its job was cancelled",
           {Since->second, Each.Since_}});
  }
}

} // namespace

Violations checkStartAsked(const History &Run, const Bounds &Limits) {
  Violations Found;
  std::map<std::string, JobStory> Jobs;
  forEach<JobSubmitted>(Run, [&](std::size_t Index, const JobSubmitted &Sent) {
    JobStory &Story = Jobs[Sent.Job_];
    ++Story.Attempts_;
    if (!Story.Submitted_)
      Story.Submitted_ = Index;
  });
  forEach<JobRefused>(Run, [&](std::size_t, const JobRefused &Answer) {
    ++Jobs[Answer.Job_].Refused_;
  });
  forEach<RunStarted>(Run, [&](std::size_t Index, const RunStarted &Start) {
    const JobStory &Story = Jobs[Start.Id_.Job_];
    if (!Story.Submitted_ || *Story.Submitted_ > Index)
      Found.push_back(
          {"start-asked",
           "task " + name(Start.Id_) + " starts and its job was not submitted",
           {Index}});
    else if (Story.Refused_ >= Story.Attempts_)
      Found.push_back(
          {"start-asked",
           "task " + name(Start.Id_) + " starts and its job was refused",
           {*Story.Submitted_, Index}});
  });
  if (!Run.Events_.empty())
    checkCancelled(Run, Limits, Found);
  return Found;
}

} // namespace nutmegwell::history
