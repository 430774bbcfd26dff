#include "activeruns.h"
#include "eventaccess.h"
#include "nutmegwell/history/rules.h"

namespace nutmegwell::history {

std::map<StepKey, StepDeclared> declaredSteps(const History &Run) {
  std::map<StepKey, StepDeclared> Steps;
  forEachEvent<StepDeclared>(Run, [&](std::size_t, const StepDeclared &Step) {
    Steps.emplace(StepKey{Step.Job_, Step.Step_}, Step);
  });
  return Steps;
}

std::set<std::size_t> acknowledgedEnds(const History &Run) {
  std::set<std::size_t> Acknowledged;
  std::map<RunKey, std::size_t> PendingEnds;
  auto ForgetWorker = [&](const std::string &Worker) {
    for (auto It = PendingEnds.begin(); It != PendingEnds.end();)
      It = std::get<2>(It->first) == Worker ? PendingEnds.erase(It)
                                            : std::next(It);
  };
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *End = std::get_if<RunEnded>(&Body)) {
      PendingEnds[runKeyOf(End->Id_, End->Worker_)] = I;
    } else if (const auto *Acknowledgement = std::get_if<RunEndNoted>(&Body)) {
      auto It = PendingEnds.find(
          runKeyOf(Acknowledgement->Id_, Acknowledgement->Worker_));
      if (It != PendingEnds.end())
        Acknowledged.insert(It->second);
    } else if (const auto *Incarnation = std::get_if<WorkerBorn>(&Body)) {
      ForgetWorker(Incarnation->Worker_);
    } else if (const auto *Lapsed = std::get_if<WorkerLapsed>(&Body)) {
      ForgetWorker(Lapsed->Worker_);
    }
  }
  return Acknowledged;
}

Violations checkTaskOnce(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  const auto Acknowledged = acknowledgedEnds(Run);
  ActiveRuns Active;
  std::map<TaskKey, std::size_t> Completed;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    const auto *End = std::get_if<RunEnded>(&Body);
    if (End && End->How_ == "done" && Acknowledged.count(I))
      Completed.emplace(taskKeyOf(End->Id_), I);
    if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      auto Step = Steps.find({Start->Id_.Job_, Start->Id_.Step_});
      const bool AllowsCopies =
          Step != Steps.end() && Step->second.Speculative_;
      for (const ActiveRuns::Entry &Other : Active.runs())
        if (!AllowsCopies && taskKeyOf(Other.Id_) == taskKeyOf(Start->Id_))
          Found.push_back({"task-once",
                           "task " + taskName(Start->Id_) + " starts on " +
                               Start->Worker_ + " while it still runs on " +
                               Other.Worker_,
                           {Other.StartIndex_, I}});
      auto PreviousEnd = Completed.find(taskKeyOf(Start->Id_));
      if (!AllowsCopies && PreviousEnd != Completed.end())
        Found.push_back({"task-once",
                         "task " + taskName(Start->Id_) +
                             " starts after a run of it was done",
                         {PreviousEnd->second, I}});
    }
    Active.applyEvent(I, Body);
  }
  return Found;
}

Violations checkStepOrder(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  std::multimap<StepKey, std::uint32_t> Needs;
  forEachEvent<StepNeeds>(Run, [&](std::size_t, const StepNeeds &Each) {
    Needs.emplace(StepKey{Each.Job_, Each.Step_}, Each.Needed_);
  });
  CompletedTasks Completed;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    recordCompletion(Completed, Run.Events_[I].Body_);
    const auto *Start = std::get_if<RunStarted>(&Run.Events_[I].Body_);
    if (!Start)
      continue;
    auto [Need, Last] = Needs.equal_range({Start->Id_.Job_, Start->Id_.Step_});
    for (; Need != Last; ++Need) {
      auto Step = Steps.find({Start->Id_.Job_, Need->second});
      if (Step == Steps.end() || !isStepComplete(Completed, Step->second))
        Found.push_back({"step-order",
                         "task " + taskName(Start->Id_) +
                             " starts before step " +
                             std::to_string(Need->second) + " is done",
                         {I}});
    }
  }
  return Found;
}

