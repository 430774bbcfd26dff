#include "decisioncost.h"
#include <algorithm>
#include <ctime>

namespace nutmegwell::replay {

namespace {

constexpr std::size_t WorkersPerRack = 9;
constexpr std::size_t Accounts = 10;
constexpr core::Duration ReportEvery = std::chrono::milliseconds(500);

core::Duration threadTime() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
}

/// A holder whose agents carry out every order at once.
class BusyCell {
public:
  BusyCell(std::size_t Workers, const cell::HolderPolicy &Policy) {
    for (int Priority = 0; Priority < 3; ++Priority) {
      jobs::Queue Queue;
      Queue.Name_ = "q" + std::to_string(Priority);
      Queue.Service_ = "service";
      Queue.Priority_ = Priority;
      Queue.MaxAttempts_ = 3;
      Queue.Stretch_ = 3;
      Tables_.Queues_.push_back(Queue);
    }
    for (std::size_t I = 0; I < Workers; ++I)
      addWorker(I);
    jobs::applyRecord(View_, {0, jobs::CellClaimed{"holder", 1, true}});
    Holder_ = cell::beginTenure(Policy, 0, Now_, std::nullopt, {}, around());
    for (int Round = 0; Round < 3; ++Round)
      step();
  }

  void accept(int Priority, std::size_t Account, const jobs::JobSpec &Spec) {
    jobs::JobAccepted Job;
    Job.Job_ = "job" + std::to_string(NextJob_++);
    Job.Queue_ = "q" + std::to_string(Priority);
    Job.Service_ = "service";
    Job.Account_ = "account" + std::to_string(Account);
    Job.Priority_ = Priority;
    Job.MaxAttempts_ = 3;
    Job.Submitted_ = Wall_;
    Job.Spec_ = Spec;
    jobs::applyRecord(View_, {View_.NextOffset_, Job});
  }

  /// Delivers all reports, decides, and carries out the orders. Returns the
  /// processor time of the decision.
  core::Duration step() {
    Now_ += ReportEvery;
    Wall_ += ReportEvery;
    cell::Effects Out;
    for (auto &[Host, Report] : Agents_) {
      ++Report.Sequence_;
      for (cell::RunningTask &Task : Report.Running_)
        Task.Percent_ = std::min(Task.Percent_ + 2, 99.0);
      cell::onReport(Holder_, Report, around(), Out);
    }
    cell::onTenureConfirmed(Holder_, Now_);
    const core::Duration Begin = threadTime();
    cell::advanceHolder(Holder_, around(), Out);
    const core::Duration Taken = threadTime() - Begin;
    carryOut(Out);
    return Taken;
  }

private:
  cell::HolderContext around() const {
    static const std::set<std::string> NoDomains;
    return {View_, Tables_, NoDomains, Now_, Wall_};
  }

  void addWorker(std::size_t I) {
    cell::WorkerInfo Info;
    Info.Id_ = "w" + std::to_string(I);
    Info.WorkerIncarnation_ = 1;
    Info.Service_ = "service";
    Info.FailureDomain_ = "a";
    Info.Capacity_ = {128000, 262144, 8};
    Info.Rack_ = "r" + std::to_string(I / WorkersPerRack);
    Info.Labels_ = {Info.Rack_};
    cell::AgentReport &Report = Agents_[Info.Id_];
    Report.Host_ = Info.Id_;
    Report.AgentIncarnation_ = 1;
    Report.Worker_ = Info;
  }

  void carryOut(cell::Effects &Out) {
    for (const auto &[Host, Orders] : Out.Orders_) {
      cell::AgentReport &Report = Agents_[Host];
      Report.Term_ = Orders.Term_;
      Report.ProcessedOrders_ = Orders.Sequence_;
      for (const cell::StartOrder &Order : Orders.Starts_)
        Report.Running_.push_back({Order.Id_, Order.Checkpoint_, 0, 0});
      for (const cell::RunId &Id : Orders.Stops_)
        stop(Report, Id);
      Report.Ended_.erase(std::remove_if(Report.Ended_.begin(),
                                         Report.Ended_.end(),
                                         [&, Limit = Orders.AcknowledgedUpTo_](
                                             const cell::EndedTask &End) {
                                           return End.Number_ <= Limit;
                                         }),
                          Report.Ended_.end());
    }
    if (Out.Append_.empty())
      return;
    for (const jobs::Record &Record : Out.Append_)
      jobs::applyRecord(View_, {View_.NextOffset_, Record});
    cell::onAppended(Holder_);
  }

  void stop(cell::AgentReport &Report, const cell::RunId &Id) {
    for (auto It = Report.Running_.begin(); It != Report.Running_.end(); ++It)
      if (It->Id_ == Id) {
        Report.Running_.erase(It);
        Report.Ended_.push_back({NextEnd_++, Id, cell::EndKind::Stopped, {}});
        return;
      }
  }

  core::TimePoint Now_{std::chrono::seconds(1000)};
  jobs::WallTime Wall_{std::chrono::seconds(5000)};
  jobs::View View_;
  jobs::ServiceTables Tables_;
  cell::Holder Holder_;
  std::map<std::string, cell::AgentReport> Agents_;
  std::uint64_t NextJob_ = 0;
  std::uint64_t NextEnd_ = 1;
};

jobs::JobSpec tasks(std::uint32_t Count, jobs::Resources Each, bool Gang) {
  jobs::JobSpecBuilder Builder;
  Builder.command("c").step(Count, Each, std::chrono::seconds(30));
  if (Gang)
    Builder.gang(true);
  return Builder.build();
}

} // namespace

DecisionTimes measureDecisions(std::size_t Workers, std::size_t WaitingJobs,
                               std::size_t Decisions,
                               const cell::HolderPolicy &Policy) {
  BusyCell Cell(Workers, Policy);
  for (std::size_t I = 0; I < Workers; ++I)
    Cell.accept(1, I % Accounts, tasks(8, {8000, 16000, 1}, false));
  for (int Round = 0; Round < 4; ++Round)
    Cell.step();
  for (std::size_t I = 0; I < WaitingJobs; ++I)
    if (I % 10 == 0)
      Cell.accept(0, I / 10 % Accounts, tasks(5, {15000, 16000, 4}, true));
    else if (I % 2 == 0)
      Cell.accept(1, I / 10 % Accounts, tasks(6, {50000, 16000, 4}, true));
    else
      Cell.accept(2, I / 10 % Accounts, tasks(3, {11000, 16000, 1}, false));
  DecisionTimes Times;
  for (std::size_t I = 0; I < Decisions; ++I)
    Times.push_back(Cell.step());
  std::sort(Times.begin(), Times.end());
  return Times;
}

} // namespace nutmegwell::replay
