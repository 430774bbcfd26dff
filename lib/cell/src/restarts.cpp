// Ends and restarts of workers and their agents.

#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Returns whether a start that was ordered on \p Host is not listed yet.
bool hasOpenStart(const Holder &State, const std::string &Host) {
  return std::any_of(State.Runs_.begin(), State.Runs_.end(),
                     [&](const auto &Row) {
                       return Row.second.Host_ == Host &&
                              Row.second.State_ == RunState::Ordered;
                     });
}

/// Returns whether a start may be carried out by the worker's process that the
/// report names, without its agent knowing: the worker and its agent have both
/// restarted, and the worker under its id.
bool hidesLateStarts(const Holder &State, const Worker &Host,
                     const AgentReport &Report, core::TimePoint Now) {
  return Host.Info_ && Host.Info_->Id_ == Report.Worker_->Id_ &&
         Host.AgentReplacedAt_ &&
         Now < *Host.AgentReplacedAt_ + State.Policy_.MaxCallDelay_;
}

/// Returns the starts of \p Host that may still be carried out.
std::set<RunId> recentStarts(const Holder &State, const Worker &Host,
                             core::TimePoint Now) {
  std::set<RunId> Starts;
  for (const auto &[OrderedAt, Id] : Host.RecentStarts_)
    if (Now < OrderedAt + lateStartBound(State.Policy_))
      Starts.insert(Id);
  return Starts;
}

/// Drops the runs of the worker's earlier incarnation. Keeps starts that may
/// have reached the new incarnation: those that the report names, those that a
/// restarted agent may have passed on before, and \p LateStarts.
void dropRunsOfEarlierIncarnation(Holder &State, const AgentReport &Report,
                                  const std::set<RunId> &LateStarts,
                                  core::TimePoint Now, Effects &Out) {
  const std::set<RunId> Reported = reportedRuns(Report);
  const bool Uncertain = Now < State.Workers_[Report.Host_].UncertainUntil_;
  for (auto It = State.Runs_.begin(); It != State.Runs_.end();) {
    auto Current = It++;
    const TaskRun &Run = Current->second;
    const bool MayHaveStarted = Reported.count(Run.Id_) > 0 ||
                                LateStarts.count(Run.Id_) > 0 ||
                                (Uncertain && Run.State_ == RunState::Ordered);
    if (Run.Host_ == Report.Host_ && !MayHaveStarted)
      dropRun(State, Current, "the worker restarted", Out);
  }
}

/// Has the worker's new process refuse starts that it may still carry out.
/// Their tasks start nowhere else before the agent has reported that it does.
void fenceLateStarts(Holder &State, Worker &Host,
                     const std::set<RunId> &LateStarts, core::TimePoint Now,
                     Effects &Out) {
  for (const RunId &Id : LateStarts) {
    auto It = State.Runs_.find(Id);
    if (It == State.Runs_.end() || It->second.Host_ != Host.Host_) {
      // The run has ended; the worker does not know that any more.
      Host.Stops_.push_back(Id);
      continue;
    }
    // A run that is stopping is to be stopped again.
    It->second.State_ = RunState::Running;
    It->second.OrderSequence_ = Host.NextOrder_;
    stopRun(State, It->second, "its start may be carried out late", Now, Out);
  }
  Host.OrdersDue_ = true;
  Out.LogEvents_.push_back(
      {"late_starts_fenced",
       {{"host", Host.Host_}, {"starts", std::to_string(LateStarts.size())}}});
}

} // namespace

std::set<RunId> reportedRuns(const AgentReport &Report) {
  std::set<RunId> Runs(Report.Pending_.begin(), Report.Pending_.end());
  for (const RunningTask &Task : Report.Running_)
    Runs.insert(Task.Id_);
  for (const EndedTask &End : Report.Ended_)
    Runs.insert(End.Id_);
  return Runs;
}

