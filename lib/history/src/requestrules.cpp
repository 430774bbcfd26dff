#include "nutmegwell/history/rules.h"
#include "select.h"
#include <map>
#include <optional>

namespace nutmegwell::history {

namespace {

/// What became of one call.
struct Call {
  std::optional<std::size_t> Invoked_;
  /// Indices of its CallAnswered, CallRefused and CallUnknown events.
  std::vector<std::size_t> Ends_;
};

std::map<std::string, Call> collectCalls(const History &Run) {
  std::map<std::string, Call> Calls;
  forEach<CallInvoked>(Run, [&](std::size_t I, const CallInvoked &E) {
    Calls[E.Call_].Invoked_ = I;
  });
  auto AddEnd = [&](std::size_t I, const auto &E) {
    Calls[E.Call_].Ends_.push_back(I);
  };
  forEach<CallAnswered>(Run, AddEnd);
  forEach<CallRefused>(Run, AddEnd);
  forEach<CallUnknown>(Run, AddEnd);
  return Calls;
}

const std::string &workOf(const std::string &Work, const std::string &Call) {
  return Work.empty() ? Call : Work;
}

/// Indices of the executions of each piece of work.
std::map<std::string, std::vector<std::size_t>>
collectExecutions(const History &Run) {
  std::map<std::string, std::vector<std::size_t>> Executions;
  forEach<ExecutionBegun>(Run, [&](std::size_t I, const ExecutionBegun &E) {
    Executions[workOf(E.Work_, E.Call_)].push_back(I);
  });
  return Executions;
}

} // namespace

Violations checkOwnAnswer(const History &Run, const Bounds &) {
  constexpr char Rule[] = "own-answer";
  Violations Found;
  const auto Calls = collectCalls(Run);
  const auto Executions = collectExecutions(Run);
  for (const auto &[Id, Known] : Calls) {
    if (!Known.Invoked_) {
      Found.push_back(
          {Rule, "call " + Id + " has an end but was not made", Known.Ends_});
      continue;
    }
    const auto &Invoked = body<CallInvoked>(Run, *Known.Invoked_);
    if (Known.Ends_.size() > 1)
      Found.push_back(
          {Rule, "call " + Id + " ended more than once", Known.Ends_});
    if (Known.Ends_.empty() && Run.Complete_)
      Found.push_back({Rule, "call " + Id + " has no end", {*Known.Invoked_}});
    for (std::size_t End : Known.Ends_) {
      const auto *Answer = std::get_if<CallAnswered>(&Run.Events_[End].Body_);
      if (!Answer)
        continue;
      bool Own = false;
      auto Ran = Executions.find(workOf(Invoked.Work_, Id));
      if (Ran != Executions.end())
        for (std::size_t I : Ran->second)
          Own |= I < End &&
                 body<ExecutionBegun>(Run, I).Digest_ == Answer->Digest_;
      if (!Own)
        Found.push_back(
            {Rule,
             "call " + Id + " got an answer that no execution of it gave",
             {*Known.Invoked_, End}});
    }
  }
  return Found;
}

Violations checkTrueRefusal(const History &Run, const Bounds &) {
  Violations Found;
  std::map<std::string, std::size_t> Refused;
  forEach<CallRefused>(
      Run, [&](std::size_t I, const CallRefused &E) { Refused[E.Call_] = I; });
  forEach<ExecutionBegun>(Run, [&](std::size_t I, const ExecutionBegun &E) {
    auto Said = Refused.find(E.Call_);
    if (Said != Refused.end())
      Found.push_back({"true-refusal",
                       "call " + E.Call_ + " was refused as not run, but ran",
                       {Said->second, I}});
  });
  return Found;
}

Violations checkAtMostOnce(const History &Run, const Bounds &) {
  Violations Found;
  const auto Executions = collectExecutions(Run);
  std::map<std::string, bool> Checked;
  forEach<CallInvoked>(Run, [&](std::size_t, const CallInvoked &E) {
    const std::string &Work = workOf(E.Work_, E.Call_);
    auto Ran = Executions.find(Work);
    if (E.Idempotent_ || Ran == Executions.end() || Ran->second.size() < 2 ||
        !Checked.emplace(Work, true).second)
      return;
    Found.push_back({"at-most-once",
                     "non-idempotent request " + Work + " ran " +
                         std::to_string(Ran->second.size()) + " times",
                     Ran->second});
  });
  return Found;
}

Violations checkUpstreamLeave(const History &Run, const Bounds &Limits) {
  Violations Found;
  /// When each leaving upstream said so.
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
        between(Run, Since->second, I) > Limits.UpstreamLeave_)
      Found.push_back(
          {"upstream-leave",
           "upstream " + Begun->Upstream_ + " got new work after it had left",
           {Since->second, I}});
  }
  return Found;
}

