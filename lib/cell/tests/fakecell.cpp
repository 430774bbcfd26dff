#include "fakecell.h"
#include <algorithm>

namespace nutmegwell::cell {

FakeCell::FakeCell() {
  Tables_.Version_ = 1;
  for (int Priority = 0; Priority < 3; ++Priority) {
    jobs::Queue Queue;
    Queue.Name_ = "q" + std::to_string(Priority);
    Queue.Service_ = "service";
    Queue.Priority_ = Priority;
    Queue.MaxAttempts_ = 3;
    Queue.Stretch_ = 3;
    Tables_.Queues_.push_back(Queue);
  }
  jobs::Account Account;
  Account.Name_ = "acme";
  Account.GuaranteedAccelerators_ = 16;
  Tables_.Accounts_.push_back(Account);
}

HolderContext FakeCell::context() const {
  return {View_, Tables_, OutOfServiceDomains_, Now_, Wall_};
}

void FakeCell::claimCell(std::optional<core::TimePoint> GrantsEnd,
                         const std::set<std::string> &EmptyWorkers) {
  const core::Offset At = View_.NextOffset_;
  jobs::applyRecord(View_, {At, jobs::CellClaimed{"me", 1, true}});
  Holder_ = beginTenure(Policy_, At, Now_, GrantsEnd, EmptyWorkers, context());
}

void FakeCell::addWorker(const std::string &Host, const std::string &Rack,
                         const std::string &Domain) {
  AgentReport &Report = Agents_[Host];
  Report.Host_ = Host;
  Report.AgentIncarnation_ = 1;
  WorkerInfo Info;
  Info.Id_ = "i-" + Host;
  Info.WorkerIncarnation_ = 1;
  Info.Service_ = "service";
  Info.FailureDomain_ = Domain;
  Info.Capacity_ = {64000, 131072, 8};
  Info.Labels_ = {"kind", Rack};
  Info.Rack_ = Rack;
  Report.Worker_ = Info;
}

void FakeCell::acceptJob(const std::string &Job, const jobs::JobSpec &Spec,
                         const std::string &Queue, const std::string &Account) {
  jobs::JobAccepted Record;
  Record.Job_ = Job;
  Record.Queue_ = Queue;
  Record.Service_ = "service";
  Record.Account_ = Account;
  Record.Priority_ = Queue.back() - '0';
  Record.MaxAttempts_ = 3;
  Record.Submitted_ = Wall_;
  Record.Spec_ = Spec;
  jobs::applyRecord(View_, {View_.NextOffset_, Record});
}

void FakeCell::advance(core::Duration After) {
  Now_ += After;
  Wall_ += After;
  Effects Out;
  for (auto &[Host, Report] : Agents_) {
    ++Report.Sequence_;
    AgentReport Listed = Report;
    Listed.EndsComplete_ = Report.Ended_.size() < MaxListedEnds_;
    if (!Listed.EndsComplete_)
      Listed.Ended_.resize(MaxListedEnds_);
    onReport(Holder_, Listed, context(), Out);
    Report.Refused_.clear();
  }
  if (TenureConfirmed_)
    onTenureConfirmed(Holder_, Now_);
  advanceHolder(Holder_, context(), Out);
  WakeAt_ = Out.WakeAt_;
  applyEffects(std::move(Out));
}

void FakeCell::runFor(core::Duration Span) {
  constexpr core::Duration Interval = std::chrono::milliseconds(100);
  for (core::Duration Elapsed(0); Elapsed < Span; Elapsed += Interval)
    advance(Interval);
}

void FakeCell::applyEffects(Effects &&Out) {
  for (auto &Entry : Out.Orders_) {
    const std::string &Host = Entry.first;
    HolderOrders &Orders = Entry.second;
    AgentReport &Report = Agents_[Host];
    Report.Term_ =
        Report.Worker_ || EndedWorkers_.count(Host) ? Orders.Term_ : 0;
    Report.ProcessedOrders_ = Orders.Sequence_;
    for (const StartOrder &Order : Orders.Starts_)
      if (RefusesStarts_)
        Report.Refused_.push_back({Order.Id_, RefusalKind::Unhealthy});
      else
        Report.Running_.push_back({Order.Id_, Order.Checkpoint_, 0, 0});
    for (const RunId &Id : Orders.Stops_)
      if (!LosesStops_)
        endRun(Id, EndKind::Stopped, StopCheckpoint_);
    Report.Ended_.erase(
        std::remove_if(Report.Ended_.begin(), Report.Ended_.end(),
                       [&](const EndedTask &End) {
                         return End.Number_ <= Orders.AcknowledgedUpTo_;
                       }),
        Report.Ended_.end());
    Orders_.emplace_back(Host, std::move(Orders));
  }
  std::move(Out.LogEvents_.begin(), Out.LogEvents_.end(),
            std::back_inserter(LogEvents_));
  Departures_.insert(Departures_.end(), Out.Departures_.begin(),
                     Out.Departures_.end());
  if (Out.ApprovalRequest_)
    ApprovalRequest_ = std::move(Out.ApprovalRequest_);
  if (Out.Append_.empty())
    return;
  if (StoreAvailable_) {
    for (const jobs::Record &Record : Out.Append_)
      jobs::applyRecord(View_, {View_.NextOffset_, Record});
    onAppended(Holder_);
  }
  std::move(Out.Append_.begin(), Out.Append_.end(),
            std::back_inserter(Records_));
}

void FakeCell::endRun(const RunId &Id, EndKind Kind,
                      const std::string &Checkpoint) {
  for (auto &[Host, Report] : Agents_)
    for (auto It = Report.Running_.begin(); It != Report.Running_.end(); ++It)
      if (It->Id_ == Id) {
        Report.Running_.erase(It);
        Report.Ended_.push_back({NextEnd_++, Id, Kind, Checkpoint});
        return;
      }
}

void FakeCell::setProgress(const std::string &Job, double Percent) {
  for (auto &[Host, Report] : Agents_)
    for (RunningTask &Task : Report.Running_)
      if (Task.Id_.Task_.Job_ == Job)
        Task.Percent_ = Percent;
}

void FakeCell::setUsage(const std::string &Job, double Value) {
  for (auto &[Host, Report] : Agents_)
    for (RunningTask &Task : Report.Running_)
      if (Task.Id_.Task_.Job_ == Job)
        Task.Usage_ = Value;
}

void FakeCell::approve(const std::vector<std::string> &Hosts) {
  ApprovalResponse Response;
  for (const std::string &Host : Hosts)
    if (auto It = ApprovalRequest_->Workers_.find(Host);
        It != ApprovalRequest_->Workers_.end())
      Response[It->second.Id_] = "ticket-" + Host;
  const ApprovalRequest Request = *std::move(ApprovalRequest_);
  ApprovalRequest_.reset();
  Effects Out;
  onApprovalResponse(Holder_, Request, Response, context(), Out);
}

unsigned FakeCell::paceOf(const std::string &Job) const {
  unsigned Percent = 100;
  for (const auto &[Host, Orders] : Orders_)
    for (const PaceOrder &Order : Orders.Paces_)
      if (Order.Id_.Task_.Job_ == Job)
        Percent = Order.Percent_;
  return Percent;
}

std::vector<RunId> FakeCell::runsOf(const std::string &Job) const {
  std::vector<RunId> Runs;
  for (const auto &[Host, Report] : Agents_)
    for (const RunningTask &Task : Report.Running_)
      if (Task.Id_.Task_.Job_ == Job)
        Runs.push_back(Task.Id_);
  std::sort(Runs.begin(), Runs.end());
  return Runs;
}

std::string FakeCell::hostOf(const RunId &Id) const {
  for (const auto &[Host, Report] : Agents_)
    for (const RunningTask &Task : Report.Running_)
      if (Task.Id_ == Id)
        return Host;
  return {};
}

bool FakeCell::hasLogEvent(const std::string &Event) const {
  return std::any_of(
      LogEvents_.begin(), LogEvents_.end(),
      [&](const core::LogEvent &Line) { return Line.Event_ == Event; });
}

jobs::JobState FakeCell::stateOf(const std::string &Job) const {
  return View_.Jobs_.at(Job).reportedState();
}

jobs::JobSpec oneStep(std::uint32_t Count, jobs::Resources Each) {
  return jobs::JobSpecBuilder()
      .command("c")
      .step(Count, Each, std::chrono::seconds(2))
      .build();
}

void startCell(FakeCell &Cell, int Workers) {
  for (int I = 0; I < Workers; ++I)
    Cell.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 3));
  Cell.claimCell();
  Cell.runFor(std::chrono::milliseconds(300));
}

} // namespace nutmegwell::cell
