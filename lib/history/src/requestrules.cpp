#include "eventaccess.h"
#include "nutmegwell/history/rules.h"
#include <map>
#include <optional>

namespace nutmegwell::history {

namespace {

/// Indices of the events of one call.
struct CallEvents {
  std::optional<std::size_t> InvokeIndex_;
  /// Indices of its CallAnswered, CallRefused and CallUnknown events.
  std::vector<std::size_t> EndIndices_;
};

std::map<std::string, CallEvents> collectCalls(const History &Run) {
  std::map<std::string, CallEvents> Calls;
  forEachEvent<CallInvoked>(Run, [&](std::size_t I, const CallInvoked &E) {
    Calls[E.Call_].InvokeIndex_ = I;
  });
  auto AddEnd = [&](std::size_t I, const auto &E) {
    Calls[E.Call_].EndIndices_.push_back(I);
  };
  forEachEvent<CallAnswered>(Run, AddEnd);
  forEachEvent<CallRefused>(Run, AddEnd);
  forEachEvent<CallUnknown>(Run, AddEnd);
  return Calls;
}

/// Returns \p Work, or \p Call when the call names no work of its own.
const std::string &workIdOf(const std::string &Work, const std::string &Call) {
  return Work.empty() ? Call : Work;
}

/// Returns the indices of the ExecutionBegun events by work.
std::map<std::string, std::vector<std::size_t>>
collectExecutions(const History &Run) {
  std::map<std::string, std::vector<std::size_t>> Executions;
  forEachEvent<ExecutionBegun>(
      Run, [&](std::size_t I, const ExecutionBegun &E) {
        Executions[workIdOf(E.Work_, E.Call_)].push_back(I);
      });
  return Executions;
}

} // namespace

Violations checkOwnAnswer(const History &Run, const Bounds &) {
  constexpr char Rule[] = "own-answer";
  Violations Found;
  const auto Calls = collectCalls(Run);
  const auto Executions = collectExecutions(Run);
  for (const auto &[Id, Events] : Calls) {
    if (!Events.InvokeIndex_) {
      Found.push_back({Rule,
                       "call " + Id + " has an outcome but was never sent",
                       Events.EndIndices_});
      continue;
    }
    const auto &Invoked = bodyAt<CallInvoked>(Run, *Events.InvokeIndex_);
    if (Events.EndIndices_.size() > 1)
      Found.push_back({Rule, "call " + Id + " has more than one outcome",
                       Events.EndIndices_});
    if (Events.EndIndices_.empty() && Run.Complete_)
      Found.push_back(
          {Rule, "call " + Id + " has no outcome", {*Events.InvokeIndex_}});
    for (std::size_t End : Events.EndIndices_) {
      const auto *Answer = std::get_if<CallAnswered>(&Run.Events_[End].Body_);
      if (!Answer)
        continue;
      bool Matches = false;
      auto WorkExecutions = Executions.find(workIdOf(Invoked.Work_, Id));
      if (WorkExecutions != Executions.end())
        for (std::size_t I : WorkExecutions->second)
          Matches |= I < End &&
                     bodyAt<ExecutionBegun>(Run, I).Digest_ == Answer->Digest_;
      if (!Matches)
        Found.push_back(
            {Rule,
             "call " + Id + " got a response that no execution of it produced",
             {*Events.InvokeIndex_, End}});
    }
  }
  return Found;
}

Violations checkTrueRefusal(const History &Run, const Bounds &) {
  Violations Found;
  std::map<std::string, std::size_t> Refused;
  forEachEvent<CallRefused>(
      Run, [&](std::size_t I, const CallRefused &E) { Refused[E.Call_] = I; });
  forEachEvent<ExecutionBegun>(Run, [&](std::size_t I,
                                        const ExecutionBegun &E) {
    auto Refusal = Refused.find(E.Call_);
    if (Refusal != Refused.end())
      Found.push_back({"true-refusal",
                       "call " + E.Call_ +
                           " was refused as not run, but an execution began",
                       {Refusal->second, I}});
  });
  return Found;
}

Violations checkAtMostOnce(const History &Run, const Bounds &) {
  Violations Found;
  const auto Executions = collectExecutions(Run);
  std::map<std::string, bool> Checked;
  forEachEvent<CallInvoked>(Run, [&](std::size_t, const CallInvoked &E) {
    const std::string &Work = workIdOf(E.Work_, E.Call_);
    auto WorkExecutions = Executions.find(Work);
    if (E.Idempotent_ || WorkExecutions == Executions.end() ||
        WorkExecutions->second.size() < 2 ||
        !Checked.emplace(Work, true).second)
      return;
    Found.push_back({"at-most-once",
                     "non-idempotent request " + Work + " ran " +
                         std::to_string(WorkExecutions->second.size()) +
                         " times",
                     WorkExecutions->second});
  });
  return Found;
}

Violations checkUpstreamLeave(const History &Run, const Bounds &Limits) {
  Violations Found;
  /// Index of the UpstreamLeaving event of each upstream that is leaving.
  std::map<std::string, std::size_t> Leaving;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Leave = std::get_if<UpstreamLeaving>(&Body))
      Leaving.emplace(Leave->Upstream_, I);
    else if (const auto *Return = std::get_if<UpstreamReturned>(&Body))
      Leaving.erase(Return->Upstream_);
    const auto *Begun = std::get_if<ExecutionBegun>(&Body);
    if (!Begun)
      continue;
    auto Since = Leaving.find(Begun->Upstream_);
    if (Since != Leaving.end() &&
        timeBetween(Run, Since->second, I) > Limits.UpstreamLeave_)
      Found.push_back(
          {"upstream-leave",
           "upstream " + Begun->Upstream_ +
               " got a new request after it announced that it leaves",
           {Since->second, I}});
  }
  return Found;
}