void handleWorkerEnd(Holder &State, Worker &Host, const AgentReport &Report,
                     core::TimePoint Now, Effects &Out) {
  const std::set<RunId> MayStart(Report.Pending_.begin(),
                                 Report.Pending_.end());
  std::vector<RunId> Ended;
  for (const auto &[Id, Run] : State.Runs_)
    if (Run.Host_ == Host.Host_)
      Ended.push_back(Id);
  std::size_t Kept = 0;
  for (const RunId &Id : Ended) {
    const auto It = State.Runs_.find(Id);
    const bool Gang = It->second.Gang_;
    if (MayStart.count(Id)) {
      It->second.State_ = RunState::Ordered;
      It->second.FromStart_ = false;
      ++Kept;
    } else {
      dropRun(State, It, "the worker has ended", Out);
    }
    if (Gang)
      stopGang(State, Id, "a gang member's worker has ended", Now, Out);
  }
  Out.LogEvents_.push_back(
      {"worker_ended",
       {{"host", Host.Host_}, {"late_starts", std::to_string(Kept)}}});
  if (Host.Listed_ || Host.Closed_ || State.ListingsToRecord_.count(Host.Host_))
    State.ListingsToRecord_[Host.Host_] =
        Kept > 0 ? Listing::Closed : Listing::Gone;
  if (Kept > 0)
    Host.LateStartsUntil_ = Now + State.Policy_.MaxCallDelay_;
  Host.Listed_ = Host.Synced_ = false;
  Host.Closed_ = Kept > 0;
  Host.Info_.reset();
  forgetSpeed(State, Host.Host_);
  Host.Starts_.clear();
  Host.Stops_.clear();
  Host.Paces_.clear();
}

void handleEmptyHost(Holder &State, Worker &Host, Effects &Out) {
  endEarlierRuns(State, Host.Host_, "the worker has ended", Out);
  if (!Host.Info_)
    dropRunsOf(State, Host, "no process has carried out the start", Out);
}

void handleNewIncarnations(Holder &State, Worker &Host,
                           const AgentReport &Report, core::TimePoint Now,
                           Effects &Out) {
  if (Host.AgentIncarnation_ != Report.AgentIncarnation_) {
    if (Host.AgentIncarnation_ != 0) {
      Host.UncertainUntil_ =
          Now + State.Policy_.StartPermit_ + State.Policy_.ClockMargin_;
      Host.AgentReplacedAt_ = Now;
    }
    Host.AgentIncarnation_ = Report.AgentIncarnation_;
    Host.NextOrder_ = 1;
    Host.ProcessedOrders_ = 0;
    // Orders to the agent's earlier incarnation count as processed, because it
    // cannot receive them any more.
    for (auto &[Id, Run] : State.Runs_)
      if (Run.Host_ == Host.Host_)
        Run.OrderSequence_ = 0;
  }
  const std::int64_t KnownIncarnation =
      Host.Info_ ? Host.Info_->WorkerIncarnation_ : 0;
  const std::int64_t ReportedIncarnation =
      Report.Worker_ ? Report.Worker_->WorkerIncarnation_ : 0;
  if (ReportedIncarnation != 0 && ReportedIncarnation != KnownIncarnation) {
    // A start for an earlier incarnation with another id is refused.
    if (KnownIncarnation != 0 && Host.Info_->Id_ == Report.Worker_->Id_ &&
        hasOpenStart(State, Host.Host_))
      Host.LateStartsUntil_ = Now + State.Policy_.MaxCallDelay_;
    std::set<RunId> LateStarts;
    if (hidesLateStarts(State, Host, Report, Now))
      LateStarts = recentStarts(State, Host, Now);
    if (KnownIncarnation != 0)
      dropRunsOfEarlierIncarnation(State, Report, LateStarts, Now, Out);
    Host.EndsHandled_ = 0;
    Host.EndsDurable_ = 0;
    // The append in flight covers only ends of the earlier incarnation.
    State.EndsInFlight_.erase(Host.Host_);
    Host.Starts_.clear();
    Host.Stops_.clear();
    Host.Paces_.clear();
    Host.Health_ = {};
    Host.Pace_ = {};
    Host.Departure_.reset();
    if (!LateStarts.empty()) {
      Host.LateStartsUntil_ = Now + State.Policy_.MaxCallDelay_;
      fenceLateStarts(State, Host, LateStarts, Now, Out);
    }
    Out.LogEvents_.push_back({"worker_seen",
                              {{"host", Host.Host_},
                               {"worker", Report.Worker_->Id_},
                               {"born", std::to_string(ReportedIncarnation)},
                               {"domain", Report.Worker_->FailureDomain_}}});
  }
  if (Report.Worker_) {
    if (Report.Worker_->Draining_ && (!Host.Info_ || !Host.Info_->Draining_))
      Out.LogEvents_.push_back({"worker_draining", {{"host", Host.Host_}}});
    updateNotice(Host.Departure_, Report.Worker_->Draining_,
                 Report.Worker_->DrainRemaining_, Now);
    Host.Info_ = Report.Worker_;
    Host.InfoFrom_ = Report.AgentIncarnation_;
  }
  if (ReportedIncarnation != 0 && ReportedIncarnation != KnownIncarnation)
    resetSpeed(State, Host);
}

} // namespace nutmegwell::cell
