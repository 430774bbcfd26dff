#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Returns whether a report leaves open that the worker's known process goes
/// on. One that does not ends the process's runs, which another holder may have
/// handled while the agent was connected to it.
bool showsKnownProcess(const Worker &Host, const AgentReport &Report) {
  return !Host.Info_ || (Report.Worker_ && Report.Worker_->WorkerIncarnation_ ==
                                               Host.Info_->WorkerIncarnation_);
}

/// Adopts a run that an earlier holder started, or stops it when no known job
/// needs it.
void adoptRun(Holder &State, Worker &Host, const RunningTask &Task,
              const HolderContext &Context, Effects &Out) {
  TaskRun Run;
  Run.Id_ = Task.Id_;
  Run.Host_ = Host.Host_;
  Run.State_ = RunState::Running;
  Run.OrderedAt_ = Context.Now_;
  Run.ProgressedAt_ = Context.Now_;
  Run.ListedAt_ = Context.Now_;
  Run.Percent_ = Run.ListedPercent_ = Task.Percent_;
  Run.Checkpoint_ = Task.Checkpoint_;
  auto Entry = Context.View_.Jobs_.find(Task.Id_.Task_.Job_);
  const bool JobKnown =
      Entry != Context.View_.Jobs_.end() &&
      Task.Id_.Task_.Step_ < Entry->second.Accepted_.Spec_.Steps_.size();
  bool Wanted = false;
  if (JobKnown) {
    const jobs::JobEntry &Job = Entry->second;
    const jobs::StepSpec &Step =
        Job.Accepted_.Spec_.Steps_[Task.Id_.Task_.Step_];
    copyStepProperties(Run, Step);
    Run.Priority_ = Job.Accepted_.Priority_;
    // The pace that an earlier holder ordered is not known; 0 lets adjustPaces
    // send an order.
    Run.Pace_ = Run.BestEffort_ ? 0 : 100;
    LiveJob &Live = liveJob(State, Job, Context.Now_);
    noteTaskStarted(State, Task.Id_.Task_.Job_, Live);
    const bool Done = Live.Progress_.taskDone(Task.Id_.Task_);
    const bool Duplicate =
        !Step.Speculative_ &&
        findRun(State.Runs_, Task.Id_.Task_) != State.Runs_.end();
    Wanted = !jobs::isFinal(Live.Progress_.State_) && !Done && !Duplicate;
  }
  Host.HasOrphanRun_ |= !JobKnown;
  Out.LogEvents_.push_back({"run_adopted",
                            {{"task", toString(Task.Id_.Task_)},
                             {"run", std::to_string(Task.Id_.Run_)},
                             {"host", Host.Host_},
                             {"wanted", Wanted ? "yes" : "no"}}});
  auto It = State.Runs_.emplace(Run.Id_, std::move(Run)).first;
  if (!Wanted)
    stopRun(State, It->second, "no known job needs the run", Context.Now_, Out);
}

void applyProgress(TaskRun &Run, double Percent, core::TimePoint Now) {
  if (Run.FirstChangeAt_)
    Run.LongestGap_ = std::max(Run.LongestGap_, Now - Run.ProgressedAt_);
  Run.Percent_ = Percent;
  Run.ProgressedAt_ = Now;
  if (Run.FirstChangeAt_)
    return;
  Run.FirstChangeAt_ = Now;
  Run.FirstChangePercent_ = Percent;
}

/// Gives a run that is listed again the resources of its step.
void restoreResources(TaskRun &Run, const jobs::View &View) {
  auto Job = View.Jobs_.find(Run.Id_.Task_.Job_);
  if (Job != View.Jobs_.end() &&
      Run.Id_.Task_.Step_ < Job->second.Accepted_.Spec_.Steps_.size())
    Run.Resources_ = requiredResources(
        Job->second.Accepted_.Spec_.Steps_[Run.Id_.Task_.Step_]);
}

