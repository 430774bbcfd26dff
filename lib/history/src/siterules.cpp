#include "nutmegwell/history/rules.h"
#include "select.h"
#include "siteruns.h"

namespace nutmegwell::history {

std::map<StepKey, StepDeclared> declaredSteps(const History &Run) {
  std::map<StepKey, StepDeclared> Steps;
  forEach<StepDeclared>(Run, [&](std::size_t, const StepDeclared &Step) {
    Steps.emplace(StepKey{Step.Job_, Step.Step_}, Step);
  });
  return Steps;
}

std::set<std::size_t> notedEnds(const History &Run) {
  std::set<std::size_t> Noted;
  std::map<RunKey, std::size_t> Open;
  auto Forget = [&](const std::string &Worker) {
    for (auto It = Open.begin(); It != Open.end();)
      It = std::get<2>(It->first) == Worker ? Open.erase(It) : std::next(It);
  };
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *End = std::get_if<RunEnded>(&Body)) {
      Open[keyOf(End->Id_, End->Worker_)] = I;
    } else if (const auto *Note = std::get_if<RunEndNoted>(&Body)) {
      auto It = Open.find(keyOf(Note->Id_, Note->Worker_));
      if (It != Open.end())
        Noted.insert(It->second);
    } else if (const auto *Born = std::get_if<WorkerBorn>(&Body)) {
      Forget(Born->Worker_);
    } else if (const auto *Lapsed = std::get_if<WorkerLapsed>(&Body)) {
      Forget(Lapsed->Worker_);
    }
  }
  return Noted;
}

Violations checkTaskOnce(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  const auto Noted = notedEnds(Run);
  OpenRuns Open;
  std::map<TaskKey, std::size_t> Done;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    const auto *End = std::get_if<RunEnded>(&Body);
    if (End && End->How_ == "done" && Noted.count(I))
      Done.emplace(taskOf(End->Id_), I);
    if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      auto Step = Steps.find({Start->Id_.Job_, Start->Id_.Step_});
      const bool Copies = Step != Steps.end() && Step->second.Speculative_;
      for (const OpenRuns::Open &Other : Open.all())
        if (!Copies && taskOf(Other.Id_) == taskOf(Start->Id_))
          Found.push_back({"task-once",
                           "task " + name(Start->Id_) + " starts on " +
                               Start->Worker_ + " and runs on " + Other.Worker_,
                           {Other.Since_, I}});
      auto Before = Done.find(taskOf(Start->Id_));
      if (!Copies && Before != Done.end())
        Found.push_back({"task-once",
                         "task " + name(Start->Id_) + " starts after its end",
                         {Before->second, I}});
    }
    Open.take(I, Body);
  }
  return Found;
}

Violations checkStepOrder(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  std::multimap<StepKey, std::uint32_t> Needs;
  forEach<StepNeeds>(Run, [&](std::size_t, const StepNeeds &Each) {
    Needs.emplace(StepKey{Each.Job_, Each.Step_}, Each.Needed_);
  });
  DoneTasks Done;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    takeDone(Done, Run.Events_[I].Body_);
    const auto *Start = std::get_if<RunStarted>(&Run.Events_[I].Body_);
    if (!Start)
      continue;
    auto [Need, Last] = Needs.equal_range({Start->Id_.Job_, Start->Id_.Step_});
    for (; Need != Last; ++Need) {
      auto Step = Steps.find({Start->Id_.Job_, Need->second});
      if (Step == Steps.end() || !isDone(Done, Step->second))
        Found.push_back({"step-order",
                         "task " + name(Start->Id_) + " starts before step " +
                             std::to_string(Need->second) + " is done",
                         {I}});
    }
  }
  return Found;
}

Violations checkAttemptBudget(const History &Run, const Bounds &) {
  Violations Found;
  const auto Steps = declaredSteps(Run);
  const auto Noted = notedEnds(Run);
  std::map<TaskKey, std::uint32_t> Failures;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    const auto *End = std::get_if<RunEnded>(&Body);
    if (End && End->How_ == "failed" && Noted.count(I))
      ++Failures[taskOf(End->Id_)];
    const auto *Start = std::get_if<RunStarted>(&Body);
    if (!Start)
      continue;
    auto Step = Steps.find({Start->Id_.Job_, Start->Id_.Step_});
    if (Step != Steps.end() &&
        Failures[taskOf(Start->Id_)] >= Step->second.Attempts_)
      Found.push_back({"attempt-budget",
                       "task " + name(Start->Id_) + " starts after " +
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
    if (const auto *Note = std::get_if<WorkerDrainNoted>(&Body))
      Draining.emplace(Note->Worker_, I);
    else if (const auto *Born = std::get_if<WorkerBorn>(&Body))
      Draining.erase(Born->Worker_);
    const auto *Start = std::get_if<RunStarted>(&Body);
    if (!Start || Start->Late_)
      continue;
    auto Since = Draining.find(Start->Worker_);
    if (Since != Draining.end() &&
        between(Run, Since->second, I) > Limits.WorkerDrain_)
      Found.push_back({"worker-drain",
                       "task " + name(Start->Id_) + " starts on " +
                           Start->Worker_ + ", which leaves",
                       {Since->second, I}});
  }
  return Found;
}

Violations checkWorkerRoom(const History &Run, const Bounds &) {
  Violations Found;
  std::map<std::string, std::uint32_t> Room;
  OpenRuns Open;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Born = std::get_if<WorkerBorn>(&Body))
      Room[Born->Worker_] = Born->Accelerators_;
    Open.take(I, Body);
    const auto *Start = std::get_if<RunStarted>(&Body);
    if (!Start)
      continue;
    std::uint64_t Used = 0;
    for (const OpenRuns::Open &Each : Open.all())
      Used += Each.Worker_ == Start->Worker_ ? Each.Accelerators_ : 0;
    if (Used > Room[Start->Worker_])
      Found.push_back({"worker-room",
                       "task " + name(Start->Id_) + " brings " +
                           Start->Worker_ + " to " + std::to_string(Used) +
                           " of " + std::to_string(Room[Start->Worker_]) +
                           " accelerators",
                       {I}});
  }
  return Found;
}

Violations checkOneHolder(const History &Run, const Bounds &) {
  Violations Found;
  std::map<std::uint64_t, std::size_t> Terms;
  std::map<std::string, std::size_t> Newest;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Tenure = std::get_if<TenureBegun>(&Body)) {
      auto [It, New] = Terms.emplace(Tenure->Term_, I);
      if (!New)
        Found.push_back(
            {"one-holder",
             "term " + std::to_string(Tenure->Term_) + " has two holders",
             {It->second, I}});
    } else if (const auto *Born = std::get_if<WorkerBorn>(&Body)) {
      Newest.erase(Born->Worker_);
    } else if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      auto [It, New] = Newest.emplace(Start->Worker_, I);
      if (body<RunStarted>(Run, It->second).Term_ > Start->Term_)
        Found.push_back({"one-holder",
                         Start->Worker_ + " takes a start of term " +
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
