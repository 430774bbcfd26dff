// Order between the units of different accounts.

#include "accountorder.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Returns the largest part of \p Capacity that \p Uses takes of any resource.
double dominantShare(const jobs::Resources &Uses,
                     const jobs::Resources &Capacity) {
  auto PartOf = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                     : 0.0;
  };
  return std::max({PartOf(Uses.Cpu_, Capacity.Cpu_),
                   PartOf(Uses.MemoryMb_, Capacity.MemoryMb_),
                   PartOf(Uses.Accelerators_, Capacity.Accelerators_)});
}

/// Resources that the runs of each account hold, by service.
using HeldResources =
    std::map<std::string, std::map<std::string, jobs::Resources>>;

HeldResources heldByAccount(const TaskRunMap &Runs, const jobs::View &View) {
  HeldResources Held;
  const std::string *LastJob = nullptr;
  jobs::Resources *Sum = nullptr;
  // The runs of a job are adjacent, so that each job is looked up once.
  for (const auto &[Id, Run] : Runs) {
    if (!LastJob || *LastJob != Id.Task_.Job_) {
      LastJob = &Id.Task_.Job_;
      auto Job = View.Jobs_.find(*LastJob);
      Sum = Job == View.Jobs_.end() ? nullptr
                                    : &Held[Job->second.Accepted_.Service_]
                                           [Job->second.Accepted_.Account_];
    }
    if (Sum)
      *Sum += Run.Resources_;
  }
  return Held;
}

/// Returns the capacity of the usable workers by service.
std::map<std::string, jobs::Resources>
usableCapacity(const Holder &State, const HolderContext &Context) {
  std::map<std::string, jobs::Resources> Capacity;
  for (const auto &[Name, Host] : State.Workers_)
    if (isUsable(State.Policy_, Host, Context))
      Capacity[Host.Info_->Service_] += Host.Info_->Capacity_;
  return Capacity;
}

/// Returns the services for which units of two accounts wait that could not be
/// placed at the last decision.
std::set<std::string> contendedServices(const Holder &State,
                                        const std::vector<Unit> &Units) {
  std::map<std::string, std::set<std::string>> StillWaiting;
  for (const Unit &Work : Units) {
    const jobs::JobAccepted &Job = Work.Job_->Accepted_;
    auto Accounts = State.Accounts_.find(Job.Service_);
    if (Accounts != State.Accounts_.end() &&
        Accounts->second.Waiting_.count(Job.Account_))
      StillWaiting[Job.Service_].insert(Job.Account_);
  }
  std::set<std::string> Contended;
  for (const auto &[Service, Accounts] : StillWaiting)
    if (Accounts.size() >= 2)
      Contended.insert(Service);
  return Contended;
}

/// Returns whether the job of \p Work has waited longer than it takes to become
/// worthless. A step without a declared time has no objective.
bool isOverdue(const HolderPolicy &Policy, const Unit &Work,
               jobs::WallTime Now) {
  return Work.Objective_ > core::Duration::zero() &&
         Now - Work.Begin_ > Work.Objective_ * Policy.LateFactor_;
}

/// Hands the usages to the metrics, which are read every few seconds.
void showUsages(Holder &State, core::TimePoint Now, Effects &Out) {
  constexpr core::Duration Interval = std::chrono::seconds(1);
  if (Now < State.UsagesShownAt_ + Interval)
    return;
  State.UsagesShownAt_ = Now;
  std::vector<AccountUsage> &Usages = Out.AccountUsages_.emplace();
  for (const auto &[Service, Known] : State.Accounts_)
    for (const auto &[Account, Entry] : Known.Ledger_.Accounts_)
      Usages.push_back(
          {Service, Account, share::usageOf(Known.Ledger_, Account, Now)});
}

} // namespace

void updateUsage(Holder &State, const HolderContext &Context, Effects &Out) {
  if (!State.Policy_.FairShares_)
    return;
  const HeldResources Held = heldByAccount(State.Runs_, Context.View_);
  const auto Capacity = usableCapacity(State, Context);
  for (const auto &[Service, Accounts] : Held)
    State.Accounts_[Service];
  for (auto It = State.Accounts_.begin(); It != State.Accounts_.end();) {
    auto &[Service, Known] = *It;
    std::map<std::string, double> Shares;
    auto Whole = Capacity.find(Service);
    if (auto Users = Held.find(Service);
        Users != Held.end() && Whole != Capacity.end())
      for (const auto &[Account, Uses] : Users->second)
        Shares[Account] = dominantShare(Uses, Whole->second);
    share::setCurrentShares(Known.Ledger_, Shares, Context.Now_);
    if (Known.Ledger_.Accounts_.empty() && Known.Waiting_.empty())
      It = State.Accounts_.erase(It);
    else
      ++It;
  }
  showUsages(State, Context.Now_, Out);
}

void rankUnits(const Holder &State, const HolderContext &Context,
               std::vector<Unit> &Units) {
  if (!State.Policy_.FairShares_)
    return;
  const std::set<std::string> Contended = contendedServices(State, Units);
  if (Contended.empty())
    return;
  std::map<std::pair<std::string, std::string>, int> Ranks;
  for (Unit &Work : Units) {
    const jobs::JobAccepted &Job = Work.Job_->Accepted_;
    if (!Contended.count(Job.Service_))
      continue;
    auto [It, Added] = Ranks.try_emplace({Job.Service_, Job.Account_}, 0);
    if (Added)
      It->second = share::usageRank(State.Accounts_.at(Job.Service_).Ledger_,
                                    Job.Account_, Context.Now_);
    Work.UsageRank_ = It->second;
    Work.Overdue_ = isOverdue(State.Policy_, Work, Context.Wall_);
  }
}

int objectiveOrder(const HolderPolicy &Policy, const Unit &Work) {
  const ObjectiveStatus Status = objectiveStatusOf(Policy, Work);
  if (Status == ObjectiveStatus::OnTime)
    return 0;
  if (Work.Overdue_)
    return 1;
  return Status == ObjectiveStatus::Late ? 2 : 3;
}

bool triesExhausted(const HolderPolicy &Policy, const UnplacedUnits &Unplaced,
                    const Unit &Work) {
  if (!Policy.FairShares_ || Work.Guaranteed_)
    return false;
  const jobs::JobAccepted &Job = Work.Job_->Accepted_;
  auto It = Unplaced.find({Job.Service_, Job.Account_});
  return It != Unplaced.end() && It->second >= Policy.MaxTriesOfAccount_;
}

void countUnplaced(const Unit &Work, UnplacedUnits &Unplaced) {
  if (!Work.OriginalHost_.empty())
    return;
  const jobs::JobAccepted &Job = Work.Job_->Accepted_;
  ++Unplaced[{Job.Service_, Job.Account_}];
}

void recordWaitingAccounts(Holder &State, const UnplacedUnits &Unplaced) {
  if (!State.Policy_.FairShares_)
    return;
  for (auto &[Service, Known] : State.Accounts_)
    Known.Waiting_.clear();
  for (const auto &[Account, Count] : Unplaced)
    State.Accounts_[Account.first].Waiting_.insert(Account.second);
}

} // namespace nutmegwell::cell
