#include "holdersteps.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Returns whether the leases up to \p End have expired. Until the store
/// confirms that no other host had claimed the cell by then, another holder may
/// have extended them and handled their runs' ends.
bool isExpired(const Holder &State, core::TimePoint End, core::TimePoint Now) {
  return Now >= End && State.TenureConfirmedAt_ >= End;
}

/// Returns the latest time at which tasks can run on a worker without contact.
core::TimePoint lastLeaseEnd(const HolderPolicy &Policy, const Worker &Host) {
  if (Host.LateStartsUntil_ == core::TimePoint())
    return Host.LeaseEnds_;
  return std::max(Host.LeaseEnds_, leaseBound(Policy, Host.LateStartsUntil_));
}

} // namespace

bool isReporting(const Holder &State, const Worker &Host, core::TimePoint Now) {
  return Host.Connected_ && Host.Reachable_ &&
         Now - Host.LastReportAt_ <= State.Policy_.SuspectAfter_;
}

bool isUsable(const HolderPolicy &Policy, const Worker &Host,
              const HolderContext &Context) {
  if (!Host.Connected_ || !Host.Synced_ || !Host.Listed_ || !Host.Info_ ||
      !Host.Reachable_ || Host.HasOrphanRun_ || Host.Info_->Draining_)
    return false;
  if (Context.Now_ - Host.LastReportAt_ > Policy.SuspectAfter_)
    return false;
  if (Context.OutOfServiceDomains_.count(Host.Info_->FailureDomain_))
    return false;
  return !isQuarantined(Host.Health_, Policy.Quarantine_, Context.Now_);
}

bool hasRuns(const Holder &State, const std::string &Host) {
  return std::any_of(State.Runs_.begin(), State.Runs_.end(),
                     [&](const auto &Row) { return Row.second.Host_ == Host; });
}

void dropRunsOf(Holder &State, Worker &Host, const std::string &Reason,
                Effects &Out) {
  for (auto It = State.Runs_.begin(); It != State.Runs_.end();) {
    const auto Current = It++;
    if (Current->second.Host_ == Host.Host_)
      dropRun(State, Current, Reason, Out);
  }
  if (Host.Listed_ || Host.Closed_ || State.ListingsToRecord_.count(Host.Host_))
    State.ListingsToRecord_[Host.Host_] = Listing::Gone;
  Host.Listed_ = Host.Closed_ = Host.Synced_ = false;
}

void endEarlierRuns(Holder &State, const std::string &Host,
                    const std::string &Reason, Effects &Out) {
  if (State.UnsyncedWorkers_.erase(Host) == 0)
    return;
  Out.LogEvents_.push_back(
      {"earlier_runs_over", {{"host", Host}, {"reason", Reason}}});
  State.ListingsToRecord_[Host] = Listing::Gone;
}

void expireLeases(Holder &State, const HolderContext &Context, Effects &Out) {
  for (auto &[Name, Host] : State.Workers_) {
    const bool Silent = !Host.Reachable_ || Context.Now_ - Host.LastReportAt_ >
                                                State.Policy_.SuspectAfter_;
    // A worker that has ended keeps the runs that its next process may start,
    // whose leases nobody extends, whether or not its agent reports.
    const bool Ended = !Host.Info_;
    if (!(Silent || Ended) || !(Host.Synced_ || hasRuns(State, Name)) ||
        !isExpired(State, lastLeaseEnd(State.Policy_, Host), Context.Now_))
      continue;
    dropRunsOf(State, Host, "the worker's lease expired without contact", Out);
  }
  std::vector<std::string> Expired;
  for (const auto &[Name, Unsynced] : State.UnsyncedWorkers_) {
    // The leases of a worker that reports under this term are extended. Its
    // ends count until it has listed them or its own lease has expired.
    auto Host = State.Workers_.find(Name);
    if (Host != State.Workers_.end() && Host->second.Synced_)
      continue;
    if (isExpired(State, Unsynced.RunsEndBy_, Context.Now_))
      Expired.push_back(Name);
    else if (Context.Now_ < Unsynced.RunsEndBy_)
      Out.WakeAt_ = std::min(Out.WakeAt_, Unsynced.RunsEndBy_);
  }
  for (const std::string &Name : Expired)
    endEarlierRuns(State, Name, "the leases have expired", Out);
}

void endProbations(Holder &State, core::TimePoint Now, Effects &Out) {
  const QuarantinePolicy &Policy = State.Policy_.Quarantine_;
  for (const auto &[Id, Run] : State.Runs_) {
    Worker &Host = State.Workers_[Run.Host_];
    if (Run.State_ != RunState::Running || !isReporting(State, Host, Now) ||
        !isProofOfHealth(Host.Health_, Policy, Run.OrderedAt_, Now))
      continue;
    recordSuccess(Host.Health_);
    Out.LogEvents_.push_back({"worker_recovered",
                              {{"host", Run.Host_},
                               {"task", toString(Id.Task_)},
                               {"run", std::to_string(Id.Run_)}}});
  }
}

void applyCancels(Holder &State, const HolderContext &Context, Effects &Out) {
  for (const auto &[Name, Job] : Context.View_.Jobs_) {
    if (!Job.CancelRequested_ || Job.Accepted_.Job_.empty() ||
        jobs::isFinal(Job.Progress_.State_))
      continue;
    LiveJob &Live = liveJob(State, Job, Context.Now_);
    if (jobs::isFinal(Live.Progress_.State_))
      continue;
    Live.Progress_.State_ = jobs::JobState::Cancelled;
    State.JobsToRecord_.insert(Name);
    Out.LogEvents_.push_back({"job_cancelled", {{"job", Name}}});
    stopJob(State, Name, "the job was cancelled", Context.Now_, Out);
  }
}

} // namespace nutmegwell::cell