void applyRunning(Holder &State, Worker &Host, const AgentReport &Report,
                  const HolderContext &Context, Effects &Out) {
  Host.HasOrphanRun_ = false;
  for (const RunningTask &Task : Report.Running_) {
    auto It = State.Runs_.find(Task.Id_);
    if (It == State.Runs_.end()) {
      adoptRun(State, Host, Task, Context, Out);
      continue;
    }
    TaskRun &Run = It->second;
    if (auto Job = State.Jobs_.find(Task.Id_.Task_.Job_);
        Job != State.Jobs_.end())
      noteTaskStarted(State, Job->first, Job->second);
    if (Run.State_ == RunState::EndUnlisted)
      restoreResources(Run, Context.View_);
    if (Run.State_ == RunState::Ordered ||
        Run.State_ == RunState::EndUnlisted) {
      Run.State_ = RunState::Running;
      Run.ProgressedAt_ = Run.ListedAt_ = Context.Now_;
      Run.Percent_ = Run.ListedPercent_ = Task.Percent_;
    }
    if (Run.Percent_ != Task.Percent_) {
      applyProgress(Run, Task.Percent_, Context.Now_);
      observeProgress(State, Run, Context);
    }
    Run.Checkpoint_ = Task.Checkpoint_;
    Run.Usage_ = Task.Usage_;
  }
}

void applyRefusals(Holder &State, Worker &Host, const AgentReport &Report,
                   core::TimePoint Now, Effects &Out) {
  for (const RefusedStart &Refusal : Report.Refused_) {
    auto It = State.Runs_.find(Refusal.Id_);
    if (It == State.Runs_.end())
      continue;
    Out.LogEvents_.push_back({"start_refused",
                              {{"task", toString(Refusal.Id_.Task_)},
                               {"run", std::to_string(Refusal.Id_.Run_)},
                               {"host", Host.Host_},
                               {"reason", name(Refusal.Kind_)}}});
    if (Refusal.Kind_ == RefusalKind::NoTicket)
      removeApproval(State, Refusal.Id_, Host.Host_);
    if (Refusal.Kind_ == RefusalKind::Unhealthy)
      recordFailure(Host.Health_, JobStep(), Now);
  }
}

/// Returns the newest listing of a worker, whether or not its record is
/// durable.
Listing newestListing(const Holder &State, const std::string &Host,
                      const jobs::View &View) {
  for (const auto *Listings :
       {&State.ListingsToRecord_, &State.ListingsInFlight_,
        &State.RecordedListings_}) {
    auto It = Listings->find(Host);
    if (It != Listings->end())
      return It->second;
  }
  auto Row = View.Workers_.find(Host);
  if (Row == View.Workers_.end())
    return Listing::Gone;
  return Row->second.Closed_ ? Listing::Closed : Listing::Open;
}

/// Returns the refused starts whose runs have certainly never begun. One that a
/// later run has superseded may have ended before.
std::set<RunId> neverBegun(const AgentReport &Report) {
  std::set<RunId> Runs;
  for (const RefusedStart &Refusal : Report.Refused_)
    if (Refusal.Kind_ != RefusalKind::SupersededRun)
      Runs.insert(Refusal.Id_);
  return Runs;
}

/// Keeps a run that the worker does not run any more until its end is listed.
void awaitEnd(TaskRun &Run, Effects &Out) {
  if (Run.State_ == RunState::EndUnlisted)
    return;
  Run.State_ = RunState::EndUnlisted;
  Run.Resources_ = {};
  Out.LogEvents_.push_back({"run_end_unlisted",
                            {{"task", toString(Run.Id_.Task_)},
                             {"run", std::to_string(Run.Id_.Run_)},
                             {"host", Run.Host_}}});
}