namespace {

/// One planned stop of a process.
struct PlannedStop {
  std::size_t Begun_ = 0;
  std::optional<std::size_t> Ended_;
};

/// Adds what the stop of an entry host did to the calls that it carried.
void checkCalls(const History &Run, const std::map<std::string, Call> &Calls,
                const PlannedStop &Stop, Violations &Found) {
  const std::string &Process = Run.Events_[Stop.Begun_].Process_;
  for (const auto &[Id, Known] : Calls) {
    if (!Known.Invoked_ ||
        body<CallInvoked>(Run, *Known.Invoked_).Entry_ != Process ||
        (Stop.Ended_ && *Known.Invoked_ > *Stop.Ended_))
      continue;
    if (Known.Ends_.empty()) {
      if (Run.Complete_)
        Found.push_back({"graceful-stop",
                         "call " + Id + " has no end after the stop",
                         {*Known.Invoked_, Stop.Begun_}});
      continue;
    }
    const std::size_t End = Known.Ends_.front();
    const auto *Unknown = std::get_if<CallUnknown>(&Run.Events_[End].Body_);
    if (Unknown && Unknown->ConnectionLost_ && End > Stop.Begun_)
      Found.push_back({"graceful-stop",
                       "call " + Id + " was cut by the stop of " + Process,
                       {*Known.Invoked_, Stop.Begun_, End}});
  }
}

/// Adds the executions that an upstream's stop did not wait for.
void checkExecutions(const History &Run, const PlannedStop &Stop,
                     Violations &Found) {
  const std::string &Process = Run.Events_[Stop.Begun_].Process_;
  std::map<std::string, std::size_t> Running;
  for (std::size_t I = 0; I < *Stop.Ended_; ++I) {
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
                     Process + " stopped while it ran call " + Id,
                     {Begun, *Stop.Ended_}});
}

} // namespace

Violations checkGracefulStop(const History &Run, const Bounds &) {
  Violations Found;
  std::vector<PlannedStop> Stops;
  std::map<std::string, std::size_t> Open;
  for (std::size_t I = 0; I < Run.Events_.size(); ++I) {
    const Event &Here = Run.Events_[I];
    if (std::holds_alternative<StopBegun>(Here.Body_)) {
      Open[Here.Process_] = Stops.size();
      Stops.push_back({I, std::nullopt});
    }
    const auto *Ended = std::get_if<StopEnded>(&Here.Body_);
    if (!Ended)
      continue;
    if (Ended->Cut_ > 0)
      Found.push_back(
          {"graceful-stop",
           Here.Process_ + " cut " + std::to_string(Ended->Cut_) + " requests",
           {I}});
    auto Known = Open.find(Here.Process_);
    if (Known != Open.end()) {
      Stops[Known->second].Ended_ = I;
      Open.erase(Known);
    }
  }
  const auto Calls = collectCalls(Run);
  for (const PlannedStop &Stop : Stops) {
    checkCalls(Run, Calls, Stop, Found);
    if (Stop.Ended_)
      checkExecutions(Run, Stop, Found);
    else if (Run.Complete_)
      Found.push_back(
          {"graceful-stop",
           Run.Events_[Stop.Begun_].Process_ + " began to stop and did not end",
           {Stop.Begun_}});
  }
  return Found;
}

} // namespace nutmegwell::history