namespace {

/// Indices of the events of one planned stop of a process.
struct PlannedStop {
  std::size_t BeginIndex_ = 0;
  std::optional<std::size_t> EndIndex_;
};

/// Adds a violation for each call through a stopping entry host that was
/// aborted by the stop or never ended.
void checkCallsDuringStop(const History &Run,
                          const std::map<std::string, CallEvents> &Calls,
                          const PlannedStop &Stop, Violations &Found) {
  const std::string &Process = Run.Events_[Stop.BeginIndex_].Process_;
  for (const auto &[Id, Events] : Calls) {
    if (!Events.InvokeIndex_ ||
        bodyAt<CallInvoked>(Run, *Events.InvokeIndex_).Entry_ != Process ||
        (Stop.EndIndex_ && *Events.InvokeIndex_ > *Stop.EndIndex_))
      continue;
    if (Events.EndIndices_.empty()) {
      if (Run.Complete_)
        Found.push_back({"graceful-stop",
                         "call " + Id + " has no outcome after the stop",
                         {*Events.InvokeIndex_, Stop.BeginIndex_}});
      continue;
    }
    const std::size_t End = Events.EndIndices_.front();
    const auto *Unknown = std::get_if<CallUnknown>(&Run.Events_[End].Body_);
    if (Unknown && Unknown->ConnectionLost_ && End > Stop.BeginIndex_)
      Found.push_back({"graceful-stop",
                       "call " + Id + " was aborted by the stop of " + Process,
                       {*Events.InvokeIndex_, Stop.BeginIndex_, End}});
  }
}

/// Adds a violation for each execution that still ran when its upstream's stop
/// ended.
void checkExecutionsDuringStop(const History &Run, const PlannedStop &Stop,
                               Violations &Found) {
  const std::string &Process = Run.Events_[Stop.BeginIndex_].Process_;
  std::map<std::string, std::size_t> Running;
  for (std::size_t I = 0; I < *Stop.EndIndex_; ++I) {
    const EventBody &Body = Run.Events_[I].Body_;
    if (const auto *Begun = std::get_if<ExecutionBegun>(&Body)) {
      if (Begun->Upstream_ == Process)
        Running[Begun->Call_] = I;
    } else if (const auto *Ended = std::get_if<ExecutionEnded>(&Body)) {
      if (Ended->Upstream_ == Process)
        Running.erase(Ended->Call_);
    }
  }
  for (const auto &[Id, Begun] : Running)
    Found.push_back({"graceful-stop",
                     Process + " stopped while it still ran call " + Id,
                     {Begun, *Stop.EndIndex_}});
}

} // namespace

Violations checkGracefulStop(const History &Run, const Bounds &) {
  Violations Found;
  std::vector<PlannedStop> Stops;
  std::map<std::string, std::size_t> OpenStops;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const Event &Current = Run.Events_[I];
    if (std::holds_alternative<StopBegun>(Current.Body_)) {
      OpenStops[Current.Process_] = Stops.size();
      Stops.push_back({I, std::nullopt});
    }
    const auto *Ended = std::get_if<StopEnded>(&Current.Body_);
    if (!Ended)
      continue;
    if (Ended->Cut_ > 0)
      Found.push_back({"graceful-stop",
                       Current.Process_ + " aborted " +
                           std::to_string(Ended->Cut_) + " requests",
                       {I}});
    auto OpenStop = OpenStops.find(Current.Process_);
    if (OpenStop != OpenStops.end()) {
      Stops[OpenStop->second].EndIndex_ = I;
      OpenStops.erase(OpenStop);
    }
  }
  const auto Calls = collectCalls(Run);
  for (const PlannedStop &Stop : Stops) {
    checkCallsDuringStop(Run, Calls, Stop, Found);
    if (Stop.EndIndex_)
      checkExecutionsDuringStop(Run, Stop, Found);
    else if (Run.Complete_)
      Found.push_back({"graceful-stop",
                       Run.Events_[Stop.BeginIndex_].Process_ +
                           " began to stop but never finished",
                       {Stop.BeginIndex_}});
  }
  return Found;
}

} // namespace nutmegwell::history
