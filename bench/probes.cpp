#include "probes.h"

#include <algorithm>
#include <unordered_map>

namespace nutmegwell::bench {

namespace {

std::uint32_t countBits(std::uint64_t Bits) {
  return static_cast<std::uint32_t>(__builtin_popcountll(Bits));
}

/// Free accelerators of each usable worker.
std::vector<std::uint32_t> freeByWorker(const sched::CellView &View) {
  std::unordered_map<std::string, std::uint32_t> Held;
  for (const sched::RunningJob &Job : View.Running_)
    for (const model::TaskPlacement &Task : Job.Placement_)
      Held[Task.Worker_] += countBits(Task.Accelerators_);
  std::vector<std::uint32_t> Result;
  for (const sched::WorkerView &Worker : View.Workers_)
    Result.push_back(Worker.Usable_ ? Worker.Accelerators_ - Held[Worker.Name_]
                                    : 0);
  return Result;
}

std::string groupOf(const sched::WorkerView &Worker,
                    model::TopologyLevel Shape) {
  if (Shape == model::TopologyLevel::Domain)
    return std::string();
  return Shape == model::TopologyLevel::Rack ? Worker.Rack_ : Worker.Name_;
}

const model::PoolRow *poolOf(const sched::CellView &View,
                             const model::JobSpec &Spec) {
  for (const model::PoolRow &Row : View.Pools_)
    if (Row.Account_ == Spec.Account_ && Row.Service_ == Spec.Service_)
      return &Row;
  return nullptr;
}

std::uint32_t heldBy(const sched::CellView &View,
                     const model::AccountName &Account) {
  std::uint32_t Held = 0;
  for (const sched::RunningJob &Job : View.Running_)
    if (Job.Spec_.Account_ == Account)
      Held += Job.Spec_.accelerators();
  return Held;
}

/// Returns the free accelerators of a cell, and those in groups that cannot
/// hold the gang, when the cell has enough free accelerators for it in number.
std::pair<double, double> unusable(const sched::CellView &View,
                                   const model::JobSpec &Spec) {
  std::vector<std::uint32_t> Free = freeByWorker(View);
  std::unordered_map<std::string, std::pair<std::uint32_t, std::uint32_t>>
      Groups;
  std::uint32_t Total = 0;
  for (std::size_t I = 0; I < Free.size(); ++I) {
    auto &Group = Groups[groupOf(View.Workers_[I], Spec.Level_)];
    Group.first += Free[I];
    Group.second += Free[I] / Spec.AcceleratorsPerTask_;
    Total += Free[I];
  }
  if (Total < Spec.accelerators())
    return {Total, 0};
  double Bad = 0;
  for (const auto &[Name, Group] : Groups)
    if (Group.second < Spec.TaskCount_)
      Bad += Group.first;
  return {Total, Bad};
}

std::uint32_t blocksFor(const model::JobSpec &Spec, const model::PoolRow &Row) {
  std::uint32_t PerBlock = Row.BlockSize_ / Spec.AcceleratorsPerTask_;
  if (PerBlock == 0)
    return 0;
  return (Spec.TaskCount_ + PerBlock - 1) / PerBlock;
}

/// Returns true when the free part of the guarantee of the job's account has
/// the job's shape, even if each of the account's running jobs takes blocks of
/// its own.
bool guaranteeFree(const sched::CellView &View, const model::JobSpec &Spec) {
  const model::PoolRow *Row = poolOf(View, Spec);
  if (!View.MayStart_ || !Row)
    return false;
  std::uint32_t Blocks = blocksFor(Spec, *Row);
  if (Blocks == 0 || Blocks * Row->BlockSize_ > Row->Guaranteed_ ||
      (Blocks > 1 && Spec.Level_ != model::TopologyLevel::Domain) ||
      (Row->Level_ != model::TopologyLevel::Worker &&
       Spec.Level_ < Row->Level_))
    return false;
  for (const sched::RunningJob &Job : View.Running_)
    if (Job.Spec_.Account_ == Spec.Account_) {
      std::uint32_t Taken = blocksFor(Job.Spec_, *Row);
      if (Taken == 0)
        return false;
      Blocks += Taken;
    }
  return Blocks * Row->BlockSize_ <= Row->Guaranteed_;
}

/// Returns true when every worker of the cell is usable; with a worker down the
/// guaranteed accelerators may not exist.
bool complete(const sched::CellView &View) {
  return std::all_of(View.Workers_.begin(), View.Workers_.end(),
                     [](const sched::WorkerView &W) { return W.Usable_; });
}

} // namespace

bool placementsValid(const sched::CellView &View) {
  std::unordered_map<std::string, std::uint64_t> Held;
  for (const sched::RunningJob &Job : View.Running_)
    for (const model::TaskPlacement &Task : Job.Placement_) {
      std::uint64_t &Bits = Held[Task.Worker_];
      if ((Bits & Task.Accelerators_) != 0 ||
          countBits(Task.Accelerators_) != Job.Spec_.AcceleratorsPerTask_)
        return false;
      Bits |= Task.Accelerators_;
    }
  return true;
}

void FragmentationProbe::observe(const std::vector<sched::CellView> &Cells,
                                 core::Duration Now) {
  if (Share_ >= 0) {
    double Length = std::chrono::duration<double>(Now - Since_).count();
    Sum_ += Share_ * Length;
    Time_ += Length;
  }
  Since_ = Now;
  Share_ = -1;
  const model::JobSpec *Largest = nullptr;
  for (const sched::WaitingJob &Job : Cells[0].Waiting_) {
    bool Allowed = std::any_of(
        Cells.begin(), Cells.end(), [&](const sched::CellView &Cell) {
          const model::PoolRow *Row = poolOf(Cell, Job.Spec_);
          return Row &&
                 heldBy(Cell, Row->Account_) + Job.Spec_.accelerators() <=
                     Row->AcceleratorLimit_;
        });
    if (Allowed &&
        (!Largest || Job.Spec_.accelerators() > Largest->accelerators()))
      Largest = &Job.Spec_;
  }
  if (!Largest)
    return;
  double Free = 0;
  double Bad = 0;
  for (const sched::CellView &Cell : Cells) {
    if (!Cell.MayStart_)
      continue;
    auto [CellFree, CellBad] = unusable(Cell, *Largest);
    Free += CellFree;
    Bad += CellBad;
  }
  Share_ = Free > 0 ? Bad / Free : 0;
}

void ReclaimProbe::observe(const std::vector<sched::CellView> &Cells,
                           core::Duration Now) {
  for (const sched::WaitingJob &Job : Cells[0].Waiting_) {
    std::size_t Index = Job.Id_.Sequence_ - 1;
    bool Free = std::any_of(
        Cells.begin(), Cells.end(), [&](const sched::CellView &Cell) {
          return complete(Cell) && guaranteeFree(Cell, Job.Spec_);
        });
    if (Free) {
      Open_.emplace(Index, Now);
      continue;
    }
    // Another job of the account has taken the guarantee.
    auto Found = Open_.find(Index);
    if (Found == Open_.end())
      continue;
    if (Now - Found->second > Grace_) {
      ++Late_;
      ++LateToOwn_;
      Times_.push_back(
          std::chrono::duration<double>(Now - Found->second).count());
    }
    Open_.erase(Found);
  }
}

bool ReclaimProbe::started(std::size_t Job, core::Duration Now) {
  auto Found = Open_.find(Job);
  if (Found == Open_.end())
    return false;
  Times_.push_back(std::chrono::duration<double>(Now - Found->second).count());
  Late_ += Now - Found->second > Grace_;
  Open_.erase(Found);
  return true;
}

void AbsenceProbe::observe(const Use &Next, core::Duration Now) {
  core::Duration Length = std::min(Now, To_) - std::max(Since_, From_);
  if (Length > core::Duration(0)) {
    double Seconds = std::chrono::duration<double>(Length).count();
    Sum_.Idle_ += Current_.Idle_ * Seconds;
    Sum_.Changing_ += Current_.Changing_ * Seconds;
  }
  Since_ = Now;
  Current_ = Next;
}

} // namespace nutmegwell::bench