Violations checkAttemptBudget(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  const auto Acknowledged = acknowledgedEnds(Run);
  std::map<TaskKey, std::uint32_t> Failures;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    const auto *End = std::get_if<RunEnded>(&Body);
    if (End && End->How_ == "failed" && Acknowledged.count(I))
      ++Failures[taskKeyOf(End->Id_)];
    const auto *Start = std::get_if<RunStarted>(&Body);
    if (!Start)
      continue;
    auto Step = Steps.find({Start->Id_.Job_, Start->Id_.Step_});
    if (Step != Steps.end() &&
        Failures[taskKeyOf(Start->Id_)] >= Step->second.Attempts_)
      Found.push_back({"attempt-budget",
                       "task " + taskName(Start->Id_) + " starts after " +
                           std::to_string(Step->second.Attempts_) + " failures",
                       {I}});
  }
  return Found;
}

Violations checkWorkerDrain(const History &Run, const Bounds &Limits) {
  Violations Found;
  std::map<std::string, std::size_t> Draining;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Acknowledgement = std::get_if<WorkerDrainNoted>(&Body))
      Draining.emplace(Acknowledgement->Worker_, I);
    else if (const auto *Incarnation = std::get_if<WorkerBorn>(&Body))
      Draining.erase(Incarnation->Worker_);
    const auto *Start = std::get_if<RunStarted>(&Body);
    if (!Start || Start->Late_)
      continue;
    auto Since = Draining.find(Start->Worker_);
    if (Since != Draining.end() &&
        timeBetween(Run, Since->second, I) > Limits.WorkerDrain_)
      Found.push_back({"worker-drain",
                       "task " + taskName(Start->Id_) + " starts on " +
                           Start->Worker_ + ", which is draining",
                       {Since->second, I}});
  }
  return Found;
}

Violations checkWorkerRoom(const History &Run, const Bounds &) {
  Violations Found;
  std::map<std::string, std::uint32_t> Capacity;
  ActiveRuns Active;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Incarnation = std::get_if<WorkerBorn>(&Body))
      Capacity[Incarnation->Worker_] = Incarnation->Accelerators_;
    Active.applyEvent(I, Body);
    const auto *Start = std::get_if<RunStarted>(&Body);
    if (!Start)
      continue;
    std::uint64_t Used = 0;
    for (const ActiveRuns::Entry &Each : Active.runs())
      Used += Each.Worker_ == Start->Worker_ ? Each.Accelerators_ : 0;
    if (Used > Capacity[Start->Worker_])
      Found.push_back({"worker-room",
                       "task " + taskName(Start->Id_) + " raises the use of " +
                           Start->Worker_ + " to " + std::to_string(Used) +
                           " of " + std::to_string(Capacity[Start->Worker_]) +
                           " accelerators",
                       {I}});
  }
  return Found;
}

Violations checkOneHolder(const History &Run, const Bounds &) {
  Violations Found;
  std::map<std::uint64_t, std::size_t> TermStarts;
  std::map<std::string, std::size_t> LatestStarts;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *TermStart = std::get_if<TenureBegun>(&Body)) {
      auto [It, New] = TermStarts.emplace(TermStart->Term_, I);
      if (!New)
        Found.push_back(
            {"one-holder",
             "term " + std::to_string(TermStart->Term_) + " has two holders",
             {It->second, I}});
    } else if (const auto *Incarnation = std::get_if<WorkerBorn>(&Body)) {
      LatestStarts.erase(Incarnation->Worker_);
    } else if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      auto [It, New] = LatestStarts.emplace(Start->Worker_, I);
      if (bodyAt<RunStarted>(Run, It->second).Term_ > Start->Term_)
        Found.push_back({"one-holder",
                         Start->Worker_ + " accepts a start of term " +
                             std::to_string(Start->Term_) +
                             " after one of a higher term",
                         {It->second, I}});
      else
        It->second = I;
    }
  }
  return Found;
}

Violations checkSite(const History &Run, const Bounds &Limits) {
  Violations All;
  for (auto *Check :
       {checkJobKept, checkJobShown, checkTaskOnce, checkStepOrder,
        checkAttemptBudget, checkStartAsked, checkWorkerDrain, checkWorkerRoom,
        checkOneHolder, checkDomainOut}) {
    Violations Found = Check(Run, Limits);
    All.insert(All.end(), Found.begin(), Found.end());
  }
  return All;
}

} // namespace nutmegwell::history
