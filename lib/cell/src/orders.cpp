#include "holdersteps.h"

namespace nutmegwell::cell {

TaskRunMap::iterator findRun(TaskRunMap &Runs, const TaskId &Task) {
  auto It = Runs.lower_bound({Task, 0});
  return It != Runs.end() && It->first.Task_ == Task ? It : Runs.end();
}

void stopRun(Holder &State, TaskRun &Run, const std::string &Reason,
             core::TimePoint Now, Effects &Out) {
  if (Run.State_ == RunState::Stopping || Run.State_ == RunState::EndUnlisted)
    return;
  Run.State_ = RunState::Stopping;
  Run.StopSentAt_ = Now;
  Worker &Host = State.Workers_[Run.Host_];
  Host.Stops_.push_back(Run.Id_);
  Host.OrdersDue_ = true;
  Out.LogEvents_.push_back({"task_stopping",
                            {{"task", toString(Run.Id_.Task_)},
                             {"run", std::to_string(Run.Id_.Run_)},
                             {"host", Run.Host_},
                             {"reason", Reason}}});
}

void stopJob(Holder &State, const std::string &Job, const std::string &Reason,
             core::TimePoint Now, Effects &Out) {
  for (auto It = State.Runs_.lower_bound({{Job, 0, 0, 0}, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == Job; ++It)
    stopRun(State, It->second, Reason, Now, Out);
}

void stopGang(Holder &State, const RunId &Member, const std::string &Reason,
              core::TimePoint Now, Effects &Out) {
  const TaskId &Task = Member.Task_;
  auto It = State.Runs_.lower_bound(
      {{Task.Job_, Task.Occurrence_, Task.Step_, 0}, 0});
  for (; It != State.Runs_.end() && It->first.Task_.Job_ == Task.Job_ &&
         It->first.Task_.Occurrence_ == Task.Occurrence_ &&
         It->first.Task_.Step_ == Task.Step_;
       ++It)
    if (It->first.Run_ == Member.Run_)
      stopRun(State, It->second, Reason, Now, Out);
}

void repeatStops(Holder &State, core::TimePoint Now) {
  for (auto &[Id, Run] : State.Runs_) {
    if (Run.State_ != RunState::Stopping ||
        Now - Run.StopSentAt_ < State.Policy_.StopResendInterval_)
      continue;
    Run.StopSentAt_ = Now;
    Worker &Host = State.Workers_[Run.Host_];
    Host.Stops_.push_back(Id);
    Host.OrdersDue_ = true;
  }
}

core::TimePoint leaseBound(const HolderPolicy &Policy, core::TimePoint Now) {
  const auto Longest = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(Policy.MaxLease_.count()) /
          Policy.MinClockRate_));
  return Now + Longest + Policy.ClockMargin_;
}

core::Duration lateStartBound(const HolderPolicy &Policy) {
  return Policy.StartPermit_ + Policy.MaxCallDelay_ + Policy.ClockMargin_;
}

void forgetOldStarts(Holder &State, core::TimePoint Now) {
  for (auto &[Name, Host] : State.Workers_)
    while (!Host.RecentStarts_.empty() &&
           Now >=
               Host.RecentStarts_.front().first + lateStartBound(State.Policy_))
      Host.RecentStarts_.pop_front();
}

void collectOrders(Holder &State, core::TimePoint Now, Effects &Out) {
  const bool Grant =
      Now < State.TenureConfirmedAt_ + State.Policy_.TenureValidity_;
  for (auto &[Name, Host] : State.Workers_) {
    if (!Host.Connected_ || !Host.OrdersDue_)
      continue;
    HolderOrders Orders;
    Orders.Term_ = State.Term_;
    Orders.Sequence_ = Host.NextOrder_++;
    Orders.ReportSequence_ = Host.LastReportSequence_;
    // Whether a worker that its agent cannot reach received an earlier
    // extension is not known, so that its lease has to expire. A process that
    // the agent has not reported may run a start of the one before.
    Orders.GrantsLease_ = Grant && Host.Reachable_ && Host.Info_;
    Orders.WorkerIncarnation_ = Host.Info_ ? Host.Info_->WorkerIncarnation_ : 0;
    Orders.AcknowledgedUpTo_ = Host.EndsDurable_;
    Orders.Starts_ = std::move(Host.Starts_);
    Orders.Stops_ = std::move(Host.Stops_);
    Orders.Paces_ = std::move(Host.Paces_);
    Host.Starts_.clear();
    Host.Stops_.clear();
    Host.Paces_.clear();
    Host.OrdersDue_ = false;
    if (Orders.GrantsLease_)
      Host.LeaseEnds_ = leaseBound(State.Policy_, Now);
    Out.Orders_.emplace_back(Name, std::move(Orders));
  }
}

namespace {

/// Closes workers that are silent or draining, so that no task starts on them.
void closeWorkers(Holder &State, core::TimePoint Now) {
  for (auto &[Name, Host] : State.Workers_) {
    const bool Silent = Now - Host.LastReportAt_ > State.Policy_.CloseAfter_;
    const bool Draining = Host.Info_ && Host.Info_->Draining_;
    if (!Host.Listed_ || !Host.Synced_ || (!Silent && !Draining))
      continue;
    Host.Listed_ = false;
    Host.Closed_ = true;
    State.ListingsToRecord_[Name] = Listing::Closed;
  }
}

const char *eventOf(Listing NewListing) {
  switch (NewListing) {
  case Listing::Open:
    return "worker_listed";
  case Listing::Closed:
    return "worker_closed";
  case Listing::Gone:
    return "worker_unlisted";
  }
  return "worker_unlisted";
}

void addListings(Holder &State, const HolderContext &Context, Effects &Out) {
  for (const auto &[Name, NewListing] : State.ListingsToRecord_) {
    jobs::WorkerListed Row;
    Row.Host_ = Name;
    Row.Listed_ = NewListing != Listing::Gone;
    Row.Closed_ = NewListing == Listing::Closed;
    if (Row.Closed_)
      for (const auto &[Id, Run] : State.Runs_)
        if (Run.Host_ == Name)
          Row.Tasks_.push_back(Id.Task_);
    auto It = State.Workers_.find(Name);
    if (It != State.Workers_.end() && It->second.Info_)
      Row.FailureDomain_ = It->second.Info_->FailureDomain_;
    Out.Append_.push_back(Row);
    Out.LogEvents_.push_back(
        {eventOf(NewListing),
         {{"host", Name},
          {"domain", Row.FailureDomain_},
          {"tasks", std::to_string(Row.Tasks_.size())},
          {"view", std::to_string(Context.View_.NextOffset_)}}});
  }
  State.ListingsInFlight_ = std::move(State.ListingsToRecord_);
  State.ListingsToRecord_.clear();
}

void acknowledgeEnds(Worker &Host, std::uint64_t UpTo) {
  if (UpTo <= Host.EndsDurable_)
    return;
  Host.EndsDurable_ = UpTo;
  Host.OrdersDue_ = true;
}

} // namespace

void collectRecords(Holder &State, const HolderContext &Context, Effects &Out) {
  if (State.AppendInFlight_)
    return;
  closeWorkers(State, Context.Now_);
  addListings(State, Context, Out);
  for (const std::string &Job : State.JobsToRecord_) {
    auto Live = State.Jobs_.find(Job);
    auto Entry = Context.View_.Jobs_.find(Job);
    if (Live != State.Jobs_.end() && Entry != Context.View_.Jobs_.end())
      addProgress(Entry->second.Accepted_, Live->second, Out.Append_);
  }
  State.JobsToRecord_.clear();
  if (!State.SettledRecordQueued_ &&
      Context.Now_ >= State.BegunAt_ + State.Policy_.TenureValidity_) {
    State.SettledRecordQueued_ = true;
    Out.Append_.push_back(jobs::TenureSettled{State.Term_});
  }
  if (Out.Append_.empty()) {
    for (auto &[Name, Host] : State.Workers_)
      acknowledgeEnds(Host, Host.EndsHandled_);
    return;
  }
  collectSpeeds(State, Context.Now_, Out);
  State.AppendInFlight_ = true;
  State.EndsInFlight_.clear();
  for (auto &[Name, Host] : State.Workers_)
    State.EndsInFlight_[Name] = Host.EndsHandled_;
}

void onAppended(Holder &State) {
  State.AppendInFlight_ = false;
  for (const auto &[Name, UpTo] : State.EndsInFlight_) {
    auto It = State.Workers_.find(Name);
    if (It != State.Workers_.end())
      acknowledgeEnds(It->second, UpTo);
  }
  State.EndsInFlight_.clear();
  for (const auto &[Name, NewListing] : State.ListingsInFlight_) {
    State.RecordedListings_[Name] = NewListing;
    auto It = State.Workers_.find(Name);
    if (It != State.Workers_.end())
      It->second.Listed_ = NewListing == Listing::Open && !It->second.Closed_ &&
                           State.ListingsToRecord_.count(Name) == 0;
  }
  State.ListingsInFlight_.clear();
}

} // namespace nutmegwell::cell
