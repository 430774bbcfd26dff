#pragma once

#include "nutmegwell/history/event.h"
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace nutmegwell::history {

using TaskKey = std::tuple<std::string, std::uint32_t, std::uint32_t>;
using StepKey = std::pair<std::string, std::uint32_t>;
/// A run on the worker that has it.
using RunKey = std::tuple<TaskKey, std::uint64_t, std::string>;

inline TaskKey taskOf(const SiteRun &Id) {
  return {Id.Job_, Id.Step_, Id.Task_};
}

inline RunKey keyOf(const SiteRun &Id, const std::string &Worker) {
  return {taskOf(Id), Id.Run_, Worker};
}

inline std::string name(const TaskKey &Key) {
  return std::get<0>(Key) + "." + std::to_string(std::get<1>(Key)) + "." +
         std::to_string(std::get<2>(Key));
}

inline std::string name(const SiteRun &Id) { return name(taskOf(Id)); }

/// Returns the steps of all jobs.
std::map<StepKey, StepDeclared> declaredSteps(const History &Run);

/// Returns the indices of the ends that were noted while the incarnation lived
/// that listed them, and before its leases lapsed.
std::set<std::size_t> notedEnds(const History &Run);

/// Runs at work while the events are walked in order.
class OpenRuns {
public:
  struct Open {
    SiteRun Id_;
    std::string Worker_;
    std::uint32_t Accelerators_ = 0;
    std::size_t Since_ = 0;
  };

  /// Takes the event at \p Index; a start counts from then on.
  void take(std::size_t Index, const EventBody &Body) {
    if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      Runs_.push_back(
          {Start->Id_, Start->Worker_, Start->Accelerators_, Index});
    } else if (const auto *End = std::get_if<RunEnded>(&Body)) {
      remove([&](const Open &Each) {
        return keyOf(Each.Id_, Each.Worker_) == keyOf(End->Id_, End->Worker_);
      });
    } else if (const auto *Born = std::get_if<WorkerBorn>(&Body)) {
      remove([&](const Open &Each) { return Each.Worker_ == Born->Worker_; });
    }
  }

  const std::vector<Open> &all() const { return Runs_; }

private:
  template <typename Predicate> void remove(Predicate Matches) {
    Runs_.erase(std::remove_if(Runs_.begin(), Runs_.end(), Matches),
                Runs_.end());
  }

  std::vector<Open> Runs_;
};

/// Tasks of each step that have a done end.
using DoneTasks = std::map<StepKey, std::set<std::uint32_t>>;

inline void takeDone(DoneTasks &Done, const EventBody &Body) {
  const auto *End = std::get_if<RunEnded>(&Body);
  if (End && End->How_ == "done")
    Done[{End->Id_.Job_, End->Id_.Step_}].insert(End->Id_.Task_);
}

inline bool isDone(const DoneTasks &Done, const StepDeclared &Step) {
  auto It = Done.find({Step.Job_, Step.Step_});
  return It != Done.end() && It->second.size() >= Step.Tasks_;
}

} // namespace nutmegwell::history
