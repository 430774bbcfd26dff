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
/// Identifies a run on the worker that executes it.
using RunKey = std::tuple<TaskKey, std::uint64_t, std::string>;

inline TaskKey taskKeyOf(const SiteRun &Id) {
  return {Id.Job_, Id.Step_, Id.Task_};
}

inline RunKey runKeyOf(const SiteRun &Id, const std::string &Worker) {
  return {taskKeyOf(Id), Id.Run_, Worker};
}

inline std::string taskName(const TaskKey &Key) {
  return std::get<0>(Key) + "." + std::to_string(std::get<1>(Key)) + "." +
         std::to_string(std::get<2>(Key));
}

inline std::string taskName(const SiteRun &Id) {
  return taskName(taskKeyOf(Id));
}

/// Returns the declared steps of all jobs.
std::map<StepKey, StepDeclared> declaredSteps(const History &Run);

/// Returns the indices of the RunEnded events that were acknowledged to the
/// worker incarnation that reported them, before its leases expired.
std::set<std::size_t> acknowledgedEnds(const History &Run);

/// Tracks which runs are active while the events are applied in order.
class ActiveRuns {
public:
  struct Entry {
    SiteRun Id_;
    std::string Worker_;
    std::uint32_t Accelerators_ = 0;
    /// Index of the RunStarted event.
    std::size_t StartIndex_ = 0;
  };

  /// Applies the event at \p Index. A started run is active from its own start
  /// event on.
  void applyEvent(std::size_t Index, const EventBody &Body) {
    if (const auto *Start = std::get_if<RunStarted>(&Body)) {
      Runs_.push_back(
          {Start->Id_, Start->Worker_, Start->Accelerators_, Index});
    } else if (const auto *End = std::get_if<RunEnded>(&Body)) {
      remove([&](const Entry &Each) {
        return runKeyOf(Each.Id_, Each.Worker_) ==
               runKeyOf(End->Id_, End->Worker_);
      });
    } else if (const auto *Incarnation = std::get_if<WorkerBorn>(&Body)) {
      remove([&](const Entry &Each) {
        return Each.Worker_ == Incarnation->Worker_;
      });
    }
  }

  const std::vector<Entry> &runs() const { return Runs_; }

private:
  template <typename Predicate> void remove(Predicate Matches) {
    Runs_.erase(std::remove_if(Runs_.begin(), Runs_.end(), Matches),
                Runs_.end());
  }

  std::vector<Entry> Runs_;
};

/// Tasks of each step of which a run ended with "done".
using CompletedTasks = std::map<StepKey, std::set<std::uint32_t>>;

inline void recordCompletion(CompletedTasks &Completed, const EventBody &Body) {
  const auto *End = std::get_if<RunEnded>(&Body);
  if (End && End->How_ == "done")
    Completed[{End->Id_.Job_, End->Id_.Step_}].insert(End->Id_.Task_);
}

inline bool isStepComplete(const CompletedTasks &Completed,
                           const StepDeclared &Step) {
  auto It = Completed.find({Step.Job_, Step.Step_});
  return It != Completed.end() && It->second.size() >= Step.Tasks_;
}

} // namespace nutmegwell::history