/// Drops the runs that are certainly not on the worker. While the worker lists
/// only some of its ends, a run that is missing may have completed its task, so
/// that only starts which the worker has refused are dropped.
void dropMissing(Holder &State, const Worker &Host, const AgentReport &Report,
                 core::TimePoint Now, Effects &Out) {
  if (Now < Host.UncertainUntil_)
    return;
  const std::set<RunId> Reported = reportedRuns(Report);
  const std::set<RunId> NeverBegun = neverBegun(Report);
  std::vector<RunId> Missing;
  for (auto &[Id, Run] : State.Runs_) {
    if (Run.Host_ != Host.Host_ ||
        Run.OrderSequence_ > Report.ProcessedOrders_ || Reported.count(Id))
      continue;
    if (Report.EndsComplete_ || NeverBegun.count(Id))
      Missing.push_back(Id);
    else
      awaitEnd(Run, Out);
  }
  for (const RunId &Id : Missing) {
    auto It = State.Runs_.find(Id);
    if (It != State.Runs_.end())
      dropRun(State, It, "missing from the worker's report", Out);
    stopGang(State, Id, "a gang member is missing", Now, Out);
  }
}

} // namespace

void copyStepProperties(TaskRun &Run, const jobs::StepSpec &Step) {
  Run.Resources_ = requiredResources(Step);
  Run.Gang_ = Step.Gang_;
  Run.LongRunning_ = Step.LongRunning_;
  Run.Checkpoints_ = Step.Checkpoints_;
  Run.BestEffort_ = Step.BestEffort_;
  Run.TargetLatency_ = Step.TargetLatency_;
}

LiveJob &liveJob(Holder &State, const jobs::JobEntry &Job,
                 core::TimePoint Now) {
  auto [It, Added] = State.Jobs_.try_emplace(Job.Accepted_.Job_);
  if (Added) {
    It->second.Progress_ = Job.Progress_;
    It->second.EarlierFailures_ = Job.EarlierFailures_;
    It->second.WaitingSince_ = Now;
  }
  return It->second;
}

void noteTaskStarted(Holder &State, const std::string &Job, LiveJob &Live) {
  if (Live.Progress_.State_ != jobs::JobState::Queued)
    return;
  Live.Progress_.State_ = jobs::JobState::Running;
  State.JobsToRecord_.insert(Job);
}

void dropRun(Holder &State, TaskRunMap::iterator It, const std::string &Reason,
             Effects &Out) {
  const TaskRun &Run = It->second;
  Out.LogEvents_.push_back({"run_given_up",
                            {{"task", toString(Run.Id_.Task_)},
                             {"run", std::to_string(Run.Id_.Run_)},
                             {"host", Run.Host_},
                             {"reason", Reason}}});
  auto Job = State.Jobs_.find(Run.Id_.Task_.Job_);
  if (!Run.Checkpoint_.empty() && Job != State.Jobs_.end())
    saveCheckpoint(Job->second, Run.Id_.Task_, Run.Gang_, Run.Checkpoint_);
  State.Runs_.erase(It);
}

Holder beginTenure(const HolderPolicy &Policy, core::Offset ClaimedAt,
                   core::TimePoint ConfirmedAt,
                   std::optional<core::TimePoint> GrantsEnd,
                   const std::set<std::string> &EmptyWorkers,
                   const HolderContext &Context) {
  Holder State;
  State.Policy_ = Policy;
  State.Term_ = ClaimedAt + 1;
  State.ClaimedAt_ = ClaimedAt;
  State.BegunAt_ = Context.Now_;
  State.TenureConfirmedAt_ = ConfirmedAt;
  for (const auto &[Name, Row] : Context.View_.Workers_) {
    if (EmptyWorkers.count(Name)) {
      State.ListingsToRecord_[Name] = Listing::Gone;
    } else if (GrantsEnd) {
      UnsyncedWorker &Unsynced = State.UnsyncedWorkers_[Name];
      Unsynced.RunsEndBy_ = leaseBound(Policy, *GrantsEnd);
      if (Row.Closed_)
        Unsynced.Tasks_.emplace(Row.Tasks_.begin(), Row.Tasks_.end());
    }
  }
  if (Policy.LearnRunTimes_)
    State.SpeedRecords_ =
        readSpeedRecords(Policy.SpeedRecords_, Context.View_.LearnedSpeeds_);
  return State;
}

void limitEarlierGrants(Holder &State, core::TimePoint GrantsEnd) {
  const core::TimePoint Bound = leaseBound(State.Policy_, GrantsEnd);
  for (auto &[Name, Unsynced] : State.UnsyncedWorkers_)
    Unsynced.RunsEndBy_ = std::min(Unsynced.RunsEndBy_, Bound);
}

