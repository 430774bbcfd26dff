#pragma once

#include "nutmegwell/history/rules.h"

namespace nutmegwell::history::samples {

using namespace std::chrono_literals;

/// Returns an event with \p Body that \p Process recorded at \p SinceStart.
inline Event at(core::Duration SinceStart, EventBody Body,
                std::string Process = "test") {
  return {core::TimePoint(SinceStart), std::move(Process), std::move(Body)};
}

/// Returns the events of an attempt to run a gang of two tasks, committed at
/// \p From and ended at \p To.
inline std::vector<Event> gang(const std::string &Job, std::uint32_t Attempt,
                               core::Duration From, core::Duration To) {
  return {at(From, AttemptCommitted{Job, Attempt, 2}),
          at(From + 1ms, TaskStarted{Job, Attempt, 0, "w1", "a"}),
          at(From + 2ms, TaskStarted{Job, Attempt, 1, "w2", "a"}),
          at(To - 2ms, TaskStopped{Job, Attempt, 0, false}),
          at(To - 1ms, TaskStopped{Job, Attempt, 1, false}),
          at(To, AttemptEnded{Job, Attempt})};
}

/// Returns the events of an answered call through the entry host "e1" that the
/// upstream "u1" executes. The call is idempotent when \p Work is empty.
inline std::vector<Event> call(const std::string &Id, const std::string &Work,
                               core::Duration From, core::Duration To) {
  return {at(From, CallInvoked{Id, Work, "e1", Work.empty()}),
          at(From + 1ms, ExecutionBegun{Id, Work, "u1", "digest " + Id}),
          at(To - 1ms, ExecutionEnded{Id, "u1"}),
          at(To, CallAnswered{Id, "digest " + Id})};
}

/// Returns the events of \p A followed by those of \p B.
inline std::vector<Event> operator+(std::vector<Event> A,
                                    const std::vector<Event> &B) {
  A.insert(A.end(), B.begin(), B.end());
  return A;
}

} // namespace nutmegwell::history::samples