std::vector<std::string> emptyWorkers(const Holder &State) {
  std::vector<std::string> Names;
  for (const auto *Listings :
       {&State.ListingsToRecord_, &State.ListingsInFlight_})
    for (const auto &[Name, Wanted] : *Listings)
      if (Wanted == Listing::Gone)
        Names.push_back(Name);
  return Names;
}

void onReport(Holder &State, const AgentReport &Report,
              const HolderContext &Context, Effects &Out) {
  Worker &Host = State.Workers_[Report.Host_];
  Host.Host_ = Report.Host_;
  if (!Host.Connected_) {
    Out.LogEvents_.push_back(
        {"agent_connected",
         {{"host", Host.Host_}, {"term", std::to_string(Report.Term_)}}});
    Host.ConnectedAt_ = Context.Now_;
  }
  Host.Connected_ = true;
  if (!showsKnownProcess(Host, Report) &&
      State.TenureConfirmedAt_ < Host.ConnectedAt_)
    return;
  Host.LastReportAt_ = Context.Now_;
  Host.OrdersDue_ = true;
  // An agent that has known a worker reports none only once the worker's
  // process has ended; a new process of the agent may not have heard from it
  // yet.
  if (!Report.Worker_ && Host.Info_ &&
      Host.InfoFrom_ == Report.AgentIncarnation_)
    handleWorkerEnd(State, Host, Report, Context.Now_, Out);
  handleNewIncarnations(State, Host, Report, Context.Now_, Out);
  Host.LastReportSequence_ = Report.Sequence_;
  if (Host.Reachable_ != Report.WorkerReachable_)
    Out.LogEvents_.push_back(
        {Report.WorkerReachable_ ? "worker_heard" : "worker_unheard",
         {{"host", Host.Host_}}});
  Host.Reachable_ = Report.WorkerReachable_;
  if (!Host.Reachable_)
    return;
  if (Report.Term_ != State.Term_)
    return;
  if (!Report.Worker_)
    return handleEmptyHost(State, Host, Out);
  if (!Host.Synced_) {
    Host.Synced_ = true;
    // An earlier holder may have granted a lease until just now.
    Host.LeaseEnds_ = leaseBound(State.Policy_, Context.Now_);
    // A worker that was recorded as gone is listed again before its next start,
    // even while that record is in flight.
    const Listing Newest = newestListing(State, Host.Host_, Context.View_);
    Host.Closed_ = Newest == Listing::Closed;
    Host.Listed_ = Newest == Listing::Open &&
                   State.ListingsToRecord_.count(Host.Host_) == 0 &&
                   State.ListingsInFlight_.count(Host.Host_) == 0;
    if (Newest == Listing::Gone)
      State.ListingsToRecord_[Host.Host_] = Listing::Open;
  }
  if (Host.Closed_ && !Host.Info_->Draining_) {
    Host.Closed_ = false;
    State.ListingsToRecord_[Host.Host_] = Listing::Open;
  }
  Host.ProcessedOrders_ = Report.ProcessedOrders_;
  applyRefusals(State, Host, Report, Context.Now_, Out);
  applyRunning(State, Host, Report, Context, Out);
  handleEnds(State, Host, Report, Context, Out);
  // The ends that are not listed yet may be of tasks that seem to wait.
  if (Report.EndsComplete_)
    State.UnsyncedWorkers_.erase(Host.Host_);
  dropMissing(State, Host, Report, Context.Now_, Out);
}

void onAgentDisconnected(Holder &State, const std::string &Host) {
  auto It = State.Workers_.find(Host);
  if (It == State.Workers_.end())
    return;
  It->second.Connected_ = false;
  // Unsent orders are lost with the connection; the next report tells which
  // runs exist.
  It->second.Starts_.clear();
  It->second.Stops_.clear();
  It->second.Paces_.clear();
}

void onTenureConfirmed(Holder &State, core::TimePoint SentAt) {
  State.TenureConfirmedAt_ = std::max(State.TenureConfirmedAt_, SentAt);
}

} // namespace nutmegwell::cell
